package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"syscall"
	"time"
)

// What the system calls of this machine may answer for a moment, and what becomes of it.

const (
	initialRetryDelay = 5 * time.Millisecond // pauses between tries double from here
	maxRetryDelay     = 100 * time.Millisecond
	listenTimeout     = 3 * time.Second // an address may be taken for a moment by the process before this one
	maxDialRetries    = 2
)

// brokenListener are errors of accept that tell of a listener that will never work again. All others
// that Linux documents pass: those of a connection that broke while it waited, of the network, and of
// resources that ran out (accept(2), "Error handling").
var fatalAcceptErrors = []error{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// localFailures are errors of socket and connect that are this machine's own: they say nothing of the
// server that was to be reached.
var localErrors = []error{
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
	syscall.ENOMEM, syscall.ENOSPC, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ECONNABORTED, syscall.EINTR,
	syscall.EPERM, syscall.EACCES,
}

// isAny tells whether an error is one of some.
func isOneOf(err error, candidates []error) bool {
	return slices.ContainsFunc(candidates, func(target error) bool { return errors.Is(err, target) })
}

// steadyListener goes on accepting after errors that pass. net/http's server ends at those that don't
// call themselves temporary, such as ENOBUFS, and the node with it.
type retryingListener struct {
	net.Listener
	log *slog.Logger
}

// Accept implements net.Listener.
func (l retryingListener) Accept() (net.Conn, error) {
	delays := backoff{initialDelay: initialRetryDelay, maxDelay: maxRetryDelay}
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || isOneOf(err, fatalAcceptErrors) {
			return conn, err
		}
		if delays.lastDelay == 0 {
			l.log.Warn("accept failed, trying again", "err", err)
		}
		time.Sleep(delays.next())
	}
}

// listen listens at an address, and tries again for a while where the system has none to give.
func listenWithRetry(ctx context.Context, addr string, log *slog.Logger) (net.Listener, error) {
	delays := backoff{initialDelay: initialRetryDelay, maxDelay: maxRetryDelay}
	for deadline := time.Now().Add(listenTimeout); ; {
		l, err := net.Listen("tcp", addr)
		if err == nil || !isOneOf(err, localErrors) || ctx.Err() != nil || time.Now().After(deadline) {
			return l, err
		}
		if delays.lastDelay == 0 {
			log.Warn("listen failed, trying again", "addr", addr, "err", err)
		}
		sleep(ctx, delays.next())
	}
}

// dialer connects to a server.
type dialer func(ctx context.Context, addr string) (net.Conn, error)

// dialTCP gives up after a time.
func tcpDialer(timeout time.Duration) dialer {
	d := net.Dialer{Timeout: timeout}
	return func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
}

// dialContext is dial in the form that net/http takes.
func (d dialer) dialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	return d.dial(ctx, addr)
}

// dial connects to a server, and tries again at once where this machine is what failed.
func (d dialer) dial(ctx context.Context, addr string) (net.Conn, error) {
	delays := backoff{initialDelay: initialRetryDelay, maxDelay: maxRetryDelay}
	for tries := 0; ; tries++ {
		conn, err := d(ctx, addr)
		if err == nil || !isOneOf(err, localErrors) || tries == maxDialRetries || ctx.Err() != nil {
			return conn, err
		}
		sleep(ctx, delays.next())
	}
}
