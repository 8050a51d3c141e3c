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
	// A connection that was idle for less than this is one that a client goes
	// through in turn: a request may be on its way already, and would be lost.
	minIdleBeforeEviction = time.Second
	// Clients that connect to ask do so at once: their first head was seen to come
	// within 2 ms. One that has sent none for so long gives way when room is needed.
	minSilenceBeforeEviction = 50 * time.Millisecond
	evictionInterval         = 25 * time.Millisecond
)

// clients keeps the connections of clients within the node's descriptors. A
// connection that is not accepted would wait in the kernel, where its request
// counts as taken and goes unanswered. So while few are left, answers close
// their connections; beyond most those go that have sent no whole head yet, then
// the longest idle ones. If that won't do, because so many requests are open,
// further ones are refused at once. More than most+spare are never accepted.
type clientConns struct {
	maxConns, headroom int
	log                *slog.Logger

	mu           sync.Mutex
	conns        map[*clientConn]struct{}
	awaitingHead list.List // of *client with no head yet, the oldest first
	idleConns    list.List // of *client, the longest idle first
	evictedCount int       // evicted and not closed yet
}

// client is a client's connection. Closing one between two requests may cross the
// next request, which then has reached the node's machine and gets no answer. So it
// is never closed from outside: eviction ends the wait for data instead, and data
// that has come by then wins.
type clientConn struct {
	net.Conn
	owner       *clientConns
	list        *list.List // silent or idle; nil while a request is open
	element     *list.Element
	listedSince time.Time // when it went there
	isEvicted   bool      // evicted, unless data comes first

	// What came behind an open request. Only Read touches it, which net/http calls one at a time.
	pipelined          []byte
	pipelineOverflowed atomic.Bool // there was too much of it: the rest is lost, and the connection with it
}

const maxPipelinedBytes = 4 << 10

func newClientConns(descriptors int) *clientConns {
	headroom := descriptors / 8
	return &clientConns{maxConns: descriptors - headroom, headroom: headroom, log: slog.New(slog.DiscardHandler), conns: map[*clientConn]struct{}{}}
}

// clientListener accepts clients.
type clientListener struct {
	net.Listener
	owner *clientConns
}

func (cc *clientConns) listener(inner net.Listener) net.Listener {
	return clientListener{netutil.LimitListener(retryingListener{inner, cc.log}, cc.maxConns+cc.headroom), cc}
}

func (l clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, owner: l.owner}, nil
}

// clientKey is where a request's context holds its connection.
type clientConnKey struct{}

// context is http.Server's ConnContext.
func (cc *clientConns) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, conn)
}

// sentTooMuch tells that a request's connection can't be read any further.
func pipelinedTooMuch(r *http.Request) bool {
	c, ok := r.Context().Value(clientConnKey{}).(*clientConn)
	return ok && c.pipelineOverflowed.Load()
}

var pastDeadline = time.Unix(1, 0)

// Read looks once more when the wait for a request is over, be it by eviction or by
// net/http's time limit for idle connections: a node that gets little CPU may have
// been stopped between that limit and here for long enough.
//
// While a request is open, net/http waits for its client's close in a read of one byte, and
// looks no further once one has come. A client that sends on before it is answered and then
// goes would not be missed, so that what comes is kept here and the wait goes on.
func (c *clientConn) Read(b []byte) (int, error) {
	if len(b) == 1 && !c.isWaiting() {
		return 0, c.awaitClose()
	}
	if len(c.pipelined) > 0 {
		n := copy(b, c.pipelined)
		if c.pipelined = c.pipelined[n:]; len(c.pipelined) == 0 {
			c.pipelined = nil
		}
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
	}
	return n, err
}

// watch reads until the client closes or net/http ends the wait.
func (c *clientConn) awaitClose() error {
	var b [512]byte
	for {
		n, err := c.Conn.Read(b[:])
		if len(c.pipelined)+n > maxPipelinedBytes {
			c.pipelineOverflowed.Store(true)
		}
		if !c.pipelineOverflowed.Load() {
			c.pipelined = append(c.pipelined, b[:n]...)
		}
		if err != nil {
			return err
		}
	}
}

// SetReadDeadline is net/http's; it does not undo an eviction.
func (c *clientConn) SetReadDeadline(at time.Time) error {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.isEvicted {
		at = pastDeadline
	}
	return c.Conn.SetReadDeadline(at)
}

func (c *clientConn) isWaiting() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.list != nil || c.isEvicted
}

// stay undoes an eviction.
func (c *clientConn) undoEviction() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.undoEvictionLocked()
}

// remain is stay with the lock held.
func (c *clientConn) undoEvictionLocked() {
	if c.isEvicted {
		c.isEvicted = false
		c.owner.evictedCount--
		c.Conn.SetReadDeadline(time.Now().Add(readTimeout))
	}
}

// state is http.Server's ConnState.
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
		c.undoEvictionLocked() // the request was read before the eviction and told only now
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

// move puts a connection into a list, or into none.
func (c *clientConn) moveTo(to *list.List) {
	if c.list != nil {
		c.list.Remove(c.element)
	}
	if c.list = to; to != nil {
		c.element, c.listedSince = to.PushBack(c), time.Now()
	}
}

// run evicts as connections come of age, when no change of state would.
func (cc *clientConns) evictPeriodically(ctx context.Context) {
	for ticks := time.Tick(evictionInterval); ctx.Err() == nil; <-ticks {
		cc.mu.Lock()
		cc.evictExcess()
		cc.mu.Unlock()
	}
}

// count gives the connections that stay; it needs the lock.
func (cc *clientConns) remainingCount() int { return len(cc.conns) - cc.evictedCount }

// evict makes room beyond most as far as that is safe; it needs the lock.
func (cc *clientConns) evictExcess() {
	for cc.remainingCount() > cc.maxConns && (cc.evictOldest(&cc.awaitingHead, minSilenceBeforeEviction) || cc.evictOldest(&cc.idleConns, minIdleBeforeEviction)) {
	}
}

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
	cc.log.Debug("client connection evicted", "client", c.RemoteAddr().String(), "reason", "descriptors are short",
		"idle", time.Since(c.listedSince), "silent", from == &cc.awaitingHead)
	return true
}

// evict needs the lock.
func (c *clientConn) evict() {
	c.moveTo(nil)
	c.isEvicted = true
	c.owner.evictedCount++
	c.Conn.SetReadDeadline(pastDeadline)
}

// leave evicts all that have no request open; a request that has come by then is
// answered. http.Server's Shutdown would cut it off.
func (cc *clientConns) evictAllWaiting() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for _, conns := range []*list.List{&cc.awaitingHead, &cc.idleConns} {
		for conns.Len() > 0 {
			conns.Front().Value.(*clientConn).evict()
		}
	}
}

// full tells that open requests alone take up all there is.
func (cc *clientConns) isFull() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.remainingCount()-cc.awaitingHead.Len()-cc.idleConns.Len() > cc.maxConns
}

// empty tells that no client is connected.
func (cc *clientConns) isEmpty() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return len(cc.conns) == 0
}

// crowded tells that few descriptors are left.
func (cc *clientConns) isNearLimit() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.remainingCount() > cc.maxConns*3/4
}
