package measure

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/balancer/routing"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/control/membership"
)

const (
	// withinCentre is the one-way latency within a data centre in microseconds.
	withinCentre = 200
	// A record reaches each process after a time between minDissemination and
	// maxDissemination. The minimum allows for two membership ticks that are both almost
	// due. The maximum is five membership ticks of 100 ms. The latencies of the hops
	// between them are neglected.
	minDissemination = 20 * millisecond
	maxDissemination = 500 * millisecond
	// fabricDelay is how long the fabric takes to detect that a balancer is dead or
	// leaving.
	fabricDelay = second
	// balancerQuietTime is how long a leaving balancer must have received nothing from
	// the fabric before it exits.
	balancerQuietTime = 2 * second
	// newWorkLimit is how long a leaving upstream may start new work.
	newWorkLimit = 3 * second
	// usageWindow is the time over which the slot usage is averaged.
	usageWindow = second
)

// Numbers of the random sequences, which are independent of each other.
const (
	sequenceTopology = 1
	sequenceNetwork  = 2
	sequenceWork     = 100
)

// record is the membership record of a sidecar, as other processes receive it.
type record struct {
	version uint64
	weight  int
	removed bool
}

// simulation is one service with its balancers, sidecars and clients.
type simulation struct {
	eventQueue
	seed              uint64
	topology, network *rand.Rand
	deployment        deployment
	policy            policy
	ring              *keyring.Ring
	service           identity.ServiceID

	balancers []*balancer
	// fabric holds the balancers that receive datagrams from clients.
	fabric    []*balancer
	sidecars  []*sidecar
	clients   []*flowClient
	byTunnel  map[netip.AddrPort]*sidecar
	byOwner   map[identity.OwnerID]*sidecar
	byAddress map[netip.AddrPort]*balancer
	central   *centralQueue
	// upstreamFlows is the number of flows for each upstream.
	upstreamFlows int
	addressCount  int
	portCount     uint32

	requests                  []*request
	waits                     []micros
	establishedFlows          int
	brokenFlows               int
	handOffs, handOffsRefused int
	// measureFrom and measureUntil are the bounds of the measured interval.
	measureFrom, measureUntil micros
}

func newSimulation(seed uint64, d deployment, p policy) *simulation {
	sim := &simulation{
		seed: seed, upstreamFlows: flowsPerUpstream, deployment: d, policy: p, service: identity.NewServiceID("customer", d.name),
		byTunnel: map[netip.AddrPort]*sidecar{}, byOwner: map[identity.OwnerID]*sidecar{},
		byAddress: map[netip.AddrPort]*balancer{},
	}
	sim.topology, sim.network = sim.randomSequence(sequenceTopology), sim.randomSequence(sequenceNetwork)
	ring, err := keyring.New(1, map[keyring.Generation][]byte{1: make([]byte, keyring.SecretSize)})
	if err != nil {
		panic(err)
	}
	sim.ring = ring
	sim.central = &centralQueue{sim: sim}
	for i := range balancerCount {
		sim.fabric = append(sim.fabric, sim.newBalancer(i%dataCentreCount))
	}
	for i := range d.upstreams {
		sim.newSidecar(i%dataCentreCount, true)
	}
	for _, s := range sim.sidecars {
		s.weight, s.version = routing.MaxWeight, 1
		sim.applyEverywhere(s, record{version: 1, weight: s.weight})
	}
	return sim
}

// randomSequence returns random numbers that are independent of the other sequences.
func (sim *simulation) randomSequence(number uint64) *rand.Rand {
	return rand.New(rand.NewPCG(sim.seed, number))
}

func (sim *simulation) newBalancer(dataCentre int) *balancer {
	sim.addressCount++
	b := &balancer{
		sim: sim, dataCentre: dataCentre, running: true, table: routing.NewTable(),
		address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(sim.addressCount >> 8), byte(sim.addressCount)}), 4000),
		versions: map[identity.OwnerID]uint64{}, flows: map[*conn]*sidecar{},
	}
	sim.balancers = append(sim.balancers, b)
	sim.byAddress[b.address] = b
	return b
}

// applyEverywhere applies a record in every process without a delay.
func (sim *simulation) applyEverywhere(s *sidecar, r record) {
	for _, b := range sim.balancers {
		b.applyRecord(s, r)
	}
	for _, other := range sim.sidecars {
		other.applyRecord(s, r)
	}
}

// publish sends a new record of a sidecar to every process, each with its own delay.
func (sim *simulation) publish(s *sidecar, removed bool) {
	s.version++
	r := record{version: s.version, weight: s.weight, removed: removed}
	for _, b := range sim.balancers {
		if b.running {
			sim.after(sim.dissemination(), func() { b.applyRecord(s, r) })
		}
	}
	for _, other := range sim.sidecars {
		if other != s {
			sim.after(sim.dissemination(), func() { other.whenResumed(func() { other.applyRecord(s, r) }) })
		}
	}
}

func (sim *simulation) dissemination() micros {
	return minDissemination + micros(sim.network.Int64N(int64(maxDissemination-minDissemination)))
}

func (sim *simulation) latency(from, to int) micros {
	if from == to {
		return withinCentre
	}
	return sim.deployment.betweenCentres
}

func (sim *simulation) measuring() bool {
	return sim.time >= sim.measureFrom && sim.time < sim.measureUntil
}

// recordWait records how long a request waited. It skips surplus work and requests that
// start outside the measured interval.
func (sim *simulation) recordWait(r *request) {
	if sim.measuring() && !r.surplus {
		sim.waits = append(sim.waits, sim.time-r.received)
	}
}

// countBroken counts a flow that failed before the end of its stream. It skips a flow
// that was not established.
func (sim *simulation) countBroken(n *conn) {
	if n.established {
		sim.brokenFlows++
	}
}

// openClients opens a flow for each client, spread evenly over the given time.
func (sim *simulation) openClients(spread micros) {
	count := sim.deployment.upstreams * sim.upstreamFlows
	for i := range count {
		c := &flowClient{sim: sim, current: &conn{}}
		sim.clients = append(sim.clients, c)
		sim.at(micros(i)*spread/micros(count), c.open)
	}
}

// addSidecar starts a sidecar with a cold upstream. The sidecar starts with the records
// of its siblings, as it would receive them from a watcher.
func (sim *simulation) addSidecar(dataCentre int) {
	s := sim.newSidecar(dataCentre, false)
	for _, other := range sim.sidecars {
		if !other.exited && other != s {
			s.applyRecord(other, record{version: other.version, weight: other.weight})
		}
	}
}

// replaceBalancer starts a balancer and stops the old one gracefully.
func (sim *simulation) replaceBalancer(old *balancer) {
	b := sim.newBalancer(old.dataCentre)
	for _, s := range sim.sidecars {
		if !s.exited {
			b.applyRecord(s, record{version: s.version, weight: s.weight})
		}
	}
	sim.fabric = append(sim.fabric, b)
	sim.after(fabricDelay, func() { sim.removeFromFabric(old) })
	sim.after(fabricDelay+balancerQuietTime, func() { old.running = false })
}

// killBalancer stops a balancer at once. The fabric continues to send to it during
// fabricDelay.
func (sim *simulation) killBalancer(b *balancer) {
	b.running = false
	sim.after(fabricDelay, func() { sim.removeFromFabric(b) })
}

func (sim *simulation) removeFromFabric(b *balancer) {
	sim.fabric = slices.DeleteFunc(slices.Clone(sim.fabric), func(other *balancer) bool { return other == b })
}

// pause suspends a sidecar. If the pause exceeds the silence timeout, the watchers
// declare the sidecar dead, and the sidecar announces a newer version when it resumes.
func (sim *simulation) pause(s *sidecar, duration micros) {
	s.pausedUntil = sim.time + duration
	silence := fromMillis(membership.SilenceTimeout)
	if duration > silence {
		sim.after(silence, func() { sim.publish(s, true) })
		sim.at(s.pausedUntil, func() { sim.publish(s, false) })
	}
}
