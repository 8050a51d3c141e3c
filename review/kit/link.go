package kit

import (
	"net"
	"time"
)

// Link is a proxy that passes on every byte of a connection, in both directions, after a fixed delay: the way between
// two data centres.
type Link struct {
	listener net.Listener
	target   string
	delay    time.Duration
}

// NewLink starts a link to a target.
func NewLink(target string, delay time.Duration) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, delay: delay}
	go l.accept()
	return l, nil
}

// Addr returns the address of the link.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Close ends the link for new connections.
func (l *Link) Close() { l.listener.Close() }

func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			far, err := net.Dial("tcp", l.target)
			if err != nil {
				near.Close()
				return
			}
			go l.carry(near, far)
			l.carry(far, near)
		}()
	}
}

// piece is what was read at one time, or the end of the bytes.
type piece struct {
	at   time.Time
	data []byte
}

// carry passes on what comes from one connection to the other one, and its end.
func (l *Link) carry(from, to net.Conn) {
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				pieces <- piece{time.Now().Add(l.delay), append([]byte(nil), buffer[:n]...)}
			}
			if err != nil {
				pieces <- piece{at: time.Now().Add(l.delay)}
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.at))
		if p.data == nil {
			to.(*net.TCPConn).CloseWrite()
			continue
		}
		if _, err := to.Write(p.data); err != nil {
			from.Close()
		}
	}
	if l.delay > 0 {
		time.Sleep(l.delay)
	}
	from.(*net.TCPConn).CloseRead()
}
