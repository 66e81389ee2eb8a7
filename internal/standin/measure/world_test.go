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
	// withinCentre is a latency one way.
	withinCentre = 200
	// Records reach each process after a time between these limits: two ticks of
	// the membership at the least distance, and five ticks with their hops.
	minDissemination = 20 * millisecond
	maxDissemination = 500 * millisecond
	// fabricDelay is the time after which the fabric notices that a balancer has
	// died or leaves.
	fabricDelay = second
	// balancerSilence is how long the fabric must have been silent before a leaving
	// balancer exits.
	balancerSilence = 2 * second
	// leftLimit is the time after which a leaving upstream gets no new work.
	leftLimit = 3 * second
	// usageWindow is the time over which the use of slots is averaged.
	usageWindow = second
)

// Numbers of independent streams of random numbers.
const (
	streamTopology = 1
	streamNetwork  = 2
	streamWork     = 100
)

// record is what membership tells the others about a sidecar.
type record struct {
	version uint64
	weight  int
	gone    bool
}

// world is one service with its balancers, sidecars and clients.
type world struct {
	queue
	seed              uint64
	topology, network *rand.Rand
	deployment        deployment
	policy            policy
	ring              *keyring.Ring
	service           identity.ServiceID

	balancers []*balancer
	fabric    []*balancer
	sidecars  []*sidecar
	clients   []*phone
	byTunnel  map[netip.AddrPort]*sidecar
	byOwner   map[identity.OwnerID]*sidecar
	byAddress map[netip.AddrPort]*balancer
	central   *centralQueue
	// flows is the number of flows for each upstream.
	flows     int
	addresses int
	ports     uint32

	requests                  []*request
	waits                     []micros
	established               int
	brokenFlows               int
	handOffs, handOffsRefused int
	// measureFrom and measureUntil limit the time in which figures are taken.
	measureFrom, measureUntil micros
}

func newWorld(seed uint64, d deployment, p policy) *world {
	w := &world{
		seed: seed, flows: flowsPerUpstream, deployment: d, policy: p, service: identity.NewServiceID("customer", d.name),
		byTunnel: map[netip.AddrPort]*sidecar{}, byOwner: map[identity.OwnerID]*sidecar{},
		byAddress: map[netip.AddrPort]*balancer{},
	}
	w.topology, w.network = w.stream(streamTopology), w.stream(streamNetwork)
	ring, err := keyring.New(1, map[keyring.Generation][]byte{1: make([]byte, keyring.SecretSize)})
	if err != nil {
		panic(err)
	}
	w.ring = ring
	w.central = &centralQueue{world: w}
	for i := range balancerCount {
		w.fabric = append(w.fabric, w.newBalancer(i%dataCentreCount))
	}
	for i := range d.upstreams {
		w.newSidecar(i%dataCentreCount, true)
	}
	for _, s := range w.sidecars {
		s.weight, s.version = routing.MaxWeight, 1
		w.tell(s, record{version: 1, weight: s.weight})
	}
	return w
}

// stream returns random numbers that do not depend on the other streams.
func (w *world) stream(number uint64) *rand.Rand { return rand.New(rand.NewPCG(w.seed, number)) }

func (w *world) newBalancer(dataCentre int) *balancer {
	w.addresses++
	b := &balancer{
		world: w, dataCentre: dataCentre, running: true, table: routing.NewTable(),
		address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(w.addresses >> 8), byte(w.addresses)}), 4000),
		versions: map[identity.OwnerID]uint64{}, flows: map[*conn]*sidecar{},
	}
	w.balancers = append(w.balancers, b)
	w.byAddress[b.address] = b
	return b
}

// tell gives a record to every process at once.
func (w *world) tell(s *sidecar, r record) {
	for _, b := range w.balancers {
		b.learn(s, r)
	}
	for _, other := range w.sidecars {
		other.learn(s, r)
	}
}

// publish gives a new record of a sidecar to every process, each at its own time.
func (w *world) publish(s *sidecar, gone bool) {
	s.version++
	r := record{version: s.version, weight: s.weight, gone: gone}
	for _, b := range w.balancers {
		if b.running {
			w.after(w.dissemination(), func() { b.learn(s, r) })
		}
	}
	for _, other := range w.sidecars {
		if other != s {
			w.after(w.dissemination(), func() { other.whenAwake(func() { other.learn(s, r) }) })
		}
	}
}

func (w *world) dissemination() micros {
	return minDissemination + micros(w.network.Int64N(int64(maxDissemination-minDissemination)))
}

func (w *world) latency(from, to int) micros {
	if from == to {
		return withinCentre
	}
	return w.deployment.betweenCentres
}

func (w *world) measuring() bool { return w.time >= w.measureFrom && w.time < w.measureUntil }

func (w *world) waited(r *request) {
	if w.measuring() && !r.surplus {
		w.waits = append(w.waits, w.time-r.received)
	}
}

// broken counts a stream that ended before its time.
func (w *world) broken(n *conn) {
	if n.established {
		w.brokenFlows++
	}
}

// openClients opens all flows, spread over a time.
func (w *world) openClients(spread micros) {
	count := w.deployment.upstreams * w.flows
	for i := range count {
		c := &phone{world: w, current: &conn{}}
		w.clients = append(w.clients, c)
		w.at(micros(i)*spread/micros(count), c.open)
	}
}

// addSidecar starts an upstream that is cold, and a sidecar that knows its
// siblings as a watcher tells them.
func (w *world) addSidecar(dataCentre int) {
	s := w.newSidecar(dataCentre, false)
	for _, other := range w.sidecars {
		if !other.exited && other != s {
			s.learn(other, record{version: other.version, weight: other.weight})
		}
	}
}

// replaceBalancer starts a balancer and stops another one gracefully.
func (w *world) replaceBalancer(old *balancer) {
	b := w.newBalancer(old.dataCentre)
	for _, s := range w.sidecars {
		if !s.exited {
			b.learn(s, record{version: s.version, weight: s.weight})
		}
	}
	w.fabric = append(w.fabric, b)
	w.after(fabricDelay, func() { w.leaveFabric(old) })
	w.after(fabricDelay+balancerSilence, func() { old.running = false })
}

// killBalancer stops a balancer, to which the fabric sends for a while.
func (w *world) killBalancer(b *balancer) {
	b.running = false
	w.after(fabricDelay, func() { w.leaveFabric(b) })
}

func (w *world) leaveFabric(b *balancer) {
	w.fabric = slices.DeleteFunc(slices.Clone(w.fabric), func(other *balancer) bool { return other == b })
}

// pause stops a sidecar for a time. Its watchers declare it dead in between, and
// when it resumes it announces a higher version.
func (w *world) pause(s *sidecar, duration micros) {
	s.paused = w.time + duration
	silence := fromMillis(membership.SilenceTimeout)
	if duration > silence {
		w.after(silence, func() { w.publish(s, true) })
		w.at(s.paused, func() { w.publish(s, false) })
	}
}
