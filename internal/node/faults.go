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

// This file retries system calls that fail for reasons that may pass.

const (
	initialRetryDelay = 5 * time.Millisecond // delay after a first failure; further delays double
	maxRetryDelay     = 100 * time.Millisecond
	listenTimeout     = 3 * time.Second // the previous process may still hold the address for a moment
	maxDialRetries    = 2
)

// fatalAcceptErrors are errors of accept after which the listener will never work again. All others that Linux
// documents are transient: errors of a pending connection, of the network, and of exhausted resources (accept(2),
// "Error handling").
var fatalAcceptErrors = []error{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// localErrors are errors of socket and connect that have their cause on this machine. They say nothing about the
// server that was to be reached.
var localErrors = []error{
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
	syscall.ENOMEM, syscall.ENOSPC, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ECONNABORTED, syscall.EINTR,
	syscall.EPERM, syscall.EACCES,
}

// isOneOf reports whether an error matches one of the candidates.
func isOneOf(err error, candidates []error) bool {
	return slices.ContainsFunc(candidates, func(target error) bool { return errors.Is(err, target) })
}

// retryingListener continues to accept after transient errors. The server of net/http ends at those that are not
// marked as temporary, such as ENOBUFS, and the node would end with it.
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

// listenWithRetry listens at an address. If that fails with a local error, it tries again for up to listenTimeout.
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

// dialer is a function that connects to a server.
type dialer func(ctx context.Context, addr string) (net.Conn, error)

// tcpDialer returns a dialer that fails after the timeout.
func tcpDialer(timeout time.Duration) dialer {
	d := net.Dialer{Timeout: timeout}
	return func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
}

// dialContext is dial with the signature that net/http expects.
func (d dialer) dialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	return d.dial(ctx, addr)
}

// dial connects to a server. After a local error it tries again, up to maxDialRetries times.
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
