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

// failingListener fails with an error before each connection.
type failingListener struct {
	net.Listener
	err   error
	calls atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.calls.Add(1)%2 == 1 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.err)}
	}
	return l.Listener.Accept()
}

// Guards the node against an end by an error of accept that passes: its connections and all that it
// had taken were lost with it.
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
			for range 3 { // each on a connection of its own
				r := newClientRequest(t, n.addr, "read", "2.5")
				r.Close = true
				if code, _, _ := doRequest(t, r); code != http.StatusOK {
					t.Errorf("answered %d", code)
				}
			}
		})
	}
}

// A listener that will never work again is told, and not tried for ever.
func TestBrokenListenerEndsTheNode(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := startNodeOn(t, &failingListener{Listener: l, err: syscall.EINVAL}, newFakeDiscovery(t), ConfigReloader{})
	select {
	case <-n.ended:
		if !errors.Is(n.err, syscall.EINVAL) {
			t.Errorf("ended with %v", n.err)
		}
	case <-time.After(testTimeout):
		t.Error("does not end")
	}
}

// An address that the process before has not let go of yet is waited for.
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

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

// failingDialer fails so many times with an error and then dials.
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

// Guards breakers against failures of the node's own machine: they say nothing of a server, and some
// of them in a row opened the breakers of all.
func TestFailuresOfThisMachineAreNotTheServers(t *testing.T) {
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
				t.Errorf("%d connections are counted as open", open)
			}
		})
	}
}
