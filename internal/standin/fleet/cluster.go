// Package fleet simulates the users' platform in one process on a virtual clock. Routers,
// clients and upstreams surround the decision logic of balancers and sidecars, faults are
// injected, and an oracle checks what clients and upstreams observe. All random draws come
// from one seed, so that runs of a seed do not differ.
package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// maxDelay is the longest time in ms that a datagram takes to arrive.
	maxDelay = 3
	// probeInterval is the time between two readiness probes of a router.
	probeInterval clock.Millis = 500
	// maxFailedProbes is the number of consecutive failed probes that takes a balancer out
	// of rotation.
	maxFailedProbes = 2
	// heartbeatInterval is the time between two heartbeats of an upstream.
	heartbeatInterval clock.Millis = 1200
	// reportInterval is the time between two reports of a sidecar.
	reportInterval clock.Millis = 200
	// drainGracePeriod is how long an upstream may still receive new flows after its drain
	// was acknowledged.
	drainGracePeriod = 3 * clock.Second
)

// Config configures a Cluster.
type Config struct {
	// Seed initializes the random source of all draws.
	Seed uint64
	// RendezvousHash makes routers select balancers by rendezvous hashing, so that a change
	// of one balancer moves only its own flows. Otherwise they select by hash modulo the
	// number of balancers in rotation.
	RendezvousHash bool
	// Balancers is the number of balancers.
	// Upstreams is the number of upstreams of each service.
	// Services is the number of services.
	Balancers, Upstreams, Services int
	// Loss is the fraction of datagrams that are lost, from 0 to 1.
	Loss float64
	// Store lets balancers learn of configurations, and all hosts keep their entries, by
	// calls to a metadata store. Otherwise a configuration reaches each balancer after a
	// delay of up to 1 s.
	Store bool
	// DataCentres is the number of data centres over which the hosts are spread; 0 means that
	// all are in one without a name.
	DataCentres int
	// Mutant breaks one mechanism to test the oracle. 0 breaks none.
	Mutant Mutant
	// Remote is set if balancers and sidecars run outside of the cluster, nil otherwise.
	Remote *Remote
}

// Mutant is a mechanism that is broken on purpose.
type Mutant int

// Mutants.
const (
	// DrainIgnored keeps offering new flows to an upstream that drains.
	DrainIgnored Mutant = iota + 1
	// ServiceUnchecked lets a sidecar accept messages for any service.
	ServiceUnchecked
	// AbsenceAssumed makes a balancer take the response of one sidecar for the responses of
	// all, and makes it assume after its start that all sidecars have reported.
	AbsenceAssumed
	// StaleHeartbeatsApplied applies heartbeats whatever their age.
	StaleHeartbeatsApplied
	// LearningSkipped makes a restarted sidecar assume that its upstream holds no flow.
	LearningSkipped
	// AcceptedAsRefused reports a flow as refused although the upstream has accepted it.
	AcceptedAsRefused
	// ResponsesMisdelivered delivers responses to the client of another open flow.
	ResponsesMisdelivered
	// ResetOnSearch resets a flow when the search for its owner starts.
	ResetOnSearch
	// CurrentTargetsSearched makes a balancer search for the owner of a flow only in the
	// services that are targets of the flow's route now.
	CurrentTargetsSearched
	// AddressesUnlisted makes the reports of sidecars list no addresses, as if their
	// upstreams held no flows.
	AddressesUnlisted
	// StopUnannounced makes sidecars that are stopped gracefully not say so.
	StopUnannounced
	mutantEnd
)

// Mutants of what processes keep from the store. They need Config.Store.
const (
	// EpochIgnored makes balancers keep revisions without the epoch of the store.
	EpochIgnored Mutant = iota + mutantEnd + 1
	// CompactionIgnored makes balancers go on with a watch whose history is lost.
	CompactionIgnored
	// FetchDeferred lets each further version of a peer defer the fetch of a configuration.
	FetchDeferred
	// EntryUnverified makes hosts not look for their entry after a restore.
	EntryUnverified
	// LeaseEnded makes processes keep the ID of their lease across restores and end it when
	// they stop.
	LeaseEnded
	// DrainUnrecorded makes sidecars not record drains.
	DrainUnrecorded
	storeMutantEnd
)

// Mutants of evacuations. They need Config.Store and Config.DataCentres.
const (
	// PeersUntold makes processes ignore the records of evacuations that others send them.
	PeersUntold Mutant = iota + storeMutantEnd + 1
	// RestartedUntold makes processes that have been restarted ignore all evacuations.
	RestartedUntold
	// RestoreEndsEvacuations makes balancers end an evacuation whose key the store has lost
	// by a restore.
	RestoreEndsEvacuations
	evacuationMutantEnd
)

// EvacuationMutants returns the mutants that need Config.DataCentres.
func EvacuationMutants() []Mutant {
	var all []Mutant
	for m := PeersUntold; m < evacuationMutantEnd; m++ {
		all = append(all, m)
	}
	return all
}

// Mutants that only show in runs of their own.
const (
	// BehindIgnored makes a balancer take a flow for lost although another balancer has a
	// newer configuration.
	BehindIgnored Mutant = iota + evacuationMutantEnd + 1
	// DirectoryTrusted makes a balancer take the sidecars that the directory lists for all of
	// them. Sidecars name no siblings.
	DirectoryTrusted
	// SiblingsForgotten makes sidecars know only the siblings that live balancers list, and
	// send these as a complete roster.
	SiblingsForgotten
)

// StoreMutants returns the mutants that need Config.Store.
func StoreMutants() []Mutant {
	var all []Mutant
	for m := EpochIgnored; m < storeMutantEnd; m++ {
		all = append(all, m)
	}
	return all
}

// Mutants returns the mutants that do not need Config.Store.
func Mutants() []Mutant {
	var all []Mutant
	for m := DrainIgnored; m < mutantEnd; m++ {
		all = append(all, m)
	}
	return all
}

// Cluster is the whole simulation. It is not safe for concurrent use.
type Cluster struct {
	config     Config
	random     *rand.Rand
	now        clock.Millis
	events     events
	eventCount uint64
	balancers  []*balancerHost
	upstreams  []*upstreamHost
	// version is that of the current configuration.
	version uint64
	targets targets
	// store is the metadata store; nil without Config.Store.
	store *storeHost
	// flowCount is the number of flows that clients have started.
	flowCount int
	// lastRequestID is the ID of the last request. It is also the number of requests so
	// far, because the IDs start at 1.
	lastRequestID uint64
	// executions counts how often each request was executed.
	executions map[uint64]int
	// notRepeatable holds the requests that must not be executed twice.
	notRepeatable map[uint64]bool
	// clientFlows are the flows of clients by the client's address.
	clientFlows map[netip.AddrPort]*clientFlow
	violations  []string
	served      int
	unserved    int
}

// New returns a cluster in which all hosts run. If config.Remote is set, no balancer and no
// sidecar runs in the cluster.
func New(config Config) *Cluster {
	c := &Cluster{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 1)), version: 1, targets: newTargets(config.Services),
		executions: map[uint64]int{}, notRepeatable: map[uint64]bool{}, clientFlows: map[netip.AddrPort]*clientFlow{},
	}
	if config.Store {
		c.store = newStoreHost(c)
	}
	for i := range config.Balancers {
		c.balancers = append(c.balancers, newBalancerHost(c, i))
	}
	for s := range config.Services {
		for range config.Upstreams {
			c.AddUpstream(s)
		}
	}
	return c
}

// Violations returns the recorded violations of rules, one line each.
func (c *Cluster) Violations() []string { return c.violations }

// Served returns how many requests got a response.
func (c *Cluster) Served() int { return c.served }

// Unserved returns how many requests failed for good.
func (c *Cluster) Unserved() int { return c.unserved }

// Now returns the virtual time since the start.
func (c *Cluster) Now() clock.Millis { return c.now }

// RandomInt draws a number from 0 to n-1 from the random source of the cluster.
func (c *Cluster) RandomInt(n int) int { return c.random.IntN(n) }

func (c *Cluster) recordViolation(format string, arguments ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%d ms: ", c.now)+fmt.Sprintf(format, arguments...))
}

// serviceAddress returns the address to which clients of a service connect.
func serviceAddress(service int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(service + 1)}), 443)
}

func serviceName(service int) string { return fmt.Sprintf("service-%d", service) }

// Advance moves the virtual time forward by d and runs the events that fall due.
func (c *Cluster) Advance(d clock.Millis) {
	until := c.now + d
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}

// after schedules run for d from now.
func (c *Cluster) after(d clock.Millis, run func()) {
	c.eventCount++
	heap.Push(&c.events, event{at: c.now + d, order: c.eventCount, run: run})
}

// deliver calls receive after the network delay, unless the datagram is lost.
func (c *Cluster) deliver(receive func()) {
	if c.random.Float64() < c.config.Loss {
		return
	}
	c.after(clock.Millis(1+c.random.IntN(maxDelay)), receive)
}

// selectBalancer returns the balancer to which a router sends a flow. If fewer than half of
// the balancers are in rotation, the router selects from all of them.
func (c *Cluster) selectBalancer(client netip.AddrPort, service netip.AddrPort) *balancerHost {
	var rotation []*balancerHost
	for _, b := range c.balancers {
		if b.failedProbes < maxFailedProbes {
			rotation = append(rotation, b)
		}
	}
	if len(rotation)*2 < len(c.balancers) {
		rotation = c.balancers
	}
	hash := flowKey(client, service).Hash()
	if !c.config.RendezvousHash {
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

// event is a function that runs at a virtual time. Events of the same time run in the order
// in which they were scheduled.
type event struct {
	at    clock.Millis
	order uint64
	run   func()
}

// events is a heap of events ordered by time.
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
