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

// balancer routes the datagrams that the fabric gives it.
type balancer struct {
	world      *world
	address    netip.AddrPort
	dataCentre int
	running    bool
	table      *routing.Table
	router     routing.Router
	versions   map[identity.OwnerID]uint64
	// members are the serving sidecars, for the baselines.
	members []*sidecar
	// flows and next are the state of the round robin.
	flows map[*conn]*sidecar
	next  int
}

// learn takes the record of a sidecar. An older one than the last has no effect.
func (b *balancer) learn(s *sidecar, r record) {
	if r.version <= b.versions[s.owner] {
		return
	}
	b.versions[s.owner] = r.version
	b.members = slices.DeleteFunc(b.members, func(m *sidecar) bool { return m == s })
	if r.gone {
		b.table = b.table.With(nil, []identity.OwnerID{s.owner})
		return
	}
	b.table = b.table.With([]routing.Member{{Owner: s.owner, Service: b.world.service, Tunnel: s.tunnel, Weight: r.weight}}, nil)
	if r.weight > 0 {
		b.members = append(b.members, s)
		slices.SortFunc(b.members, func(x, y *sidecar) int { return x.tunnel.Compare(y.tunnel) })
	}
}

// forward passes a datagram of a client to a sidecar.
func (b *balancer) forward(c *conn, packet []byte) {
	if !b.running {
		return
	}
	w := b.world
	if w.policy.routing != routeReal {
		b.forwardPlain(c)
		return
	}
	decision := b.router.Route(b.table, w.ring, w.service, packet)
	if !decision.Forward() {
		return
	}
	target := w.byTunnel[decision.Target]
	header := tunnel.Header{Type: tunnel.TypeInbound, Flags: decision.Flags, Service: w.service, Owner: decision.Owner, Client: c.address}
	w.after(w.latency(b.dataCentre, target.dataCentre), func() { target.datagram(header, packet, c, b) })
}

func (b *balancer) forwardPlain(c *conn) {
	w := b.world
	target := b.selectPlain(c)
	if target == nil {
		return
	}
	w.after(w.latency(b.dataCentre, target.dataCentre), func() { target.plainDatagram(c, b) })
}

func (b *balancer) selectPlain(c *conn) *sidecar {
	if len(b.members) == 0 {
		return nil
	}
	if b.world.policy.routing == routeHash {
		address, _ := c.address.MarshalBinary()
		return b.members[xxhash.Sum64(address)%uint64(len(b.members))]
	}
	if target, ok := b.flows[c]; ok {
		return target
	}
	b.next++
	target := b.members[b.next%len(b.members)]
	b.flows[c] = target
	return target
}

// enter gives a datagram to a balancer of the fabric: to any of them, or to the
// one that the hash of the flow selects if the policy needs that.
func (w *world) enter(c *conn, packet []byte) {
	b := w.fabric[w.network.IntN(len(w.fabric))]
	if w.policy.routing == routeRoundRobin {
		address, _ := c.address.MarshalBinary()
		b = slices.MaxFunc(w.fabric, func(x, y *balancer) int {
			return cmp.Compare(xxhash.Sum64(append(address, x.address.String()...)), xxhash.Sum64(append(address, y.address.String()...)))
		})
	}
	w.after(w.deployment.toClient, func() { b.forward(c, packet) })
}
