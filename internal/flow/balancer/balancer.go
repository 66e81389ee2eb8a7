// Package balancer routes the packets of flows that carry no connection ID. It
// places each new flow on a sidecar and forwards the packets of an open flow to the
// sidecar whose upstream holds the flow. The package does no input or output of its own:
// the caller passes in packets, messages and the time, and sends the resulting datagrams.
package balancer

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/absence"
	"github.com/orioledyke/orioledyke/internal/flow/bulk"
	"github.com/orioledyke/orioledyke/internal/flow/outlier"
	"github.com/orioledyke/orioledyke/internal/flow/placement"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

const (
	// minResponseTimeout and maxResponseTimeout bound how long a sidecar may take to
	// respond to a new flow before the balancer places the flow elsewhere. The minimum
	// covers several round trips between data centres. The maximum is below the 200 ms
	// after which clients retransmit.
	minResponseTimeout clock.Millis = 30
	maxResponseTimeout clock.Millis = 150
	// maxAttempts limits the placement attempts for one new flow.
	maxAttempts = 4
	// defaultIdleTimeout is how long the entry of an idle flow is kept when the
	// configuration sets no limit.
	defaultIdleTimeout = 30 * clock.Second
	// waitTimeout is how long a new flow waits while its service has no usable sidecar.
	waitTimeout clock.Millis = 250
	// startupWaitTimeout replaces waitTimeout while some sidecars have not reported yet or
	// the first heartbeat of an upstream of the service is expected. It covers the time in
	// which the client retransmits its request.
	startupWaitTimeout clock.Millis = 1300
	// firstHeartbeatTime is the time within which a sidecar that has started gets the first
	// heartbeat of its upstream. Heartbeats come about every 1.2 s, and one may be lost.
	firstHeartbeatTime clock.Millis = 2500
	// waitPollInterval is the longest time after which the balancer tries again to place
	// the waiting flows. Usually it does so earlier, when a sidecar has room.
	waitPollInterval clock.Millis = 20
	// maxFlows bounds the memory for flow entries, which take about 200 bytes each.
	maxFlows = 100_000
)

// Outcome classifies a decision about a packet or flow, for metrics and logs.
type Outcome int

// Outcomes of decisions.
const (
	// OutcomePlaced is the first placement attempt of a new flow. An attempt is also
	// counted as the first one if all earlier sidecars were too busy.
	OutcomePlaced Outcome = iota
	// OutcomeMovedOn is an attempt at a further sidecar after a refusal, a timeout or a
	// retransmission by the client.
	OutcomeMovedOn
	// OutcomeTimedOut means that a sidecar did not respond to an attempt in time.
	OutcomeTimedOut
	// OutcomeForwarded means that a packet of a client went to the known owner of its flow.
	OutcomeForwarded
	// OutcomeSearched means that a sidecar was requested to search for the owner.
	OutcomeSearched
	// OutcomeReset means that the client of a refused new flow got a reset.
	OutcomeReset
	// OutcomeNoRoute means that the configuration has no route for the address.
	OutcomeNoRoute
	// OutcomeNoSidecar means that a new flow was refused because no sidecar took it.
	OutcomeNoSidecar
	// OutcomeInvalid means that a packet or message was malformed.
	OutcomeInvalid
	// OutcomeLimited means that a packet was dropped by the rate limit on searches.
	OutcomeLimited
	// OutcomeNotHeld means that a sidecar returned a packet, because its upstream does
	// not hold the flow.
	OutcomeNotHeld
	// OutcomeClaimed means that a sidecar reported itself as the owner of a flow.
	OutcomeClaimed
	// OutcomeAccepted means that an upstream accepted a new flow.
	OutcomeAccepted
	// OutcomeWaiting means that a new flow waits until a sidecar can take it.
	OutcomeWaiting
	// OutcomeLost means that a flow was reset because no upstream holds it.
	OutcomeLost
	// OutcomeLinkFull means that a new bulk flow was refused because too many bulk
	// flows share the link.
	OutcomeLinkFull
	// OutcomeUnresolved means that a search found no owner but did not cover all
	// sidecars.
	OutcomeUnresolved
	// OutcomeExpired means that a waiting flow was dropped after its client had
	// stopped waiting.
	OutcomeExpired
	// OutcomeWaitingForLink means that a new bulk flow waits until the link has room.
	OutcomeWaitingForLink
	// OutcomeEvacuated means that a new flow was refused because the data centres of all
	// sidecars that could take it are evacuated.
	OutcomeEvacuated
	// OutcomeOverloaded means that a waiting flow was refused because no sidecar can take it
	// before its client gives up.
	OutcomeOverloaded
	// OutcomeCount is the number of outcomes.
	OutcomeCount
)

var outcomeNames = [OutcomeCount]string{
	"placed", "moved-on", "timed-out", "forwarded", "searched", "reset", "no-route", "no-sidecar",
	"invalid", "limited", "not-held", "claimed", "accepted", "waiting", "lost", "link-full", "unresolved",
	"expired", "waiting-for-link", "evacuated", "overloaded",
}

// String returns the outcome's name in metrics and logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Event reports a decision about one flow. Fields that do not apply are zero.
type Event struct {
	Outcome Outcome
	Key     segment.Key
	Sidecar netip.AddrPort
	// Reason is why the last sidecar refused the flow, if one did.
	Reason relay.Reason
	// Version is the version of the configuration behind the decision.
	Version uint64
	// StateAge is the time since the sidecar last sent its load.
	StateAge clock.Millis
	// Attempt is the number of sidecars that have got the request for a new flow, without
	// those that were too busy for it. With OutcomeSearched it is the number of search
	// attempts. With OutcomeUnresolved and OutcomeLost it is the number of sidecars that
	// the search queried.
	Attempt int
}

// Config configures a Balancer. The Balancer calls the functions during calls of its
// own methods; they must not call it back.
type Config struct {
	DataCentre string
	// LinkRate is the rate of the host's link in megabits per second. 0 means that the
	// rate is unknown and that the number of bulk flows is not limited.
	LinkRate float64
	// Decode parses a client's packet.
	Decode func([]byte) (segment.Segment, error)
	// Reset returns a packet that resets a flow at its client. acknowledged is the
	// last position that the client has acknowledged.
	Reset func(key segment.Key, acknowledged uint32) []byte
	// ToSidecar and ToClient send a datagram. They must not keep data after returning.
	ToSidecar func(to netip.AddrPort, data []byte)
	ToClient  func(to netip.Addr, data []byte)
	// Random returns a random number from 0 to n-1.
	Random func(n int) int
	// AllReported reports whether every sidecar that any source has listed has reported or
	// does not respond. Until then, a flow that no sidecar claims may still exist. If
	// AllReported is nil, all sidecars count as having reported.
	AllReported func() bool
	// Balancers returns the number of live balancers, including this one. They share the
	// rates of cold upstreams. If Balancers is nil, this one counts as the only one.
	Balancers func() int
	// Starting reports whether this process has started so recently that other processes
	// may still be starting. If Starting is nil, they are not.
	Starting func() bool
	// Behind reports whether another balancer has a newer configuration in effect. It may
	// have placed a flow on a target that this balancer does not know. If Behind is nil, none
	// has.
	Behind func() bool
	// Members decides whether all sidecars of a service are known. If it is nil, they are.
	Members *absence.Members
	// LossChanged is called when a sidecar begins or ceases to count as lost, with the time
	// since its last message. It may be nil.
	LossChanged func(sidecar netip.AddrPort, lost bool, silence clock.Millis)
	// Outliers gets the failures that sidecars report. If it is nil, they are ignored.
	Outliers *outlier.Tracker
	// Weight returns the share of new work, from 0 to 1, that a sidecar gets in comparison
	// with a faultless one. With 0 it gets trial flows only. It is called with each report of
	// the sidecar. If Weight is nil, the weights are those of Outliers or, without it, 1.
	Weight func(sidecar netip.AddrPort) float64
	// Observe receives every decision, except those to forward a packet to a known owner.
	// It may be nil.
	Observe func(Event)
}

// Balancer holds the state of one balancer. It is not safe for concurrent use.
type Balancer struct {
	config   Config
	table    *route.Table
	sidecars map[netip.AddrPort]*sidecar
	services map[identity.ServiceID][]*sidecar
	// changedServices are the services that a sidecar has joined or left since the
	// last call of TakeHostsOfChangedServices.
	changedServices map[identity.ServiceID]bool
	// evacuated holds the evacuated data centres.
	evacuated map[string]bool
	// joins counts how often a sidecar has joined each service, or has come back after it
	// was lost.
	joins map[identity.ServiceID]int
	// goals holds the longest latency goal of the routes to each service, 0 if one has none.
	goals map[identity.ServiceID]clock.Millis
	// placements holds what is known of the sidecars of each service together. choice holds
	// the candidates of the current decision.
	placements map[identity.ServiceID]*placement.Service
	choice     placement.Choice[*sidecar]
	// roomAt is when a sidecar is expected to have room for the flow of the last decision,
	// at most waitPollInterval after it.
	roomAt  clock.Millis
	holders holders
	flows   map[segment.Key]*flow
	early   earlyRequests
	// queues holds the pending flows of each service that no sidecar can take now.
	// waitingQueues are those of them that are not empty, and some that were not lately.
	// mostUrgent is the most urgent priority of the routes to each service.
	queues        map[identity.ServiceID]*serviceQueue
	waitingQueues []*serviceQueue
	mostUrgent    map[identity.ServiceID]int
	// nextLook is when the balancer next tries to place waiting flows; 0 means that none
	// wait.
	nextLook clock.Millis
	// attempts holds the placement attempts that wait for a response, and obsolete ones
	// that have not been removed yet.
	attempts      attempts
	responseTimes responseEstimator
	// link admits bulk flows to the link of this host, and pacer their packets.
	link   *bulk.Link
	pacer  *bulk.Pacer
	buffer []byte
	// now is the time of the current call.
	now       clock.Millis
	lastSweep clock.Millis
	// searchesInWindow counts the searches in the second from searchWindowStart.
	searchWindowStart clock.Millis
	searchesInWindow  int
	// unresolved holds the flows whose search is to be repeated.
	unresolved    []*unresolvedFlow
	lastLossCheck clock.Millis
	// balancers is the number of live balancers at balancersCountedAt; 0 if it has not been
	// determined yet.
	balancers          int
	balancersCountedAt clock.Millis
	// lastSidecarMessage is when the last message of any sidecar arrived.
	lastSidecarMessage clock.Millis
	counts             [OutcomeCount]uint64
}

// flow is the entry of a flow.
type flow struct {
	// owner is the sidecar that gets the packets. It is not valid while the owner is
	// unknown.
	owner    netip.AddrPort
	lastSeen clock.Millis
	// accepted is set from acceptedAt, the time at which the owner has accepted or claimed
	// the flow.
	accepted   bool
	acceptedAt clock.Millis
	// service, bulk and repeatable come from the flow's route.
	service    identity.ServiceID
	bulk       bool
	repeatable bool
	pending    *pendingFlow
	// searchAttempts counts the attempts to find the owner. Each attempt requests one
	// sidecar of each service that it queries to search.
	searchAttempts int
	// lastSearch is when the last attempt to find the owner began.
	lastSearch clock.Millis
	// absence is what these attempts have found; nil before the first one.
	absence *absence.Flow
	// unresolved is set while the search for the owner is to be repeated.
	unresolved *unresolvedFlow
	// acknowledged is the position that the client acknowledged in the last packet for
	// which a search was requested.
	acknowledged uint32
	// awaitsResponse is set if the last packet for which a search was requested carried
	// data. The client then waits for a response.
	awaitsResponse bool
}

// New returns a Balancer that knows no routes and no sidecars.
func New(config Config) *Balancer {
	if config.Observe == nil {
		config.Observe = func(Event) {}
	}
	if config.LossChanged == nil {
		config.LossChanged = func(netip.AddrPort, bool, clock.Millis) {}
	}
	if config.Balancers == nil {
		config.Balancers = func() int { return 1 }
	}
	if config.Starting == nil {
		config.Starting = func() bool { return false }
	}
	if config.Behind == nil {
		config.Behind = func() bool { return false }
	}
	if config.AllReported == nil {
		config.AllReported = func() bool { return true }
	}
	b := &Balancer{
		config:          config,
		sidecars:        map[netip.AddrPort]*sidecar{},
		services:        map[identity.ServiceID][]*sidecar{},
		changedServices: map[identity.ServiceID]bool{},
		joins:           map[identity.ServiceID]int{},
		placements:      map[identity.ServiceID]*placement.Service{},
		queues:          map[identity.ServiceID]*serviceQueue{},
		choice:          placement.Choice[*sidecar]{Random: config.Random},
		holders:         newHolders(),
		flows:           map[segment.Key]*flow{},
		link:            bulk.NewLink(config.LinkRate), pacer: bulk.NewPacer(config.LinkRate),
	}
	switch {
	case config.Weight != nil:
	case config.Outliers != nil:
		b.config.Weight = func(sidecar netip.AddrPort) float64 { return config.Outliers.Weight(b.now, sidecar) }
	default:
		b.config.Weight = func(netip.AddrPort) float64 { return 1 }
	}
	return b
}

// SetTable puts a configuration into effect. It returns false, without effect, if the
// configuration is not newer than the current one.
func (b *Balancer) SetTable(now clock.Millis, t *route.Table) bool {
	if b.table != nil && t.Version() <= b.table.Version() {
		return false
	}
	b.now = now
	b.holders.addTargets(now, b.table)
	b.table = t
	b.goals, b.mostUrgent = longestGoals(t), mostUrgentPriorities(t)
	b.requeueWaiting(now)
	b.placeEarly(now)
	return true
}

// longestGoals returns the longest latency goal of the routes to each service, 0 if one has
// none.
func longestGoals(t *route.Table) map[identity.ServiceID]clock.Millis {
	goals := map[identity.ServiceID]clock.Millis{}
	for r := range t.Routes() {
		for _, target := range r.Targets {
			goal, known := goals[target.Service]
			if known && (goal == 0 || r.LatencyGoal == 0) {
				goals[target.Service] = 0
			} else {
				goals[target.Service] = max(goal, r.LatencyGoal)
			}
		}
	}
	return goals
}

// Table returns the configuration in effect, or nil if there is none.
func (b *Balancer) Table() *route.Table { return b.table }

// Flows returns the number of flow entries.
func (b *Balancer) Flows() int { return len(b.flows) }

// Count returns how often an outcome has occurred since the start.
func (b *Balancer) Count(o Outcome) uint64 { return b.counts[o] }

// HandleClient handles a packet that a client sent.
func (b *Balancer) HandleClient(now clock.Millis, packet []byte) {
	b.now = now
	s, err := b.config.Decode(packet)
	if err != nil || s.Returned {
		b.record(Event{Outcome: OutcomeInvalid})
		return
	}
	f := b.flows[s.Key]
	if s.IsRequest() {
		b.handleRequest(now, now, f, s, packet)
		return
	}
	if f != nil && f.owner.IsValid() && !b.abandonsOwner(f) {
		f.lastSeen = now
		b.trackBulk(now, f, s)
		b.forwardOpen(now, f, packet)
		b.counts[OutcomeForwarded]++
		return
	}
	b.search(now, s, packet)
}

// HandleSidecar handles a message that a sidecar sent. Messages of kinds that
// balancers do not expect from sidecars are ignored.
func (b *Balancer) HandleSidecar(now clock.Millis, from netip.AddrPort, m relay.Message) {
	b.now, b.lastSidecarMessage = now, now
	switch m.Kind {
	case relay.KindReport:
		if m.Report.Departed {
			b.config.Members.Departed(from.Addr())
		} else {
			b.config.Members.Reported(from.Addr(), m.Report.Service)
		}
		b.applyReport(now, from, m.Report)
	case relay.KindRoster:
		b.config.Members.Stated(now, from.Addr(), m.Roster)
	case relay.KindAccepted:
		b.applyLoad(now, from, m.Load)
		b.handleAccepted(now, from, m.Key)
		if sc := b.sidecars[from]; sc != nil {
			b.offerRoom(now, sc)
		}
	case relay.KindRefused:
		b.applyLoad(now, from, m.Load)
		b.handleRefused(now, from, m)
	case relay.KindClaimed:
		b.applyLoad(now, from, m.Load)
		f := b.ensureFlow(now, m.Key)
		f.owner, f.accepted, f.acceptedAt = from, true, now
		f.endSearch()
		if sc := b.sidecars[from]; sc != nil {
			f.service = sc.report.Service
		}
		b.record(Event{Outcome: OutcomeClaimed, Key: m.Key, Sidecar: from})
	case relay.KindAbsent:
		b.handleAbsent(now, from, m)
	case relay.KindNotHeld:
		b.handleNotHeld(now, from, m.Packet)
	case relay.KindUnanswered:
		b.handleUnanswered(now, m)
	}
}

// handleNotHeld handles a packet that a sidecar returned because its upstream does not
// hold the flow. If the balancer knows another owner by now, it forwards the packet to
// that owner. Otherwise it starts a search.
func (b *Balancer) handleNotHeld(now clock.Millis, from netip.AddrPort, packet []byte) {
	s, err := b.config.Decode(packet)
	if err != nil {
		b.record(Event{Outcome: OutcomeInvalid})
		return
	}
	b.record(Event{Outcome: OutcomeNotHeld, Key: s.Key, Sidecar: from})
	if f := b.flows[s.Key]; f != nil {
		if f.owner.IsValid() && f.owner != from {
			b.forward(f.owner, relay.KindForward, f.service, packet)
			return
		}
		f.owner = netip.AddrPort{}
	}
	b.search(now, s, packet)
}

// ensureFlow returns the entry of a flow and creates it if there is none. It updates
// lastSeen.
func (b *Balancer) ensureFlow(now clock.Millis, key segment.Key) *flow {
	f := b.flows[key]
	if f == nil {
		if len(b.flows) >= maxFlows {
			b.evictOne()
		}
		f = &flow{}
		if r, ok := b.table.Lookup(key.Service()); ok {
			f.service, f.bulk, f.repeatable = r.Service(key), r.Bulk, r.Repeatable
		}
		b.flows[key] = f
	}
	f.lastSeen = now
	return f
}

// evictOne removes an arbitrary flow entry. The next packet of that flow starts a
// search for the owner, and the search may reach all sidecars of the service.
func (b *Balancer) evictOne() {
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
		b.record(Event{Outcome: OutcomeInvalid})
		return
	}
	b.buffer = data
	b.pacer.Sent(b.now, len(data))
	b.config.ToSidecar(to, data)
}

func (b *Balancer) record(e Event) {
	b.counts[e.Outcome]++
	b.config.Observe(e)
}

// NextDeadline returns the time at which Tick must next be called for pending flows, or
// 0 if no flow waits for a sidecar, for the link, for a response or for its owner.
func (b *Balancer) NextDeadline() clock.Millis {
	next := b.nextLook
	if len(b.attempts) > 0 && (next == 0 || b.attempts[0].deadline < next) {
		next = b.attempts[0].deadline
	}
	for _, other := range []clock.Millis{b.nextRepeat(), b.pacer.NextRelease()} {
		if other > 0 && (next == 0 || other < next) {
			next = other
		}
	}
	return next
}

// Tick tries again to place the waiting flows, places flows whose response is overdue
// on further sidecars, repeats searches, finds lost sidecars, and removes expired state
// once a second.
func (b *Balancer) Tick(now clock.Millis) {
	b.now = now
	b.releasePackets(now)
	b.retryPending(now)
	b.repeatSearches(now)
	if now-b.lastLossCheck >= lossCheckInterval {
		b.lastLossCheck = now
		b.findLostSidecars(now)
	}
	if now-b.lastSweep >= clock.Second {
		b.lastSweep = now
		b.sweep(now)
	}
}

func (b *Balancer) sweep(now clock.Millis) {
	idle := b.table.IdleTimeout()
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	for key, f := range b.flows {
		if now-f.lastSeen > idle {
			delete(b.flows, key)
		}
	}
	b.expireSidecars(now)
	for service, q := range b.queues {
		if _, targeted := b.mostUrgent[service]; !targeted && !q.listed {
			delete(b.queues, service)
		}
	}
	b.holders.expire(now)
}
