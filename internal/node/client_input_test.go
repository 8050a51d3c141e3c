package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a body that is cut off and served as if its request had run: more of it arrives while the
// request is at a server, when it is too late to turn it away.
func TestBodyThatGoesOnWhileItsRequestIsOpenGetsAnError(t *testing.T) {
	arrived, hold := make(chan struct{}, 1), make(chan struct{})
	s := newFakeServer(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		arrived <- struct{}{}
		<-hold
		io.WriteString(c, okResponse("x"))
		return true
	})
	c, nodeConn := dialFront(t, s)
	io.WriteString(c, rawRequest(t, "book"))
	<-arrived
	io.WriteString(c, "load")
	waitFor(t, "rest of the body", func() bool { return !nodeConn.input.mayBeRequest() })
	close(hold)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusBadRequest || !resp.Close {
		t.Errorf("answered %+v, %v; want 400 and a close", resp, err)
	}
}

// Guards against requests that are lost or changed because the node reads them message by message: requests that
// arrive together, in pieces of any size, are all answered in their order, and their bodies arrive unchanged.
func TestRequestsInPiecesOfAnySizeAreAnswered(t *testing.T) {
	s := newFakeServer(t, func(_ int64, r *http.Request, c net.Conn) bool {
		body, _ := io.ReadAll(r.Body)
		io.WriteString(c, okResponse(r.Header.Get("X-Correlation-Id")+" "+string(body)))
		return true
	})
	_, addr := startFront(t, s, (*clientConns).onConnState)
	for _, pieceBytes := range []int{1, 2, 3, 7, 100, 4 << 10, 1 << 20} {
		t.Run(fmt.Sprint(pieceBytes), func(t *testing.T) {
			var text strings.Builder
			var want []string
			for _, body := range []string{strings.Repeat("b\r\n\r\n", min(100*pieceBytes, 4000)), "", "\r\n\r\n", "GET / HTTP/1.1\r\n\r\n", strings.Repeat("\n", min(100*pieceBytes, 3000)), "x"} {
				request := strings.Replace(rawRequest(t, "book"), "Content-Length: 7", fmt.Sprint("Content-Length: ", len(body)), 1)
				text.WriteString(strings.TrimSuffix(request, "payload") + body)
				_, rest, _ := strings.Cut(request, "X-Correlation-Id: ")
				id, _, _ := strings.Cut(rest, "\r\n")
				want = append(want, id+" "+body)
			}
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(testTimeout))
			go func() {
				for rest := text.String(); rest != ""; {
					n := min(pieceBytes, len(rest))
					io.WriteString(c, rest[:n])
					rest = rest[n:]
				}
			}()
			in := bufio.NewReader(c)
			for i := range want {
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatalf("answer %d: %v", i, err)
				}
				got, err := io.ReadAll(resp.Body)
				if err != nil || string(got) != want[i] {
					t.Fatalf("answer %d: status %d, %.40q, %v; want %.40q", i, resp.StatusCode, got, err, want[i])
				}
			}
		})
	}
}

func TestMayBeginRequest(t *testing.T) {
	requests := rawRequest(t, "book") + "\r\n" + rawRequest(t, "read")
	for i := range len(requests) {
		if !mayBeginRequest([]byte(requests[:i])) {
			t.Errorf("%q can't begin a request, want that it can", requests[:i])
		}
	}
	for _, text := range []string{"load", " ", "\x00", "\r\n\r\nand more", "GET\n", "GET /\r\n", "GET /a b", "GET /\x01", "get / HTTP/1.1",
		"GET / HTTP/2", "GET / HTTP/1\r\n", "{\"a\":1}", "0\r\n", strings.Repeat("A", maxMethodBytes+1)} {
		if mayBeginRequest([]byte(text)) {
			t.Errorf("%q may begin a request, want that it can't", text)
		}
	}
}
