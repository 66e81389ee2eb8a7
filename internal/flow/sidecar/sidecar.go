// Package sidecar decides what a sidecar does with the packets of flows that carry
// no connection ID. It sees every packet of its upstream in both directions, so it
// is the authority on which flows the upstream holds. It does no input or output of
// its own: the caller passes in packets, messages and the time, and sends the
// resulting datagrams.
package sidecar

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/internal/flow/worktime"
)

const (
	// flowTTL is how long the entry of an idle flow is kept. Upstreams end idle flows
	// earlier.
	flowTTL = 60 * clock.Second
	// closedTTL is how long the entry of a flow is kept after both ends have closed
	// it, so that late retransmissions still reach the upstream, which responds to them.
	closedTTL = 5 * clock.Second
	// requestTTL is how long a request without a response counts as in progress.
	requestTTL = 5 * clock.Second
	// unopenedTTL is how long the entry of a flow that has not opened is kept after the
	// flow's last packet. Clients stop waiting earlier.
	unopenedTTL = 3 * clock.Second
	// New flows are refused while the upstream has left maxUnansweredOffers offers
	// unanswered and offerTimeout has passed since the first. One trial flow per
	// offerTimeout is still offered.
	maxUnansweredOffers              = 3
	offerTimeout        clock.Millis = 150
	// unresponsiveTimeout is how long an upstream may leave packets unanswered before
	// the caller checks whether it still runs. Unlike offerTimeout, it applies to packets
	// of all kinds, even to a single one, and by itself refuses no flow. Any packet from
	// the upstream resets both.
	unresponsiveTimeout clock.Millis = 250
	// minErrorStatus is the lowest status of a response that is not a success.
	minErrorStatus = 400
	// maxFirstAckDistance is the maximum distance in bytes of a client's first
	// acknowledgement from the upstream's first position.
	maxFirstAckDistance = 76_800
)

// Outcome classifies a decision about a packet, flow or request, for metrics and logs.
type Outcome int

// Outcomes of decisions.
const (
	// OutcomeOffered means that a new flow was offered to the upstream.
	OutcomeOffered Outcome = iota
	// OutcomeDelivered means that a client's packet went to the upstream.
	OutcomeDelivered
	// OutcomeRefused means that the sidecar refused a new flow.
	OutcomeRefused
	// OutcomeNotHeld means that the upstream does not hold a packet's flow.
	OutcomeNotHeld
	// OutcomeProbed means that a packet of an unknown flow went to the upstream to find
	// out whether it holds the flow.
	OutcomeProbed
	// OutcomeReplied means that a packet of the upstream went to its client.
	OutcomeReplied
	// OutcomeAccepted means that the upstream accepted a new flow.
	OutcomeAccepted
	// OutcomeReturned means that the upstream returned the packet that opens a new flow,
	// or a packet of a flow that has no entry here.
	OutcomeReturned
	// OutcomeLost means that the upstream returned a packet of an open flow.
	OutcomeLost
	// OutcomeInvalid means that a packet or message was malformed or could not be encoded.
	OutcomeInvalid
	// OutcomeSearched means that all sidecars of the service were queried for an owner.
	OutcomeSearched
	// OutcomeUnanswered means that a sidecar did not respond to a search in time.
	OutcomeUnanswered
	// OutcomeReceived means that a request arrived.
	OutcomeReceived
	// OutcomeAnswered means that a response with a success status began.
	OutcomeAnswered
	// OutcomeFailed means that a response with an error status began.
	OutcomeFailed
	// OutcomeAbandoned means that a request got no response within requestTTL.
	OutcomeAbandoned
	// OutcomeCount is the number of outcomes.
	OutcomeCount
)

var outcomeNames = [OutcomeCount]string{
	"offered", "delivered", "refused", "not-held", "probed", "replied", "accepted", "returned", "lost", "invalid", "searched", "unanswered", "received", "answered", "failed", "abandoned",
}

// String returns the outcome's name in metrics and logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Event reports a decision about a packet, flow or request. Fields that do not apply are
// zero.
type Event struct {
	Outcome Outcome
	Key     segment.Key
	// Balancer is the balancer concerned. For OutcomeInvalid it may be a sidecar.
	Balancer netip.AddrPort
	// Sibling is one of the sidecars that have not responded to a search.
	Sibling netip.AddrPort
	Reason  relay.Reason
	Load    relay.Load
	// Request is the identifier of a request, for decisions about requests.
	Request string
	// Status is the status of the response.
	Status int
	// Active is the number of requests in progress when the request arrived.
	Active int
	// ResponseTime is the time from the request to the start of its response or, for a
	// lost or abandoned request, to the decision.
	ResponseTime clock.Millis
}

// Config configures a Sidecar. The Sidecar calls the functions during calls of its
// own methods; they must not call it back.
type Config struct {
	// Self is the address at which other processes reach this sidecar.
	Self netip.AddrPort
	// Decode parses a packet of a client or of the upstream.
	Decode func(packet []byte, fromUpstream bool) (segment.Segment, error)
	// ClearReturned removes the mark of a returned packet in place.
	ClearReturned func(packet []byte)
	// ToUpstream, ToClient and ToPeer send a datagram. They must not keep it after
	// returning. Peers are balancers and sidecars.
	ToUpstream func(packet []byte)
	ToClient   func(to netip.Addr, packet []byte)
	ToPeer     func(to netip.AddrPort, data []byte)
	// RequestID returns the identifier of a request that begins in a packet, or "".
	// ResponseStatus returns the status of a response that begins in a packet, or 0.
	// Nil means that they are not available.
	RequestID      func(packet []byte) string
	ResponseStatus func(packet []byte) int
	// NotExecuted reports whether a response that begins in a packet is marked as one to a
	// request that the upstream has not executed. Nil means that it is not available.
	NotExecuted func(packet []byte) bool
	// MaxDataSize is the number of data bytes in a full packet.
	MaxDataSize int
	// Observe receives decisions about flows and requests. Deliveries and replies, which
	// occur for each packet, are only counted. So are packets of a search whose flow the
	// upstream does not hold, and returned packets of flows that have no entry. Nil is
	// allowed.
	Observe func(Event)
}

// Sidecar holds the state of the flows of one upstream. It is not safe for concurrent
// use.
type Sidecar struct {
	config  Config
	service identity.ServiceID
	// refusalReason is why new flows are refused; 0 means that they are offered.
	refusalReason relay.Reason
	// evacuated is set while the operator has evacuated the data centre.
	evacuated bool
	// learning is set while the upstream may hold flows that this process does not know,
	// because the process started after the upstream or has dropped its flows.
	learning bool
	flows    map[segment.Key]*flow
	// addresses holds the flows to each address. An address stays for addressTTL after the
	// last flow.
	addresses map[netip.AddrPort]*addressFlows
	// addressesChanged is set when an address has been added to addresses since the last call
	// of TakeAddressesChanged.
	addressesChanged bool
	flowCount        int
	search           search
	capacity         capacity
	// work follows the requests in progress. outcomes counts those of the last seconds, and
	// failures the failed ones by cause.
	work     worktime.Tracker
	outcomes worktime.Outcomes
	failures [FailureCount]uint64
	// lastRejectedClient is the client that the last response with a status of its own fault
	// went to.
	lastRejectedClient netip.Addr
	// offers holds the offers to which the upstream may still respond, in order of time.
	offers []expectation
	// closing holds the flows that the upstream has ended while a request was in progress, in
	// order of time. The response may still arrive.
	closing []expectation
	cold    coldUpstream
	// unansweredOffers counts the offers since the last packet of the upstream. A
	// retransmitted request for the same flow counts again.
	unansweredOffers int
	// silentSince is the time of the first of these offers. After a trial flow, it is the
	// time offerTimeout before that flow.
	silentSince clock.Millis
	// awaitingSince is the time of the first packet that was sent to the upstream after
	// the upstream's last packet.
	awaitingSince clock.Millis
	// awaitingUpstream is set while no packet of the upstream has followed the one sent at
	// awaitingSince.
	awaitingUpstream bool
	buffer           []byte
	lastTick         clock.Millis
	lastSweep        clock.Millis
	counts           [OutcomeCount]uint64
	refusals         [relay.ReasonCount]uint64
}

// New returns a Sidecar that refuses new flows until SetService and Accept are called.
func New(config Config) *Sidecar {
	if config.Observe == nil {
		config.Observe = func(Event) {}
	}
	return &Sidecar{
		config: config, refusalReason: relay.ReasonUnregistered, flows: map[segment.Key]*flow{},
		addresses: map[netip.AddrPort]*addressFlows{}, search: newSearch(),
	}
}

// SetService sets the service that the upstream belongs to. New flows of other
// services are refused.
func (s *Sidecar) SetService(service identity.ServiceID) { s.service = service }

// Accept offers new flows to the upstream from now on.
func (s *Sidecar) Accept() { s.refusalReason = 0 }

// Refuse refuses new flows with the given reason from now on. Open flows continue.
func (s *Sidecar) Refuse(reason relay.Reason) { s.refusalReason = reason }

// SetEvacuated sets whether the data centre is evacuated. New flows are refused meanwhile,
// and open flows continue.
func (s *Sidecar) SetEvacuated(evacuated bool) { s.evacuated = evacuated }

// Evacuated reports whether the data centre is evacuated.
func (s *Sidecar) Evacuated() bool { return s.evacuated }

// Accepting reports whether new flows are offered to the upstream.
func (s *Sidecar) Accepting() bool { return s.refusalReason == 0 && !s.evacuated }

// UpstreamAccepting reports whether the upstream takes new flows, also while the data centre
// is evacuated.
func (s *Sidecar) UpstreamAccepting() bool { return s.refusalReason == 0 }

// SetLearning sets whether the upstream may hold flows that this process has not
// seen.
func (s *Sidecar) SetLearning(learning bool) { s.learning = learning }

// DropFlows drops all flows of an upstream that seems to have ended or restarted. It
// also sets learning. Until SetLearning clears it, the upstream itself decides which
// flows it holds.
func (s *Sidecar) DropFlows() {
	s.flows, s.addresses = map[segment.Key]*flow{}, map[netip.AddrPort]*addressFlows{}
	s.flowCount, s.offers, s.closing = 0, nil, nil
	s.capacity.reset()
	s.work.Reset()
	s.learning = true
}

// Count returns how often an outcome has occurred.
func (s *Sidecar) Count(o Outcome) uint64 { return s.counts[o] }

// Refusals returns how often a new flow was refused for a reason.
func (s *Sidecar) Refusals(reason relay.Reason) uint64 { return s.refusals[reason] }

// HandleMessage handles a message from a balancer or another sidecar.
func (s *Sidecar) HandleMessage(now clock.Millis, from netip.AddrPort, m relay.Message) {
	switch m.Kind {
	case relay.KindForward:
		s.handleForward(now, from, m)
	case relay.KindSearch:
		s.handleSearch(now, from, m)
	case relay.KindAbsent:
		s.handleAbsent(now, from, m.Key)
	case relay.KindHint:
		s.handleHint(now, from, m.Keys)
	}
}

// handleForward handles a client's packet from a balancer or a searching sidecar.
func (s *Sidecar) handleForward(now clock.Millis, from netip.AddrPort, m relay.Message) {
	p, err := s.config.Decode(m.Packet, false)
	if err != nil || p.Returned {
		s.record(Event{Outcome: OutcomeInvalid, Balancer: from})
		return
	}
	if p.IsRequest() {
		s.offer(now, from, m, p)
		return
	}
	f := s.flows[p.Key]
	if f != nil && f.state == stateProbed && !s.learning {
		// The upstream has not responded to the probe, and it no longer holds
		// flows that this process does not know.
		s.remove(p.Key, f)
		f = nil
	}
	if f == nil || f.state == stateOffered || (f.state == stateAccepted && !s.acknowledgesAccept(f, p)) {
		if m.Requester.IsValid() && m.Service != s.service {
			// The search is for another service, so the absence of the flow here must not
			// count as a response. The searching sidecar has an outdated list of siblings.
			s.counts[OutcomeInvalid]++
			return
		}
		s.handleUnknown(now, from, m, f, p)
		return
	}
	f.lastSeen = now
	f.requester, f.searcher = splitSource(from, m.Requester)
	if f.state == stateAccepted {
		f.state = stateOpen
	}
	s.recordArrival(now, f, p, m.Packet)
	s.trackRequest(now, f, p)
	s.counts[OutcomeDelivered]++
	s.toUpstream(now, m.Packet)
	if f.searcher.IsValid() && f.state == stateOpen {
		s.claim(f, p.Key)
	}
}

// claim notifies the balancer and the searching sidecar that this upstream holds the
// flow.
func (s *Sidecar) claim(f *flow, key segment.Key) {
	s.respond(f.requester, relay.KindClaimed, 0, key)
	if f.searcher.IsValid() && f.searcher != s.config.Self {
		s.send(f.searcher, relay.Message{Kind: relay.KindHint, Keys: []segment.Key{key}})
	}
	delete(s.search.pending, key)
}

// acknowledgesAccept reports whether a client's packet acknowledges this upstream's
// acceptance and not that of another upstream.
func (s *Sidecar) acknowledgesAccept(f *flow, p segment.Segment) bool {
	return p.Acknowledges && p.Acknowledged-f.firstPosition <= maxFirstAckDistance
}

// offer passes a request for a new flow to the upstream, or refuses it.
func (s *Sidecar) offer(now clock.Millis, from netip.AddrPort, m relay.Message, p segment.Segment) {
	f := s.flows[p.Key]
	if f != nil && f.finished() && p.Acknowledged == 0 {
		// The client reuses the port of an earlier flow.
		s.remove(p.Key, f)
		f = nil
	}
	if f == nil || f.state == stateOffered {
		reason := s.refusalReason
		if reason == 0 && m.Service != s.service {
			reason = relay.ReasonOtherService
		}
		if reason == 0 && s.evacuated {
			reason = relay.ReasonEvacuated
		}
		if reason == 0 && s.refuseForUnansweredOffers(now) {
			reason = relay.ReasonSilent
		}
		if reason == 0 && f == nil && !s.hasCapacity(now, m, p.Key.Service()) {
			reason = relay.ReasonBusy
		}
		if reason == 0 && f == nil && !s.cold.allow(now) {
			reason = relay.ReasonWarmingUp
		}
		if reason != 0 {
			s.refusals[reason]++
			s.record(Event{Outcome: OutcomeRefused, Key: p.Key, Balancer: from, Reason: reason, Load: s.Load()})
			s.respond(from, relay.KindRefused, reason, p.Key)
			return
		}
	}
	if f == nil {
		f = s.add(now, p.Key, stateOffered)
		s.capacity.expect(now, f)
		s.offers = append(s.offers, expectation{flow: f, since: now})
	}
	f.requester, f.searcher = from, netip.AddrPort{}
	f.lastSeen = now
	s.unansweredOffers++
	if s.unansweredOffers == 1 {
		s.silentSince = now
	}
	s.record(Event{Outcome: OutcomeOffered, Key: p.Key, Balancer: from, Load: s.Load()})
	s.toUpstream(now, m.Packet)
}

// handleUnknown handles a packet of a flow that, as far as this process knows, the
// upstream does not hold. While learning, a packet of a flow that has no entry goes to
// the upstream as a probe. All other packets are returned.
func (s *Sidecar) handleUnknown(now clock.Millis, from netip.AddrPort, m relay.Message, f *flow, p segment.Segment) {
	if s.learning && f == nil {
		f = s.add(now, p.Key, stateProbed)
		f.requester, f.searcher = splitSource(from, m.Requester)
		s.record(Event{Outcome: OutcomeProbed, Key: p.Key, Balancer: f.requester})
		s.toUpstream(now, m.Packet)
		return
	}
	requester, searcher := splitSource(from, m.Requester)
	s.returnPacket(now, requester, searcher, p.Key, m.Packet)
}

// returnPacket sends a packet back to its balancer. For a search, it only notifies the
// searching sidecar that this upstream does not hold the flow.
func (s *Sidecar) returnPacket(now clock.Millis, requester, searcher netip.AddrPort, key segment.Key, packet []byte) {
	s.counts[OutcomeNotHeld]++
	switch {
	case searcher == s.config.Self && searcher.IsValid():
		s.handleAbsent(now, searcher, key)
	case searcher.IsValid():
		s.respond(searcher, relay.KindAbsent, 0, key)
	default:
		s.config.Observe(Event{Outcome: OutcomeNotHeld, Key: key, Balancer: requester})
		s.send(requester, relay.Message{Kind: relay.KindNotHeld, Packet: packet})
	}
}

// refuseForUnansweredOffers reports whether a new flow must be refused because the
// upstream seems to have ended: it has not responded to several offers. Once per
// offerTimeout, refuseForUnansweredOffers returns false, so that the flow is offered as a
// trial. This uses up the trial even if the flow is then refused as busy.
func (s *Sidecar) refuseForUnansweredOffers(now clock.Millis) bool {
	if s.unansweredOffers < maxUnansweredOffers || now-s.silentSince < offerTimeout {
		return false
	}
	if now-s.silentSince < 2*offerTimeout {
		return true
	}
	s.silentSince = now - offerTimeout
	return false
}

// add creates the entry of a flow.
func (s *Sidecar) add(now clock.Millis, key segment.Key, state state) *flow {
	f := &flow{state: state, firstSeen: now, lastSeen: now}
	s.flows[key] = f
	s.flowCount++
	s.addAddress(key.Service())
	return f
}

func (s *Sidecar) remove(key segment.Key, f *flow) {
	if s.flows[key] != f {
		return
	}
	delete(s.flows, key)
	s.removeAddress(key.Service(), f)
	s.capacity.stopExpecting(f)
	f.offerSettled = true
	s.flowCount--
	if f.work != nil {
		s.work.Drop(f.work)
		f.work = nil
	}
}

// Tick publishes long flows, checks searches, and removes expired flows, requests, searches and hints. The
// caller must call it several times a second.
func (s *Sidecar) Tick(now clock.Millis) {
	s.publish(now)
	s.checkResponses(now)
	s.capacity.expire(now)
	s.findSilence(now)
	s.cold.applyLeft(now)
	if now-s.lastSweep < clock.Second {
		return
	}
	s.lastSweep = now
	s.expireAddresses(now)
	s.search.expire(now, func(key segment.Key, p *pendingSearch) {
		s.record(Event{Outcome: OutcomeUnanswered, Key: key, Balancer: p.requester, Sibling: p.awaited[0], Load: s.Load()})
	})
	for key, f := range s.flows {
		idle := now - f.lastSeen
		if f.work != nil && now-f.lastRequestPacket > requestTTL {
			s.failRequest(now, f, FailureSilent)
			s.recordOutcome(OutcomeAbandoned, key, f, 0, now)
		}
		if idle > flowTTL || (idle > closedTTL && f.finished()) || (idle > unopenedTTL && f.state != stateOpen) {
			s.remove(key, f)
		}
	}
}

func (s *Sidecar) respond(to netip.AddrPort, kind relay.Kind, reason relay.Reason, key segment.Key) {
	s.send(to, relay.Message{Kind: kind, Reason: reason, Key: key, Load: s.Load()})
}

func (s *Sidecar) send(to netip.AddrPort, m relay.Message) {
	data, err := m.Append(s.buffer[:0])
	if err != nil {
		s.record(Event{Outcome: OutcomeInvalid, Balancer: to})
		return
	}
	s.buffer = data
	s.config.ToPeer(to, data)
}

func (s *Sidecar) record(e Event) {
	s.counts[e.Outcome]++
	s.config.Observe(e)
}
