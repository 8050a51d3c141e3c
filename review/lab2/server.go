package lab2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Call is a request that a billing server has got whole.
type Call struct {
	Server   *Server
	Request  *http.Request
	Body     []byte
	ID       string
	TimeLeft string
	At       time.Time
	Conn     *ServerConn
}

// ServerConn is a connection to a billing server.
type ServerConn struct {
	net.Conn
	mu      sync.Mutex
	pending int // requests that have come and are not answered
	count   int // requests that have come
}

// Count returns how many requests have come on the connection, and how many of them wait for their answer.
func (c *ServerConn) Count() (count, pending int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count, c.pending
}

// Server is a billing server. Work answers each request; it returns the bytes to write, or nil to close.
type Server struct {
	UID, Addr string
	Work      func(c *Call) []byte
	After     func(c *Call) // called after the answer was written; nil: not called
	OnCall    func(c *Call) // called for each request that has come; nil: not called
	CloseEach bool          // the connection closes behind each answer
	listener  net.Listener
}

// Start starts the server on a free port of a loopback address.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.Addr = l, l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(&ServerConn{Conn: conn})
		}
	}()
	return nil
}

// Close stops listening.
func (s *Server) Close() { s.listener.Close() }

func (s *Server) serve(c *ServerConn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		call := &Call{Server: s, Request: r, Body: body, ID: r.Header.Get("X-Correlation-Id"),
			TimeLeft: r.Header.Get("X-Time-Left"), At: time.Now(), Conn: c}
		c.mu.Lock()
		c.count++
		c.pending++
		c.mu.Unlock()
		if s.OnCall != nil {
			s.OnCall(call)
		}
		answer := s.Work(call)
		c.mu.Lock()
		c.pending--
		c.mu.Unlock()
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if s.After != nil {
			s.After(call)
		}
		if s.CloseEach {
			return
		}
	}
}

// Answer returns a sound answer with a length.
func Answer(contentType, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", contentType, len(body), body)
}

// Link is a network link to an address: it passes bytes on after a delay in each direction.
type Link struct {
	Addr     string
	listener net.Listener
}

// NewLink starts a link.
func NewLink(target string, delay func() time.Duration) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				far, err := net.Dial("tcp", target)
				if err != nil {
					near.Close()
					return
				}
				go carry(near, far, delay)
				carry(far, near, delay)
			}()
		}
	}()
	return &Link{Addr: l.Addr().String(), listener: l}, nil
}

// Close stops the link.
func (l *Link) Close() { l.listener.Close() }

// carry passes bytes on in their order, each piece after a delay. It passes on the end, too.
func carry(from, to net.Conn, delay func() time.Duration) {
	type piece struct {
		data []byte
		at   time.Time
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer to.Close()
		for p := range pieces {
			time.Sleep(time.Until(p.at))
			if p.data == nil {
				return
			}
			if _, err := to.Write(p.data); err != nil {
				from.Close()
				for range pieces {
				}
				return
			}
		}
	}()
	defer close(pieces)
	for {
		buffer := make([]byte, 16<<10)
		n, err := from.Read(buffer)
		if n > 0 {
			pieces <- piece{buffer[:n], time.Now().Add(delay())}
		}
		if err != nil {
			pieces <- piece{nil, time.Now().Add(delay())}
			return
		}
	}
}
