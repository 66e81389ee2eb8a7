package soak

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkFault is a fault that a proxy injects into the connections through it.
type linkFault int

const (
	linkWorks linkFault = iota
	// linkDelays delays bytes by linkDelay.
	linkDelays
	// linkDropsResponses drops the bytes from the target.
	linkDropsResponses
	// linkDropsRequests drops the bytes to the target.
	linkDropsRequests
	// linkStalls drops the bytes of connections that are open when the fault begins, until
	// they are closed. New connections work.
	linkStalls
	linkFaultCount
)

const linkDelay = 200 * time.Millisecond

// proxy forwards TCP connections to an address.
type proxy struct {
	target      netip.AddrPort
	listener    net.Listener
	mutex       sync.Mutex
	fault       linkFault
	connections map[*connection]bool
	closed      bool
}

// connection is one connection through a proxy: the accepted side and the side to the
// target.
type connection struct {
	inbound, outbound net.Conn
	stalled           bool
}

// newProxy returns a proxy that listens on address and forwards to target until ctx ends.
func newProxy(ctx context.Context, address, target netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, connections: map[*connection]bool{}}
	context.AfterFunc(ctx, p.close)
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		inbound, err := p.listener.Accept()
		if err != nil {
			return
		}
		outbound, err := net.Dial("tcp4", p.target.String())
		if err != nil {
			_ = inbound.Close()
			continue
		}
		c := &connection{inbound: inbound, outbound: outbound}
		p.mutex.Lock()
		if p.closed {
			_ = errors.Join(inbound.Close(), outbound.Close())
		}
		p.connections[c] = true
		p.mutex.Unlock()
		go p.copyBytes(c, c.outbound, c.inbound, linkDropsRequests)
		go p.copyBytes(c, c.inbound, c.outbound, linkDropsResponses)
	}
}

// copyBytes copies bytes in one direction until either side closes. Bytes are dropped under
// dropFault and on a stalled connection.
func (p *proxy) copyBytes(c *connection, to, from net.Conn, dropFault linkFault) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			break
		}
		p.mutex.Lock()
		fault, stalled := p.fault, c.stalled
		p.mutex.Unlock()
		if stalled || fault == dropFault {
			continue
		}
		if fault == linkDelays {
			time.Sleep(linkDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			break
		}
	}
	p.mutex.Lock()
	delete(p.connections, c)
	p.mutex.Unlock()
	// Either side may have closed the connection already.
	_ = errors.Join(to.Close(), from.Close())
}

// setFault changes the fault of the proxy.
func (p *proxy) setFault(f linkFault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fault = f
	if f == linkStalls {
		for c := range p.connections {
			c.stalled = true
		}
	}
}

// reset ends all connections with a TCP reset.
func (p *proxy) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.connections {
		for _, conn := range []net.Conn{c.inbound, c.outbound} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	}
}

func (p *proxy) close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	_ = p.listener.Close()
	p.reset()
}
