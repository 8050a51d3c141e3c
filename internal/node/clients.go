package node

import (
	"container/list"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
)

const (
	// minIdleBeforeEviction is the time for which a connection must be idle before it may be evicted.
	// One that is idle for less is likely in steady use: its next request may already be in transit,
	// and would be lost.
	minIdleBeforeEviction = time.Second
	// minSilenceBeforeEviction is the time for which a new connection must be without a whole request
	// head before it may be evicted. Clients that want an answer send their first head within 2 ms.
	minSilenceBeforeEviction = 50 * time.Millisecond
	// evictionInterval is the time between two checks for connections to evict.
	evictionInterval = 25 * time.Millisecond
)

// clientConns keeps the number of client connections within the node's file descriptors. A connection
// that the node does not accept waits in the kernel's queue, where its request counts as received and
// is never answered. Therefore the node sheds connections in steps:
//   - If few file descriptors are left, each answer closes its connection.
//   - Over maxConns connections, it evicts those that have sent no whole request head yet, and then
//     those that have been idle longest.
//   - If open requests alone take up more than maxConns connections, further requests are refused at
//     once.
//   - More than maxConns+headroom connections are never accepted.
type clientConns struct {
	maxConns, headroom int
	log                *slog.Logger

	mu           sync.Mutex
	conns        map[*clientConn]struct{}
	awaitingHead list.List // *clientConn without a whole request head yet, the oldest first
	idleConns    list.List // idle *clientConn, the longest idle first
	evictedCount int       // number of connections that are evicted and not closed yet
}

// clientConn is a client's connection. If the node closed one between two requests, the next request
// could already have reached the node's machine, and would get no answer. Therefore eviction does not
// close a connection: it ends the wait for data, and data that has arrived by then undoes the eviction.
type clientConn struct {
	net.Conn
	owner       *clientConns
	list        *list.List    // list that holds the connection: awaitingHead, idleConns, or nil while a request is open
	element     *list.Element // the connection's element of the list
	listedSince time.Time     // time at which the connection entered the list
	isEvicted   bool          // the connection is about to close, unless data has arrived by then

	input clientInput
	// pipelineOverflowed is set once the client has sent more than maxPipelinedBytes. The rest is lost, so
	// the connection must close.
	pipelineOverflowed atomic.Bool
}

// newClientConns returns a clientConns that uses no more than the given number of file descriptors.
func newClientConns(descriptors int) *clientConns {
	headroom := descriptors / 8
	return &clientConns{maxConns: descriptors - headroom, headroom: headroom,
		log: slog.New(slog.DiscardHandler), conns: map[*clientConn]struct{}{}}
}

// clientListener accepts connections as *clientConn.
type clientListener struct {
	net.Listener
	owner *clientConns
}

// listener wraps a listener to accept no more connections than there are file descriptors for.
func (cc *clientConns) listener(inner net.Listener) net.Listener {
	return clientListener{netutil.LimitListener(retryingListener{inner, cc.log}, cc.maxConns+cc.headroom), cc}
}

// Accept implements net.Listener.
func (l clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, owner: l.owner}, nil
}

// clientConnKey is the key of a connection in the contexts of its requests.
type clientConnKey struct{}

// connContext adds a connection to the context of its requests. It is the ConnContext of the
// http.Server.
func (cc *clientConns) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, conn)
}

// pipelinedTooMuch reports whether the connection of a request can't be read any further because the
// client has sent more pipelined data than the node keeps.
func pipelinedTooMuch(r *http.Request) bool {
	c, ok := r.Context().Value(clientConnKey{}).(*clientConn)
	return ok && c.pipelineOverflowed.Load()
}

// pastDeadline is a deadline that ends a read at once.
var pastDeadline = time.Unix(1, 0)

// Read implements net.Conn. When the wait for a request ends, by eviction or by net/http's time limit
// for idle connections, it reads once more: on a node that gets little CPU, a request may have arrived
// between that limit and this call.
//
// While a request is open, net/http detects a disconnect by a read of one byte, and stops looking once
// a byte has arrived. It would miss the disconnect of a client that sends more before it has its
// answer. Therefore Read keeps what arrives then as pipelined data, and continues to wait for the close.
func (c *clientConn) Read(b []byte) (int, error) {
	if len(b) == 1 && !c.isWaiting() {
		return 0, c.awaitClose()
	}
	if n := c.input.take(b); n > 0 {
		c.undoEviction()
		return n, nil
	}
	if c.pipelineOverflowed.Load() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isWaiting() {
		c.Conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		n, err = c.Conn.Read(b)
	}
	if n > 0 {
		c.undoEviction()
		n = c.input.cut(b[:n])
	}
	return n, err
}

// awaitClose keeps what arrives as pipelined data until the client closes the connection or net/http
// ends the wait.
func (c *clientConn) awaitClose() error {
	var b [512]byte
	for {
		n, err := c.Conn.Read(b[:])
		if !c.pipelineOverflowed.Load() && !c.input.keep(b[:n]) {
			c.pipelineOverflowed.Store(true)
		}
		if err != nil {
			return err
		}
	}
}

// SetReadDeadline implements net.Conn for net/http. It does not undo an eviction.
func (c *clientConn) SetReadDeadline(at time.Time) error {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.isEvicted {
		at = pastDeadline
	}
	return c.Conn.SetReadDeadline(at)
}

// isWaiting reports whether the connection has no open request.
func (c *clientConn) isWaiting() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.list != nil || c.isEvicted
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

// onConnState follows the state of a connection. It is the ConnState callback of the http.Server.
func (cc *clientConns) onConnState(conn net.Conn, state http.ConnState) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	c := conn.(*clientConn)
	c.moveTo(nil)
	switch state {
	case http.StateNew:
		cc.conns[c] = struct{}{}
		c.moveTo(&cc.awaitingHead)
	case http.StateActive:
		c.undoEvictionLocked() // net/http read the request before the eviction and reports it only now
	case http.StateIdle:
		c.moveTo(&cc.idleConns)
	case http.StateClosed, http.StateHijacked:
		delete(cc.conns, c)
		if c.isEvicted {
			c.isEvicted = false
			cc.evictedCount--
		}
	}
	cc.evictExcess()
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

// evictPeriodically evicts connections once they are old enough, because no change of state marks that
// moment. It returns when ctx has ended.
func (cc *clientConns) evictPeriodically(ctx context.Context) {
	for ticks := time.Tick(evictionInterval); ctx.Err() == nil; <-ticks {
		cc.mu.Lock()
		cc.evictExcess()
		cc.mu.Unlock()
	}
}

// remainingCount returns the number of connections that are not evicted. The caller holds the lock.
func (cc *clientConns) remainingCount() int { return len(cc.conns) - cc.evictedCount }

// evictExcess evicts connections over maxConns as long as some may be evicted. The caller holds the
// lock.
func (cc *clientConns) evictExcess() {
	for cc.remainingCount() > cc.maxConns && (cc.evictOldest(&cc.awaitingHead, minSilenceBeforeEviction) ||
		cc.evictOldest(&cc.idleConns, minIdleBeforeEviction)) {
	}
}

// evictOldest evicts the oldest connection of a list if it has been there for minAge. It reports
// whether it did. The caller holds the lock.
func (cc *clientConns) evictOldest(from *list.List, minAge time.Duration) bool {
	oldest := from.Front()
	if oldest == nil {
		return false
	}
	c := oldest.Value.(*clientConn)
	if time.Since(c.listedSince) < minAge {
		return false
	}
	c.evict()
	cc.log.Debug("client connection evicted", "client", c.RemoteAddr().String(), "reason", "few file descriptors are left",
		"idle", time.Since(c.listedSince), "silent", from == &cc.awaitingHead)
	return true
}

// evict ends the connection's wait for data, so that net/http closes it unless data has arrived. The
// caller holds the lock.
func (c *clientConn) evict() {
	c.moveTo(nil)
	c.isEvicted = true
	c.owner.evictedCount++
	c.Conn.SetReadDeadline(pastDeadline)
}

// evictAllWaiting evicts all connections without an open request. A request that has arrived by then is
// still answered, where http.Server.Shutdown would drop it.
func (cc *clientConns) evictAllWaiting() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for _, conns := range []*list.List{&cc.awaitingHead, &cc.idleConns} {
		for conns.Len() > 0 {
			conns.Front().Value.(*clientConn).evict()
		}
	}
}

// isFull reports whether open requests alone take up more than maxConns connections.
func (cc *clientConns) isFull() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.remainingCount()-cc.awaitingHead.Len()-cc.idleConns.Len() > cc.maxConns
}

// isEmpty reports whether no client is connected.
func (cc *clientConns) isEmpty() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return len(cc.conns) == 0
}

// isNearLimit reports whether few file descriptors are left: more than three quarters of maxConns
// connections are open.
func (cc *clientConns) isNearLimit() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.remainingCount() > cc.maxConns*3/4
}
