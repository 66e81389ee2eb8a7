// Package balancer decides what a balancer does with the packets of flows that
// carry no connection ID: which sidecar gets a new flow, and which one holds an
// open flow. It is pure: packets, messages and time in, datagrams out.
package balancer

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

const (
	// minAnswerTimeout and maxAnswerTimeout bound how long a sidecar may take to
	// accept a new flow before another one is asked: at least several round trips
	// between data centres, and less than the 200 ms after which clients repeat.
	minAnswerTimeout clock.Millis = 30
	maxAnswerTimeout clock.Millis = 150
	// maxAttempts limits the sidecars that are asked for one new flow.
	maxAttempts = 4
	// defaultIdle is how long an idle flow is remembered when the configuration
	// has no limit.
	defaultIdle = 30 * clock.Second
	// waitTime is how long a new flow waits for a sidecar of its service to report,
	// and startWaitTime how long while the balancer does not know all of them: the
	// time in which the client repeats its request.
	waitTime      clock.Millis = 250
	startWaitTime clock.Millis = 1300
	// waitPoll is the time between two looks at a waiting request.
	waitPoll clock.Millis = 20
	// maxFlows bounds the memory: about 200 bytes for each flow.
	maxFlows = 100_000
)

// Outcome is what became of a packet or flow, for counters and logs.
type Outcome int

// Outcomes.
const (
	OutcomePlaced Outcome = iota
	OutcomeMovedOn
	OutcomeTimedOut
	OutcomeForwarded
	OutcomeSearched
	OutcomeReset
	OutcomeNoRoute
	OutcomeNoSidecar
	OutcomeInvalid
	OutcomeLimited
	OutcomeNotHeld
	OutcomeClaimed
	OutcomeAccepted
	OutcomeWaiting
	OutcomeLost
	OutcomeLinkFull
	OutcomeUnresolved
	OutcomeExpired
	OutcomeCount
)

var outcomeNames = [OutcomeCount]string{
	"placed", "moved-on", "timed-out", "forwarded", "searched", "reset", "no-route", "no-sidecar",
	"invalid", "limited", "not-held", "claimed", "accepted", "waiting", "lost", "link-full", "unresolved",
	"expired",
}

// String returns the name of the outcome in metrics and logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Event is a decision about one flow.
type Event struct {
	Outcome Outcome
	Key     segment.Key
	Sidecar netip.AddrPort
	// Reason is set if a sidecar refused the flow.
	Reason relay.Reason
	// Version is that of the configuration that decided.
	Version uint64
	// Age is the time since the last news of the sidecar.
	StateAge clock.Millis
	// Attempt counts the sidecars asked, from 1.
	Attempt int
}

// Config configures a Balancer. Every function is called during calls of the
// Balancer and must not call it back.
type Config struct {
	DataCentre string
	// LinkRate is that of the host's link in megabits a second; 0 means not known.
	LinkRate float64
	// Decode reads a client's packet.
	Decode func([]byte) (segment.Segment, error)
	// Reset returns the packet that refuses a flow.
	Reset func(key segment.Key, acknowledged uint32) []byte
	// ToSidecar and ToClient send a datagram, which is valid during the call only.
	ToSidecar func(to netip.AddrPort, data []byte)
	ToClient  func(to netip.Addr, data []byte)
	// Random returns a number from 0 to n-1.
	Random func(n int) int
	// Complete reports whether every sidecar that may hold flows has reported. Until
	// then a flow that nobody claims may still exist.
	AllReported func() bool
	// Observe receives every decision. Nil means nothing.
	Observe func(Event)
}

// Balancer is the state of one balancer. It is not safe for concurrent use.
type Balancer struct {
	config   Config
	table    *route.Table
	sidecars map[netip.AddrPort]*sidecar
	services map[identity.ServiceID][]*sidecar
	// changed are the services whose members have changed.
	changed map[identity.ServiceID]bool
	flows   map[segment.Key]*flow
	// waiting are the requests for which no sidecar can be asked now, and nextPoll is
	// the time of the next look at them.
	waiting  []*opening
	nextPoll clock.Millis
	// openings are the requests that wait for an answer, in order of their deadlines.
	openings attempts
	answers  latency
	// bulk are the bulk flows that send, at most bulkLimit.
	bulk      map[segment.Key]struct{}
	bulkLimit int
	buffer    []byte
	swept     clock.Millis
	// window and searches count the searches of the current second.
	window   clock.Millis
	searches int
	counts   [OutcomeCount]uint64
}

// flow is what the balancer remembers of a flow.
type flow struct {
	// owner is the sidecar that gets the packets. The zero value means unknown.
	owner    netip.AddrPort
	seen     clock.Millis
	accepted bool
	// service and bulk are those of the flow's route.
	service identity.ServiceID
	bulk    bool
	opening *opening
	// searches counts the sidecars that were asked to find the owner, the last one at
	// searched.
	searches int
	searched clock.Millis
	// absent are the services none of whose upstreams holds the flow.
	absent []identity.ServiceID
	// acknowledged is the client's position in the last packet, which holds data if
	// waiting is set.
	acknowledged uint32
	waiting      bool
}

// New returns a Balancer without table and sidecars.
func New(config Config) *Balancer {
	if config.Observe == nil {
		config.Observe = func(Event) {}
	}
	if config.AllReported == nil {
		config.AllReported = func() bool { return true }
	}
	return &Balancer{
		config:   config,
		sidecars: map[netip.AddrPort]*sidecar{},
		services: map[identity.ServiceID][]*sidecar{},
		changed:  map[identity.ServiceID]bool{},
		flows:    map[segment.Key]*flow{},
		bulk:     map[segment.Key]struct{}{}, bulkLimit: bulkLimit(config.LinkRate),
	}
}

// SetTable puts a configuration into effect. It reports false for one that is not
// newer than the current one.
func (b *Balancer) SetTable(t *route.Table) bool {
	if b.table != nil && t.Version() <= b.table.Version() {
		return false
	}
	b.table = t
	return true
}

// Table returns the configuration in effect, nil if there is none.
func (b *Balancer) Table() *route.Table { return b.table }

// Flows returns the number of flows remembered.
func (b *Balancer) Flows() int { return len(b.flows) }

// Count returns how often an outcome occurred.
func (b *Balancer) Count(o Outcome) uint64 { return b.counts[o] }

// HandleClient handles a packet of a client.
func (b *Balancer) HandleClient(now clock.Millis, packet []byte) {
	s, err := b.config.Decode(packet)
	if err != nil || s.Returned {
		b.count(Event{Outcome: OutcomeInvalid})
		return
	}
	f := b.flows[s.Key]
	if s.Requests() {
		b.handleRequest(now, f, s, packet)
		return
	}
	if f != nil && f.owner.IsValid() {
		f.seen = now
		b.trackBulk(f, s)
		b.forward(f.owner, relay.KindForward, f.service, packet)
		b.counts[OutcomeForwarded]++
		return
	}
	b.search(now, s, packet)
}

// HandleSidecar handles a message of a sidecar.
func (b *Balancer) HandleSidecar(now clock.Millis, from netip.AddrPort, m relay.Message) {
	switch m.Kind {
	case relay.KindReport:
		b.applyReport(now, from, m.Report)
	case relay.KindAccepted:
		b.applyLoad(now, from, m.Load)
		b.handleAccepted(now, from, m.Key)
	case relay.KindRefused:
		b.applyLoad(now, from, m.Load)
		b.handleRefused(now, from, m)
	case relay.KindClaimed:
		b.applyLoad(now, from, m.Load)
		f := b.remember(now, m.Key)
		f.owner, f.accepted, f.searches = from, true, 0
		b.count(Event{Outcome: OutcomeClaimed, Key: m.Key, Sidecar: from})
	case relay.KindAbsent:
		b.handleAbsent(from, m)
	case relay.KindNotHeld:
		b.handleNotHeld(now, from, m.Packet)
	}
}

// handleNotHeld looks for the owner of a flow that is not where it was.
func (b *Balancer) handleNotHeld(now clock.Millis, from netip.AddrPort, packet []byte) {
	s, err := b.config.Decode(packet)
	if err != nil {
		b.count(Event{Outcome: OutcomeInvalid})
		return
	}
	b.count(Event{Outcome: OutcomeNotHeld, Key: s.Key, Sidecar: from})
	if f := b.flows[s.Key]; f != nil {
		if f.owner.IsValid() && f.owner != from {
			b.forward(f.owner, relay.KindForward, f.service, packet)
			return
		}
		f.owner = netip.AddrPort{}
	}
	b.search(now, s, packet)
}

// remember returns the entry of a flow, which it makes if there is none.
func (b *Balancer) remember(now clock.Millis, key segment.Key) *flow {
	f := b.flows[key]
	if f == nil {
		if len(b.flows) >= maxFlows {
			b.forgetOne()
		}
		f = &flow{}
		if r, ok := b.table.Lookup(key.Service()); ok {
			f.service, f.bulk = r.Service(key), r.Bulk
		}
		b.flows[key] = f
	}
	f.seen = now
	return f
}

// forgetOne forgets any flow. Its next packet is sent to all sidecars.
func (b *Balancer) forgetOne() {
	for key := range b.flows {
		delete(b.flows, key)
		return
	}
}

func (b *Balancer) forward(to netip.AddrPort, kind relay.Kind, service identity.ServiceID, packet []byte) {
	b.sendTo(to, relay.Message{Kind: kind, Service: service, Packet: packet})
}

func (b *Balancer) sendTo(to netip.AddrPort, m relay.Message) {
	data, err := m.Append(b.buffer[:0])
	if err != nil {
		b.count(Event{Outcome: OutcomeInvalid})
		return
	}
	b.buffer = data
	b.config.ToSidecar(to, data)
}

func (b *Balancer) count(e Event) {
	b.counts[e.Outcome]++
	b.config.Observe(e)
}

// NextDeadline returns the time at which Tick has something to do, or 0 if no
// answer is awaited.
func (b *Balancer) NextDeadline() clock.Millis {
	var next clock.Millis
	if len(b.waiting) > 0 {
		next = b.nextPoll
	}
	if len(b.openings) > 0 && (next == 0 || b.openings[0].deadline < next) {
		next = b.openings[0].deadline
	}
	return next
}

// Tick forgets old state and asks other sidecars where no answer came.
func (b *Balancer) Tick(now clock.Millis) {
	b.expireOpenings(now)
	if now-b.swept >= clock.Second {
		b.swept = now
		b.sweep(now)
	}
}

func (b *Balancer) sweep(now clock.Millis) {
	idle := b.table.IdleTimeout()
	if idle <= 0 {
		idle = defaultIdle
	}
	for key, f := range b.flows {
		if now-f.seen > idle {
			delete(b.flows, key)
		}
	}
	b.expireSidecars(now)
}
