package node

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"otterstep/internal/budget"
	"otterstep/internal/wire"
	"otterstep/policy"
)

// sendRaw sends bytes on a new connection and waits until the node closes it. It returns the status code
// of a complete answer, or 0 if the node closes without one.
func sendRaw(t *testing.T, addr, text string) (code int) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go io.WriteString(c, text) // in a goroutine, as the node may stop reading at any point
	c.SetReadDeadline(time.Now().Add(testTimeout))
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Fatal("neither an answer nor a close")
		}
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0 // cut off by a close while this side was still sending
	}
	if _, err := in.ReadByte(); err == nil {
		t.Errorf("more bytes after the answer %d", resp.StatusCode)
	} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Errorf("the connection stays open after the answer %d", resp.StatusCode)
	}
	return resp.StatusCode
}

// rawRequest returns a request as bytes, with further header lines.
func rawRequest(t *testing.T, class string, headerLines ...string) string {
	t.Helper()
	var b bytes.Buffer
	if err := newClientRequest(t, "api", class, "2.5").Write(&b); err != nil {
		t.Fatal(err)
	}
	head, body, _ := strings.Cut(b.String(), "\r\n\r\n")
	return head + "\r\n" + strings.Join(append(headerLines, ""), "\r\n") + "\r\n" + body
}

// Guards against clients that hold connections with unusable input: each gets an error or a close in
// time, whatever else it sends, and nothing is forwarded to a server. A request with two lengths could
// hide a second request in its body.
func TestUnusableInputGetsAnErrorOrAClose(t *testing.T) {
	s := newFakeServer(t, respondWith(okResponse("x"), true))
	addr, _ := startNode(t, newFakeDiscovery(t, inServiceEntry(s, "s1")))
	smuggled := rawRequest(t, "read")
	noLength := strings.Replace(rawRequest(t, "book"), "Content-Length: 7\r\n", "", 1)
	for name, testCase := range map[string]struct {
		text  string
		codes []int
	}{
		"silence":     {"", []int{0, 408}},
		"half a head": {"GET /read/1 HTTP/1.1\r\nHost: ap", []int{0, 408}},
		"half a body": {strings.TrimSuffix(rawRequest(t, "book"), "load"), []int{0, 408}},
		"noise":       {"\x00\x01\xff\xfe\r\n\r\n\r\n", []int{0, 400}},
		"head without end": {strings.TrimSuffix(rawRequest(t, "read"), "\r\n") +
			strings.Repeat("X-Pad: pppppppppp\r\n", 20000), []int{0, 431}},
		"line with no colon": {rawRequest(t, "read", "no colon"), []int{400}},
		"both lengths": {strings.Replace(rawRequest(t, "book", "Transfer-Encoding: chunked"), "payload",
			"0\r\n\r\n"+smuggled, 1), []int{411}},
		"chunked":             {strings.Replace(noLength, "\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 1), []int{411}},
		"negative length":     {strings.Replace(rawRequest(t, "book"), "Length: 7", "Length: -7", 1), []int{400}},
		"length not a number": {strings.Replace(rawRequest(t, "book"), "Length: 7", "Length: ten", 1), []int{400}},
		"two lengths":         {rawRequest(t, "book", "Content-Length: 9"), []int{400}},
		"huge length":         {strings.Replace(rawRequest(t, "book"), "Length: 7", "Length: 99999999999999", 1), []int{0, 413}},
		"60 MB": {strings.Replace(rawRequest(t, "book"), "Length: 7", "Length: 62914560", 1) +
			strings.Repeat("b", 1<<20), []int{0, 413}},
		"body longer than its length":   {rawRequest(t, "book") + "load", []int{400}},
		"lines longer than the length":  {rawRequest(t, "book") + "\r\n\r\nand more\r\n\r\n", []int{400}},
		"body behind a request without": {rawRequest(t, "read") + "payload", []int{400}},
		"noise behind a request":        {rawRequest(t, "read") + "\x00\x01\xff\xfe\r\n\r\n", []int{400}},
		"hundreds at once":              {strings.Repeat("GET /nope/1 HTTP/1.1\r\nHost: api\r\n\r\n", 500), []int{400}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			code := sendRaw(t, addr, testCase.text)
			for _, want := range testCase.codes {
				if code == want {
					return
				}
			}
			t.Errorf("answered %d, want one of %v", code, testCase.codes)
		})
	}
	t.Cleanup(func() {
		if n := s.requests.Load(); n != 0 {
			t.Errorf("%d requests were forwarded, want 0", n)
		}
	})
}

// Guards against a second request that has the id of an open request or of one just answered: it must
// neither get the first one's answer nor affect it.
func TestDuplicateRequestIDGetsAConflict(t *testing.T) {
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	s := newFakeServer(t, func(_ int64, r *http.Request, c net.Conn) bool {
		arrived <- struct{}{}
		<-release
		io.WriteString(c, okResponse("first"))
		return true
	})
	addr, _ := startNode(t, newFakeDiscovery(t, inServiceEntry(s, "s1")))
	first, second := newClientRequest(t, addr, "book", "2.9"), newClientRequest(t, addr, "read", "2.9")
	second.Header.Set("X-Correlation-Id", first.Header.Get("X-Correlation-Id"))
	done := make(chan string, 1)
	go func() {
		resp, err := http.DefaultClient.Do(first)
		if err != nil {
			done <- err.Error()
			return
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		done <- fmt.Sprint(resp.StatusCode, " ", string(text))
	}()
	<-arrived
	if code, _, _ := doRequest(t, second); code != http.StatusConflict {
		t.Errorf("answered %d while the first request is open, want 409", code)
	}
	close(release)
	if got := <-done; got != "200 first" {
		t.Errorf("the first request is answered %s, want 200 first", got)
	}
	if code, _, _ := doRequest(t, second.Clone(t.Context())); code != http.StatusConflict {
		t.Errorf("answered %d right after the first request, want 409", code)
	}
	if n := s.requests.Load(); n != 1 {
		t.Errorf("%d requests were forwarded, want 1", n)
	}
}

func TestRecentIDsExpire(t *testing.T) {
	ids := newRecentIDs(nil)
	// add adds an id whose request ends at once, and reports whether it was new.
	add := func(now time.Duration, id string) bool {
		hash, isNew := ids.add(now, id)
		if isNew {
			ids.end(now, hash, true)
		}
		return isNew
	}
	if !add(0, "a") || add(ids.generationLength, "a") {
		t.Error("an id must be new once, and known for one generation")
	}
	for i := range 1000 {
		add(time.Duration(i)*ids.generationLength/100, fmt.Sprint("b", i))
	}
	if n := len(ids.open) + len(ids.current) + len(ids.previous); n > 250 {
		t.Errorf("%d ids kept, want those of two generations", n)
	}
	if !add(100*ids.generationLength, "a") {
		t.Error("an id is never forgotten")
	}
}

// Guards against a set of ids that grows with the rate of requests, and against forgetting the id of an open request
// for that.
func TestRecentIDsStaySmallUnderAnyRateOfRequests(t *testing.T) {
	ids := newRecentIDs(nil)
	ids.generationSize = 100
	open, _ := ids.add(0, "open")
	for i := range 1000 {
		hash, _ := ids.add(0, fmt.Sprint("b", i))
		ids.end(0, hash, true)
	}
	if n := len(ids.open) + len(ids.current) + len(ids.previous); n > 2*ids.generationSize+1 {
		t.Errorf("%d ids kept, want at most two generations and the open one", n)
	}
	if _, isNew := ids.add(0, "open"); isNew {
		t.Error("the id of an open request was forgotten")
	}
	ids.end(0, open, true)
	if _, isNew := ids.add(0, "open"); isNew {
		t.Error("the id of a request that has just ended was forgotten")
	}
	refused, _ := ids.add(0, "refused")
	ids.end(0, refused, false)
	if _, isNew := ids.add(0, "refused"); !isNew {
		t.Error("the id of a request that never ran is kept")
	}
}

// Guards against timers, ids and requests that outlive the answer of a request, so that memory grows with the rate of
// requests.
func TestAnsweredRequestLeavesNothingBehind(t *testing.T) {
	s := newFakeServer(t, respondWith(okResponse("x"), true))
	l, addr := startFront(t, s, (*clientConns).onConnState)
	for range 20 {
		doRequest(t, newClientRequest(t, addr, "read", "2.9"))
	}
	type remains struct{ requests, openIDs, requestTimers int }
	count := func() remains {
		left := make(chan remains)
		l.post(func() {
			found := remains{requests: len(l.requests), openIDs: len(l.recentIDs.open)}
			for _, timer := range l.timers {
				if timer.at > l.now+time.Second { // the policy has none so late
					found.requestTimers++
				}
			}
			left <- found
		})
		return <-left
	}
	waitFor(t, "end of all requests", func() bool { return count().requests == 0 })
	if left := count(); left != (remains{}) {
		t.Errorf("%+v are left behind", left)
	}
}

// Guards against a node that silent connections make unreachable: a connection without a request never
// becomes idle, so hundreds of them reached the limit and stalled the listener for seconds.
func TestSilentConnectionsAreEvictedForNewOnes(t *testing.T) {
	s := newFakeServer(t, respondWith(okResponse("x"), true))
	addr, _ := startNode(t, newFakeDiscovery(t, inServiceEntry(s, "s1")))
	var silent []net.Conn
	for range 3 * excessClientConns {
		c, _ := dialClient(t, addr)
		silent = append(silent, c)
	}
	_, ask := dialClient(t, addr)
	if code, err := ask(); code != http.StatusOK || err != nil {
		t.Errorf("answered %d, %v with many silent connections open; want 200", code, err)
	}
	for _, c := range silent {
		c.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Fatal("the node sends something on a silent connection")
		} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Fatal("a silent connection stays open")
		}
	}
}

// Guards against truncated errors if few file descriptors are left: the node flushes the error and
// closes the connection at once, and the answer must still be complete. Without a Content-Length it was
// a chunked answer with no end.
func TestErrorNearTheConnectionLimitIsComplete(t *testing.T) {
	s := newFakeServer(t, respondWith(okResponse("x"), true))
	addr, _ := startNode(t, newFakeDiscovery(t, inServiceEntry(s, "s1")))
	for range excessClientConns*3/4 + 1 {
		_, ask := dialClient(t, addr)
		if code, err := ask(); code != http.StatusOK {
			t.Fatalf("answered %d, %v; want 200", code, err)
		}
	}
	if code := sendRaw(t, addr, "GET /nope/1 HTTP/1.1\r\nHost: api\r\n\r\n"); code != http.StatusBadRequest {
		t.Errorf("answered %d, want 400", code)
	}
}

// Guards against requests that are lost when a connection is evicted for a new one: a recently used
// connection is not evicted, and a request that has arrived by then is read.
func TestReceivedDataUndoesAnEviction(t *testing.T) {
	group := newClientConns(1, budget.New(1<<20))
	add := func() (*clientConn, net.Conn) {
		ours, theirs := net.Pipe()
		t.Cleanup(func() { ours.Close(); theirs.Close() })
		c := &clientConn{Conn: ours, owner: group}
		group.onConnState(c, http.StateNew)
		group.onConnState(c, http.StateIdle)
		return c, theirs
	}
	first, peer := add()
	second, _ := add()
	if group.evictedCount != 0 {
		t.Error("a recently used connection is evicted")
	}
	first.listedSince = time.Now().Add(-2 * minIdleBeforeEviction)
	group.onConnState(second, http.StateActive)
	if !first.isEvicted || second.isEvicted {
		t.Fatal("the connection that has been idle longest is not evicted")
	}
	if first.SetReadDeadline(time.Time{}); !first.isEvicted { // as net/http does
		t.Error("a new read deadline undoes the eviction")
	}
	go io.WriteString(peer, "GET")
	waitFor(t, "data on the evicted connection", func() bool {
		b := make([]byte, 3)
		n, _ := first.Read(b)
		return string(b[:n]) == "GET"
	})
	if first.isEvicted || group.remainingCount() != 2 {
		t.Error("the connection is still evicted after a read")
	}
	group.onConnState(first, http.StateIdle)
	first.listedSince = time.Now().Add(-2 * minIdleBeforeEviction)
	group.onConnState(second, http.StateActive)
	if _, err := first.Read(make([]byte, 1)); err == nil || !first.isEvicted {
		t.Errorf("read %v, want the wait of an evicted connection to end", err)
	}
	group.onConnState(first, http.StateClosed)
	if group.remainingCount() != 1 || group.evictedCount != 0 {
		t.Errorf("%d connections remain, %d are evicted; want 1, 0", group.remainingCount(), group.evictedCount)
	}
}

// Guards against requests that are lost at the end of a drain: idle connections are evicted, but one on
// which a request has arrived by then is kept until the request is answered.
func TestReceivedDataUndoesAnEvictionByDrain(t *testing.T) {
	group := newClientConns(8, budget.New(1<<20))
	var conns [2]*clientConn
	var peers [2]net.Conn
	for i := range conns {
		ours, theirs := net.Pipe()
		defer ours.Close()
		defer theirs.Close()
		conns[i], peers[i] = &clientConn{Conn: ours, owner: group}, theirs
		group.onConnState(conns[i], http.StateNew)
		group.onConnState(conns[i], http.StateIdle)
	}
	group.evictAllWaiting()
	go io.WriteString(peers[0], "GET")
	waitFor(t, "data on the evicted connection", func() bool {
		n, _ := conns[0].Read(make([]byte, 3))
		return n == 3
	})
	if _, err := conns[1].Read(make([]byte, 1)); err == nil || group.evictedCount != 1 {
		t.Errorf("read %v, %d evicted; want the other connection evicted", err, group.evictedCount)
	}
}

// startFront runs a front with one server. It calls state for each change of a connection's state.
func startFront(t *testing.T, s *fakeServer, state func(*clientConns, net.Conn, http.ConnState)) (l *loop, addr string) {
	t.Helper()
	settings := parseTestNodeSettings(t, testSettings)
	l, err := newLoop(settings.Policy, 1, newClock(), newUpstream(time.Hour, testTimeout, 8), newCallQueue())
	if err != nil {
		t.Fatal(err)
	}
	go l.run(t.Context())
	l.post(func() {
		l.applyNewerUpdate(policy.ListWhole, []policy.Entry{{Server: 1, State: policy.StateInService}}, []string{s.addr})
	})
	group := newClientConns(8, budget.New(1<<20))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := newClientServer(newFront(l, settings, group, func() bool { return true }), group, testTimeout, group.log)
	server.ReadTimeout, server.ReadHeaderTimeout = testTimeout, testTimeout
	server.ConnState = func(c net.Conn, s http.ConnState) { state(group, c, s) }
	go server.Serve(group.listener(listener))
	t.Cleanup(func() { server.Close() })
	return l, listener.Addr().String()
}

// Guards against attempts that begin more than 0.1 s after their client has disconnected. The client has
// sent pipelined data after its request; net/http stops looking for a disconnect at the first byte of
// that.
func TestDisconnectOfAPipeliningClientIsDetected(t *testing.T) {
	twoRequests := rawRequest(t, "book") + rawRequest(t, "read")
	for name, pipelined := range map[string]string{
		"a byte": "\n", "whole requests": twoRequests, "more than the node keeps": strings.Repeat(twoRequests, 200),
	} {
		t.Run(name, func(t *testing.T) {
			arrived, hold := make(chan struct{}, 8), make(chan struct{})
			s := newFakeServer(t, func(int64, *http.Request, net.Conn) bool { arrived <- struct{}{}; <-hold; return false })
			l, addr := startFront(t, s, (*clientConns).onConnState)
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			io.WriteString(c, rawRequest(t, "read"))
			<-arrived
			io.WriteString(c, pipelined)
			closedAt := time.Now()
			c.Close()
			open := make(chan int)
			waitFor(t, "end of the request", func() bool { l.post(func() { open <- len(l.requests) }); return <-open == 0 })
			close(hold) // an open idempotent request would be retried now
			if time.Since(closedAt) > 2*time.Second {
				t.Error("the request ended at its deadline, not with its client")
			}
			if n := s.requests.Load(); n != 1 {
				t.Errorf("%d attempts, want 1", n)
			}
		})
	}
}

// dialFront runs a front with one server, and returns both ends of a connection to it.
func dialFront(t *testing.T, s *fakeServer) (c net.Conn, nodeConn *clientConn) {
	t.Helper()
	conns := make(chan *clientConn, 1)
	_, addr := startFront(t, s, func(group *clientConns, c net.Conn, state http.ConnState) {
		if group.onConnState(c, state); state == http.StateNew {
			conns <- c.(*clientConn)
		}
	})
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c, <-conns
}

// Guards against pipelined data that is lost, and against keeping any amount of it: the node reads what
// a client sends after an open request once that is answered, up to a limit.
func TestPipelinedDataIsReadAfterTheAnswer(t *testing.T) {
	arrived, hold := make(chan struct{}, 8), make(chan struct{})
	s := newFakeServer(t, func(n int64, _ *http.Request, c net.Conn) bool {
		arrived <- struct{}{}
		if n == 1 {
			<-hold
		}
		io.WriteString(c, okResponse(fmt.Sprint(n)))
		return true
	})
	c, nodeConn := dialFront(t, s)
	in := bufio.NewReader(c)
	expectAnswer := func(want string, closes bool) {
		t.Helper()
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || string(body) != want || resp.Close != closes {
			t.Errorf("answered %q, %v, closes %v; want %q, closes %v", body, err, resp.Close, want, closes)
		}
	}
	io.WriteString(c, rawRequest(t, "read"))
	<-arrived
	io.WriteString(c, rawRequest(t, "book"))
	close(hold)
	expectAnswer("1", false)
	expectAnswer("2", false)
	hold = make(chan struct{})
	s.requests.Store(0)
	<-arrived
	io.WriteString(c, rawRequest(t, "read"))
	<-arrived
	go io.WriteString(c, strings.Repeat(rawRequest(t, "read"), 2*maxPipelinedBytes/100))
	waitFor(t, "overflow of the pipelined data", nodeConn.pipelineOverflowed.Load)
	close(hold)
	expectAnswer("1", true)
	if n := s.requests.Load(); n != 1 {
		t.Errorf("%d attempts, want 1", n)
	}
}

// Guards against an eviction between the last byte of a request and net/http's report that the request
// is open: the client got a 200 with an empty body while a server worked on its request.
func TestRequestThatCrossesAnEvictionIsAnswered(t *testing.T) {
	arrived, hold := make(chan struct{}), make(chan struct{})
	s := newFakeServer(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		close(arrived)
		<-hold
		io.WriteString(c, okResponse("mine"))
		return true
	})
	evicted := make(chan struct{})
	_, addr := startFront(t, s, func(group *clientConns, c net.Conn, state http.ConnState) {
		if state == http.StateActive { // the whole request was read
			group.evictAllWaiting()
			close(evicted)
		}
		group.onConnState(c, state)
	})
	type receivedAnswer struct {
		code int
		body string
	}
	answered := make(chan receivedAnswer, 1)
	go func() {
		code, _, body := doRequest(t, newClientRequest(t, addr, "read", "2.9"))
		answered <- receivedAnswer{code, body}
	}()
	<-evicted
	select {
	case <-arrived:
	case a := <-answered:
		t.Fatalf("answered %d %q before a server got the request", a.code, a.body)
	case <-time.After(testTimeout):
		t.Fatal("the request is neither forwarded nor answered")
	}
	select {
	case a := <-answered:
		t.Fatalf("answered %d %q while a server works on the request", a.code, a.body)
	case <-time.After(100 * time.Millisecond): // longer than a check of the connection takes
		close(hold)
	}
	if a := <-answered; a.code != http.StatusOK || a.body != "mine" {
		t.Errorf("answered %d %q; want 200 and the server's answer", a.code, a.body)
	}
	if n := s.requests.Load(); n != 1 {
		t.Errorf("%d attempts, want 1", n)
	}
}

// Guards against an answer that no server gave, such as a 200 with an empty body, to a client that
// closes its sending side and goes on reading: the client counts as disconnected and gets no answer.
func TestHalfClosedClientGetsNoAnswer(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	s := newFakeServer(t, func(int64, *http.Request, net.Conn) bool { <-hold; return false })
	addr, _ := startNode(t, newFakeDiscovery(t, inServiceEntry(s, "s1")))
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, rawRequest(t, "book"))
	c.(*net.TCPConn).CloseWrite()
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if b, err := io.ReadAll(c); len(b) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %q, %v; want a close", b, err)
	}
}

// Guards against bodies that take too much memory together: the node counts their declared lengths
// before it reads them.
func TestLargeBodiesShareAByteBudget(t *testing.T) {
	memory := budget.New(100 << 10)
	f := newFront(&loop{clock: newClock()}, wire.NodeSettings{ClassNames: []string{"book"}}, newClientConns(8, memory),
		func() bool { return true })
	f.settings.Policy.Classes = parseTestNodeSettings(t, testSettings).Policy.Classes[2:]
	ask := func() (code int, read int64) {
		body := &countingReader{}
		r := newClientRequest(t, "api", "book", "2.5")
		r.RequestURI, r.Body, r.ContentLength = "/book/1", body, 60<<10
		r.URL.Path, r.URL.RawPath = "/book/1", ""
		w := httptest.NewRecorder()
		f.ServeHTTP(w, r)
		return w.Code, body.n
	}
	other := memory.NewReservation(0)
	if !other.TryGrow(60<<10, budget.Intake) {
		t.Fatal("the budget is too small for one body")
	}
	if code, read := ask(); code != http.StatusServiceUnavailable || read != 0 {
		t.Errorf("answered %d after %d bytes, want a refusal without reading the body", code, read)
	}
	other.Release()
	if code, read := ask(); code != http.StatusRequestTimeout || read == 0 {
		t.Errorf("answered %d after %d bytes, want the short body to be read", code, read)
	}
	if n := memory.Used(); n != 0 {
		t.Errorf("%d bytes are still reserved", n)
	}
}

// countingReader is a body of one byte that counts what has been read.
type countingReader struct{ n int64 }

func (c *countingReader) Read(b []byte) (int, error) {
	if c.n > 0 {
		return 0, io.EOF
	}
	c.n = 1
	return 1, nil
}

func (*countingReader) Close() error { return nil }

// TestConnectionOfADiscardedBodyCanBeHadForOthers guards against connections that clients keep beyond the answer to a request by
// sending its body slowly: net/http discards it, and no handler waits for it.
func TestConnectionOfADiscardedBodyCanBeHadForOthers(t *testing.T) {
	s := newFakeServer(t, respondWith(okResponse("x"), true))
	c, conn := dialFront(t, s)
	io.WriteString(c, "POST /nope/1 HTTP/1.1\r\nHost: api\r\nContent-Length: 1000\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusBadRequest {
		t.Fatalf("answered %+v, %v; want 400", resp, err)
	}
	io.WriteString(c, "a part")
	group := conn.owner
	waitFor(t, "connection that can be had for others", func() bool {
		group.mu.Lock()
		defer group.mu.Unlock()
		return oldestOf(&group.readingBody) == conn
	})
	group.mu.Lock()
	conn.refuseSlow(refusedSlowForRoom)
	group.mu.Unlock()
	waitFor(t, "close", group.isEmpty)
}
