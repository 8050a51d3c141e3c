package standin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// LinkFault is what a proxy does with the bytes of its connections.
type LinkFault int

// The faults of a link.
const (
	LinkHealthy   LinkFault = iota // passes all on
	LinkDelays                     // passes all on, late
	LinkTrickles                   // byte by byte, with pauses
	LinkTruncates                  // passes half of an answer on and resets
	LinkCloses                     // passes an answer on and closes behind it
	LinkResets                     // resets whatever says something or connects
	LinkDropsData                  // takes everything and passes nothing on, as a machine that is cut off
)

var linkFaultNames = [...]string{"whole", "delays", "trickles", "cuts", "closes", "resets", "silent"}

// String names a fault.
func (f LinkFault) String() string { return linkFaultNames[f] }

const (
	linkDelay       = 250 * time.Millisecond
	trickleInterval = 2 * time.Millisecond
)

// Proxy stands between two parties on TCP and spoils what they say. It is safe for concurrent use.
type Proxy struct {
	listener   net.Listener
	targetAddr string

	mu    sync.Mutex
	fault LinkFault
	conns map[net.Conn]struct{}
}

// NewProxy starts a proxy on loopback to an address. Close ends it.
func NewProxy(targetAddr string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &Proxy{listener: listener, targetAddr: targetAddr, conns: map[net.Conn]struct{}{}}
	go p.acceptConns()
	return p, nil
}

// Addr is where it listens, as host:port.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close ends the proxy and all that goes through it.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
}

// Set sets what happens from now on; LinkResets breaks all that is open at once.
func (p *Proxy) SetFault(fault LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	if fault != LinkResets {
		return
	}
	for c := range p.conns {
		resetConn(c)
	}
}

func (p *Proxy) currentFault() LinkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) acceptConns() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentFault() == LinkResets {
			resetConn(client)
			continue
		}
		server, err := net.Dial("tcp", p.targetAddr)
		if err != nil {
			client.Close()
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = struct{}{}, struct{}{}
		p.mu.Unlock()
		var directions sync.WaitGroup
		directions.Go(func() { p.copyUnderFault(client, server, false) })
		directions.Go(func() { p.copyUnderFault(server, client, true) })
		go func() {
			directions.Wait()
			p.mu.Lock()
			defer p.mu.Unlock()
			delete(p.conns, client)
			delete(p.conns, server)
		}()
	}
}

// reset ends a connection with a reset.
func resetConn(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

var errConnEnded = errors.New("the link is cut")

// pass copies one direction of a connection until it ends.
func (p *Proxy) copyUnderFault(from, to net.Conn, fromServer bool) {
	defer from.Close()
	defer to.Close()
	dropsData := false // bytes of it were swallowed: it never says anything again
	chunk := make([]byte, 16<<10)
	for {
		n, err := from.Read(chunk)
		if err != nil {
			return
		}
		fault := p.currentFault()
		if dropsData = dropsData || fault == LinkDropsData; dropsData {
			continue
		}
		if err := forward(to, chunk[:n], fault, fromServer); err != nil {
			if fault != LinkCloses {
				resetConn(from)
				resetConn(to)
			}
			return
		}
	}
}

// forward writes what came, under a fault.
func forward(to io.Writer, chunk []byte, fault LinkFault, fromServer bool) error {
	switch {
	case fault == LinkResets:
		return errConnEnded
	case fault == LinkTruncates && fromServer:
		to.Write(chunk[:len(chunk)/2])
		return errConnEnded
	case fault == LinkDelays:
		time.Sleep(linkDelay)
	case fault == LinkTrickles:
		for i := range chunk {
			if _, err := to.Write(chunk[i : i+1]); err != nil {
				return err
			}
			time.Sleep(trickleInterval)
		}
		return nil
	}
	_, err := to.Write(chunk)
	if err == nil && fault == LinkCloses && fromServer {
		return errConnEnded
	}
	return err
}
