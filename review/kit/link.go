package kit

import (
	"net"
	"runtime"
	"sync"
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
		time.Sleep(time.Until(p.at) - 1500*time.Microsecond) // a sleep ends up to about 1 ms late
		for time.Now().Before(p.at) {
			runtime.Gosched()
		}
		if p.data == nil {
			to.(*net.TCPConn).CloseWrite()
			continue
		}
		noteDelay(l.delay + time.Since(p.at))
		if _, err := to.Write(p.data); err != nil {
			from.Close()
		}
	}
	if l.delay > 0 {
		time.Sleep(l.delay)
	}
	from.(*net.TCPConn).CloseRead()
}

// delays are the delays of all pieces that links passed on.
var delays struct {
	sync.Mutex
	count, late int
	sum         time.Duration
}

func noteDelay(delay time.Duration) {
	delays.Lock()
	defer delays.Unlock()
	delays.count++
	delays.sum += delay
	if delay > 5200*time.Microsecond {
		delays.late++
	}
}

// linkDelays returns the number of pieces that links passed on, how many of them took over 5.2 ms, and their mean delay in
// milliseconds.
func linkDelays() (count, late int, mean float64) {
	delays.Lock()
	defer delays.Unlock()
	return delays.count, delays.late, delays.sum.Seconds() * 1000 / float64(max(1, delays.count))
}
