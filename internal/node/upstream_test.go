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

// testTimeout is the time limit for events that are expected to happen.
const testTimeout = 20 * time.Second

// fakeServer is a stand-in for a server that counts its complete requests and its connections.
type fakeServer struct {
	addr     string
	requests atomic.Int64
	conns    atomic.Int64
}

// newFakeServer starts a server. It calls respond for each complete request, with the number of the
// request from 1 and its connection. If respond returns false, the server closes the connection.
func newFakeServer(t *testing.T, respond func(n int64, r *http.Request, c net.Conn) bool) *fakeServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveFakeOn(t, l, respond)
}

// serveFakeOn is newFakeServer on a given listener.
func serveFakeOn(t *testing.T, l net.Listener, respond func(n int64, r *http.Request, c net.Conn) bool) *fakeServer {
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
					if !respond(s.requests.Add(1), r, c) {
						return
					}
				}
			}()
		}
	}()
	return s
}

// respondWith returns a function that responds to each request with the same bytes, and then keeps or
// closes the connection.
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

// incarnationAt returns the incarnation of a server with an unknown start at an address.
func incarnationAt(addr string) serverIncarnation { return serverIncarnation{addr: addr} }

// ageIdleConns makes idle connections old enough to be reused at once.
func (u *upstream) ageIdleConns() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, conns := range u.idleConns {
		for _, c := range conns {
			c.idleSince = c.idleSince.Add(-minIdleBeforeReuse)
		}
	}
}

// fixedPermit is an attemptControl that always gives the same answer.
type fixedPermit bool

func (p fixedPermit) beginWrite() bool              { return bool(p) }
func (fixedPermit) finishWrite()                    {}
func (fixedPermit) responseReceived() time.Duration { return testTimeout }

// allowWrite permits each write.
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
	head := func(lines string) string { return "HTTP/1.1 200 OK\r\n" + lines + "\r\n\r\nhello" }
	for name, testCase := range map[string]struct {
		text   string
		keep   bool
		status policy.Status
		pooled int
	}{
		"served":                    {okResponse("hello"), true, policy.OK, 1},
		"served after interim":      {"HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse("hello"), true, policy.OK, 1},
		"served in chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true, policy.OK, 1},
		"served, then closed":       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello", false, policy.OK, 0},
		"served, then a copy":       {okResponse("hello") + okResponse("hello"), true, policy.OK, 0},
		"another response behind":   {okResponse("hello") + okResponse("x"), true, policy.ConnectionReset, 0},
		"longer than its length":    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhello", true, policy.ConnectionReset, 0},
		"error":                     {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", true, policy.ServerError, 1},
		"rejected":                  {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", true, policy.Rejected, 1},
		"rejected as too late":      {"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", true, policy.Rejected, 1},
		"unmarked 503 may have run": {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", true, policy.ServerError, 1},
		"marked 500 may have run":   {"HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", true, policy.ServerError, 1},
		"closed after the request":  {"", false, policy.ConnectionReset, 0},
		"ends in the body":          {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", false, policy.ConnectionReset, 0},
		"no HTTP":                   {"\x00\x01\x02 nothing\r\n\r\n", true, policy.ConnectionReset, 0},
		"head without end": {"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", maxResponseHeadBytes+maxBodyBytes),
			true, policy.ConnectionReset, 0},
		"many short header lines": {"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: a\r\n", maxResponseHeadBytes), true, policy.ConnectionReset, 0},
		"head that stops":         {"HTTP/1.1 200 OK\r\nContent-Le", true, policy.ConnectionReset, 0},
		"body that stops":         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", true, policy.ConnectionReset, 0},
		"chunks that stop":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true, policy.ConnectionReset, 0},
		"chunks that can't be read": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
			true, policy.ConnectionReset, 0},
		"no length":              {head("A: b"), true, policy.ConnectionReset, 0},
		"no length, then closed": {head("Connection: close"), false, policy.ConnectionReset, 0},
		"both lengths":           {head("Content-Length: 5\r\nTransfer-Encoding: chunked"), true, policy.ConnectionReset, 0},
		"two lengths":            {head("Content-Length: 5\r\nContent-Length: 4"), true, policy.ConnectionReset, 0},
		"negative length":        {head("Content-Length: -5"), true, policy.ConnectionReset, 0},
		"length not a number":    {head("Content-Length: five"), true, policy.ConnectionReset, 0},
		"line with no colon":     {head("no colon\r\nContent-Length: 5"), true, policy.ConnectionReset, 0},
		"code not a number":      {"HTTP/1.1 2x0 OK\r\nContent-Length: 5\r\n\r\nhello", true, policy.ConnectionReset, 0},
		"code after its text":    {"HTTP/1.1 OK 200\r\nContent-Length: 5\r\n\r\nhello", true, policy.ConnectionReset, 0},
		"other protocol":         {"ICY 200 OK\r\nContent-Length: 5\r\n\r\nhello", true, policy.ConnectionReset, 0},
		"interim without end": {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20) + okResponse("hello"),
			true, policy.ConnectionReset, 0},
		"switches protocols": {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", true, policy.ConnectionReset, 0},
		"odd load report":    {head("X-Backend-Load: {\"%%=,\r\nContent-Length: 5"), true, policy.OK, 1},
		"body over the limit": {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" +
			strings.Repeat("a", maxBodyBytes+1), true, policy.ConnectionReset, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, u := newFakeServer(t, respondWith(testCase.text, testCase.keep)), newTestUpstream(t, 8)
			result := u.roundTrip(t.Context(), incarnationAt(s.addr), getRequest(), time.Second, allowWrite)
			if result.status != testCase.status ||
				len(u.idleConns[incarnationAt(s.addr)]) != testCase.pooled || u.openConns != testCase.pooled {
				t.Errorf("status %d, %d idle, %d open; want status %d, %d idle", result.status,
					len(u.idleConns[incarnationAt(s.addr)]), u.openConns, testCase.status, testCase.pooled)
			}
			if want := map[bool]string{true: "hello"}[testCase.status == policy.OK]; string(result.body) != want {
				t.Errorf("body %q, want %q", result.body, want)
			}
			if n := s.requests.Load(); n != 1 {
				t.Errorf("%d requests arrived, want 1", n)
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
	if result := u.roundTrip(t.Context(), incarnationAt(l.Addr().String()), pushRequest(),
		time.Second, allowWrite); result.status != policy.ConnectFailed || u.openConns != 0 {
		t.Errorf("status %d, %d open; want ConnectFailed, 0", result.status, u.openConns)
	}
}

// listenWithFullBacklog listens with a full backlog, so that connections don't come up until startServer
// makes it a server that responds to each request with a text.
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
		defer file.Close() // the listener has its own file descriptor
		l, err := net.FileListener(file)
		if err != nil {
			t.Fatal(err)
		}
		return serveFakeOn(t, l, respondWith(text, true))
	}
}

// Guards against a wrong status for a server that the network has cut off: connections to it never come
// up. A listener with a full backlog behaves in the same way.
func TestConnectTimeoutIsAConnectFailure(t *testing.T) {
	addr, _ := listenWithFullBacklog(t)
	u := newUpstream(time.Hour, 200*time.Millisecond, 8)
	if result := u.roundTrip(t.Context(), incarnationAt(addr), pushRequest(),
		time.Second, allowWrite); result.status != policy.ConnectFailed {
		t.Errorf("status %d, want ConnectFailed", result.status)
	}
}

// Guards against a wrong status if the last byte of the request could not be written: the request has
// certainly not run.
func TestBreakBeforeTheLastByteIsAConnectFailure(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // never reads, so it does not close in return
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	u := newTestUpstream(t, 8)
	c, err := u.acquireConn(t.Context(), incarnationAt(l.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	if err := c.CloseWrite(); err != nil { // from now on, writes fail
		t.Fatal(err)
	}
	u.releaseConn(c, true)
	u.ageIdleConns()
	if result := u.roundTrip(t.Context(), incarnationAt(l.Addr().String()), pushRequest(),
		time.Second, allowWrite); result.status != policy.ConnectFailed || u.openConns != 0 {
		t.Errorf("status %d, %d open; want ConnectFailed, 0", result.status, u.openConns)
	}
}

// Guards against a hidden resend: net/http's Transport sends a GET, or a request with an
// Idempotency-Key, again by itself if its pooled connection breaks.
func TestNoHiddenResendOnAStaleConnection(t *testing.T) {
	for name, outgoing := range map[string]*upstreamRequest{"GET": getRequest(), "keyed POST": pushRequest()} {
		t.Run(name, func(t *testing.T) {
			s := newFakeServer(t, func(n int64, _ *http.Request, c net.Conn) bool {
				if n == 1 {
					io.WriteString(c, okResponse("first"))
				}
				return n == 1 // the second request finds the connection closing
			})
			u := newTestUpstream(t, 8)
			if result := u.roundTrip(t.Context(), incarnationAt(s.addr), outgoing, time.Second, allowWrite); result.status != policy.OK {
				t.Fatalf("status %d, want OK", result.status)
			}
			u.ageIdleConns()
			if result := u.roundTrip(t.Context(), incarnationAt(s.addr), outgoing,
				time.Second, allowWrite); result.status != policy.ConnectionReset {
				t.Errorf("status %d, want ConnectionReset", result.status)
			}
			if n, c := s.requests.Load(), s.conns.Load(); n != 2 || c != 1 {
				t.Errorf("%d requests on %d connections, want 2 on 1", n, c)
			}
		})
	}
}

// Guards against sending on a connection that the server has closed in the meantime: a close that the node
// detects in time costs no attempt.
func TestConnectionThatTheServerClosedIsNotUsed(t *testing.T) {
	connPooled := make(chan struct{})
	s := newFakeServer(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		io.WriteString(c, okResponse("x"))
		<-connPooled
		return false
	})
	u := newTestUpstream(t, 8)
	for range 2 {
		if result := u.roundTrip(t.Context(), incarnationAt(s.addr), pushRequest(), time.Second, allowWrite); result.status != policy.OK {
			t.Fatalf("status %d, want OK", result.status)
		}
		connPooled <- struct{}{}
		waitFor(t, "close by the server", func() bool {
			u.mu.Lock()
			defer u.mu.Unlock()
			return !u.idleConns[incarnationAt(s.addr)][0].isOpenAndSilent()
		})
		u.ageIdleConns()
	}
	if n := s.requests.Load(); n != 2 {
		t.Errorf("%d requests arrived, want 2", n)
	}
	if u.closeStale(); u.openConns != 0 || len(u.idleConns) != 0 {
		t.Errorf("%d connections open after closeStale, want 0", u.openConns)
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

// Guards against an attempt that is written after the loop has abandoned it.
func TestNothingIsWrittenOnceAbandoned(t *testing.T) {
	s, u := newFakeServer(t, respondWith(okResponse("x"), true)), newTestUpstream(t, 8)
	if result := u.roundTrip(t.Context(), incarnationAt(s.addr), pushRequest(),
		time.Second, fixedPermit(false)); result.status != policy.NotSent {
		t.Errorf("status %d, want NotSent", result.status)
	}
	// The connection has not been used; the next request is the first on it.
	u.ageIdleConns()
	if result := u.roundTrip(t.Context(), incarnationAt(s.addr), pushRequest(), time.Second, allowWrite); result.status != policy.OK {
		t.Errorf("status %d, want OK", result.status)
	}
	if n, c := s.requests.Load(), s.conns.Load(); n != 1 || c != 1 {
		t.Errorf("%d requests on %d connections, want 1 on 1", n, c)
	}
}

// Guards the limit of file descriptors: at the limit, an idle connection is closed for a new one, and a
// busy one is not.
func TestConnectionLimit(t *testing.T) {
	hold := make(chan struct{})
	busyServer := newFakeServer(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		<-hold
		io.WriteString(c, okResponse("x"))
		return true
	})
	idleServer := newFakeServer(t, respondWith(okResponse("x"), true))
	u := newTestUpstream(t, 1)
	if result := u.roundTrip(t.Context(), incarnationAt(idleServer.addr), getRequest(),
		time.Second, allowWrite); result.status != policy.OK {
		t.Fatalf("status %d, want OK", result.status)
	}
	done := make(chan attemptResult, 1)
	go func() {
		done <- u.roundTrip(context.Background(), incarnationAt(busyServer.addr), getRequest(), time.Second, allowWrite)
	}()
	waitFor(t, "request at the busy server", func() bool { return busyServer.requests.Load() == 1 })
	if result := u.roundTrip(t.Context(), incarnationAt(idleServer.addr), getRequest(),
		time.Second, allowWrite); result.status != policy.NotSent {
		t.Errorf("status %d over the limit, want NotSent", result.status)
	}
	close(hold)
	if result := <-done; result.status != policy.OK {
		t.Errorf("status %d, want OK on a connection in place of the idle one", result.status)
	}
	if u.openConns != 1 {
		t.Errorf("%d open, want 1", u.openConns)
	}
}

// waitFor waits until a condition holds, and fails the test after testTimeout.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s", what)
		}
	}
}

// slowPermit is an attemptControl that permits each write after a delay, as if the connection came up late.
type slowPermit struct {
	delay   time.Duration
	readyAt time.Time
}

func (p *slowPermit) beginWrite() bool {
	<-time.After(p.delay)
	p.readyAt = time.Now()
	return true
}

func (p *slowPermit) finishWrite()                    {}
func (p *slowPermit) responseReceived() time.Duration { return testTimeout }

// Guards against a request that states too much time left: the time that passes until the connection comes up
// is subtracted.
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
	if result := newTestUpstream(t, 8).roundTrip(t.Context(), incarnationAt(l.Addr().String()), getRequest(),
		wait, &permit); result.status != policy.OK {
		t.Fatalf("status %d", result.status)
	}
	seconds, err := strconv.ParseFloat(<-timeLeftHeader, 64)
	if err != nil {
		t.Fatal(err)
	}
	if timeLeft := wait - permit.readyAt.Sub(startedAt); seconds > timeLeft.Seconds()+0.001 {
		t.Errorf("the request states %.3f s left, want at most %.3f s", seconds, timeLeft.Seconds())
	}
}
