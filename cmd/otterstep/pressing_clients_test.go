package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// This file has clients that press on a node: they send as much as they can, slowly, or stop half way. Each of them
// connects again when the node closes its connection.

const (
	pressingHeadBytes = 15 << 10               // size of a long head, under the limit of 16 KiB
	reconnectPause    = 20 * time.Millisecond  // pause of a pressing client between two connections
	slowServerDelay   = 500 * time.Millisecond // time that a server takes for a request with slowKey in its path
	largeAnswerBytes  = 60 << 10               // size of the answer to a request with largeKey in its path
	slowKey           = "slow"
	largeKey          = "large"
	pressingTimeLeft  = "1.200"
	pressingIDPrefix  = "press-" // how the ids of pressing clients begin
)

// pressingIDs numbers the requests of pressing clients, so that each has a new id.
var pressingIDs atomic.Int64

// pressingClient describes what one client does on each of its connections.
type pressingClient struct {
	request      func() string // next text to send
	stopsAfter   int           // number of bytes after which the client stops and stays; 0: it sends all
	pieceBytes   int           // number of bytes that it sends at a time; 0: all
	pause        time.Duration // pause between two pieces
	pipelined    int           // number of requests that are on their way at once; 0: one
	ignoresAll   bool          // the client never reads
	leavesAfter  time.Duration // time after which it closes a connection on which it has sent a request; 0: it stays
	idles        bool          // it sends one request, reads the answer and stays
	isPerRequest bool          // it opens a connection for each request
}

// run presses until ctx ends.
func (p pressingClient) run(ctx context.Context, addr string) {
	for ctx.Err() == nil {
		p.useConn(ctx, addr)
		if !p.isPerRequest {
			pauseFor(ctx, reconnectPause)
		}
	}
}

// pauseFor waits for a time or until ctx ends.
func pauseFor(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// useConn uses one connection until the node closes it or ctx ends.
func (p pressingClient) useConn(ctx context.Context, addr string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		pauseFor(ctx, reconnectPause)
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if p.ignoresAll {
		conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		p.sendForever(ctx, conn)
		pauseFor(ctx, time.Minute)
		return
	}
	in := bufio.NewReaderSize(conn, 1<<10)
	answered := make(chan struct{}, max(1, p.pipelined))
	for range cap(answered) {
		answered <- struct{}{}
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		readAnswers(in, answered)
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-closed:
			return
		case <-answered:
		}
		if !p.send(ctx, conn) {
			return
		}
		switch {
		case p.stopsAfter > 0 || p.idles:
			<-closed
			return
		case p.leavesAfter > 0:
			pauseFor(ctx, p.leavesAfter)
			return
		case p.isPerRequest:
			select {
			case <-answered:
			case <-closed:
			case <-time.After(time.Second):
			}
			return
		}
	}
}

// readAnswers reads answers until the connection ends, and reports each.
func readAnswers(in *bufio.Reader, answered chan<- struct{}) {
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return
		}
		select {
		case answered <- struct{}{}:
		default: // an error that no request asked for, such as that of a time limit
		}
		if resp.Close {
			return
		}
	}
}

// sendForever sends one request after the other without reading.
func (p pressingClient) sendForever(ctx context.Context, conn net.Conn) {
	for p.send(ctx, conn) && ctx.Err() == nil {
		if p.idles {
			return
		}
	}
}

// send sends one request, as far and as fast as the client does.
func (p pressingClient) send(ctx context.Context, conn net.Conn) (ok bool) {
	text := p.request()
	if p.stopsAfter > 0 {
		text = text[:min(p.stopsAfter, len(text))]
	}
	for text != "" {
		n := len(text)
		if p.pieceBytes > 0 {
			n = min(p.pieceBytes, n)
		}
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return false
		}
		if text = text[n:]; text != "" && p.pause > 0 {
			pauseFor(ctx, p.pause)
		}
	}
	return true
}

// startPressingClients runs a number of equal clients. The returned function ends them and waits for their end.
func startPressingClients(count int, client pressingClient, addr string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for range count {
		running.Go(func() { client.run(ctx, addr) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// requestText returns the text of a request with a new id, further header lines and a body of a length.
func requestText(method, class, key, headerLines string, bodyBytes int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s /%s/%s HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: %s%d\r\nX-Service-Class: %s\r\nX-Time-Left: %s\r\n",
		method, class, key, pressingIDPrefix, pressingIDs.Add(1), class, pressingTimeLeft)
	if method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", bodyBytes)
	}
	text.WriteString(headerLines + "\r\n" + strings.Repeat("b", bodyBytes))
	return text.String()
}

// read returns a source of GET requests.
func read(key, headerLines string) func() string {
	return func() string { return requestText(http.MethodGet, "read", key, headerLines, 0) }
}

// book returns a source of POST requests.
func book(key, headerLines string, bodyBytes int) func() string {
	return func() string { return requestText(http.MethodPost, "book", key, headerLines, bodyBytes) }
}

// bookWithCoding returns a source of POST requests of HTTP/1.0 with a length and a coding, which have to be refused.
func bookWithCoding(headerLines string) func() string {
	return func() string {
		text := requestText(http.MethodPost, "book", "k", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n"+headerLines, 4)
		return strings.Replace(text, "HTTP/1.1", "HTTP/1.0", 1)
	}
}

// literal returns a source of one text.
func literal(text string) func() string { return func() string { return text } }

// distinctFields returns header lines of the shortest distinct fields.
func distinctFields(bytes int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	var text strings.Builder
	for i := 0; text.Len() < bytes; i++ {
		for rest := i; ; rest /= len(digits) {
			text.WriteByte(digits[rest%len(digits)])
			if rest < len(digits) {
				break
			}
		}
		text.WriteString(":\r\n")
	}
	return text.String()
}

// repeatedFields returns header lines that repeat one field.
func repeatedFields(line string, bytes int) string {
	return strings.Repeat(line+"\r\n", bytes/(len(line)+2))
}

// longFields returns header lines of a few long values.
func longFields(bytes int) string {
	const fields = 4
	var text strings.Builder
	for i := range fields {
		fmt.Fprintf(&text, "X-Long-%d: %s\r\n", i, strings.Repeat("v", bytes/fields))
	}
	return text.String()
}
