package measure

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/orioledyke/orioledyke/internal/balancer/routing"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/wire/tunnel"
)

// balancer routes the datagrams that it receives from the fabric.
type balancer struct {
	sim        *simulation
	address    netip.AddrPort
	dataCentre int
	running    bool
	table      *routing.Table
	router     routing.Router
	versions   map[identity.OwnerID]uint64
	// members holds the sidecars with a weight above 0 in order of tunnel address. Only
	// the baselines use it.
	members []*sidecar
	// flows and nextMember are the state of the round-robin policy. flows holds the
	// selected sidecar of each flow.
	flows      map[*conn]*sidecar
	nextMember int
}

// applyRecord applies the record of a sidecar. A record that is not newer than the last
// one has no effect.
func (b *balancer) applyRecord(s *sidecar, r record) {
	if r.version <= b.versions[s.owner] {
		return
	}
	b.versions[s.owner] = r.version
	b.members = slices.DeleteFunc(b.members, func(m *sidecar) bool { return m == s })
	if r.removed {
		b.table = b.table.With(nil, []identity.OwnerID{s.owner})
		return
	}
	b.table = b.table.With([]routing.Member{{Owner: s.owner, Service: b.sim.service, Tunnel: s.tunnel, Weight: r.weight}}, nil)
	if r.weight > 0 {
		b.members = append(b.members, s)
		slices.SortFunc(b.members, func(x, y *sidecar) int { return x.tunnel.Compare(y.tunnel) })
	}
}

// forward sends a datagram of a client to a sidecar.
func (b *balancer) forward(c *conn, packet []byte) {
	if !b.running {
		return
	}
	sim := b.sim
	if sim.policy.routing != routeReal {
		b.forwardBaseline(c)
		return
	}
	decision := b.router.Route(b.table, sim.ring, sim.service, packet)
	if !decision.Forward() {
		return
	}
	target := sim.byTunnel[decision.Target]
	header := tunnel.Header{Type: tunnel.TypeInbound, Flags: decision.Flags, Service: sim.service, Owner: decision.Owner, Client: c.address}
	sim.after(sim.latency(b.dataCentre, target.dataCentre), func() { target.receiveDatagram(header, packet, c, b) })
}

func (b *balancer) forwardBaseline(c *conn) {
	sim := b.sim
	target := b.selectMember(c)
	if target == nil {
		return
	}
	sim.after(sim.latency(b.dataCentre, target.dataCentre), func() { target.receiveBaseline(c, b) })
}

func (b *balancer) selectMember(c *conn) *sidecar {
	if len(b.members) == 0 {
		return nil
	}
	if b.sim.policy.routing == routeHash {
		address, _ := c.address.MarshalBinary()
		return b.members[xxhash.Sum64(address)%uint64(len(b.members))]
	}
	if target, ok := b.flows[c]; ok {
		return target
	}
	b.nextMember++
	target := b.members[b.nextMember%len(b.members)]
	b.flows[c] = target
	return target
}

// sendToFabric sends a datagram to a random balancer of the fabric. For the round-robin
// policy it selects the balancer by rendezvous hashing of the flow, because that policy
// needs all datagrams of a flow on one balancer.
func (sim *simulation) sendToFabric(c *conn, packet []byte) {
	b := sim.fabric[sim.network.IntN(len(sim.fabric))]
	if sim.policy.routing == routeRoundRobin {
		address, _ := c.address.MarshalBinary()
		b = slices.MaxFunc(sim.fabric, func(x, y *balancer) int {
			return cmp.Compare(xxhash.Sum64(append(address, x.address.String()...)), xxhash.Sum64(append(address, y.address.String()...)))
		})
	}
	sim.after(sim.deployment.toClient, func() { b.forward(c, packet) })
}
