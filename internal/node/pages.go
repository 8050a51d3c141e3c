package node

import "net/http"

// The paths of the node's own pages.
const (
	readinessPath = "/up"      // tells whether the node can serve
	metricsPath   = "/metrics" // has the metrics, unless a class of requests has that name
)

// pageOf returns the function that writes the page of the node at the path of a request, or nil if the request is for the
// billing servers.
func (f *front) pageOf(r *http.Request) (writePage func(w http.ResponseWriter)) {
	switch r.URL.Path {
	case readinessPath:
		return f.writeReadiness
	case metricsPath:
		if _, isClass := f.classIndex[metricsPath[1:]]; !isClass {
			return f.writeMetrics
		}
	}
	return nil
}

// servePage answers a request for a page of the node. Anything but a GET or HEAD without a body gets an error, because a client
// would take a 200 for the answer of a server that has run its request.
func (f *front) servePage(w http.ResponseWriter, r *http.Request, writePage func(w http.ResponseWriter)) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		w.Header().Set("Allow", "GET, HEAD")
		f.writeClientError(w, &clientError{http.StatusMethodNotAllowed, "a page of the node takes GET and HEAD"})
	case r.ContentLength != 0:
		f.writeClientError(w, badRequest("a request for a page of the node has no body"))
	default:
		f.close(w, r)
		writePage(w)
	}
}

// writeReadiness answers 200 if the node can serve, and 503 otherwise.
func (f *front) writeReadiness(w http.ResponseWriter) {
	if !f.isReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// writeMetrics answers with the metrics.
func (f *front) writeMetrics(w http.ResponseWriter) { f.loop.metrics.write(w) }
