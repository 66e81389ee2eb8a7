package measure

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/sidecar/client"
	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
	"github.com/orioledyke/orioledyke/internal/sidecar/upstream"
	"github.com/orioledyke/orioledyke/internal/wire/tunnel"
)

// Periods and times of the runtime around the decisions, as in the packages
// request and node of the sidecar.
const (
	tickPeriod   = 20 * millisecond
	weightPeriod = 100 * millisecond
	leavingGrace = 2 * clock.Second
	goAwayTime   = 4 * second
)

// A cold upstream takes up to half as long again.
const (
	coldTime     = 10 * second
	coldSlowdown = 0.5
)

// sidecar is a sidecar with its upstream.
type sidecar struct {
	world      *world
	owner      identity.OwnerID
	tunnel     netip.AddrPort
	dataCentre int
	started    micros
	exited     bool
	paused     micros

	leaving bool
	left    micros
	weight  int
	version uint64

	dispatcher *client.Dispatcher
	paths      *client.Paths
	exchange   *sibling.LoadExchange
	health     *upstream.Health
	versions   map[identity.OwnerID]uint64
	siblings   map[identity.OwnerID]*sidecar
	conns      map[*conn]bool
	nonce      uint64

	requests
	running int
	// usage is the slot time by windows of usageWindow.
	usage map[micros]micros
	// late is the new work that started more than leftLimit after leaving.
	late int
}

func (w *world) newSidecar(dataCentre int, warm bool) *sidecar {
	w.addresses++
	s := &sidecar{
		world: w, owner: identity.OwnerID(w.topology.Uint64N(1<<48-1) + 1), dataCentre: dataCentre, started: w.time,
		tunnel:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(w.addresses >> 8), byte(w.addresses)}), 4000),
		versions: map[identity.OwnerID]uint64{}, siblings: map[identity.OwnerID]*sidecar{},
		conns: map[*conn]bool{}, usage: map[micros]micros{}, paths: client.NewPaths(),
	}
	s.requests = newRequests(w.policy.admission, w.deployment.kinds)
	s.health = upstream.NewHealth(w.now())
	if warm {
		s.started -= fromMillis(clock.Minute)
		s.health = upstream.NewHealth(w.now() - clock.Minute)
	}
	s.exchange = sibling.NewLoadExchange(sibling.LoadExchangeConfig{Self: s.owner, Send: s.sendLoad})
	s.dispatcher = client.NewDispatcher(client.DispatcherConfig{
		Self: s.owner, Service: w.service,
		Load: func() client.Load {
			load := s.load()
			return client.Load{Leaving: load.Leaving, Flows: load.Flows}
		},
		Siblings: s.siblingLoads,
	})
	w.sidecars = append(w.sidecars, s)
	w.byTunnel[s.tunnel], w.byOwner[s.owner] = s, s
	w.every(tickPeriod, s.tick)
	return s
}

// takesWork reports whether the upstream is present and not leaving.
func (s *sidecar) takesWork() bool { return !s.exited && !s.leaving && s.world.time >= s.paused }

// whenAwake runs an event now, or when the process resumes after a pause.
func (s *sidecar) whenAwake(run func()) {
	if s.exited {
		return
	}
	if s.world.time < s.paused {
		s.world.at(s.paused, run)
		return
	}
	run()
}

func (s *sidecar) tick() bool {
	if s.exited {
		return false
	}
	s.whenAwake(func() {
		now := s.world.now()
		s.apply(s.gate.tick(now))
		if s.closed() {
			s.apply(s.gate.drain(now))
		}
		s.exchange.Tick(s.load(), now)
		if s.world.time/tickPeriod%(weightPeriod/tickPeriod) == 0 {
			s.announce()
		}
		if s.leaving && s.world.time-s.left >= goAwayTime && len(s.conns) == 0 && s.gate.inUse() == 0 {
			s.exit()
		}
	})
	return true
}

// load is what Handler.Load returns.
func (s *sidecar) load() sibling.Load {
	return sibling.Load{
		Leaving: s.leaving, Flows: len(s.conns), InUse: s.gate.inUse(), Queued: s.gate.queued(),
		Slots: (slotsPerUpstream*s.health.Weight(s.world.now()) + upstream.MaxWeight/2) / upstream.MaxWeight,
	}
}

func (s *sidecar) siblingLoads() map[identity.OwnerID]client.Load {
	loads := map[identity.OwnerID]client.Load{}
	for owner, load := range s.exchange.Loads(s.world.now()) {
		loads[owner] = client.Load{Leaving: load.Leaving, Flows: load.Flows}
	}
	return loads
}

func (s *sidecar) sendLoad(to sibling.Sibling, message []byte) {
	target := s.world.byOwner[to.Owner]
	s.world.after(s.world.latency(s.dataCentre, target.dataCentre), func() {
		target.whenAwake(func() { target.exchange.Receive(s.owner, message, s.world.now()) })
	})
}

// announce tells the others state and weight if they changed.
func (s *sidecar) announce() {
	weight := s.health.Weight(s.world.now())
	if s.leaving {
		weight = 0
	}
	if weight != s.weight {
		s.weight = weight
		s.world.publish(s, false)
	}
}

func (s *sidecar) exit() {
	s.exited = true
	s.world.publish(s, true)
}

// learn takes the record of a sibling.
func (s *sidecar) learn(other *sidecar, r record) {
	if other == s || r.version <= s.versions[other.owner] {
		return
	}
	s.versions[other.owner] = r.version
	known := s.siblings[other.owner] != nil
	if known == !r.gone {
		return
	}
	if r.gone {
		delete(s.siblings, other.owner)
	} else {
		s.siblings[other.owner] = other
	}
	all := make([]sibling.Sibling, 0, len(s.siblings))
	for _, o := range s.world.sidecars {
		if s.siblings[o.owner] != nil {
			all = append(all, sibling.Sibling{Owner: o.owner, Tunnel: o.tunnel})
		}
	}
	s.exchange.SetSiblings(all)
}

// leave begins a planned stop: every client gets GOAWAY.
func (s *sidecar) leave() {
	s.leaving, s.left = true, s.world.time
	for _, c := range s.world.clients {
		if n := c.current; s.conns[n] {
			s.world.after(s.world.deployment.toClient, func() { c.goAway(n) })
		}
	}
}

// datagram takes a datagram from a balancer or a sibling.
func (s *sidecar) datagram(header tunnel.Header, packet []byte, c *conn, via *balancer) {
	s.whenAwake(func() {
		d := s.dispatcher.Dispatch(s.world.ring, header, packet, s.world.now())
		switch d.Verdict {
		case client.Deliver:
			s.deliver(c, via)
		case client.Relay:
			to, ok := s.exchange.Find(d.Owner)
			if !ok {
				return
			}
			target := s.world.byTunnel[to.Tunnel]
			header.Owner, header.Flags = d.Owner, tunnel.FlagRelayed
			s.world.after(s.world.latency(s.dataCentre, target.dataCentre), func() { target.datagram(header, packet, c, via) })
		}
	})
}

// plainDatagram takes a datagram from a balancer of a baseline. One of a flow that
// this upstream does not have is answered by a reset.
func (s *sidecar) plainDatagram(c *conn, via *balancer) {
	s.whenAwake(func() {
		if c.owner != nil && c.owner != s {
			s.world.after(s.world.latency(s.dataCentre, via.dataCentre)+s.world.deployment.toClient, c.breakOff)
			return
		}
		s.deliver(c, via)
	})
}

// deliver accepts a new flow, and answers the datagram by way of the balancer that
// Paths selects.
func (s *sidecar) deliver(c *conn, via *balancer) {
	if c.ended {
		return
	}
	w := s.world
	s.paths.Record(c.address, via.address, w.now())
	if c.owner == nil && s.leaving {
		// As after Server.Shutdown: the flow is closed at once, and the client opens
		// another one.
		w.after(w.latency(s.dataCentre, via.dataCentre)+w.deployment.toClient, c.end)
		return
	}
	if c.owner == nil {
		s.accept(c)
	}
	if c.owner != s {
		return
	}
	address, ok := s.paths.Choose(c.address)
	if !ok {
		return
	}
	back := w.byAddress[address]
	w.after(w.latency(s.dataCentre, back.dataCentre), func() {
		if back.running {
			w.after(w.deployment.toClient, c.heard)
		}
	})
}

func (s *sidecar) accept(c *conn) {
	s.nonce++
	c.own(s, s.nonce)
	s.conns[c] = true
}

// countLate counts new work of a leaving upstream.
func (s *sidecar) countLate() {
	if s.world.time-s.left > leftLimit {
		s.late++
	}
}
