package soak

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkFault is what a proxy does to the connections through it.
type linkFault int

const (
	linkWorks linkFault = iota
	// linkDelays holds bytes back for a while.
	linkDelays
	// linkLosesAnswers and linkLosesCalls lose the bytes of one direction.
	linkLosesAnswers
	linkLosesCalls
	// linkFallsSilent loses the bytes of connections that are open when it begins; new ones
	// work.
	linkFallsSilent
	linkFaultCount
)

const delayTime = 200 * time.Millisecond

// proxy passes TCP connections on to an address.
type proxy struct {
	target   netip.AddrPort
	listener net.Listener
	mutex    sync.Mutex
	fault    linkFault
	pairs    map[*pair]bool
	closed   bool
}

// pair is one connection through a proxy.
type pair struct {
	call, answer net.Conn
	silent       bool
}

// newProxy listens on an address until ctx ends.
func newProxy(ctx context.Context, address, target netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, pairs: map[*pair]bool{}}
	context.AfterFunc(ctx, p.close)
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		call, err := p.listener.Accept()
		if err != nil {
			return
		}
		answer, err := net.Dial("tcp4", p.target.String())
		if err != nil {
			_ = call.Close()
			continue
		}
		c := &pair{call: call, answer: answer}
		p.mutex.Lock()
		if p.closed {
			_ = errors.Join(call.Close(), answer.Close())
		}
		p.pairs[c] = true
		p.mutex.Unlock()
		go p.pass(c, c.answer, c.call, linkLosesCalls)
		go p.pass(c, c.call, c.answer, linkLosesAnswers)
	}
}

// pass copies bytes until a connection ends. cut is the fault that loses them.
func (p *proxy) pass(c *pair, to, from net.Conn, cut linkFault) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			break
		}
		p.mutex.Lock()
		current, silent := p.fault, c.silent
		p.mutex.Unlock()
		if silent || current == cut {
			continue
		}
		if current == linkDelays {
			time.Sleep(delayTime)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			break
		}
	}
	p.mutex.Lock()
	delete(p.pairs, c)
	p.mutex.Unlock()
	// Either side may have closed the connection already.
	_ = errors.Join(to.Close(), from.Close())
}

// set changes what the proxy does.
func (p *proxy) set(f linkFault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fault = f
	if f == linkFallsSilent {
		for c := range p.pairs {
			c.silent = true
		}
	}
}

// reset ends all connections with a reset.
func (p *proxy) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.pairs {
		for _, conn := range []net.Conn{c.call, c.answer} {
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
