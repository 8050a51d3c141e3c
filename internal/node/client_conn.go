package node

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"otterstep/internal/budget"
)

// clientConn is a client's connection. If the node closed one between two requests, the next request
// could already have reached the node's machine, and would get no answer. Therefore eviction does not
// close a connection: it ends the wait for data, and data that has arrived by then undoes the eviction.
type clientConn struct {
	net.Conn
	raw         syscall.RawConn // the connection's descriptor; nil: not known
	owner       *clientConns
	list        *list.List    // list of the owner that holds the connection; nil while a request is open
	element     *list.Element // the connection's element of the list
	listedSince time.Time     // time at which the connection entered the list
	isEvicted   bool          // the connection is about to close, unless data has arrived by then

	input clientInput
	// pipelineOverflowed is set once the client has sent more pipelined data than the node keeps. The rest is
	// lost, so the connection must close.
	pipelineOverflowed atomic.Bool

	message atomic.Pointer[budget.Reservation] // memory of the present message; nil between two messages
	head    headProgress                       // how far the present head has come
	refusal atomic.Pointer[refusal]            // reason to refuse the present message; nil: none
}

// headProgress is how far a head has come on its way to net/http.
type headProgress struct {
	lines          int  // number of lines that have arrived
	handedOutBytes int  // number of bytes that net/http has got
	isHandedOut    bool // net/http has got the end of the head
}

// clientConnKey is the key of a connection in the contexts of its requests.
type clientConnKey struct{}

// connContext adds a connection to the context of its requests. It is the ConnContext of the
// http.Server.
func (cc *clientConns) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, conn)
}

// connOf returns the connection of a request, or nil if the request did not come on a clientConn.
func connOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return c
}

// pipelinedTooMuch reports whether the connection of a request can't be read any further because the
// client has sent more pipelined data than the node keeps.
func pipelinedTooMuch(r *http.Request) bool {
	c := connOf(r)
	return c != nil && c.pipelineOverflowed.Load()
}

// pastDeadline is a deadline that ends a read at once.
var pastDeadline = time.Unix(1, 0)

// Read implements net.Conn. It counts the memory that a head takes before net/http parses it, and ends the head of a
// message that has to be refused, so that the handler words the refusal.
//
// While a request is open, net/http detects a disconnect by a read of one byte, and stops looking once
// a byte has arrived. It would miss the disconnect of a client that sends more before it has its
// answer. Therefore Read keeps what arrives then as pipelined data, and continues to wait for the close.
func (c *clientConn) Read(b []byte) (int, error) {
	if len(b) == 1 && !c.isWaiting() {
		return 0, c.awaitClose()
	}
	if c.refusal.Load() != nil {
		return c.endHead(b)
	}
	part, err := c.receive(b)
	switch {
	case part.bytes == 0:
	case part.isHead:
		c.countHead(part)
	default:
		c.owner.bodyReceived(c)
	}
	if c.refusal.Load() != nil {
		return c.endHead(b)
	}
	if part.isHead {
		c.head.handedOutBytes += part.bytes
		c.head.isHandedOut = c.head.isHandedOut || part.endsHead
	}
	return part.bytes, err
}

// receive reads a part of a message. When the wait for a request ends, by eviction or by net/http's time limit
// for idle connections, it reads once more: on a node that gets little CPU, a request may have arrived
// between that limit and this call.
func (c *clientConn) receive(b []byte) (messagePart, error) {
	yieldProcessor()
	if part := c.input.take(b); part.bytes > 0 {
		c.undoEviction()
		return part, nil
	}
	if c.pipelineOverflowed.Load() {
		return messagePart{}, io.EOF
	}
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isWaiting() {
		n, err = c.readArrived(b)
	}
	if n == 0 {
		return messagePart{}, err
	}
	c.undoEviction()
	return c.input.cut(b[:n], c.owner.memory), err
}

// readArrived reads what has arrived, whatever the read deadline. It does not block.
func (c *clientConn) readArrived(b []byte) (n int, err error) {
	if c.raw == nil {
		c.Conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		return c.Conn.Read(b)
	}
	controlErr := c.raw.Control(func(descriptor uintptr) { n, err = syscall.Read(int(descriptor), b) })
	switch {
	case controlErr != nil:
		return 0, controlErr
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return 0, os.ErrDeadlineExceeded
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// largeReads holds buffers for the input of clients that send much after an open request.
var largeReads = sync.Pool{New: func() any { return new([4 << 10]byte) }}

// awaitClose keeps what arrives as pipelined data until the client closes the connection or net/http
// ends the wait.
func (c *clientConn) awaitClose() error {
	var small [512]byte
	n, err := c.Conn.Read(small[:])
	c.keepPipelined(small[:n])
	if err != nil {
		return err
	}
	large := largeReads.Get().(*[4 << 10]byte)
	defer largeReads.Put(large)
	for {
		yieldProcessor()
		n, err := c.Conn.Read(large[:])
		c.keepPipelined(large[:n])
		if err != nil {
			return err
		}
	}
}

// keepPipelined keeps pipelined data, unless there is too much of it.
func (c *clientConn) keepPipelined(data []byte) {
	if !c.pipelineOverflowed.Load() && !c.input.keep(data, c.owner.memory) {
		c.pipelineOverflowed.Store(true)
	}
}

// hasEnded reports whether the client has closed the connection or its sending side and all that it has sent was read.
// It does not block, and sees a close that no read has seen yet.
func (c *clientConn) hasEnded() bool {
	if c.raw == nil {
		return false
	}
	hasEnded := false
	err := c.raw.Control(func(descriptor uintptr) { hasEnded = peek(descriptor) == peekedEnd })
	return err != nil || hasEnded
}

// SetReadDeadline implements net.Conn for net/http. It does not undo an eviction or a refusal.
func (c *clientConn) SetReadDeadline(at time.Time) error {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.isEvicted || c.refusal.Load() != nil {
		at = pastDeadline
	}
	return c.Conn.SetReadDeadline(at)
}

// isWaiting reports whether the connection has no open request.
func (c *clientConn) isWaiting() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	hasOpenRequest := c.list == nil || c.list == &c.owner.awaitingMemory || c.list == &c.owner.readingBody
	return !hasOpenRequest || c.isEvicted
}

// undoEviction keeps an evicted connection.
func (c *clientConn) undoEviction() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.undoEvictionLocked()
}

// undoEvictionLocked is undoEviction for callers that hold the lock.
func (c *clientConn) undoEvictionLocked() {
	if c.isEvicted {
		c.isEvicted = false
		c.owner.evictedCount--
		c.Conn.SetReadDeadline(time.Now().Add(readTimeout))
	}
}

// moveTo moves a connection to another list, or to none if to is nil. The caller holds the lock.
func (c *clientConn) moveTo(to *list.List) {
	if c.list != nil {
		c.list.Remove(c.element)
	}
	if c.list = to; to != nil {
		c.element, c.listedSince = to.PushBack(c), time.Now()
	}
}
