// Package fleet is a stand-in for the users' platform in one process and on a virtual
// clock: routers, clients and upstreams around the decisions of balancers and
// sidecars, with faults, and with an oracle that judges what clients and upstreams
// see. The same seed gives the same run.
package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// maxDelay is the longest time of a datagram on the way.
	maxDelay = 3
	// probeInterval is the time between two probes of a router, and probeMisses the
	// misses that take a balancer out of rotation.
	probeInterval clock.Millis = 500
	probeMisses                = 2
	// heartbeatInterval is the time between two heartbeats of an upstream.
	heartbeatInterval clock.Millis = 1200
	// reportInterval is the time between two reports of a sidecar.
	reportInterval clock.Millis = 200
	// drainLimit is how long after the acknowledgement of a drain an upstream may
	// still get new flows.
	drainLimit = 3 * clock.Second
)

// Config configures a Cluster.
type Config struct {
	Seed uint64
	// RendezvousHash selects the hash that moves only the flows of a changed balancer.
	RendezvousHash bool
	// Balancers is the number of entry hosts, Upstreams that of upstreams of each
	// service, Services that of services.
	Balancers, Upstreams, Services int
	// Loss is the share of datagrams that are lost.
	Loss float64
	// Mutant breaks one mechanism, to try the oracle.
	Mutant Mutant
	// Remote is set if balancers and sidecars run outside.
	Remote *Remote
}

// Mutant is a mechanism that is broken on purpose.
type Mutant int

// Mutants.
const (
	// DrainIgnored keeps offering new flows to an upstream that drains.
	DrainIgnored Mutant = iota + 1
	// ServiceUnchecked lets packets of any service enter an upstream.
	ServiceUnchecked
	// AbsenceAssumed takes one answer for those of all sidecars.
	AbsenceAssumed
	// StaleHeartbeatsApplied applies heartbeats whatever their age.
	StaleHeartbeatsApplied
	// LearningSkipped lets a restarted sidecar believe that its upstream holds no flow.
	LearningSkipped
	// AcceptedAsRefused reports flows that the upstream has accepted as refused.
	AcceptedAsRefused
	// ResponsesMisdelivered delivers a response to the client before.
	ResponsesMisdelivered
	// ResetOnSearch resets a flow when its owner is asked for.
	ResetOnSearch
	mutantEnd
)

// Mutants returns all mutants.
func Mutants() []Mutant {
	var all []Mutant
	for m := DrainIgnored; m < mutantEnd; m++ {
		all = append(all, m)
	}
	return all
}

// Cluster is the whole stand-in. It is not safe for concurrent use.
type Cluster struct {
	config    Config
	random    *rand.Rand
	now       clock.Millis
	events    events
	order     uint64
	balancers []*balancerHost
	upstreams []*upstreamHost
	version   uint64
	clients   int
	requests  uint64
	// runs counts how often each request ran, and once are those that may run once.
	runs map[uint64]int
	once map[uint64]bool
	// exchanges are the tries of clients by the client's address.
	exchanges map[netip.AddrPort]*exchange
	faults    []string
	served    int
	unserved  int
}

// New returns a cluster in which all hosts run.
func New(config Config) *Cluster {
	w := &Cluster{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 1)), version: 1,
		runs: map[uint64]int{}, once: map[uint64]bool{}, exchanges: map[netip.AddrPort]*exchange{},
	}
	for i := range config.Balancers {
		w.balancers = append(w.balancers, newBalancerHost(w, i))
	}
	for s := range config.Services {
		for range config.Upstreams {
			w.AddUpstream(s)
		}
	}
	return w
}

// Violations returns what broke a rule, one line each.
func (w *Cluster) Violations() []string { return w.faults }

// Served returns how many requests were answered, and Unserved how many were given
// up.
func (w *Cluster) Served() int { return w.served }

// Unserved returns how many requests were given up.
func (w *Cluster) Unserved() int { return w.unserved }

// Now returns the virtual time.
func (w *Cluster) Now() clock.Millis { return w.now }

// RandomInt returns a number from 0 to n-1 from the seed.
func (w *Cluster) RandomInt(n int) int { return w.random.IntN(n) }

func (w *Cluster) fault(format string, arguments ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%d ms: ", w.now)+fmt.Sprintf(format, arguments...))
}

// serviceAddress returns the address that clients of a service call.
func serviceAddress(service int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(service + 1)}), 443)
}

func serviceName(service int) string { return fmt.Sprintf("service-%d", service) }

// Advance lets time pass.
func (w *Cluster) Advance(d clock.Millis) {
	until := w.now + d
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

// after calls run later.
func (w *Cluster) after(d clock.Millis, run func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + d, order: w.order, run: run})
}

// deliver calls receive after the time on the way, unless the datagram is lost.
func (w *Cluster) deliver(receive func()) {
	if w.random.Float64() < w.config.Loss {
		return
	}
	w.after(clock.Millis(1+w.random.IntN(maxDelay)), receive)
}

// route returns the balancer that a router selects for a flow, nil if there is none.
func (w *Cluster) route(client netip.AddrPort, service netip.AddrPort) *balancerHost {
	var rotation []*balancerHost
	for _, b := range w.balancers {
		if b.misses < probeMisses {
			rotation = append(rotation, b)
		}
	}
	if len(rotation)*2 < len(w.balancers) {
		rotation = w.balancers
	}
	hash := keyOf(client, service).Hash()
	if !w.config.RendezvousHash {
		return rotation[hash%uint64(len(rotation))]
	}
	best, score := rotation[0], uint64(0)
	for _, b := range rotation {
		if s := (hash ^ uint64(b.index+1)*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd; s >= score {
			best, score = b, s
		}
	}
	return best
}

// event is something that happens at a time.
type event struct {
	at    clock.Millis
	order uint64
	run   func()
}

// events is a heap of events in order of time.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].order < e[j].order)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
