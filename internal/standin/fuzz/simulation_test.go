package fuzz_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/control/membership"
)

const (
	minLatency clock.Millis = 1
	maxLatency clock.Millis = 5
	// maxExtraDelay is below the silence timeout of streams, so that a late message
	// alone does not end a stream.
	maxExtraDelay clock.Millis = 1500
	// startupTime is long enough for all processes to discover each other.
	startupTime  = 10 * clock.Second
	initialFlows = 4
	customer     = "presa-digital"
)

// services are the services of the customer. Both have sidecars. Fields and parameters
// named service that are integers are indexes into this array.
var services = [...]string{"grower-portal", "weighbridge"}

// location is an address that successive processes use, one at a time. service
// applies to sidecars only.
type location struct {
	address    netip.AddrPort
	dataCentre string
	balancer   bool
	service    int
}

// event is a scheduled function call.
type event struct {
	at       clock.Millis
	sequence int
	// to is the process that the event affects. While the process is paused, the event
	// waits. After the process has ended, the event is dropped. If to is nil, the event
	// always runs.
	to  *process
	run func()
}

// events is a heap in order of time, then of insertion.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].sequence, e[j].sequence)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation connects the real state machines of balancers and sidecars through a
// simulated network on a virtual clock.
type simulation struct {
	random      *rand.Rand
	now         clock.Millis
	sequence    int
	events      events
	locations   []location
	processes   []*process
	decisions   decisions
	oracle      *oracle
	platform    *fakePlatform
	keyRotation keyRotation

	flows  []*flow
	orders []*order
	// messages holds the contents of all packets. A packet carries only an index
	// into it.
	messages []*message

	// cuts contains the pairs of locations (from, to) between which the network
	// delivers nothing.
	cuts map[[2]int]bool
	// partitioned contains the data centres that are cut off from the others.
	partitioned map[string]bool
	// faulty makes the network lose, duplicate and delay single messages.
	faulty bool
	// lastNetworkFault is the last time at which the network had a fault.
	// lastControlFault is the last time at which a balancer or the platform had a
	// fault, or no balancer was ready.
	lastNetworkFault, lastControlFault clock.Millis
	// lastStop is when a planned stop last began or ended.
	lastStop clock.Millis
}

func newSimulation(seed uint64, d decisions) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), decisions: d,
		cuts: map[[2]int]bool{}, partitioned: map[string]bool{},
		lastNetworkFault: -clock.Minute, lastControlFault: -clock.Minute,
	}
	sim.oracle = newOracle(sim)
	sim.keyRotation = newKeyRotation()
	sim.platform = newPlatform(sim)
	sim.addLocations("hr-east-a", 3, 0, 0, 1)
	sim.addLocations("hr-east-b", 2, 0, 1)
	for i := range sim.locations {
		sim.start(i)
	}
	sim.platform.write(customer, 2, faultNone)
	sim.advance(startupTime)
	// Until the first balancers are ready, recordFaults records a control fault. The
	// start-up is not a fault.
	sim.lastControlFault = -clock.Minute
	for i := range initialFlows {
		sim.openFlow(i%len(services), i%4 < 2, 8)
	}
	sim.advance(clock.Second)
	return sim
}

// addLocations adds a location for each balancer, and one for each entry of
// sidecarServices, which is the service of that sidecar.
func (sim *simulation) addLocations(dataCentre string, balancers int, sidecarServices ...int) {
	for i := range balancers + len(sidecarServices) {
		added := location{
			address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(sim.locations) + 1)}), 4000),
			dataCentre: dataCentre, balancer: i < balancers,
		}
		if !added.balancer {
			added.service = sidecarServices[i-balancers]
		}
		sim.locations = append(sim.locations, added)
	}
}

// start starts a process at the location with the given index.
func (sim *simulation) start(index int) *process {
	p := newProcess(sim, index)
	sim.processes = append(sim.processes, p)
	sim.tick(p)
	return p
}

// processAt returns the running process at the location with the given index, or
// nil.
func (sim *simulation) processAt(index int) *process {
	for _, p := range sim.processes {
		if p.running && p.location == index {
			return p
		}
	}
	return nil
}

func (sim *simulation) processByAddress(a netip.AddrPort) *process {
	return sim.processAt(slices.IndexFunc(sim.locations, func(l location) bool { return l.address == a }))
}

func (sim *simulation) processByOwner(owner identity.OwnerID) *process {
	for _, p := range sim.processes {
		if p.id == owner {
			return p
		}
	}
	return nil
}

// live returns the running balancers if balancers is true, and otherwise the running
// sidecars.
func (sim *simulation) live(balancers bool) []*process {
	var live []*process
	for _, p := range sim.processes {
		if p.running && sim.locations[p.location].balancer == balancers {
			live = append(live, p)
		}
	}
	return live
}

// terminate ends a process at once. If reset is true, its peers see their streams
// fail. Otherwise the streams only fall silent.
func (sim *simulation) terminate(p *process, reset bool) {
	p.running = false
	for _, id := range p.streamOrder {
		s, ok := p.streams[id]
		if !ok {
			continue
		}
		if reset {
			sim.disconnect(s, false)
		}
		delete(p.streams, id)
	}
}

func (sim *simulation) schedule(delay clock.Millis, to *process, run func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: sim.now + delay, sequence: sim.sequence, to: to, run: run})
}

func (sim *simulation) latency() clock.Millis {
	return minLatency + clock.Millis(sim.random.Int64N(int64(maxLatency-minLatency)))
}

// cut reports whether the network drops everything from a to b.
func (sim *simulation) cut(a, b *process) bool {
	x, y := sim.locations[a.location].dataCentre, sim.locations[b.location].dataCentre
	return sim.partitioned[x] != sim.partitioned[y] || sim.cuts[[2]int{a.location, b.location}]
}

func (sim *simulation) networkFaulty() bool {
	return sim.faulty || len(sim.cuts) > 0 || len(sim.partitioned) > 0
}

// advance moves the clock forward and runs the events that fall due. It stops
// running events once the oracle has found a violation.
func (sim *simulation) advance(d clock.Millis) {
	until := sim.now + d
	for len(sim.events) > 0 && sim.events[0].at <= until && sim.oracle.violation == "" {
		e := heap.Pop(&sim.events).(event)
		sim.now = max(sim.now, e.at)
		sim.recordFaults()
		if e.to != nil && !e.to.running {
			continue
		}
		if e.to != nil && e.to.pausedUntil > sim.now {
			sim.schedule(e.to.pausedUntil-sim.now, e.to, e.run)
			continue
		}
		e.run()
	}
	sim.now = until
	sim.recordFaults()
}

// recordFaults updates the times of the last faults while faults persist.
func (sim *simulation) recordFaults() {
	if sim.networkFaulty() {
		sim.lastNetworkFault = sim.now
	}
	// After the loss of all balancers, the first new one takes only contracts from
	// the platform and is ready without members (section 6 of the design). The loss
	// therefore lasts until a balancer is ready.
	if sim.platform.outage || !sim.anyReady() {
		sim.lastControlFault = sim.now
	}
	for _, p := range sim.processes {
		if p.running && p.pausedUntil > sim.now {
			sim.recordProcessFault(p)
		}
	}
}

func (sim *simulation) anyReady() bool {
	for _, b := range sim.live(true) {
		if b.readyAt >= 0 {
			return true
		}
	}
	return false
}

func (sim *simulation) recordProcessFault(p *process) {
	p.lastFault = sim.now
	if p.balancer != nil {
		sim.lastControlFault = sim.now
	}
}

// heal ends all faults, starts a balancer if none is running, and lets the given
// time pass.
func (sim *simulation) heal(quiet clock.Millis) {
	sim.recordFaults()
	sim.faulty, sim.platform.outage = false, false
	clear(sim.partitioned)
	clear(sim.cuts)
	for _, p := range sim.processes {
		p.pausedUntil = min(p.pausedUntil, sim.now)
	}
	for i, p := range sim.locations {
		if p.balancer && len(sim.live(true)) == 0 {
			sim.start(i)
		}
	}
	sim.advance(quiet)
}

// keyRotation is the progress of a key rotation in three stages. A new generation
// is added to all processes, then made active in all of them, and then the old
// generation is removed.
type keyRotation struct {
	// oldGeneration is the generation that the rotation replaces.
	oldGeneration keyring.Generation
	// next is the key ring that the processes load one by one.
	next  *keyring.Ring
	stage int
}

func newKeyRotation() keyRotation {
	r := keyRotation{}
	r.next = newRing(0, 0)
	return r
}

func newRing(active keyring.Generation, generations ...keyring.Generation) *keyring.Ring {
	secrets := map[keyring.Generation][]byte{}
	for _, g := range generations {
		secret := make([]byte, keyring.SecretSize)
		secret[0] = byte(g) + 1
		secrets[g] = secret
	}
	r, err := keyring.New(active, secrets)
	if err != nil {
		panic(err)
	}
	return r
}

// rotate lets one process load the next key ring. If all processes have loaded it
// already, the rotation enters the next stage. The old generation is removed only after
// its flows have ended, because an operator waits for that as well.
func (sim *simulation) rotate() {
	for _, p := range sim.processes {
		if p.running && !p.keys.Ring().Equal(sim.keyRotation.next) {
			p.keys.Replace(sim.keyRotation.next)
			return
		}
	}
	old := sim.keyRotation.oldGeneration
	following := (old + 1) % keyring.MaxGenerations
	switch sim.keyRotation.stage {
	case 0:
		sim.keyRotation.next = newRing(old, old, following)
	case 1:
		sim.keyRotation.next = newRing(following, old, following)
	default:
		for _, f := range sim.flows {
			if f.state <= flowOpen && f.generation == old {
				return
			}
		}
		sim.keyRotation.next, sim.keyRotation.oldGeneration = newRing(following, following), following
	}
	sim.keyRotation.stage = (sim.keyRotation.stage + 1) % 3
}

func (sim *simulation) tick(p *process) {
	p.tick()
	sim.schedule(membership.TickInterval, p, func() { sim.tick(p) })
}

func (p *process) String() string {
	return fmt.Sprintf("%s at location %d", p.id, p.location)
}
