package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"otterstep/internal/budget"
	"otterstep/policy"
)

const (
	// maxBodyBytes is the size limit of the body of a request or a response.
	maxBodyBytes = 64 << 10

	// responseStallTimeout is the time limit for a response from its first byte on. A server writes its
	// response in one go, so one that is still incomplete after this time has a wrong length and will
	// not continue. Without the limit, the attempt would hold its request until the client's deadline.
	responseStallTimeout = 300 * time.Millisecond
)

// forwardedHeaders are the headers that the node forwards from clients to servers unchanged.
var forwardedHeaders = []string{
	"X-Correlation-Id", "Idempotency-Key", "X-Service-Class", "X-Account", "X-Repeat",
	"X-Weight-Hint", "X-Facts", "Content-Type", "Accept",
}

// upstreamRequest is a client's request as the node forwards it to servers. It does not change once
// the loop has submitted it, so attempts may share it.
type upstreamRequest struct {
	method         string
	uri            string // request target exactly as the client wrote it
	host           string
	header         http.Header
	body           []byte
	clientDeadline time.Duration       // time on the node's clock at which the client gives up
	valueUntil     time.Duration       // time on the node's clock up to which an answer earns its full value
	memory         *budget.Reservation // memory of the request and of its answer; nil: not counted
	client         *clientPresence     // whether the client is still connected; nil: it is
}

// hold adds a holder of the request's memory.
func (r *upstreamRequest) hold() {
	if r.memory != nil {
		r.memory.Hold()
	}
}

// release removes a holder of the request's memory.
func (r *upstreamRequest) release() {
	if r.memory != nil {
		r.memory.Release()
	}
}

// largeBodyBytes is the size from which the rest of a body is written on its own, so that it need not be copied.
const largeBodyBytes = 4 << 10

// encode returns the request as bytes, and the rest of its body where that is large. The last write
// shows whether the last byte was sent. All values have passed net/http's checks of the client's request, so none
// contains a line break.
func (r *upstreamRequest) encode(timeLeft time.Duration) (text, restOfBody []byte) {
	inText := min(len(r.body), largeBodyBytes)
	text = make([]byte, 0, 512+inText)
	text = fmt.Appendf(text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Time-Left: %.3f\r\n", r.method, r.uri, r.host, timeLeft.Seconds())
	for _, name := range forwardedHeaders {
		for _, value := range r.header[name] {
			text = fmt.Appendf(text, "%s: %s\r\n", name, value)
		}
	}
	if r.method != http.MethodGet {
		text = fmt.Appendf(text, "Content-Length: %d\r\n", len(r.body))
	}
	return append(append(text, "\r\n"...), r.body[:inText]...), r.body[inText:]
}

// writeTo writes the request to a server.
func (r *upstreamRequest) writeTo(w io.Writer, timeLeft time.Duration) error {
	text, restOfBody := r.encode(timeLeft)
	_, err := w.Write(text)
	if err == nil && len(restOfBody) > 0 {
		_, err = w.Write(restOfBody)
	}
	return err
}

// reserveAnswer counts the memory of an answer to the request, and waits for it until ctx ends.
func (r *upstreamRequest) reserveAnswer(ctx context.Context, bytes int) error {
	if r.memory == nil {
		return nil
	}
	return r.memory.Grow(ctx, int64(bytes), budget.Answer)
}

// serverIncarnation is a server at an address, from one start to the next. Connections are pooled by
// incarnation and not by address: a new server may have the address of one that is gone, and must not
// get requests on the old one's connections.
type serverIncarnation struct {
	id        policy.ServerID
	addr      string
	startedAt time.Duration
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	status         policy.Status
	contentType    string
	body           []byte    // body of the response if the status is OK
	invalidRequest bool      // the server has answered that the request is invalid
	receivedAt     time.Time // time at which the last byte of a response was received; zero: there is none
}

// upstream carries out attempts on pooled connections to servers, one request at a time on each. It
// does not use net/http's Transport, because that sends a GET, or any request with an
// Idempotency-Key, again by itself if a pooled connection turns out to be dead: an attempt that the
// Balancer does not know of.
type upstream struct {
	maxIdle       time.Duration // longest time that a connection is kept idle
	responseTimes responseTimes
	dialer        dialer
	maxConns      int // limit on open connections, including idle ones
	log           *slog.Logger

	mu        sync.Mutex
	idleConns map[serverIncarnation][]*serverConn // idle connections to each server, the most recently used last
	openConns int
}

// newUpstream returns an upstream with at most maxConns connections. Servers close connections that
// were idle for connIdle. The upstream closes them well before that, because a request that is in
// transit when the server closes ends as a reset and may have run.
func newUpstream(connIdle, connectTimeout time.Duration, maxConns int) *upstream {
	return &upstream{
		maxIdle: connIdle * 3 / 4, dialer: tcpDialer(connectTimeout), maxConns: maxConns,
		responseTimes: responseTimes{quiet: responseQuietTime, stall: responseStallTimeout},
		log:           slog.New(slog.DiscardHandler), idleConns: map[serverIncarnation][]*serverConn{},
	}
}

// attemptControl decides whether an attempt may be written, and follows its progress.
type attemptControl interface {
	// beginWrite reports whether the request may be written. It is called right before the first byte.
	beginWrite() bool
	// finishWrite is called once the last byte has been written.
	finishWrite()
	// responseReceived is called once a response has been received whose end has to be confirmed. It
	// returns the longest quiet time that the response may be given.
	responseReceived() (maxWait time.Duration)
}

// roundTrip makes one attempt. Its status depends on whether the last byte of the request was written:
// before that the request can't have run, and after that it may have. The connection may take long to
// come up, so the request states what is left of timeLeft when it is written.
func (u *upstream) roundTrip(ctx context.Context, incarnation serverIncarnation, outgoing *upstreamRequest,
	timeLeft time.Duration, control attemptControl) attemptResult {
	startedAt := time.Now()
	c, err := u.acquireConn(ctx, incarnation)
	switch {
	case errors.Is(err, errConnLimit) || isOneOf(err, localErrors):
		// The failure is the node's own and must not count against the server.
		return attemptResult{status: policy.NotSent}
	case err != nil:
		return attemptResult{status: policy.ConnectFailed}
	}
	// A past deadline ends pending reads and writes.
	unregister := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	if !control.beginWrite() {
		u.releaseConn(c, unregister())
		return attemptResult{status: policy.NotSent}
	}
	if err := outgoing.writeTo(c, max(0, timeLeft-time.Since(startedAt))); err != nil {
		unregister()
		u.releaseConn(c, false)
		return attemptResult{status: policy.ConnectFailed}
	}
	control.finishWrite()
	response, reusable, err := c.readWholeResponse(ctx, outgoing.reserveAnswer, control.responseReceived)
	u.releaseConn(c, unregister() && reusable)
	if err != nil {
		u.log.Debug("response cannot be used", "endpoint", incarnation.addr, "err", err)
		return attemptResult{status: policy.ConnectionReset}
	}
	return response.attemptResult()
}

// reserveFunc counts the memory of an answer, and waits for it until ctx ends.
type reserveFunc func(ctx context.Context, bytes int) error

// readWholeResponse reads a response and what tells that it is whole, and reports whether the
// connection may be reused. With an error the request may have run. It calls onReceived before it waits
// for what follows the response.
func (c *serverConn) readWholeResponse(ctx context.Context, reserve reserveFunc, onReceived func() (maxWait time.Duration)) (
	response serverResponse, reusable bool, err error) {
	c.limitedInput.N = maxResponseBytes
	response, err = readResponse(c.reader, responseReading{
		beforeHead:  func() { c.setResponseDeadline(ctx, time.Time{}) },
		onHeadStart: func() { c.setResponseDeadline(ctx, time.Now().Add(c.responseTimes.stall)) },
		reserveBody: func(bytes int) error {
			err := reserve(ctx, bytes)
			c.setResponseDeadline(ctx, time.Now().Add(c.responseTimes.stall)) // the server does not cause the wait for memory
			return err
		},
	})
	if err != nil {
		return response, false, err
	}
	response.receivedAt = time.Now()
	c.idleSince = response.receivedAt
	silent, err := c.confirmEnd(ctx, &response, reserve, onReceived)
	c.setResponseDeadline(ctx, time.Time{})
	return response, silent && !response.closesConn, err
}

// attemptResult returns the result of an attempt that has got a response. If the response is neither a
// 200 nor marked as unprocessed, the request may have run.
func (r *serverResponse) attemptResult() attemptResult {
	result := attemptResult{status: policy.ServerError, receivedAt: r.receivedAt}
	isUnavailable := r.statusCode == http.StatusServiceUnavailable || r.statusCode == http.StatusGatewayTimeout
	switch {
	case r.statusCode == http.StatusOK:
		result.status, result.contentType, result.body = policy.OK, r.header.Get("Content-Type"), r.body
	case isUnavailable && r.header.Get("X-Unprocessed") == "1":
		result.status = policy.Rejected
	default:
		result.invalidRequest = r.statusCode/100 == 4 &&
			r.statusCode != http.StatusRequestTimeout && r.statusCode != http.StatusTooManyRequests
	}
	return result
}

// setResponseDeadline sets the read deadline, unless ctx has ended: then a deadline in the past stays.
func (c *serverConn) setResponseDeadline(ctx context.Context, at time.Time) {
	c.SetReadDeadline(at)
	if ctx.Err() != nil {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}
