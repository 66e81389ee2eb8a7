package client

import (
	"net/netip"
	"sync"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// balancerSilence is how long a balancer may deliver nothing, while others
	// do, before replies avoid it.
	balancerSilence = clock.Second
	// clientRetention is how long the balancer of a silent client is remembered.
	// It exceeds the idle timeout of a connection.
	clientRetention = clock.Minute
)

// Paths chooses the balancer through which a reply reaches a client. It is safe
// for concurrent use.
type Paths struct {
	mutex     sync.Mutex
	clients   map[netip.AddrPort]clientPath
	balancers map[netip.AddrPort]clock.Millis
	latest    netip.AddrPort
	swept     clock.Millis
}

type clientPath struct {
	balancer netip.AddrPort
	heard    clock.Millis
}

// NewPaths returns Paths that know no balancer.
func NewPaths() *Paths {
	return &Paths{clients: map[netip.AddrPort]clientPath{}, balancers: map[netip.AddrPort]clock.Millis{}}
}

// Record records that a datagram of a client came through a balancer.
func (p *Paths) Record(client, balancer netip.AddrPort, now clock.Millis) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.clients[client] = clientPath{balancer: balancer, heard: now}
	p.balancers[balancer] = now
	p.latest = balancer
	if now-p.swept >= clientRetention {
		p.sweep(now)
	}
}

// Choose returns the balancer for a reply to client: the last one that delivered
// a datagram of this client, unless it has been silent for a second while
// another one delivered. It reports false for an unknown client.
func (p *Paths) Choose(client netip.AddrPort) (netip.AddrPort, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	path, ok := p.clients[client]
	if !ok {
		return netip.AddrPort{}, false
	}
	if p.balancers[p.latest]-p.balancers[path.balancer] >= balancerSilence {
		return p.latest, true
	}
	return path.balancer, true
}

func (p *Paths) sweep(now clock.Millis) {
	p.swept = now
	for client, path := range p.clients {
		if now-path.heard > clientRetention {
			delete(p.clients, client)
		}
	}
	for balancer, heard := range p.balancers {
		if now-heard > clientRetention {
			delete(p.balancers, balancer)
		}
	}
}
