package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"otterstep/policy"
)

const testTimeout = 20 * time.Second // for events that are sure to come

// server is a scripted server: handle gets each request that came whole, with
// its number from 1 and the connection it came on.
type fakeServer struct {
	addr     string
	requests atomic.Int64
	conns    atomic.Int64
}

func newFakeServer(t *testing.T, handle func(n int64, r *http.Request, c net.Conn) bool) *fakeServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveFakeOn(t, l, handle)
}

func serveFakeOn(t *testing.T, l net.Listener, handle func(n int64, r *http.Request, c net.Conn) bool) *fakeServer {
	t.Cleanup(func() { l.Close() })
	s := &fakeServer{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer c.Close()
				for in := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if body, err := io.ReadAll(r.Body); err != nil {
						return
					} else {
						r.Body = io.NopCloser(strings.NewReader(string(body)))
					}
					if !handle(s.requests.Add(1), r, c) {
						return
					}
				}
			}()
		}
	}()
	return s
}

// says answers each request with the same bytes and keeps the connection, or
// closes it behind them.
func respondWith(text string, keep bool) func(int64, *http.Request, net.Conn) bool {
	return func(_ int64, _ *http.Request, c net.Conn) bool {
		io.WriteString(c, text)
		return keep
	}
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func getRequest() *upstreamRequest {
	return &upstreamRequest{method: "GET", uri: "/read/k", host: "api", header: http.Header{"X-Correlation-Id": {"1"}}}
}

func pushRequest() *upstreamRequest {
	return &upstreamRequest{method: "POST", uri: "/push/k", host: "api", body: []byte("b"),
		header: http.Header{"X-Correlation-Id": {"2"}, "Idempotency-Key": {"i"}}}
}

// at is a server that has always stood at an address.
func incarnationAt(addr string) serverIncarnation { return serverIncarnation{addr: addr} }

// settle lets idle connections come of age, so that the next request may use one.
func (u *upstream) ageIdleConns() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, conns := range u.idleConns {
		for _, c := range conns {
			c.idleSince = c.idleSince.Add(-minIdleBeforeReuse)
		}
	}
}

// always is a permit that says the same each time.
type fixedPermit bool

func (p fixedPermit) beginWrite() bool { return bool(p) }
func (fixedPermit) finishWrite()       {}

// yes lets an attempt be written.
const allowWrite = fixedPermit(true)

func newTestUpstream(t *testing.T, maxConns int) *upstream {
	u := newUpstream(time.Hour, testTimeout, maxConns)
	t.Cleanup(func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		for _, conns := range u.idleConns {
			for _, c := range conns {
				u.close(c, closedUnusable)
			}
		}
	})
	return u
}

func TestAttemptStatusForEachResponse(t *testing.T) {
	extraResponse := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
	head := func(lines string) string { return "HTTP/1.1 200 OK\r\n" + lines + "\r\n\r\nhello" }
	for name, testCase := range map[string]struct {
		text   string
		keep   bool
		status policy.Status
		pooled int
	}{
		"served":                    {okResponse("hello"), true, policy.OK, 1},
		"served behind interim":     {"HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse("hello"), true, policy.OK, 1},
		"served in chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true, policy.OK, 1},
		"served, then closed":       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello", false, policy.OK, 0},
		"served with more behind":   {okResponse("hello") + extraResponse, true, policy.OK, 0},
		"error":                     {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", true, policy.ServerError, 1},
		"turned away":               {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", true, policy.Rejected, 1},
		"turned away as over":       {"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", true, policy.Rejected, 1},
		"unmarked 503 may have run": {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", true, policy.ServerError, 1},
		"marked 500 may have run":   {"HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", true, policy.ServerError, 1},
		"closed after the request":  {"", false, policy.ConnectionReset, 0},
		"ends in the body":          {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", false, policy.ConnectionReset, 0},
		"no HTTP":                   {"\x00\x01\x02 nothing\r\n\r\n", true, policy.ConnectionReset, 0},
		"head without end":          {"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", maxResponseHeadBytes+maxBodyBytes), true, policy.ConnectionReset, 0},
		"many short header lines":   {"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: a\r\n", maxResponseHeadBytes), true, policy.ConnectionReset, 0},
		"head that stops":           {"HTTP/1.1 200 OK\r\nContent-Le", true, policy.ConnectionReset, 0},
		"body that stops":           {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", true, policy.ConnectionReset, 0},
		"chunks that stop":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true, policy.ConnectionReset, 0},
		"chunks that can't be read": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n", true, policy.ConnectionReset, 0},
		"no length":                 {head("A: b"), true, policy.ConnectionReset, 0},
		"no length, then closed":    {head("Connection: close"), false, policy.ConnectionReset, 0},
		"both lengths":              {head("Content-Length: 5\r\nTransfer-Encoding: chunked"), true, policy.ConnectionReset, 0},
		"two lengths":               {head("Content-Length: 5\r\nContent-Length: 4"), true, policy.ConnectionReset, 0},
		"negative length":           {head("Content-Length: -5"), true, policy.ConnectionReset, 0},
		"length no number":          {head("Content-Length: five"), true, policy.ConnectionReset, 0},
		"line with no colon":        {head("no colon\r\nContent-Length: 5"), true, policy.ConnectionReset, 0},
		"code no number":            {"HTTP/1.1 2x0 OK\r\nContent-Length: 5\r\n\r\nhello", true, policy.ConnectionReset, 0},
		"code behind its text":      {"HTTP/1.1 OK 200\r\nContent-Length: 5\r\n\r\nhello", true, policy.ConnectionReset, 0},
		"other protocol":            {"ICY 200 OK\r\nContent-Length: 5\r\n\r\nhello", true, policy.ConnectionReset, 0},
		"interim without end":       {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20) + okResponse("hello"), true, policy.ConnectionReset, 0},
		"switches protocols":        {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", true, policy.ConnectionReset, 0},
		"odd load report":           {head("X-Backend-Load: {\"%%=,\r\nContent-Length: 5"), true, policy.OK, 1},
		"body over the limit":       {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("a", maxBodyBytes+1), true, policy.ConnectionReset, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, u := newFakeServer(t, respondWith(testCase.text, testCase.keep)), newTestUpstream(t, 8)
			result := u.roundTrip(t.Context(), incarnationAt(s.addr), getRequest(), time.Second, allowWrite)
			if result.status != testCase.status || len(u.idleConns[incarnationAt(s.addr)]) != testCase.pooled || u.openConns != testCase.pooled {
				t.Errorf("status %d, %d kept, %d open; want %d, %d kept", result.status, len(u.idleConns[incarnationAt(s.addr)]), u.openConns, testCase.status, testCase.pooled)
			}
			if want := map[bool]string{true: "hello"}[testCase.status == policy.OK]; string(result.body) != want {
				t.Errorf("body %q, want %q", result.body, want)
			}
			if n := s.requests.Load(); n != 1 {
				t.Errorf("%d requests came, want 1", n)
			}
		})
	}
}

func TestRefusedConnectionIsAConnectFailure(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	u := newTestUpstream(t, 8)
	if result := u.roundTrip(t.Context(), incarnationAt(l.Addr().String()), pushRequest(), time.Second, allowWrite); result.status != policy.ConnectFailed || u.openConns != 0 {
		t.Errorf("status %d, %d open; want could not connect, 0", result.status, u.openConns)
	}
}

// silentMachine listens, but connections to it never come up: its queue is full, until
// answer makes it a server.
func listenWithFullBacklog(t *testing.T) (addr string, startServer func(text string) *fakeServer) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	socketName, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr = fmt.Sprintf("127.0.0.1:%d", socketName.(*syscall.SockaddrInet4).Port)
	for full := false; !full; {
		c, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
		if full = err != nil; !full {
			t.Cleanup(func() { c.Close() })
		}
	}
	return addr, func(text string) *fakeServer {
		dup, err := syscall.Dup(fd)
		if err != nil {
			t.Fatal(err)
		}
		file := os.NewFile(uintptr(dup), addr)
		defer file.Close() // the listener has a descriptor of its own
		l, err := net.FileListener(file)
		if err != nil {
			t.Fatal(err)
		}
		return serveFakeOn(t, l, respondWith(text, true))
	}
}

// A cut-off machine says nothing: the connection never comes up. A listener
// whose queue is full acts the same.
func TestConnectTimeoutIsAConnectFailure(t *testing.T) {
	addr, _ := listenWithFullBacklog(t)
	u := newUpstream(time.Hour, 200*time.Millisecond, 8)
	if result := u.roundTrip(t.Context(), incarnationAt(addr), pushRequest(), time.Second, allowWrite); result.status != policy.ConnectFailed {
		t.Errorf("status %d, want could not connect", result.status)
	}
}

// The request's last byte could not be written: it has not run for sure.
func TestBreakBeforeTheLastByteIsAConnectFailure(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // never reads, so it closes nothing in return
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	u := newTestUpstream(t, 8)
	c, err := u.acquireConn(t.Context(), incarnationAt(l.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	if err := c.CloseWrite(); err != nil { // what is written from now on fails
		t.Fatal(err)
	}
	u.releaseConn(c, true)
	u.ageIdleConns()
	if result := u.roundTrip(t.Context(), incarnationAt(l.Addr().String()), pushRequest(), time.Second, allowWrite); result.status != policy.ConnectFailed || u.openConns != 0 {
		t.Errorf("status %d, %d open; want could not connect, 0", result.status, u.openConns)
	}
}

// Guards against a hidden resend: net/http's Transport sends a GET and a request
// with Idempotency-Key again by itself when a kept connection dies under it.
func TestNoHiddenResendOnAStaleConnection(t *testing.T) {
	for name, outgoing := range map[string]*upstreamRequest{"GET": getRequest(), "keyed POST": pushRequest()} {
		t.Run(name, func(t *testing.T) {
			s := newFakeServer(t, func(n int64, _ *http.Request, c net.Conn) bool {
				if n == 1 {
					io.WriteString(c, okResponse("first"))
				}
				return n == 1 // the second finds the connection closing
			})
			u := newTestUpstream(t, 8)
			if result := u.roundTrip(t.Context(), incarnationAt(s.addr), outgoing, time.Second, allowWrite); result.status != policy.OK {
				t.Fatalf("status %d, want served", result.status)
			}
			u.ageIdleConns()
			if result := u.roundTrip(t.Context(), incarnationAt(s.addr), outgoing, time.Second, allowWrite); result.status != policy.ConnectionReset {
				t.Errorf("status %d, want reset", result.status)
			}
			if n, c := s.requests.Load(), s.conns.Load(); n != 2 || c != 1 {
				t.Errorf("%d requests on %d connections, want 2 on 1", n, c)
			}
		})
	}
}

// Guards against sending on a connection that the server has closed meanwhile: a
// close that was seen in time costs no attempt.
func TestConnectionThatTheServerClosedIsNotUsed(t *testing.T) {
	s, u := newFakeServer(t, respondWith(okResponse("x"), false)), newTestUpstream(t, 8)
	for range 2 {
		if result := u.roundTrip(t.Context(), incarnationAt(s.addr), pushRequest(), time.Second, allowWrite); result.status != policy.OK {
			t.Fatalf("status %d, want served", result.status)
		}
		waitFor(t, "close by the server", func() bool {
			u.mu.Lock()
			defer u.mu.Unlock()
			return !u.idleConns[incarnationAt(s.addr)][0].isOpenAndSilent()
		})
		u.ageIdleConns()
	}
	if n := s.requests.Load(); n != 2 {
		t.Errorf("%d requests came, want 2", n)
	}
	if u.closeStale(); u.openConns != 0 || len(u.idleConns) != 0 {
		t.Errorf("%d connections open after a sweep, want 0", u.openConns)
	}
}

func TestOldIdleConnectionIsClosed(t *testing.T) {
	s, u := newFakeServer(t, respondWith(okResponse("x"), true)), newTestUpstream(t, 8)
	for range 2 {
		u.roundTrip(t.Context(), incarnationAt(s.addr), getRequest(), time.Second, allowWrite)
		u.mu.Lock()
		for _, c := range u.idleConns[incarnationAt(s.addr)] {
			c.idleSince = c.idleSince.Add(-u.maxIdle)
		}
		u.mu.Unlock()
	}
	if n := s.conns.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// Guards against an attempt going out after the loop gave it up.
func TestNothingIsWrittenOnceAbandoned(t *testing.T) {
	s, u := newFakeServer(t, respondWith(okResponse("x"), true)), newTestUpstream(t, 8)
	if result := u.roundTrip(t.Context(), incarnationAt(s.addr), pushRequest(), time.Second, fixedPermit(false)); result.status != policy.NotSent {
		t.Errorf("status %d, want never sent", result.status)
	}
	// The connection is as good as new; the next request is the first on it.
	u.ageIdleConns()
	if result := u.roundTrip(t.Context(), incarnationAt(s.addr), pushRequest(), time.Second, allowWrite); result.status != policy.OK {
		t.Errorf("status %d, want served", result.status)
	}
	if n, c := s.requests.Load(), s.conns.Load(); n != 1 || c != 1 {
		t.Errorf("%d requests on %d connections, want 1 on 1", n, c)
	}
}

// Guards the limit on descriptors: an idle connection makes room, a busy one doesn't.
func TestConnectionLimit(t *testing.T) {
	hold := make(chan struct{})
	busyServer := newFakeServer(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		<-hold
		io.WriteString(c, okResponse("x"))
		return true
	})
	idleServer := newFakeServer(t, respondWith(okResponse("x"), true))
	u := newTestUpstream(t, 1)
	if result := u.roundTrip(t.Context(), incarnationAt(idleServer.addr), getRequest(), time.Second, allowWrite); result.status != policy.OK {
		t.Fatalf("status %d, want served", result.status)
	}
	done := make(chan attemptResult, 1)
	go func() {
		done <- u.roundTrip(context.Background(), incarnationAt(busyServer.addr), getRequest(), time.Second, allowWrite)
	}()
	waitFor(t, "the request at the busy server", func() bool { return busyServer.requests.Load() == 1 })
	if result := u.roundTrip(t.Context(), incarnationAt(idleServer.addr), getRequest(), time.Second, allowWrite); result.status != policy.NotSent {
		t.Errorf("status %d beyond the cap, want never sent", result.status)
	}
	close(hold)
	if result := <-done; result.status != policy.OK {
		t.Errorf("status %d, want served in the evicted one's place", result.status)
	}
	if u.openConns != 1 {
		t.Errorf("%d open, want 1", u.openConns)
	}
}

// waitFor waits for something that must come about, however slow the machine.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s", what)
		}
	}
}

// lateConnection lets an attempt be written only after its connection took for so long.
type slowPermit struct {
	delay   time.Duration
	readyAt time.Time
}

func (p *slowPermit) beginWrite() bool {
	<-time.After(p.delay)
	p.readyAt = time.Now()
	return true
}

func (p *slowPermit) finishWrite() {}

// Guards the time that a server is told: what has passed while the connection came up is not left.
func TestTimeLeftIsComputedWhenTheRequestIsWritten(t *testing.T) {
	timeLeftHeader := make(chan string, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		timeLeftHeader <- r.Header.Get("X-Time-Left")
	})}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	const wait = 2 * time.Second
	permit := slowPermit{delay: 200 * time.Millisecond}
	startedAt := time.Now()
	if result := newTestUpstream(t, 8).roundTrip(t.Context(), incarnationAt(l.Addr().String()), getRequest(), wait, &permit); result.status != policy.OK {
		t.Fatalf("status %d", result.status)
	}
	seconds, err := strconv.ParseFloat(<-timeLeftHeader, 64)
	if err != nil {
		t.Fatal(err)
	}
	if timeLeft := wait - permit.readyAt.Sub(startedAt); seconds > timeLeft.Seconds()+0.001 {
		t.Errorf("told %.3f s, %.3f s were left", seconds, timeLeft.Seconds())
	}
}
