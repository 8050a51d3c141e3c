package node

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"otterstep/internal/wire"
	"otterstep/policy"
)

// front is the HTTP handler for clients. It turns their requests into events of the loop, and the
// loop's answers into responses.
type front struct {
	loop        *loop
	settings    wire.NodeSettings
	clients     *clientConns
	isReady     func() bool
	classIndex  map[string]int
	tenantIndex map[string]int
	draining    atomic.Bool // the node drains, so each answer closes its connection
}

func newFront(l *loop, settings wire.NodeSettings, clients *clientConns, isReady func() bool) *front {
	f := &front{
		loop: l, settings: settings, clients: clients, isReady: isReady,
		classIndex: map[string]int{}, tenantIndex: map[string]int{},
	}
	for i, name := range settings.ClassNames {
		f.classIndex[name] = i
	}
	for i, name := range settings.TenantNames {
		f.tenantIndex[name] = i
	}
	return f
}

// clientError is an error in a client's request. The node answers with its status code and text.
type clientError struct {
	statusCode int
	text       string
}

func (e *clientError) Error() string { return e.text }

// errNoRequestAfterBody is the error of a request that is followed by data that can't be another request.
var errNoRequestAfterBody = badRequest("data after the body that is no request")

// badRequest returns a clientError with the status 400.
func badRequest(format string, args ...any) error {
	return &clientError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// ServeHTTP implements http.Handler. It answers requests for the node's own pages itself, and has the loop answer all others.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	receivedAt := f.loop.clock.now()
	if why := refusalOf(r); why != nil {
		f.refuseMessage(w, why)
		return
	}
	if writePage := f.pageOf(r); writePage != nil {
		f.servePage(w, r, writePage)
		return
	}
	f.serveRequest(w, r, receivedAt)
}

// serveRequest receives a client's request and answers it.
func (f *front) serveRequest(w http.ResponseWriter, r *http.Request, receivedAt time.Duration) {
	isFull := f.clients.isFull()
	policyRequest, outgoing, err := f.parseRequest(r, receivedAt)
	if err == nil && isFull {
		err = refusedNoRoom
	}
	if err == nil {
		outgoing.memory = f.messageOf(r)
		defer outgoing.release()
		outgoing.body, err = f.receiveBody(r, outgoing.memory)
	}
	if err == nil && isFollowedByNoRequest(r) {
		err = errNoRequestAfterBody
	}
	if err != nil {
		f.writeClientError(w, err)
		return
	}
	// The request has been read, and the read deadline must not end the wait for its answer. If the
	// deadline can't be cleared, the connection is broken, which shows in the wait.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	f.answerRequest(w, r, policyRequest, outgoing)
}

// answerRequest has the loop answer a request that has been received.
func (f *front) answerRequest(w http.ResponseWriter, r *http.Request, policyRequest policy.Request, outgoing *upstreamRequest) {
	answers := make(chan finalAnswer, 1)
	var submitted *request
	outgoing.client = presenceOf(r)
	outgoing.hold() // for the loop
	if !f.loop.post(func() { submitted = f.loop.submit(policyRequest, outgoing, answers) }) {
		outgoing.release()
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	select {
	case answer := <-answers:
		if answer.kind == answerDuplicateID {
			f.writeClientError(w, &clientError{http.StatusConflict, "X-Correlation-Id: in use"})
			return
		}
		if answer.kind == answerServed && isFollowedByNoRequest(r) {
			f.writeClientError(w, errNoRequestAfterBody) // the server may have got a body that was cut off
			return
		}
		f.close(w, r)
		writeAnswer(w, answer)
	case <-r.Context().Done(): // the client has disconnected
		f.loop.post(func() { f.loop.clientDisconnected(submitted) })
		panic(http.ErrAbortHandler) // without it, net/http would answer 200 with an empty body
	case <-f.loop.stopped:
		http.Error(w, "shutting down", http.StatusBadGateway)
	}
}

// close makes the connection close after the answer if the node drains, if few file descriptors are
// left or if the client has sent more pipelined data than the node keeps. No request can be in transit
// at such a close, because the answer announces it. The caller calls it right before it writes the
// answer, because the state may have changed since the request arrived.
func (f *front) close(w http.ResponseWriter, r *http.Request) {
	var reason string
	switch {
	case f.draining.Load():
		reason = "the node is draining"
	case f.clients.isNearLimit():
		reason = "few file descriptors are left"
	case pipelinedTooMuch(r):
		reason = "the client sent too much pipelined data"
	default:
		return
	}
	w.Header().Set("Connection", "close")
	f.clients.log.Debug("client connection closes after its answer", "client", r.RemoteAddr, "reason", reason)
}

// writeClientError answers an invalid or refused request and closes the connection, because what follows on it
// can't be trusted. If few file descriptors are left it closes at once: net/http would keep the
// connection for another half second, so that a client that is still sending sees the answer.
func (f *front) writeClientError(w http.ResponseWriter, err error) {
	if why := (*refusal)(nil); errors.As(err, &why) {
		f.refuseMessage(w, why)
		return
	}
	code := http.StatusBadRequest
	if invalid := (*clientError)(nil); errors.As(err, &invalid) {
		code = invalid.statusCode
	}
	f.clients.log.Debug("invalid request", "code", code, "reason", err)
	text := err.Error() + "\n"
	header := w.Header()
	header.Set("Connection", "close")
	header.Set("Content-Type", "text/plain; charset=utf-8")
	// Without a length, the answer would be chunked, and its last chunk would be lost.
	header.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(code)
	_, _ = io.WriteString(w, text)
	if f.clients.isNearLimit() {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// writeAnswer writes a final answer as an HTTP response. It ignores write errors: they mean that the
// client has disconnected, and the request counts as answered.
func writeAnswer(w http.ResponseWriter, answer finalAnswer) {
	switch answer.kind {
	case answerServed:
		if answer.result.contentType != "" {
			w.Header().Set("Content-Type", answer.result.contentType)
		} else {
			w.Header()["Content-Type"] = nil // keeps net/http from guessing it from the body
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
