package node

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"otterstep/internal/wire"
	"otterstep/policy"
)

// front is the client side: it turns requests into events of the loop and the
// loop's answers into responses.
type front struct {
	loop        *loop
	site        wire.NodeSettings
	clients     *clientConns
	isReady     func() bool
	classIndex  map[string]int
	tenantIndex map[string]int
	draining    atomic.Bool // answers close their connections
	bodyBudget  byteBudget  // memory of clients' larger bodies
}

// A small body fits into what a connection takes anyway.
const smallBodyBytes = 4 << 10

// budget bounds a sum of bytes.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

func (b *byteBudget) reserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *byteBudget) release(n int64) { b.used.Add(-n) }

func newFront(l *loop, site wire.NodeSettings, clients *clientConns, bodyBudgetBytes int64, isReady func() bool) *front {
	f := &front{
		loop: l, site: site, clients: clients, isReady: isReady, bodyBudget: byteBudget{limit: bodyBudgetBytes},
		classIndex: map[string]int{}, tenantIndex: map[string]int{},
	}
	for i, name := range site.ClassNames {
		f.classIndex[name] = i
	}
	for i, name := range site.TenantNames {
		f.tenantIndex[name] = i
	}
	return f
}

// clientError is what is wrong with a request, in words for its sender.
type clientError struct {
	statusCode int
	text       string
}

func (e *clientError) Error() string { return e.text }

func badRequest(format string, args ...any) error {
	return &clientError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	receivedAt := f.loop.clock.now()
	overLimit := f.clients.isFull()
	if r.URL.Path == "/up" {
		f.close(w, r)
		if !f.isReady() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
		return
	}
	if _, isClass := f.classIndex[metricsPath[1:]]; r.URL.Path == metricsPath && !isClass {
		f.close(w, r)
		f.loop.metrics.write(w)
		return
	}
	policyRequest, outgoing, err := f.parseRequest(r, receivedAt)
	if err == nil && r.ContentLength > smallBodyBytes {
		if !f.bodyBudget.reserve(r.ContentLength) {
			overLimit = true
		} else {
			defer f.bodyBudget.release(r.ContentLength)
		}
	}
	if err == nil && overLimit { // nothing was sent for it, so that the promise of a refusal holds
		w.Header().Set("Connection", "close")
		writeAnswer(w, finalAnswer{kind: answerRefused, retryAfter: f.site.Policy.Limits.MaxRetryAfter})
		return
	}
	if err == nil {
		outgoing.body, err = readRequestBody(r)
	}
	if err != nil {
		f.writeClientError(w, err)
		return
	}
	// The request is whole; the time limit on reading it must not end the wait.
	// A connection that can't take this back is broken and shows as such.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})

	answers := make(chan finalAnswer, 1)
	var submitted *request
	if !f.loop.post(func() { submitted = f.loop.submit(policyRequest, outgoing, answers) }) {
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	select {
	case answer := <-answers:
		if answer.kind == answerDuplicateID {
			f.writeClientError(w, &clientError{http.StatusConflict, "X-Correlation-Id: in use"})
			return
		}
		f.close(w, r)
		writeAnswer(w, answer)
	case <-r.Context().Done(): // the client went away
		f.loop.post(func() { f.loop.clientDisconnected(submitted) })
		panic(http.ErrAbortHandler) // else net/http words an answer: 200 with no body
	case <-f.loop.stopped:
		http.Error(w, "shutting down", http.StatusBadGateway)
	}
}

// close ends the connection behind the answer while the node drains or few
// descriptors are left: nothing can cross such a close. So does it where the client sent
// more than is kept behind its request. It is asked when the answer is there, as much may
// have changed since the request came.
func (f *front) close(w http.ResponseWriter, r *http.Request) {
	var reason string
	switch {
	case f.draining.Load():
		reason = "the node drains"
	case f.clients.isNearLimit():
		reason = "descriptors are short"
	case pipelinedTooMuch(r):
		reason = "the client sent too much ahead"
	default:
		return
	}
	w.Header().Set("Connection", "close")
	f.clients.log.Debug("client connection closed behind its answer", "client", r.RemoteAddr, "reason", reason)
}

// turnDown answers what can't be used, and ends the connection: what follows on it
// can't be trusted. While descriptors are few it does so at once, where net/http
// would linger for half a second so that a client still sending sees the answer.
func (f *front) writeClientError(w http.ResponseWriter, err error) {
	code := http.StatusBadRequest
	if invalid := (*clientError)(nil); errors.As(err, &invalid) {
		code = invalid.statusCode
	}
	f.clients.log.Debug("request turned down", "code", code, "reason", err)
	text := err.Error() + "\n"
	header := w.Header()
	header.Set("Connection", "close")
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(text))) // else the flush cuts off a last chunk
	w.WriteHeader(code)
	_, _ = io.WriteString(w, text)
	if f.clients.isNearLimit() {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// parse looks at all but the body. What it can't make sense of is an error at once.
func (f *front) parseRequest(r *http.Request, receivedAt time.Duration) (policyRequest policy.Request, outgoing *upstreamRequest, err error) {
	if len(r.TransferEncoding) > 0 {
		// net/http has dropped a Content-Length beside it by now. Two lengths may
		// hide a second request in the first one's body, so none of these passes;
		// clients send a length.
		return policyRequest, nil, &clientError{http.StatusLengthRequired, "Transfer-Encoding is not taken, send a Content-Length"}
	}
	singleHeader := func(name string) string {
		if values := r.Header[name]; len(values) > 1 && err == nil {
			err = badRequest("%s: given twice", name)
		}
		return r.Header.Get(name)
	}
	id, class, tenant := singleHeader("X-Correlation-Id"), singleHeader("X-Service-Class"), singleHeader("X-Account")
	timeLeftHeader, hint, idempotencyKey := singleHeader("X-Time-Left"), singleHeader("X-Weight-Hint"), singleHeader("Idempotency-Key")
	if err != nil {
		return policyRequest, nil, err
	}
	if id == "" {
		return policyRequest, nil, badRequest("X-Correlation-Id: missing")
	}
	var ok bool
	if policyRequest.Class, ok = f.classIndex[class]; !ok {
		return policyRequest, nil, badRequest("X-Service-Class: unknown class %q", class)
	}
	if policyRequest.Tenant, ok = f.tenantIndex[tenant]; !ok && len(f.tenantIndex) > 0 {
		return policyRequest, nil, badRequest("X-Account: unknown account %q", tenant)
	}
	firstSegment, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if firstSegment != class || !strings.HasPrefix(r.RequestURI, "/"+class) {
		return policyRequest, nil, badRequest("path %q is not of class %q", r.URL.Path, class)
	}
	policyRequest.Key = pathKey(rest)
	timeLeft, err := parseDuration("X-Time-Left", timeLeftHeader, time.Second)
	if err != nil {
		return policyRequest, nil, err
	}
	if hint != "" {
		if policyRequest.WorkHint, err = parseDuration("X-Weight-Hint", hint, time.Microsecond); err != nil {
			return policyRequest, nil, err
		}
	}
	classSettings := f.site.Policy.Classes[policyRequest.Class]
	switch method := r.Method; {
	case classSettings.Idempotency == policy.Idempotent && method != http.MethodGet,
		classSettings.Idempotency != policy.Idempotent && method != http.MethodPost:
		return policyRequest, nil, &clientError{http.StatusMethodNotAllowed, "method does not fit class " + class}
	case (classSettings.Idempotency == policy.IdempotentByKey) != (idempotencyKey != ""):
		return policyRequest, nil, badRequest("Idempotency-Key does not fit class %q", class)
	case method == http.MethodGet && r.ContentLength != 0:
		return policyRequest, nil, badRequest("a GET has no body here")
	}
	if r.ContentLength > maxBodyBytes {
		return policyRequest, nil, &clientError{http.StatusRequestEntityTooLarge, "body over 64 KiB"}
	}
	outgoing = &upstreamRequest{
		method: r.Method, uri: r.RequestURI, host: r.Host,
		header: make(http.Header, len(forwardedHeaders)), clientDeadline: receivedAt + min(timeLeft, classSettings.Deadline),
	}
	for _, name := range forwardedHeaders {
		if values := r.Header[name]; len(values) > 0 {
			outgoing.header[name] = values
		}
	}
	return policyRequest, outgoing, nil
}

// readRequestBody reads a body of a length that was found fit.
func readRequestBody(r *http.Request) ([]byte, error) {
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, &clientError{http.StatusRequestTimeout, "body: shorter than its length"}
	}
	return body, nil
}

// number reads a time given as a decimal number of units; one of over an hour is
// no time that a client waits.
func parseDuration(name, text string, unit time.Duration) (time.Duration, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0 && value <= float64(time.Hour/unit)) {
		return 0, badRequest("%s: not a time: %q", name, text)
	}
	return time.Duration(value * float64(unit)), nil
}

// key hashes the last part of a path behind its class; 0 where there is none.
func pathKey(path string) uint64 {
	lastSegment := path[strings.LastIndexByte(path, '/')+1:]
	if lastSegment == "" {
		return 0
	}
	hash := fnv.New64a()
	io.WriteString(hash, lastSegment)
	return max(hash.Sum64(), 1)
}

// write passes an answer on. An error of the connection is the client's leaving:
// the answer was given.
func writeAnswer(w http.ResponseWriter, answer finalAnswer) {
	switch answer.kind {
	case answerServed:
		if answer.result.contentType != "" {
			w.Header().Set("Content-Type", answer.result.contentType)
		} else {
			w.Header()["Content-Type"] = nil // don't guess it from the body
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(answer.result.body)))
		_, _ = w.Write(answer.result.body)
	case answerRefused:
		if answer.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(answer.retryAfter.Seconds(), 'f', 3, 64))
		}
		http.Error(w, "refused, try again", http.StatusServiceUnavailable)
	case answerFailed:
		http.Error(w, "failed", http.StatusBadGateway)
	case answerTimedOut:
		http.Error(w, "no answer in time", http.StatusGatewayTimeout)
	}
}
