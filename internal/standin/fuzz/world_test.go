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
	// maxLateness stays below the silence timeout of streams.
	maxLateness clock.Millis = 1500
	// startTime is how long a case waits until all processes know each other.
	startTime    = 10 * clock.Second
	initialFlows = 4
	customer     = "presa-digital"
)

// services are those of the customer; both have sidecars.
var services = [...]string{"grower-portal", "weighbridge"}

// place is an address at which processes start one after the other.
type place struct {
	address    netip.AddrPort
	dataCentre string
	balancer   bool
	service    int
}

type event struct {
	at    clock.Millis
	order int
	to    *process
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is a fake network with a virtual clock around the real decisions.
type world struct {
	random    *rand.Rand
	now       clock.Millis
	order     int
	events    events
	places    []place
	processes []*process
	decisions decisions
	oracle    *oracle
	platform  *fakePlatform
	keys      rotation

	flows  []*flow
	orders []*order
	// packets holds the messages that packets name by their index.
	packets []*message

	// cuts are directions between two places in which nothing arrives.
	cuts        map[[2]int]bool
	partitioned map[string]bool
	faulty      bool
	// networkFault and controlFault are the last times of a fault of the network,
	// and of a balancer or the platform.
	networkFault, controlFault clock.Millis
	// stopped is when a planned stop last began or ended.
	stopped clock.Millis
}

func newWorld(seed uint64, d decisions) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), decisions: d,
		cuts: map[[2]int]bool{}, partitioned: map[string]bool{},
		networkFault: -clock.Minute, controlFault: -clock.Minute,
	}
	w.oracle = newOracle(w)
	w.keys = newRotation()
	w.platform = newPlatform(w)
	w.addPlaces("hr-east-a", 3, 0, 0, 1)
	w.addPlaces("hr-east-b", 2, 0, 1)
	for i := range w.places {
		w.start(i)
	}
	w.platform.write(customer, 2, faultNone)
	w.advance(startTime)
	// The start of the first balancers is no fault.
	w.controlFault = -clock.Minute
	for i := range initialFlows {
		w.openFlow(i%len(services), i%4 < 2, 8)
	}
	w.advance(clock.Second)
	return w
}

func (w *world) addPlaces(dataCentre string, balancers int, sidecars ...int) {
	for i := range balancers + len(sidecars) {
		p := place{
			address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(w.places) + 1)}), 4000),
			dataCentre: dataCentre, balancer: i < balancers,
		}
		if !p.balancer {
			p.service = sidecars[i-balancers]
		}
		w.places = append(w.places, p)
	}
}

// start starts a process at a place and returns it.
func (w *world) start(at int) *process {
	p := newProcess(w, at)
	w.processes = append(w.processes, p)
	w.tick(p)
	return p
}

// at returns the running process at a place.
func (w *world) at(at int) *process {
	for _, p := range w.processes {
		if p.running && p.at == at {
			return p
		}
	}
	return nil
}

func (w *world) atAddress(a netip.AddrPort) *process {
	return w.at(slices.IndexFunc(w.places, func(p place) bool { return p.address == a }))
}

func (w *world) byOwner(owner identity.OwnerID) *process {
	for _, p := range w.processes {
		if p.id == owner {
			return p
		}
	}
	return nil
}

// live returns the running processes of a role.
func (w *world) live(balancers bool) []*process {
	var live []*process
	for _, p := range w.processes {
		if p.running && w.places[p.at].balancer == balancers {
			live = append(live, p)
		}
	}
	return live
}

// crash ends a process. Peers see its streams fail if reset is set, and silence
// otherwise.
func (w *world) crash(p *process, reset bool) {
	p.running = false
	for _, id := range p.opened {
		s, ok := p.streams[id]
		if !ok {
			continue
		}
		if reset {
			w.disconnect(s, false)
		}
		delete(p.streams, id)
	}
}

func (w *world) schedule(delay clock.Millis, to *process, run func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + delay, order: w.order, to: to, run: run})
}

func (w *world) latency() clock.Millis {
	return minLatency + clock.Millis(w.random.Int64N(int64(maxLatency-minLatency)))
}

// cut reports whether nothing arrives at b from a.
func (w *world) cut(a, b *process) bool {
	x, y := w.places[a.at].dataCentre, w.places[b.at].dataCentre
	return w.partitioned[x] != w.partitioned[y] || w.cuts[[2]int{a.at, b.at}]
}

func (w *world) networkFaulty() bool {
	return w.faulty || len(w.cuts) > 0 || len(w.partitioned) > 0
}

// advance lets the given time pass.
func (w *world) advance(d clock.Millis) {
	until := w.now + d
	for len(w.events) > 0 && w.events[0].at <= until && w.oracle.violation == "" {
		e := heap.Pop(&w.events).(event)
		w.now = max(w.now, e.at)
		w.noteFaults()
		if e.to != nil && !e.to.running {
			continue
		}
		if e.to != nil && e.to.resumes > w.now {
			w.schedule(e.to.resumes-w.now, e.to, e.run)
			continue
		}
		e.run()
	}
	w.now = until
	w.noteFaults()
}

// noteFaults keeps the times of faults that last.
func (w *world) noteFaults() {
	if w.networkFaulty() {
		w.networkFault = w.now
	}
	// The first balancer after the loss of all takes only contracts from the
	// platform and is ready without members (section 6), so the loss lasts until then.
	if w.platform.outage || !w.anyReady() {
		w.controlFault = w.now
	}
	for _, p := range w.processes {
		if p.running && p.resumes > w.now {
			w.noteProcessFault(p)
		}
	}
}

func (w *world) anyReady() bool {
	for _, b := range w.live(true) {
		if b.ready >= 0 {
			return true
		}
	}
	return false
}

func (w *world) noteProcessFault(p *process) {
	p.faulted = w.now
	if p.balancer != nil {
		w.controlFault = w.now
	}
}

// heal ends all faults and lets the given time pass.
func (w *world) heal(quiet clock.Millis) {
	w.noteFaults()
	w.faulty, w.platform.outage = false, false
	clear(w.partitioned)
	clear(w.cuts)
	for _, p := range w.processes {
		p.resumes = min(p.resumes, w.now)
	}
	for i, p := range w.places {
		if p.balancer && len(w.live(true)) == 0 {
			w.start(i)
		}
	}
	w.advance(quiet)
}

// rotation is the progress of a key rotation: a new generation is added
// everywhere, then made active everywhere, then the old one is removed.
type rotation struct {
	active keyring.Generation
	// next is the ring that processes load one after the other.
	next  *keyring.Ring
	stage int
}

func newRotation() rotation {
	r := rotation{}
	r.next = ring(0, 0)
	return r
}

func ring(active keyring.Generation, held ...keyring.Generation) *keyring.Ring {
	secrets := map[keyring.Generation][]byte{}
	for _, g := range held {
		secret := make([]byte, keyring.SecretSize)
		secret[0] = byte(g) + 1
		secrets[g] = secret
	}
	made, err := keyring.New(active, secrets)
	if err != nil {
		panic(err)
	}
	return made
}

// rotate lets one process load the next ring, or moves on to the next stage when
// all have it. An operator waits for flows of the old generation to end.
func (w *world) rotate() {
	for _, p := range w.processes {
		if p.running && !p.keys.Ring().Equal(w.keys.next) {
			p.keys.Replace(w.keys.next)
			return
		}
	}
	old := w.keys.active
	following := (old + 1) % keyring.MaxGenerations
	switch w.keys.stage {
	case 0:
		w.keys.next = ring(old, old, following)
	case 1:
		w.keys.next = ring(following, old, following)
	default:
		for _, f := range w.flows {
			if f.state <= flowOpen && f.generation == old {
				return
			}
		}
		w.keys.next, w.keys.active = ring(following, following), following
	}
	w.keys.stage = (w.keys.stage + 1) % 3
}

func (w *world) tick(p *process) {
	p.tick()
	w.schedule(membership.TickInterval, p, func() { w.tick(p) })
}

func (p *process) String() string {
	return fmt.Sprintf("%s at place %d", p.id, p.at)
}
