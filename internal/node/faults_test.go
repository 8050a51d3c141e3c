package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"otterstep/policy"
)

// failingListener returns an error before each connection that it accepts.
type failingListener struct {
	net.Listener
	err   error
	calls atomic.Int64
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.calls.Add(1)%2 == 1 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.err)}
	}
	return l.Listener.Accept()
}

// Guards against a node that ends at a transient error of accept: its connections and the requests that it had read
// were lost.
func TestNodeSurvivesAcceptErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
		syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ENOSR,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			s := newFakeServer(t, respondWith(okResponse("x"), true))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			n := startNodeOn(t, &failingListener{Listener: l, err: errno}, newFakeDiscovery(t, inServiceEntry(s, "s1")), ConfigReloader{})
			n.awaitReady(t)
			for range 3 { // each on its own connection
				r := newClientRequest(t, n.addr, "read", "2.5")
				r.Close = true
				if code, _, _ := doRequest(t, r); code != http.StatusOK {
					t.Errorf("answered %d, want 200", code)
				}
			}
		})
	}
}

// Guards against endless retries: an error after which the listener will never work again ends the node.
func TestBrokenListenerEndsTheNode(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := startNodeOn(t, &failingListener{Listener: l, err: syscall.EINVAL}, newFakeDiscovery(t), ConfigReloader{})
	select {
	case <-n.ended:
		if !errors.Is(n.err, syscall.EINVAL) {
			t.Errorf("the node ends with error %v, want EINVAL", n.err)
		}
	case <-time.After(testTimeout):
		t.Error("the node does not end")
	}
}

// Guards against a node that fails to start because the previous process still holds its address for a moment.
func TestAddressThatIsTakenForAMomentIsWaitedFor(t *testing.T) {
	before, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer before.Close()
	tried := make(chan struct{}, 1)
	log := slog.New(slog.NewTextHandler(writerFunc(func(b []byte) (int, error) {
		select {
		case tried <- struct{}{}:
		default:
		}
		return len(b), nil
	}), nil))
	go func() { <-tried; before.Close() }()
	l, err := listenWithRetry(t.Context(), before.Addr().String(), log)
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
}

// writerFunc is a function that implements io.Writer.
type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

// failingDialer returns a dialer that fails the given number of times with an error and then connects.
func failingDialer(failures int64, errno syscall.Errno) dialer {
	var calls atomic.Int64
	real := tcpDialer(testTimeout)
	return func(ctx context.Context, addr string) (net.Conn, error) {
		if calls.Add(1) <= failures {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
		}
		return real(ctx, addr)
	}
}

// Guards breakers against errors of the node's own machine: they say nothing about a server, but consecutive ones opened
// the breakers of all servers.
func TestLocalErrorsDoNotCountAgainstServers(t *testing.T) {
	for _, c := range []struct {
		errno    syscall.Errno
		failures int64
		want     policy.Status
	}{
		{syscall.EADDRNOTAVAIL, 1, policy.OK},
		{syscall.ENETUNREACH, maxDialRetries, policy.OK},
		{syscall.EMFILE, 1, policy.OK},
		{syscall.ECONNABORTED, 1, policy.OK},
		{syscall.ENOSPC, maxDialRetries, policy.OK},
		{syscall.ENOBUFS, 1 << 30, policy.NotSent},
		{syscall.EADDRNOTAVAIL, 1 << 30, policy.NotSent},
		{syscall.ENETUNREACH, 1 << 30, policy.NotSent},
		{syscall.ECONNREFUSED, 1, policy.ConnectFailed},
		{syscall.ETIMEDOUT, 1, policy.ConnectFailed},
		{syscall.EHOSTUNREACH, 1, policy.ConnectFailed},
	} {
		t.Run(fmt.Sprint(c.errno.Error(), " ", c.failures), func(t *testing.T) {
			s := newFakeServer(t, respondWith(okResponse("x"), true))
			u := newTestUpstream(t, 8)
			u.dialer = failingDialer(c.failures, c.errno)
			p := u.roundTrip(t.Context(), incarnationAt(s.addr), getRequest(), time.Second, allowWrite)
			if p.status != c.want {
				t.Errorf("status %v, want %v", p.status, c.want)
			}
			if open := u.openConns; c.want != policy.OK && open != 0 {
				t.Errorf("%d connections are counted as open, want none", open)
			}
		})
	}
}
