package standin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// LinkFault says what a proxy does to its connections and their bytes.
type LinkFault int

// The faults of the link that a proxy stands for.
const (
	LinkHealthy   LinkFault = iota // passes everything on
	LinkDelays                     // passes everything on after linkDelay
	LinkTrickles                   // passes everything on byte by byte, with trickleInterval between bytes
	LinkTruncates                  // passes half of the server's next bytes on and resets the connection
	LinkCloses                     // passes the server's next bytes on and closes the connection
	LinkResets                     // resets all connections, open and new ones
	LinkDropsData                  // reads everything and passes nothing on, as if the network were cut
)

var linkFaultNames = [...]string{"healthy", "delays", "trickles", "truncates", "closes", "resets", "drops data"}

// String returns the name of a fault.
func (f LinkFault) String() string { return linkFaultNames[f] }

const (
	linkDelay       = 250 * time.Millisecond // delay of LinkDelays for each chunk of bytes
	trickleInterval = 2 * time.Millisecond   // pause of LinkTrickles after each byte
)

// Proxy forwards TCP connections to one address and injects faults into them. It is safe for concurrent
// use.
type Proxy struct {
	listener   net.Listener
	targetAddr string

	mu    sync.Mutex
	fault LinkFault
	conns map[net.Conn]struct{}
}

// NewProxy starts a proxy on loopback that forwards connections to an address. Close stops it.
func NewProxy(targetAddr string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &Proxy{listener: listener, targetAddr: targetAddr, conns: map[net.Conn]struct{}{}}
	go p.acceptConns()
	return p, nil
}

// Addr returns the proxy's address as host:port.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
}

// SetFault sets the fault that applies from now on. LinkResets resets all open connections at once.
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

// acceptConns accepts connections and forwards each of them in both directions, until the proxy is closed.
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

// resetConn closes a TCP connection with a reset.
func resetConn(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// errConnEnded reports that the fault of a link ends a connection.
var errConnEnded = errors.New("the fault of the link ends the connection")

// copyUnderFault copies one direction of a connection until it ends, under the current fault of the link.
func (p *Proxy) copyUnderFault(from, to net.Conn, fromServer bool) {
	defer from.Close()
	defer to.Close()
	dropsData := false // once bytes have been dropped, nothing more is passed on
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

// forward writes a chunk under a fault. It returns errConnEnded if the fault ends the connection.
func forward(w io.Writer, chunk []byte, fault LinkFault, fromServer bool) error {
	switch {
	case fault == LinkResets:
		return errConnEnded
	case fault == LinkTruncates && fromServer:
		w.Write(chunk[:len(chunk)/2])
		return errConnEnded
	case fault == LinkDelays:
		time.Sleep(linkDelay)
	case fault == LinkTrickles:
		for i := range chunk {
			if _, err := w.Write(chunk[i : i+1]); err != nil {
				return err
			}
			time.Sleep(trickleInterval)
		}
		return nil
	}
	_, err := w.Write(chunk)
	if err == nil && fault == LinkCloses && fromServer {
		return errConnEnded
	}
	return err
}
