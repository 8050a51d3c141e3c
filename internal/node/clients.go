package node

import (
	"container/list"
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/net/netutil"

	"otterstep/internal/budget"
)

const (
	// minIdleBeforeEviction is the time for which a connection must be idle before it may be evicted.
	// One that is idle for less is likely in steady use: its next request may already be in transit,
	// and would be lost.
	minIdleBeforeEviction = time.Second
	// minSilenceBeforeEviction is the time for which a new connection must be without a whole request
	// head before it may be evicted. Clients that want an answer send their first head within 2 ms.
	minSilenceBeforeEviction = 50 * time.Millisecond
	// minReceiveTimeForRoom is the time for which a message must have been arriving before it may be refused to make room
	// for other connections.
	minReceiveTimeForRoom = 250 * time.Millisecond
	// minReceiveTimeForMemory is the same for a message that is refused for its memory.
	minReceiveTimeForMemory = 50 * time.Millisecond
	// acceptsPerYield is the number of connections that are accepted before other goroutines may run. Requests wait in
	// the queue of the kernel meanwhile, so it is not one.
	acceptsPerYield = 16
	// evictionInterval is the time between two checks for connections to evict.
	evictionInterval = 25 * time.Millisecond
)

// clientConns keeps the number of client connections within the node's file descriptors. A connection
// that the node does not accept waits in the kernel's queue, where its request counts as received and
// is never answered. Therefore the node sheds connections in steps:
//   - If few file descriptors are left, each answer closes its connection.
//   - Over maxConns connections, it evicts those that have sent nothing yet, then refuses those whose requests
//     arrive slowly, and then evicts those that have been idle longest.
//   - If open requests alone take up more than maxConns connections, further requests are refused at
//     once.
//   - More than maxConns+headroom connections are never accepted.
type clientConns struct {
	maxConns, headroom int
	memory             *budget.Budget // memory for messages
	log                *slog.Logger

	mu             sync.Mutex
	conns          map[*clientConn]struct{}
	awaitingHead   list.List // *clientConn that have sent nothing yet, the oldest first
	idleConns      list.List // idle *clientConn, the longest idle first
	readingHead    list.List // *clientConn that have sent a part of a head, the oldest first
	awaitingMemory list.List // *clientConn whose requests wait for the memory for their body, the oldest first
	readingBody    list.List // *clientConn whose requests lack a part of their body, the oldest first
	evictedCount   int       // number of connections that are evicted and not closed yet
}

// newClientConns returns a clientConns that uses no more than the given number of file descriptors, and the given
// memory for messages.
func newClientConns(descriptors int, memory *budget.Budget) *clientConns {
	headroom := descriptors / 8
	return &clientConns{maxConns: descriptors - headroom, headroom: headroom, memory: memory,
		log: slog.New(slog.DiscardHandler), conns: map[*clientConn]struct{}{}}
}

// clientListener accepts connections as *clientConn.
type clientListener struct {
	net.Listener // limits the number of connections
	accepted     *recordingListener
	owner        *clientConns
	sinceYield   int // connections accepted since the processor was yielded
}

// recordingListener records the latest connection that it has accepted, because the limit wraps connections. Its
// Accept must not be called concurrently.
type recordingListener struct {
	net.Listener
	latest net.Conn
}

// Accept implements net.Listener.
func (l *recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.latest = conn
	return conn, err
}

// listener wraps a listener to accept no more connections than there are file descriptors for.
func (cc *clientConns) listener(inner net.Listener) net.Listener {
	accepted := &recordingListener{Listener: retryingListener{inner, cc.log}}
	return &clientListener{Listener: netutil.LimitListener(accepted, cc.maxConns+cc.headroom), accepted: accepted, owner: cc}
}

// Accept implements net.Listener. Accept must not be called concurrently.
func (l *clientListener) Accept() (net.Conn, error) {
	if l.sinceYield++; l.sinceYield >= acceptsPerYield {
		l.sinceYield = 0
		yieldProcessor()
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	client := &clientConn{Conn: conn, owner: l.owner}
	if socket, ok := l.accepted.latest.(syscall.Conn); ok {
		client.raw, _ = socket.SyscallConn()
	}
	return client, nil
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
		c.releaseMessage()
		c.moveTo(&cc.idleConns)
	case http.StateClosed, http.StateHijacked:
		c.releaseMessage()
		c.input.drop()
		delete(cc.conns, c)
		if c.isEvicted {
			c.isEvicted = false
			cc.evictedCount--
		}
	}
	cc.evictExcess()
}

// headReceived follows the arrival of a head. Its connection waits for the rest of it, or has an open request.
func (cc *clientConns) headReceived(c *clientConn, isWhole bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	switch {
	case isWhole:
		c.moveTo(nil)
	case c.list != &cc.readingHead:
		c.moveTo(&cc.readingHead)
	}
}

// bodyReceived follows the arrival of a part of a body. Where no handler waits for it, net/http reads the body of an answered
// request to discard it, and the connection may be had for others.
func (cc *clientConns) bodyReceived(c *clientConn) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if c.list == nil && c.refusal.Load() == nil {
		c.moveTo(&cc.readingBody)
	}
}

// setBodyState moves the connection of a request whose body is expected to another list, or to none if to is nil.
func (cc *clientConns) setBodyState(c *clientConn, to *list.List) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if c.refusal.Load() == nil {
		c.moveTo(to)
	}
}

// evictPeriodically evicts connections once they are old enough, because no change of state marks that
// moment. It returns when ctx has ended.
func (cc *clientConns) evictPeriodically(ctx context.Context) {
	for ticks := time.Tick(evictionInterval); ctx.Err() == nil; <-ticks {
		cc.mu.Lock()
		cc.evictExcess()
		cc.refuseForMemory()
		cc.mu.Unlock()
	}
}

// remainingCount returns the number of connections that are not evicted. The caller holds the lock.
func (cc *clientConns) remainingCount() int { return len(cc.conns) - cc.evictedCount }

// evictExcess evicts connections over maxConns as long as some may be evicted. The caller holds the
// lock.
func (cc *clientConns) evictExcess() {
	for cc.remainingCount() > cc.maxConns && (cc.evictOldest(&cc.awaitingHead, minSilenceBeforeEviction) ||
		cc.refuseSlowest() || cc.evictOldest(&cc.idleConns, minIdleBeforeEviction)) {
	}
}

// evictOldest evicts the oldest connection of a list if it has been there for minAge. It reports
// whether it did. The caller holds the lock.
func (cc *clientConns) evictOldest(from *list.List, minAge time.Duration) bool {
	c := oldestOf(from)
	if c == nil || time.Since(c.listedSince) < minAge {
		return false
	}
	c.evict()
	cc.log.Debug("client connection evicted", "client", c.RemoteAddr().String(), "reason", "few file descriptors are left",
		"idle", time.Since(c.listedSince), "silent", from == &cc.awaitingHead)
	return true
}

// oldestOf returns the connection that has been in a list for longest, or nil. The caller holds the lock.
func oldestOf(conns *list.List) *clientConn {
	if oldest := conns.Front(); oldest != nil {
		return oldest.Value.(*clientConn)
	}
	return nil
}

// slowest returns the connection whose message has been arriving for longest, or nil if none has for minAge. The caller
// holds the lock.
func (cc *clientConns) slowest(minAge time.Duration) *clientConn {
	slowest := oldestOf(&cc.readingHead)
	if c := oldestOf(&cc.readingBody); slowest == nil || c != nil && c.listedSince.Before(slowest.listedSince) {
		slowest = c
	}
	if slowest == nil || time.Since(slowest.listedSince) < minAge {
		return nil
	}
	return slowest
}

// refuseSlowest refuses the message that has been arriving for longest, and reports whether there is one that came too
// slowly. The caller holds the lock.
func (cc *clientConns) refuseSlowest() bool {
	c := cc.slowest(minReceiveTimeForRoom)
	if c == nil {
		return false
	}
	c.refuseSlow(refusedSlowForRoom)
	return true
}

// refuseForMemory refuses messages that came slowly until the memory for which others wait is there. The caller holds
// the lock.
func (cc *clientConns) refuseForMemory() {
	wanted := cc.memory.Wanted(budget.Intake) + cc.memory.Wanted(budget.Answer)
	for wanted > 0 {
		c := cc.slowest(minReceiveTimeForMemory)
		if c == nil {
			return
		}
		if message := c.message.Load(); message != nil {
			wanted -= message.Counted()
		}
		c.refuseSlow(refusedSlowForMemory)
	}
}

// refuseSlow refuses a message that is arriving, and ends the wait for the rest of it. The caller holds the lock.
func (c *clientConn) refuseSlow(why *refusal) {
	c.moveTo(nil)
	c.refuse(why)
	c.Conn.SetReadDeadline(pastDeadline)
	c.owner.log.Debug("client's message refused", "client", c.RemoteAddr().String(), "reason", why.reason)
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
	for _, conns := range []*list.List{&cc.awaitingHead, &cc.idleConns, &cc.readingHead} {
		for conns.Len() > 0 {
			conns.Front().Value.(*clientConn).evict()
		}
	}
}

// isFull reports whether open requests alone take up more than maxConns connections.
func (cc *clientConns) isFull() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	waiting := cc.awaitingHead.Len() + cc.idleConns.Len() + cc.readingHead.Len() + cc.awaitingMemory.Len() + cc.readingBody.Len()
	return cc.remainingCount()-waiting > cc.maxConns
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
