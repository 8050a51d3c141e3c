package kit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Client sends requests to one node on kept connections, one request at a time on each, and opens more when all are
// busy.
type Client struct {
	addr string
	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	closes bool // the node closes it after the answer
}

// NewClient returns a client of the node at an address.
func NewClient(addr string) *Client { return &Client{addr: addr} }

// Result is what a client got for a request.
type Result struct {
	Code int // 0: no whole answer
	Body string
	Took time.Duration
	Err  error
}

// Send sends a request and waits for its answer until limit has passed.
func (c *Client) Send(id string, class Class, key string, body []byte, limit time.Duration) Result {
	start := time.Now()
	for try := 0; ; try++ {
		conn, isKept, err := c.take(try == 0)
		if err != nil {
			return Result{Err: err, Took: time.Since(start)}
		}
		code, text, nothingCame, err := conn.roundTrip(request(c.addr, id, class, key, body), start.Add(limit))
		if err == nil {
			c.put(conn)
			return Result{Code: code, Body: text, Took: time.Since(start)}
		}
		conn.Close()
		if isKept && nothingCame && try == 0 && !errors.Is(err, errTimeout) {
			continue // the close crossed the request: once more on a new connection
		}
		return Result{Err: err, Took: time.Since(start)}
	}
}

func request(host, id string, class Class, key string, body []byte) []byte {
	method := "POST"
	if class.Effect == "pure" {
		method = "GET"
	}
	text := fmt.Appendf(nil, "%s /%s/%s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Time-Left: %.3f\r\n",
		method, class.Name, "a"+id[max(0, len(id)-4):], id, class.Name, class.DeadlineMs/1000)
	if class.Effect == "token" {
		text = fmt.Appendf(text, "Idempotency-Key: %s\r\n", key)
	}
	if method == "GET" {
		return append(text, "\r\n"...)
	}
	return append(fmt.Appendf(text, "Content-Length: %d\r\n\r\n", len(body)), body...)
}

func (c *Client) take(mayBeKept bool) (conn *clientConn, isKept bool, err error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && mayBeKept {
		conn = c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, true, nil
	}
	c.mu.Unlock()
	inner, err := net.DialTimeout("tcp", c.addr, 2*time.Second)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: inner, reader: bufio.NewReader(inner)}, false, nil
}

func (c *Client) put(conn *clientConn) {
	if conn.closes {
		conn.Close()
		return
	}
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
}

// Close closes the kept connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

var errTimeout = errors.New("no answer in time")

func (c *clientConn) roundTrip(text []byte, until time.Time) (code int, body string, nothingCame bool, err error) {
	c.SetDeadline(until)
	if _, err := c.Write(text); err != nil {
		return 0, "", true, err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return 0, "", true, timeoutOr(err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", false, timeoutOr(err)
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", false, timeoutOr(err)
	}
	c.closes = response.Close
	return response.StatusCode, string(content), false, nil
}

func timeoutOr(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return errTimeout
	}
	return err
}
