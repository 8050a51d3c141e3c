package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"otterstep/policy"
)

const (
	maxBodyBytes = 64 << 10 // of a request or an answer

	// A server writes its answer in one go, so one that stops half-way for so long
	// will not go on: its length does not fit. Without this the attempt would hold
	// its request until the client's time is up.
	responseStallTimeout = 300 * time.Millisecond
	// A connection rests for so long before its next request. What a server sent
	// behind its answer has come by then and shows in quiet; on a connection used
	// again at once it would be read as the next request's answer.
	minIdleBeforeReuse = 10 * time.Millisecond
)

// forwarded are the client's headers that go on to servers unchanged.
var forwardedHeaders = []string{
	"X-Correlation-Id", "Idempotency-Key", "X-Service-Class", "X-Account", "X-Repeat",
	"X-Weight-Hint", "X-Facts", "Content-Type", "Accept",
}

// message is a client's request as it goes on to servers. It does not change
// once it is handed over, so attempts may share it.
type upstreamRequest struct {
	method         string
	uri            string // as the client wrote it
	host           string
	header         http.Header
	body           []byte
	clientDeadline time.Duration // on the node's clock: the client gives up
}

// encode writes the whole request into memory, so that one write sends it and
// tells whether its last byte went out. What stands in it has passed net/http's
// checks on the way in, so no value holds a line's end.
func (r *upstreamRequest) encode(timeLeft time.Duration) []byte {
	text := make([]byte, 0, 512+len(r.body))
	text = fmt.Appendf(text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Time-Left: %.3f\r\n", r.method, r.uri, r.host, timeLeft.Seconds())
	for _, name := range forwardedHeaders {
		for _, value := range r.header[name] {
			text = fmt.Appendf(text, "%s: %s\r\n", name, value)
		}
	}
	if r.method != http.MethodGet {
		text = fmt.Appendf(text, "Content-Length: %d\r\n", len(r.body))
	}
	return append(append(text, "\r\n"...), r.body...)
}

// backend is one life of a server. The pool goes by it, not by the address: a new
// server may stand at the address of one that has gone, and must not be sent what
// was left of the old one's connections.
type serverIncarnation struct {
	id        policy.ServerID
	addr      string
	startedAt time.Duration
}

// reply is what came of an attempt; the body only where it was served.
type attemptResult struct {
	status         policy.Status
	contentType    string
	body           []byte
	invalidRequest bool // the server can't use the request
}

// upstream carries out attempts on pooled connections, one request each at a
// time. It does so by hand because net/http's Transport sends a GET, or anything
// with an Idempotency-Key, once more by itself when a kept connection turns out
// dead: an attempt that the module knows nothing of.
type upstream struct {
	maxIdle  time.Duration // kept idle at most
	dialer   dialer
	maxConns int // connections, idle ones included
	log      *slog.Logger

	mu        sync.Mutex
	idleConns map[serverIncarnation][]*serverConn // the latest used last
	openConns int
}

// newUpstream retires idle connections well before servers do (connIdle): a
// request that crosses a server's close ends as a reset that may have run.
func newUpstream(connIdle, connectTimeout time.Duration, maxConns int) *upstream {
	return &upstream{
		maxIdle: connIdle * 3 / 4, dialer: tcpDialer(connectTimeout), maxConns: maxConns, log: slog.New(slog.DiscardHandler), idleConns: map[serverIncarnation][]*serverConn{},
	}
}

type serverConn struct {
	*net.TCPConn
	incarnation  serverIncarnation
	limitedInput io.LimitedReader // what an answer may still take of memory
	reader       *bufio.Reader
	idleSince    time.Time
}

var errConnLimit = errors.New("all sockets in use")

// permit is what an attempt's write has to ask and to say.
type writePermit interface {
	beginWrite() bool // asked right before the first byte; if it says no, nothing is written
	finishWrite()     // the last byte is out
}

// roundTrip makes one attempt. The status follows from whether the last byte was
// written: before that the request can't have run, after that it may have. The server is told
// what is left of wait when the request is written, as its connection may have come up late.
func (u *upstream) roundTrip(ctx context.Context, incarnation serverIncarnation, outgoing *upstreamRequest, timeLeft time.Duration, permit writePermit) attemptResult {
	startedAt := time.Now()
	c, err := u.acquireConn(ctx, incarnation)
	switch {
	case errors.Is(err, errConnLimit) || isOneOf(err, localErrors):
		return attemptResult{status: policy.NotSent} // our own limits say nothing of the server
	case err != nil:
		return attemptResult{status: policy.ConnectFailed}
	}
	unregister := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) }) // wakes reads and writes
	if !permit.beginWrite() {
		u.releaseConn(c, unregister())
		return attemptResult{status: policy.NotSent}
	}
	if _, err := c.Write(outgoing.encode(max(0, timeLeft-time.Since(startedAt)))); err != nil {
		unregister()
		u.releaseConn(c, false)
		return attemptResult{status: policy.ConnectFailed}
	}
	permit.finishWrite()
	result, reusable := c.readResult(ctx)
	u.releaseConn(c, unregister() && reusable)
	return result
}

// read takes in an answer. What can't be read may have run, as may whatever is
// neither 200 nor marked as unprocessed.
func (c *serverConn) readResult(ctx context.Context) (result attemptResult, reusable bool) {
	c.limitedInput.N = maxResponseHeadBytes + maxBodyBytes
	response, err := readResponse(c.reader,
		func() { c.setResponseDeadline(ctx, time.Time{}) },
		func() { c.setResponseDeadline(ctx, time.Now().Add(responseStallTimeout)) })
	if err != nil {
		return attemptResult{status: policy.ConnectionReset}, false
	}
	isUnavailable := response.statusCode == http.StatusServiceUnavailable || response.statusCode == http.StatusGatewayTimeout
	switch {
	case response.statusCode == http.StatusOK:
		result = attemptResult{status: policy.OK, contentType: response.header.Get("Content-Type"), body: response.body}
	case isUnavailable && response.header.Get("X-Unprocessed") == "1":
		result.status = policy.Rejected
	default:
		result.status = policy.ServerError
		result.invalidRequest = response.statusCode/100 == 4 && response.statusCode != http.StatusRequestTimeout && response.statusCode != http.StatusTooManyRequests
	}
	c.setResponseDeadline(ctx, time.Time{})
	return result, !response.closesConn && c.reader.Buffered() == 0
}

// limit sets the time limit on reading, but leaves one in place that ctx has set.
func (c *serverConn) setResponseDeadline(ctx context.Context, at time.Time) {
	c.SetReadDeadline(at)
	if ctx.Err() != nil {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// get gives an idle connection that has settled, is young and open still, or a
// new one.
func (u *upstream) acquireConn(ctx context.Context, incarnation serverIncarnation) (*serverConn, error) {
	u.mu.Lock()
	for {
		conns := u.idleConns[incarnation]
		i := len(conns) - 1
		for i >= 0 && time.Since(conns[i].idleSince) < minIdleBeforeReuse {
			i--
		}
		if i < 0 {
			break
		}
		c := conns[i]
		u.idleConns[incarnation] = slices.Delete(conns, i, i+1)
		if time.Since(c.idleSince) < u.maxIdle && c.isOpenAndSilent() {
			u.mu.Unlock()
			return c, nil
		}
		u.close(c, closedStale)
	}
	if u.openConns >= u.maxConns && !u.evictOldestIdle() {
		u.mu.Unlock()
		return nil, errConnLimit
	}
	u.openConns++
	u.mu.Unlock()

	tcpConn, err := u.dialer.dial(ctx, incarnation.addr)
	if err != nil {
		u.mu.Lock()
		u.openConns--
		u.mu.Unlock()
		u.log.Debug("connection to server failed", "endpoint", incarnation.addr, "err", err)
		return nil, fmt.Errorf("connect: %w", err)
	}
	c := &serverConn{TCPConn: tcpConn.(*net.TCPConn), incarnation: incarnation}
	c.limitedInput.R = c.TCPConn
	c.reader = bufio.NewReaderSize(&c.limitedInput, 4<<10)
	return c, nil
}

// put takes a connection back, or closes it if it is of no further use.
func (u *upstream) releaseConn(c *serverConn, reusable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !reusable {
		u.close(c, closedUnusable)
		return
	}
	c.idleSince = time.Now()
	u.idleConns[c.incarnation] = append(u.idleConns[c.incarnation], c)
}

// closeReason tells why a connection to a server was closed, for the log.
type closeReason string

const (
	closedStale    closeReason = "idle for too long, or closed by the server"
	closedUnusable closeReason = "its attempt failed or was given up, or the server ends it"
	closedForRoom  closeReason = "makes room for another connection"
	closedReplaced closeReason = "its server is gone or was replaced"
)

// close needs the lock.
func (u *upstream) close(c *serverConn, reason closeReason) {
	u.openConns--
	c.Close()
	u.log.Debug("connection to server closed", "endpoint", c.incarnation.addr, "reason", string(reason))
}

// evict closes the connection that has been idle longest; it needs the lock.
func (u *upstream) evictOldestIdle() bool {
	var oldest *serverConn
	for _, conns := range u.idleConns {
		if len(conns) > 0 && (oldest == nil || conns[0].idleSince.Before(oldest.idleSince)) {
			oldest = conns[0]
		}
	}
	if oldest == nil {
		return false
	}
	u.idleConns[oldest.incarnation] = slices.Delete(u.idleConns[oldest.incarnation], 0, 1)
	u.close(oldest, closedForRoom)
	return true
}

// drop closes the idle connections to a server that is gone.
func (u *upstream) closeIdle(incarnation serverIncarnation) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.idleConns[incarnation] {
		u.close(c, closedReplaced)
	}
	delete(u.idleConns, incarnation)
}

// sweep closes idle connections that are old or that the server has closed, so
// that they don't go on holding descriptors.
func (u *upstream) closeStale() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for incarnation, conns := range u.idleConns {
		kept := conns[:0]
		for _, c := range conns {
			if time.Since(c.idleSince) < u.maxIdle && c.isOpenAndSilent() {
				kept = append(kept, c)
			} else {
				u.close(c, closedStale)
			}
		}
		clear(conns[len(kept):])
		if u.idleConns[incarnation] = kept; len(kept) == 0 {
			delete(u.idleConns, incarnation)
		}
	}
}

// quiet tells that an idle connection is open and that nothing has come on it: a
// look without waiting. A close that is seen here costs no request.
func (c *serverConn) isOpenAndSilent() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var b [1]byte
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		_, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peekErr, syscall.EAGAIN)
}
