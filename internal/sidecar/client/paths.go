package client

import (
	"net/netip"
	"sync"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// balancerSilence is how long a balancer may deliver nothing, while others do,
	// before packets to clients avoid it.
	balancerSilence = clock.Second
	// clientRetention is how long the balancer of a silent client is kept. It is
	// longer than the idle timeout of a connection.
	clientRetention = clock.Minute
)

// Paths chooses the balancer through which packets are sent to a client. It is safe
// for concurrent use.
type Paths struct {
	mutex          sync.Mutex
	clients        map[netip.AddrPort]clientPath
	balancers      map[netip.AddrPort]clock.Millis
	latestBalancer netip.AddrPort
	lastSweep      clock.Millis
}

type clientPath struct {
	balancer netip.AddrPort
	lastSeen clock.Millis
}

// NewPaths returns Paths that know no balancer.
func NewPaths() *Paths {
	return &Paths{clients: map[netip.AddrPort]clientPath{}, balancers: map[netip.AddrPort]clock.Millis{}}
}

// Record records that a datagram from a client arrived through a balancer.
func (p *Paths) Record(client, balancer netip.AddrPort, now clock.Millis) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.clients[client] = clientPath{balancer: balancer, lastSeen: now}
	p.balancers[balancer] = now
	p.latestBalancer = balancer
	if now-p.lastSweep >= clientRetention {
		p.sweep(now)
	}
}

// Choose returns the balancer for packets to client. It is the last one that
// delivered a datagram from this client, unless that one has been silent for a second
// while another one delivered. Choose reports false for an unknown client.
func (p *Paths) Choose(client netip.AddrPort) (netip.AddrPort, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	path, ok := p.clients[client]
	if !ok {
		return netip.AddrPort{}, false
	}
	if p.balancers[p.latestBalancer]-p.balancers[path.balancer] >= balancerSilence {
		return p.latestBalancer, true
	}
	return path.balancer, true
}

// sweep drops clients and balancers that have been silent for clientRetention.
func (p *Paths) sweep(now clock.Millis) {
	p.lastSweep = now
	for client, path := range p.clients {
		if now-path.lastSeen > clientRetention {
			delete(p.clients, client)
		}
	}
	for balancer, lastSeen := range p.balancers {
		if now-lastSeen > clientRetention {
			delete(p.balancers, balancer)
		}
	}
}
