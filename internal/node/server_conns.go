package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"time"
)

// minIdleBeforeReuse is the time for which a connection must be idle before its next request. What
// a server sends after its response has arrived by then, and isOpenAndSilent sees it. On a
// connection that is reused at once, it would be read as the response to the next request.
const minIdleBeforeReuse = 10 * time.Millisecond

// serverConn is a connection to a server.
type serverConn struct {
	*net.TCPConn
	incarnation   serverIncarnation
	limitedInput  io.LimitedReader // connection with a limit on the bytes that one response may take
	reader        *bufio.Reader    // buffered reader of limitedInput
	responseTimes responseTimes
	idleSince     time.Time // time of the last byte of the last response, or of the connect
}

// errConnLimit is the error of acquireConn when maxConns connections are open and none is idle.
var errConnLimit = errors.New("connection limit reached, no idle connection to close")

// acquireConn returns an idle connection that is idle for at least minIdleBeforeReuse and less than
// maxIdle, and still open, or else a new one. If maxConns connections are open, it closes an idle one
// first.
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
	c := &serverConn{TCPConn: tcpConn.(*net.TCPConn), incarnation: incarnation, responseTimes: u.responseTimes, idleSince: time.Now()}
	c.limitedInput.R = c.TCPConn
	c.reader = bufio.NewReaderSize(&c.limitedInput, 4<<10)
	return c, nil
}

// releaseConn returns a connection to the pool, or closes it if it is not reusable.
func (u *upstream) releaseConn(c *serverConn, reusable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !reusable {
		u.close(c, closedUnusable)
		return
	}
	u.idleConns[c.incarnation] = append(u.idleConns[c.incarnation], c)
}

// closeReason is the reason for closing a connection to a server, for the log.
type closeReason string

const (
	closedStale    closeReason = "idle for too long, or closed by the server"
	closedUnusable closeReason = "its attempt failed or was abandoned, or the server closes it"
	closedForRoom  closeReason = "closed to make room for another connection"
	closedReplaced closeReason = "its server is gone or was replaced"
)

// close closes a connection. The caller holds the lock.
func (u *upstream) close(c *serverConn, reason closeReason) {
	u.openConns--
	c.Close()
	u.log.Debug("connection to server closed", "endpoint", c.incarnation.addr, "reason", string(reason))
}

// evictOldestIdle closes the connection that has been idle longest, and reports whether there was one.
// The caller holds the lock.
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

// closeIdle closes the idle connections to a server that is gone.
func (u *upstream) closeIdle(incarnation serverIncarnation) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.idleConns[incarnation] {
		u.close(c, closedReplaced)
	}
	delete(u.idleConns, incarnation)
}

// closeStale closes connections that have been idle for maxIdle or that the server has closed, so that
// they no longer take up file descriptors.
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

// isOpenAndSilent reports whether an idle connection is open and has no unread data. It does not block.
// If it detects that the server has closed the connection, no request is lost on it.
func (c *serverConn) isOpenAndSilent() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var state peekResult
	err = raw.Read(func(descriptor uintptr) bool {
		state = peek(descriptor)
		return true
	})
	return err == nil && state == peekedNothing
}
