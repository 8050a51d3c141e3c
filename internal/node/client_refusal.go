package node

import (
	"context"
	"net/http"

	"otterstep/policy"
)

// refusal is the error of a message that is refused before it has been received. Its request was not forwarded.
type refusal struct {
	code   int    // status code of the answer
	reason string // reason for the log, and text of an answer that is no refusal in the policy's sense
}

// Error implements error.
func (r *refusal) Error() string { return r.reason }

// The refusals of messages.
var (
	refusedTransferCoding = &refusal{http.StatusLengthRequired, "Transfer-Encoding is not taken, send a Content-Length"}
	refusedContentLength  = &refusal{http.StatusBadRequest, "Content-Length: not one decimal number"}
	refusedMalformedHead  = &refusal{http.StatusBadRequest, "malformed line in the head"}
	refusedTooManyFields  = &refusal{http.StatusRequestHeaderFieldsTooLarge, "too many fields"}
	refusedNoRoom         = &refusal{http.StatusServiceUnavailable, "too many open requests"}
	refusedNoMemory       = &refusal{http.StatusServiceUnavailable, "no memory for the message"}
	refusedSlowForMemory  = &refusal{http.StatusServiceUnavailable, "the message came slowly, and others need its memory"}
	refusedSlowForRoom    = &refusal{http.StatusServiceUnavailable, "the message came slowly, and others need its connection"}
)

// refusalOf returns why the message of a request is refused, or nil.
func refusalOf(r *http.Request) *refusal {
	if c := connOf(r); c != nil {
		return c.refusal.Load()
	}
	return nil
}

// The texts that end a head whose message is refused. A head of which nothing was handed out yet is replaced.
const (
	replacedHead = "GET / HTTP/1.1\r\nHost: refused\r\n\r\n"
	endOfHead    = "\r\n\r\n"
)

// endHead ends the head of a message that is refused, so that net/http calls the handler. Reading a body or another
// head after that fails.
func (c *clientConn) endHead(b []byte) (int, error) {
	if c.head.isHandedOut {
		return 0, context.DeadlineExceeded
	}
	c.head.isHandedOut = true
	if c.head.handedOutBytes == 0 {
		return copy(b, replacedHead), nil
	}
	return copy(b, endOfHead), nil
}

// refuse marks the present message as refused, unless it is already.
func (c *clientConn) refuse(why *refusal) { c.refusal.CompareAndSwap(nil, why) }

// refuseMessage answers a message that is refused. The connection of one that came slowly closes at once: net/http
// would keep it, and its memory, for another half second.
func (f *front) refuseMessage(w http.ResponseWriter, why *refusal) {
	f.loop.metrics.messagesRefused.Add(1)
	f.clients.log.Debug("message refused", "code", why.code, "reason", why.reason)
	w.Header().Set("Connection", "close")
	if why.code != http.StatusServiceUnavailable {
		http.Error(w, why.reason, why.code)
	} else {
		writeAnswer(w, finalAnswer{kind: answerRefused, retryAfter: f.settings.Policy.Limits.MaxRetryAfter, reason: policy.Overload.String()})
	}
	if why == refusedSlowForMemory || why == refusedSlowForRoom {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}
