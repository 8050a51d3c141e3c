package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is a billing server: it reads one request at a time from each connection and lets a function answer it.
type Server struct {
	UID      string
	Record   *Record
	listener net.Listener
	answer   func(c *ServerConn, r *ServerRequest) (goOn bool)

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// ServerConn is a connection to a billing server.
type ServerConn struct {
	net.Conn
	Server *Server
	Reader *bufio.Reader
}

// ServerRequest is a request that a billing server has read up to its last byte.
type ServerRequest struct {
	ID, Class, Key string
	Body           []byte
	At             time.Time
}

// NewServer starts a billing server. The function answer writes the answer to a request and reports whether the
// connection goes on.
func NewServer(uid string, record *Record, answer func(c *ServerConn, r *ServerRequest) bool) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{UID: uid, Record: record, listener: listener, answer: answer, conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// Addr returns the address of the server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends the server and its connections.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go func() {
			s.serve(&ServerConn{conn, s, bufio.NewReader(conn)})
			conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		}()
	}
}

func (s *Server) serve(c *ServerConn) {
	for {
		c.SetReadDeadline(time.Now().Add(30 * time.Second)) // Limits.ConnIdleMs
		r, err := http.ReadRequest(c.Reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		request := &ServerRequest{ID: r.Header.Get("X-Correlation-Id"), Class: r.Header.Get("X-Service-Class"),
			Key: r.Header.Get("Idempotency-Key"), Body: body, At: time.Now()}
		s.Record.Line("run %s %s at %s", request.ID, request.Class, s.UID)
		if !s.answer(c, request) {
			return
		}
	}
}

// Body returns the body that the server makes for a request.
func (s *Server) Body(r *ServerRequest) string {
	return fmt.Sprintf(`{"request":%q,"class":%q,"server":%q,"account":"C-%s","amount":"%d.40 MAD","state":"booked"}`,
		r.ID, r.Class, s.UID, r.ID, 100+len(r.ID)*7)
}

// OKAnswer returns a whole 200 answer with a body.
func OKAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
