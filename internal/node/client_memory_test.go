package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"otterstep/internal/budget"
)

// Guards against a message that is closed with no answer, or forwarded, if its last part arrives just as it is refused for
// being slow: net/http gets the end of the head, so that the handler words the refusal, and nothing behind it.
func TestMessageThatIsRefusedAsItsHeadEndsIsAnswered(t *testing.T) {
	for name, sent := range map[string][]string{
		"nothing handed out yet": {"GET /read/1 HTTP/1.1\r\nHost: api\r\n\r\n"},
		"the end arrives":        {"GET /read/1 HTTP/1.1\r\nHost: api\r\n", "\r\n"},
		"another part arrives":   {"GET /read/1 HTTP/1.1\r\nHost: api\r\n", "X-Part: 1\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			client, conn := connectedClient(t)
			conn.owner.memory = budget.New(1 << 20)
			conn.owner.onConnState(conn, http.StateNew)
			b := make([]byte, 4<<10)
			var head strings.Builder
			for i, part := range sent {
				io.WriteString(client, part)
				waitFor(t, "data", func() bool { return peekAt(conn) == peekedData })
				if i == len(sent)-1 {
					conn.refuse(refusedSlowForMemory)
				}
				n, err := conn.Read(b)
				if err != nil {
					t.Fatal(err)
				}
				head.Write(b[:n])
			}
			if !strings.HasSuffix(head.String(), "\r\n\r\n") || !strings.HasPrefix(head.String(), "GET /") {
				t.Errorf("net/http gets %q, want a head with an end", head.String())
			}
			if n, err := conn.Read(b); n != 0 || !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("read %d bytes, %v behind the head of a refused message", n, err)
			}
		})
	}
}

// peekAt returns what a look into a client's connection shows.
func peekAt(conn *clientConn) (state peekResult) {
	conn.raw.Control(func(descriptor uintptr) { state = peek(descriptor) })
	return state
}

// Guards against heads that are parsed into many times their size: too many fields, and fields for which there is no
// memory, are refused with an answer, and are not forwarded.
func TestHeadsOverTheirLimitsAreRefused(t *testing.T) {
	s := newFakeServer(t, respondWith(okResponse("x"), true))
	var owner atomic.Pointer[clientConns]
	_, addr := startFront(t, s, func(group *clientConns, c net.Conn, state http.ConnState) {
		owner.Store(group)
		group.onConnState(c, state)
	})
	fields := func(count int) (lines []string) {
		for i := range count {
			lines = append(lines, fmt.Sprintf("f%d:", i))
		}
		return lines
	}
	if code := sendRaw(t, addr, rawRequest(t, "read", append(fields(200), "Connection: close")...)); code != http.StatusOK {
		t.Errorf("answered %d with 200 fields, want 200", code)
	}
	if code := sendRaw(t, addr, rawRequest(t, "read", fields(maxHeadFields)...)); code != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("answered %d with too many fields, want 431", code)
	}
	conns := owner.Load()
	other := conns.memory.NewReservation(0)
	other.ForceGrow(1 << 20)
	if code := sendRaw(t, addr, rawRequest(t, "read", fields(200)...)); code != http.StatusServiceUnavailable {
		t.Errorf("answered %d without memory, want 503", code)
	}
	if code := sendRaw(t, addr, rawRequest(t, "read", "Connection: close")); code != http.StatusOK {
		t.Errorf("answered %d to a short head without memory, want 200", code)
	}
	other.Release()
	waitFor(t, "return of all memory", func() bool { return conns.memory.Used() == 0 })
	if n := s.requests.Load(); n != 2 {
		t.Errorf("%d requests were forwarded, want 2", n)
	}
}
