package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"testing"
	"time"

	"otterstep/policy"
)

// connectedClient returns both ends of a connection of a client whose input no goroutine reads.
func connectedClient(t *testing.T) (client *net.TCPConn, conn *clientConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limited := newClientConns(8, nil).listener(listener)
	t.Cleanup(func() { limited.Close() })
	dialled, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := limited.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialled.Close(); accepted.Close() })
	return dialled.(*net.TCPConn), accepted.(*clientConn)
}

// clientEndings are the ways in which a client ends its connection.
var clientEndings = map[string]func(client *net.TCPConn){
	"close":                      func(client *net.TCPConn) { client.Close() },
	"half close":                 func(client *net.TCPConn) { client.CloseWrite() },
	"reset":                      func(client *net.TCPConn) { client.SetLinger(0); client.Close() },
	"reset by an unread answer":  func(client *net.TCPConn) { client.Close() },
	"close that the node closed": func(client *net.TCPConn) {},
}

// Guards against an attempt that begins after its client has closed, if the goroutine that reads the client's connection
// has not run since.
func TestNoAttemptBeginsOnceTheClientHasClosed(t *testing.T) {
	for name, end := range clientEndings {
		t.Run(name, func(t *testing.T) {
			client, conn := connectedClient(t)
			r := &request{client: &clientPresence{disconnected: make(chan struct{}), conn: conn}}
			begin := func() bool { return (&attempt{clock: newClock(), gate: newSendGate(), request: r}).beginWrite() }
			if !begin() {
				t.Fatal("no attempt begins while the client is connected")
			}
			switch name {
			case "reset by an unread answer":
				io.WriteString(conn, "answer")
				waitFor(t, "answer", func() bool { return hasUnreadData(client) })
			case "close that the node closed":
				conn.Close()
			}
			end(client)
			waitFor(t, "end of the connection", conn.hasEnded)
			if begin() {
				t.Error("an attempt begins after the client has closed")
			}
		})
	}
}

// Guards against a request that the Balancer gets after its client has closed: a loop that was held up takes it with the
// news of the close behind it, and an attempt could begin between the two.
func TestRequestOfAClientThatHasClosedIsNotSubmitted(t *testing.T) {
	client, conn := connectedClient(t)
	l, err := newLoop(parseTestNodeSettings(t, testSettings).Policy, 1, newClock(), newTestUpstream(t, 8), newCallQueue())
	if err != nil {
		t.Fatal(err)
	}
	l.upstream.dialer = func(context.Context, string) (net.Conn, error) {
		t.Error("an attempt was made")
		return nil, io.EOF
	}
	l.applyNewerUpdate(policy.ListWhole, []policy.Entry{{Server: 1, State: policy.StateInService}}, []string{"127.0.0.1:1"})
	client.Close()
	waitFor(t, "end of the connection", conn.hasEnded)
	outgoing := &upstreamRequest{method: http.MethodGet, uri: "/read", header: http.Header{"X-Correlation-Id": {"gone"}},
		clientDeadline: l.now + time.Second, client: &clientPresence{disconnected: make(chan struct{}), conn: conn}}
	answers := make(chan finalAnswer, 1)
	var r *request
	l.runEvent(func() { r = l.submit(policy.Request{}, outgoing, answers) })
	if len(r.attempts) != 0 || len(l.requests) != 0 || len(answers) != 0 {
		t.Errorf("%d attempts, %d open requests, %d answers; want none", len(r.attempts), len(l.requests), len(answers))
	}
}

// heldUpConn is a connection whose node is held up behind each short read deadline that it sets, until the deadline has
// passed.
type heldUpConn struct{ net.Conn }

func (c heldUpConn) SetReadDeadline(at time.Time) error {
	err := c.Conn.SetReadDeadline(at)
	for time.Now().Before(at) && time.Until(at) < 10*time.Millisecond {
		runtime.Gosched()
	}
	return err
}

// Guards against a request that is closed unread though it has arrived before the eviction of its connection: the node is
// held up between the time limit of its last look and the look.
func TestArrivedRequestIsReadHoweverLateTheNodeLooks(t *testing.T) {
	client, conn := connectedClient(t)
	conn.Conn = heldUpConn{conn.Conn}
	conn.owner.onConnState(conn, http.StateNew)
	io.WriteString(client, "GET")
	waitFor(t, "data", func() bool {
		state := peekedNothing
		conn.raw.Control(func(descriptor uintptr) { state = peek(descriptor) })
		return state == peekedData
	})
	conn.owner.evictAllWaiting()
	var b [8]byte
	if part, err := conn.receive(b[:]); part.bytes != 3 || err != nil || conn.isEvicted {
		t.Errorf("read %d bytes, %v, evicted %v; want the 3 bytes that have arrived", part.bytes, err, conn.isEvicted)
	}
	conn.owner.onConnState(conn, http.StateIdle)
	conn.owner.evictAllWaiting()
	if part, err := conn.receive(b[:]); part.bytes != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d bytes, %v without data; want the end of the wait", part.bytes, err)
	}
	client.Close()
	waitFor(t, "end of the connection", conn.hasEnded)
	if part, err := conn.receive(b[:]); part.bytes != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("read %d bytes, %v after the close; want its end", part.bytes, err)
	}
}
