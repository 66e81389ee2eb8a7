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

// These times equal constants of two packages, which this package simulates. tickPeriod
// and leavingGrace equal those of the same name in internal/sidecar/request. weightPeriod
// equals announceInterval and minStopTime equals goAwayGrace in internal/sidecar/node.
const (
	tickPeriod = 20 * millisecond
	// weightPeriod is the interval between announcements of a changed weight.
	weightPeriod = 100 * millisecond
	// leavingGrace is how long a leaving sidecar still starts new work.
	leavingGrace = 2 * clock.Second
	// minStopTime is the minimum duration of a planned stop.
	minStopTime = 4 * second
)

const (
	// coldTime is the age below which an upstream is cold.
	coldTime = 10 * second
	// coldSlowdown is the additional service time of a new upstream, relative to that of
	// a warm one. A request on a cold upstream takes up to 50% longer.
	coldSlowdown = 0.5
)

// sidecar is a sidecar together with its upstream.
type sidecar struct {
	sim         *simulation
	owner       identity.OwnerID
	tunnel      netip.AddrPort
	dataCentre  int
	startedAt   micros
	exited      bool
	pausedUntil micros

	leaving      bool
	leavingSince micros
	weight       int
	version      uint64

	dispatcher   *client.Dispatcher
	paths        *client.Paths
	loadExchange *sibling.LoadExchange
	health       *upstream.Health
	versions     map[identity.OwnerID]uint64
	siblings     map[identity.OwnerID]*sidecar
	// conns holds the flows of which this sidecar is the owner.
	conns map[*conn]bool
	nonce uint64

	requestHandler
	slotsInUse int
	// usage holds the slot time in use during each usage window, by number of the window.
	usage map[micros]micros
	// lateWork counts the requests that started more than newWorkLimit after the
	// sidecar began to leave.
	lateWork int
}

// newSidecar starts a sidecar. A warm upstream counts as one minute old.
func (sim *simulation) newSidecar(dataCentre int, warm bool) *sidecar {
	sim.addressCount++
	s := &sidecar{
		sim: sim, owner: identity.OwnerID(sim.topology.Uint64N(1<<48-1) + 1), dataCentre: dataCentre, startedAt: sim.time,
		tunnel:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(sim.addressCount >> 8), byte(sim.addressCount)}), 4000),
		versions: map[identity.OwnerID]uint64{}, siblings: map[identity.OwnerID]*sidecar{},
		conns: map[*conn]bool{}, usage: map[micros]micros{}, paths: client.NewPaths(),
	}
	s.requestHandler = newRequestHandler(sim.policy.admission, sim.deployment.workloads)
	s.health = upstream.NewHealth(sim.now())
	if warm {
		s.startedAt -= fromMillis(clock.Minute)
		s.health = upstream.NewHealth(sim.now() - clock.Minute)
	}
	s.loadExchange = sibling.NewLoadExchange(sibling.LoadExchangeConfig{Self: s.owner, Send: s.sendLoad})
	s.dispatcher = client.NewDispatcher(client.DispatcherConfig{
		Self: s.owner, Service: sim.service,
		Load: func() client.Load {
			load := s.load()
			return client.Load{Leaving: load.Leaving, Flows: load.Flows}
		},
		Siblings: s.siblingLoads,
	})
	sim.sidecars = append(sim.sidecars, s)
	sim.byTunnel[s.tunnel], sim.byOwner[s.owner] = s, s
	sim.every(tickPeriod, s.tick)
	return s
}

// takesWork reports whether the sidecar is running, not leaving and not paused.
func (s *sidecar) takesWork() bool { return !s.exited && !s.leaving && s.sim.time >= s.pausedUntil }

// whenResumed calls run now, or at the end of a pause. An exited sidecar drops the
// call.
func (s *sidecar) whenResumed(run func()) {
	if s.exited {
		return
	}
	if s.sim.time < s.pausedUntil {
		s.sim.at(s.pausedUntil, run)
		return
	}
	run()
}

func (s *sidecar) tick() bool {
	if s.exited {
		return false
	}
	s.whenResumed(func() {
		now := s.sim.now()
		s.apply(s.gate.tick(now))
		if s.stopsNewWork() {
			s.apply(s.gate.drain(now))
		}
		s.loadExchange.Tick(s.load(), now)
		if s.sim.time/tickPeriod%(weightPeriod/tickPeriod) == 0 {
			s.announce()
		}
		if s.leaving && s.sim.time-s.leavingSince >= minStopTime && len(s.conns) == 0 && s.gate.inUse() == 0 {
			s.exit()
		}
	})
	return true
}

// load calculates the load like Handler.Load of package internal/sidecar/request.
func (s *sidecar) load() sibling.Load {
	return sibling.Load{
		Leaving: s.leaving, Flows: len(s.conns), InUse: s.gate.inUse(), Queued: s.gate.queued(),
		Slots: (slotsPerUpstream*s.health.Weight(s.sim.now()) + upstream.MaxWeight/2) / upstream.MaxWeight,
	}
}

func (s *sidecar) siblingLoads() map[identity.OwnerID]client.Load {
	loads := map[identity.OwnerID]client.Load{}
	for owner, load := range s.loadExchange.Loads(s.sim.now()) {
		loads[owner] = client.Load{Leaving: load.Leaving, Flows: load.Flows}
	}
	return loads
}

func (s *sidecar) sendLoad(to sibling.Sibling, message []byte) {
	target := s.sim.byOwner[to.Owner]
	s.sim.after(s.sim.latency(s.dataCentre, target.dataCentre), func() {
		target.whenResumed(func() { target.loadExchange.Receive(s.owner, message, s.sim.now()) })
	})
}

// announce publishes the weight of the sidecar if it changed. A leaving sidecar has
// weight 0.
func (s *sidecar) announce() {
	weight := s.health.Weight(s.sim.now())
	if s.leaving {
		weight = 0
	}
	if weight != s.weight {
		s.weight = weight
		s.sim.publish(s, false)
	}
}

func (s *sidecar) exit() {
	s.exited = true
	s.sim.publish(s, true)
}

// applyRecord applies the record of a sibling. A record that is not newer than the last
// one has no effect.
func (s *sidecar) applyRecord(other *sidecar, r record) {
	if other == s || r.version <= s.versions[other.owner] {
		return
	}
	s.versions[other.owner] = r.version
	known := s.siblings[other.owner] != nil
	if known == !r.removed {
		return
	}
	if r.removed {
		delete(s.siblings, other.owner)
	} else {
		s.siblings[other.owner] = other
	}
	all := make([]sibling.Sibling, 0, len(s.siblings))
	for _, o := range s.sim.sidecars {
		if s.siblings[o.owner] != nil {
			all = append(all, sibling.Sibling{Owner: o.owner, Tunnel: o.tunnel})
		}
	}
	s.loadExchange.SetSiblings(all)
}

// leave begins a planned stop and sends GOAWAY to every client whose current
// connection it owns.
func (s *sidecar) leave() {
	s.leaving, s.leavingSince = true, s.sim.time
	for _, c := range s.sim.clients {
		if n := c.current; s.conns[n] {
			s.sim.after(s.sim.deployment.toClient, func() { c.receiveGoAway(n) })
		}
	}
}

// receiveDatagram handles a datagram from a balancer or a sibling. via is the balancer
// through which it arrived.
func (s *sidecar) receiveDatagram(header tunnel.Header, packet []byte, c *conn, via *balancer) {
	s.whenResumed(func() {
		d := s.dispatcher.Dispatch(s.sim.ring, header, packet, s.sim.now())
		switch d.Verdict {
		case client.Deliver:
			s.deliver(c, via)
		case client.Relay:
			to, ok := s.loadExchange.Find(d.Owner)
			if !ok {
				return
			}
			target := s.sim.byTunnel[to.Tunnel]
			header.Owner, header.Flags = d.Owner, tunnel.FlagRelayed
			s.sim.after(s.sim.latency(s.dataCentre, target.dataCentre), func() { target.receiveDatagram(header, packet, c, via) })
		}
	})
}

// receiveBaseline handles a datagram from a balancer of a baseline policy. If another
// upstream holds the flow, the response is a reset.
func (s *sidecar) receiveBaseline(c *conn, via *balancer) {
	s.whenResumed(func() {
		if c.owner != nil && c.owner != s {
			s.sim.after(s.sim.latency(s.dataCentre, via.dataCentre)+s.sim.deployment.toClient, c.fail)
			return
		}
		s.deliver(c, via)
	})
}

// deliver accepts the flow if it is new, and responds to the datagram through the
// balancer that Paths selects.
func (s *sidecar) deliver(c *conn, via *balancer) {
	if c.ended {
		return
	}
	sim := s.sim
	s.paths.Record(c.address, via.address, sim.now())
	if c.owner == nil && s.leaving {
		// A server behaves like this after Server.Shutdown: it closes a new flow at
		// once, and the client opens another one.
		sim.after(sim.latency(s.dataCentre, via.dataCentre)+sim.deployment.toClient, c.end)
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
	replyBalancer := sim.byAddress[address]
	sim.after(sim.latency(s.dataCentre, replyBalancer.dataCentre), func() {
		if replyBalancer.running {
			sim.after(sim.deployment.toClient, c.receiveResponse)
		}
	})
}

func (s *sidecar) accept(c *conn) {
	s.nonce++
	c.assignOwner(s, s.nonce)
	s.conns[c] = true
}

// countLateWork counts a request that the upstream starts now, if it began to leave more
// than newWorkLimit ago.
func (s *sidecar) countLateWork() {
	if s.sim.time-s.leavingSince > newWorkLimit {
		s.lateWork++
	}
}
