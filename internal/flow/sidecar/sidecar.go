// Package sidecar decides what a sidecar does with the packets of flows that carry
// no connection ID. It sees every packet of its upstream in both directions, so it
// is the authority on which flows the upstream holds. It is pure: packets,
// messages and time in, datagrams out.
package sidecar

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

const (
	// flowLife is how long a silent flow is remembered. Upstreams end idle flows
	// earlier.
	flowLife = 60 * clock.Second
	// closedLife is how long a flow that both ends have closed is remembered, so
	// that the upstream answers late copies.
	closedLife = 5 * clock.Second
	// requestLife is how long a request without a response counts as work.
	requestLife = 5 * clock.Second
	// offerLife is how long a flow may take to open. Clients give up earlier.
	offerLife = 3 * clock.Second
	// silentOffers is how many new flows in a row an upstream may leave unanswered, and
	// silentTime for how long, before it gets only one at a time in each silentTime.
	silentOffers              = 3
	silentTime   clock.Millis = 150
	// suspectTime is how long an upstream may leave packets unanswered before it is
	// looked for.
	suspectTime clock.Millis = 250
	// firstFailure is the lowest status of a response that is not a success.
	firstFailure = 400
	// openWindow is the largest distance of a client's first acknowledgement from
	// the upstream's first position.
	openWindow = 76_800
)

// Outcome is what became of a packet, for counters and logs.
type Outcome int

// Outcomes.
const (
	OutcomeOffered Outcome = iota
	OutcomeDelivered
	OutcomeRefused
	OutcomeNotHeld
	OutcomeProbed
	OutcomeReplied
	OutcomeAccepted
	OutcomeReturned
	OutcomeLost
	OutcomeInvalid
	OutcomeSearched
	OutcomeUnanswered
	OutcomeReceived
	OutcomeAnswered
	OutcomeFailed
	OutcomeAbandoned
	OutcomeCount
)

var outcomeNames = [OutcomeCount]string{
	"offered", "delivered", "refused", "not-held", "probed", "replied", "accepted", "returned", "lost", "invalid", "searched", "unanswered", "received", "answered", "failed", "abandoned",
}

// String returns the name of the outcome in metrics and logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Event is a decision about one flow.
type Event struct {
	Outcome  Outcome
	Key      segment.Key
	Balancer netip.AddrPort
	// Sibling is the first sidecar that has not answered a search.
	Sibling netip.AddrPort
	Reason  relay.Reason
	Load    relay.Load
	// Request is the identifier of a request, Status that of its response, Active the
	// number of requests in progress when it arrived, and Took the time to the
	// response.
	Request      string
	Status       int
	Active       int
	ResponseTime clock.Millis
}

// Config configures a Sidecar. Every function is called during calls of the
// Sidecar and must not call it back.
type Config struct {
	// Self is the address of this sidecar for other processes.
	Self netip.AddrPort
	// Decode reads a packet of a client or of the upstream.
	Decode func(packet []byte, fromUpstream bool) (segment.Segment, error)
	// ClearReturned removes the mark of a returned packet.
	ClearReturned func(packet []byte)
	// ToUpstream, ToClient and ToPeer send a datagram, which is valid during the call
	// only. Peers are balancers and sidecars.
	ToUpstream func(packet []byte)
	ToClient   func(to netip.Addr, packet []byte)
	ToPeer     func(to netip.AddrPort, data []byte)
	// RequestID and Status return the identifier of a request and the status of a
	// response that begin in a packet, for logs only. Nil means not known.
	RequestID      func(packet []byte) string
	ResponseStatus func(packet []byte) int
	// MaxDataSize is the data of a full packet in bytes.
	MaxDataSize int
	// Observe receives decisions about flows. Nil means nothing.
	Observe func(Event)
}

// Sidecar is the state of the flows of one upstream. It is not safe for concurrent
// use.
type Sidecar struct {
	config  Config
	service identity.ServiceID
	// refusal is why no new flow is offered; 0 means that flows are offered.
	refusal relay.Reason
	// learning tells that the upstream may hold flows that this process has not
	// seen, because the process started after the upstream.
	learning bool
	flows    map[segment.Key]*flow
	active   int
	open     int
	search   search
	capacity capacity
	// unanswered counts the new flows offered since the last packet of the upstream,
	// and silentSince is the time of the last one that was offered as a trial.
	unanswered  int
	silentSince clock.Millis
	// asking tells that packets were sent to the upstream since its last one, the
	// first at asked.
	asked  clock.Millis
	asking bool
	buffer []byte
	swept  clock.Millis
	counts [OutcomeCount]uint64
}

// New returns a Sidecar that refuses new flows until SetService and Serve are called.
func New(config Config) *Sidecar {
	if config.Observe == nil {
		config.Observe = func(Event) {}
	}
	return &Sidecar{
		config: config, refusal: relay.ReasonUnregistered, flows: map[segment.Key]*flow{},
		search: newSearch(),
	}
}

// SetService sets the service that the upstream belongs to. Packets of others are
// refused.
func (s *Sidecar) SetService(service identity.ServiceID) { s.service = service }

// Accept offers new flows to the upstream.
func (s *Sidecar) Accept() { s.refusal = 0 }

// Refuse offers no new flows from now on. Flows that are open stay.
func (s *Sidecar) Refuse(reason relay.Reason) { s.refusal = reason }

// Accepting reports whether new flows are offered.
func (s *Sidecar) Accepting() bool { return s.refusal == 0 }

// SetLearning tells whether the upstream may hold flows that this process has not
// seen.
func (s *Sidecar) SetLearning(learning bool) { s.learning = learning }

// DropFlows drops all flows, because the upstream seems to have started anew. Until
// SetLearning ends it, the upstream itself decides which flows it holds.
func (s *Sidecar) DropFlows() {
	s.flows = map[segment.Key]*flow{}
	s.active, s.open = 0, 0
	s.capacity.forget()
	s.learning = true
}

// Load returns the work of the upstream: requests in progress and new flows whose first
// request is on its way.
func (s *Sidecar) Load() relay.Load {
	const limit = 1<<16 - 1
	return relay.Load{Active: uint16(min(s.active+s.capacity.expected, limit)), Flows: uint16(min(s.open, limit))}
}

// Count returns how often an outcome occurred.
func (s *Sidecar) Count(o Outcome) uint64 { return s.counts[o] }

// HandleMessage handles a message of a balancer or sidecar.
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

// handleForward handles a client's packet.
func (s *Sidecar) handleForward(now clock.Millis, from netip.AddrPort, m relay.Message) {
	p, err := s.config.Decode(m.Packet, false)
	if err != nil || p.Returned {
		s.count(Event{Outcome: OutcomeInvalid, Balancer: from})
		return
	}
	if p.Requests() {
		s.offer(now, from, m, p)
		return
	}
	f := s.flows[p.Key]
	if f != nil && f.state == stateProbed && !s.learning {
		// The upstream has not answered, and it holds no unknown flow.
		s.remove(p.Key, f)
		f = nil
	}
	if f == nil || f.state == stateOffered || (f.state == stateAccepted && !s.opens(f, p)) {
		s.handleUnknown(now, from, m, f, p)
		return
	}
	f.seen = now
	f.asker, f.agent = origin(from, m.Requester)
	if f.state == stateAccepted {
		f.state = stateOpen
	}
	s.noteRequest(now, f, p, m.Packet)
	s.trackRequest(now, f, p)
	s.counts[OutcomeDelivered]++
	s.toUpstream(now, m.Packet)
	if f.agent.IsValid() && f.state == stateOpen {
		s.claim(f, p.Key)
	}
}

// claim tells the balancer and the searching sidecar that the flow is here.
func (s *Sidecar) claim(f *flow, key segment.Key) {
	s.answer(f.asker, relay.KindClaimed, 0, key)
	if f.agent.IsValid() && f.agent != s.config.Self {
		s.send(f.agent, relay.Message{Kind: relay.KindHint, Keys: []segment.Key{key}})
	}
	delete(s.search.pending, key)
}

// origin returns the balancer that a packet comes from, and the sidecar that searches
// its owner if there is one.
func origin(from, asker netip.AddrPort) (balancer, agent netip.AddrPort) {
	if asker.IsValid() {
		return asker, from
	}
	return from, netip.AddrPort{}
}

// opens reports whether a client's packet acknowledges this upstream's answer and
// not that of another upstream.
func (s *Sidecar) opens(f *flow, p segment.Segment) bool {
	return p.Acknowledges && p.Acknowledged-f.first <= openWindow
}

// offer gives a request for a new flow to the upstream, or refuses it.
func (s *Sidecar) offer(now clock.Millis, from netip.AddrPort, m relay.Message, p segment.Segment) {
	f := s.flows[p.Key]
	if f != nil && f.finished() && p.Acknowledged == 0 {
		// The client uses the port of an earlier flow again.
		s.remove(p.Key, f)
		f = nil
	}
	if f == nil || f.state == stateOffered {
		reason := s.refusal
		if reason == 0 && m.Service != s.service {
			reason = relay.ReasonOtherService
		}
		if reason == 0 && s.silent(now) {
			reason = relay.ReasonSilent
		}
		if reason == 0 && f == nil && !s.admits(now, m) {
			reason = relay.ReasonBusy
		}
		if reason != 0 {
			s.count(Event{Outcome: OutcomeRefused, Key: p.Key, Balancer: from, Reason: reason, Load: s.Load()})
			s.answer(from, relay.KindRefused, reason, p.Key)
			return
		}
	}
	if f == nil {
		f = s.add(now, p.Key, stateOffered)
		s.capacity.expect(now, f)
	}
	f.asker, f.agent = from, netip.AddrPort{}
	f.seen = now
	s.unanswered++
	if s.unanswered == 1 {
		s.silentSince = now
	}
	s.count(Event{Outcome: OutcomeOffered, Key: p.Key, Balancer: from, Load: s.Load()})
	s.toUpstream(now, m.Packet)
}

// handleUnknown handles a packet of a flow that this process does not know as the
// upstream's.
func (s *Sidecar) handleUnknown(now clock.Millis, from netip.AddrPort, m relay.Message, f *flow, p segment.Segment) {
	if s.learning && f == nil {
		f = s.add(now, p.Key, stateProbed)
		f.asker, f.agent = origin(from, m.Requester)
		s.count(Event{Outcome: OutcomeProbed, Key: p.Key, Balancer: f.asker})
		s.toUpstream(now, m.Packet)
		return
	}
	asker, agent := origin(from, m.Requester)
	s.returnPacket(now, asker, agent, p.Key, m.Packet)
}

// returnPacket sends a packet back to its balancer, or only tells the searching
// sidecar that its flow is not here.
func (s *Sidecar) returnPacket(now clock.Millis, asker, agent netip.AddrPort, key segment.Key, packet []byte) {
	s.counts[OutcomeNotHeld]++
	switch {
	case agent == s.config.Self && agent.IsValid():
		s.handleAbsent(now, agent, key)
	case agent.IsValid():
		s.answer(agent, relay.KindAbsent, 0, key)
	default:
		s.config.Observe(Event{Outcome: OutcomeNotHeld, Key: key, Balancer: asker})
		s.send(asker, relay.Message{Kind: relay.KindNotHeld, Packet: packet})
	}
}

// toUpstream sends a packet to the upstream.
func (s *Sidecar) toUpstream(now clock.Millis, packet []byte) {
	if !s.asking {
		s.asking, s.asked = true, now
	}
	s.config.ToUpstream(packet)
}

// UpstreamUnresponsive reports whether the upstream has sent nothing although packets were sent to
// it: it acknowledges every second one.
func (s *Sidecar) UpstreamUnresponsive(now clock.Millis) bool {
	return s.asking && now-s.asked >= suspectTime
}

// silent reports whether the upstream seems to have ended: it has left several new
// flows unanswered. Now and then one is offered all the same.
func (s *Sidecar) silent(now clock.Millis) bool {
	if s.unanswered < silentOffers || now-s.silentSince < silentTime {
		return false
	}
	if now-s.silentSince < 2*silentTime {
		return true
	}
	s.silentSince = now - silentTime
	return false
}

// add makes the entry of a flow.
func (s *Sidecar) add(now clock.Millis, key segment.Key, state state) *flow {
	f := &flow{state: state, opened: now, seen: now}
	s.flows[key] = f
	s.open++
	return f
}

// HandleUpstream handles a packet that the upstream sent or returned.
func (s *Sidecar) HandleUpstream(now clock.Millis, packet []byte) {
	p, err := s.config.Decode(packet, true)
	if err != nil {
		s.count(Event{Outcome: OutcomeInvalid})
		return
	}
	s.unanswered, s.asking = 0, false
	if p.Returned {
		s.handleReturned(now, p, packet)
		return
	}
	f := s.flows[p.Key]
	if f == nil {
		f = s.add(now, p.Key, stateOpen)
	}
	f.seen = now
	switch {
	case p.Resets && !s.mayReset(f):
		s.remove(p.Key, f)
		if f.agent.IsValid() {
			s.returnPacket(now, f.asker, f.agent, p.Key, nil)
		}
		return
	case p.Accepts():
		s.handleAccepted(f, p)
	case f.state == stateProbed:
		f.state = stateOpen
		s.claim(f, p.Key)
	}
	s.noteResponse(now, f, p, packet)
	s.trackResponse(now, f, p)
	s.counts[OutcomeReplied]++
	s.config.ToClient(p.Key.Client().Addr(), packet)
	if p.Resets {
		s.remove(p.Key, f)
	}
}

// mayReset reports whether the upstream's reset is for its own flow. An upstream that
// was only asked, or that the client has not chosen, must not reset the flow of
// another one.
func (s *Sidecar) mayReset(f *flow) bool {
	return f.state == stateOpen || (f.state == stateProbed && !f.agent.IsValid())
}

func (s *Sidecar) handleAccepted(f *flow, p segment.Segment) {
	if f.state == stateOffered {
		f.state = stateAccepted
		f.first = p.Sequence
		s.count(Event{Outcome: OutcomeAccepted, Key: p.Key, Balancer: f.asker, Load: s.Load()})
	}
	if f.asker.IsValid() {
		s.answer(f.asker, relay.KindAccepted, 0, p.Key)
	}
}

// handleReturned handles a packet that the upstream has not accepted.
func (s *Sidecar) handleReturned(now clock.Millis, p segment.Segment, packet []byte) {
	f := s.flows[p.Key]
	if f == nil {
		s.counts[OutcomeReturned]++
		return
	}
	if p.Requests() {
		if f.state != stateOffered {
			return
		}
		s.remove(p.Key, f)
		s.count(Event{Outcome: OutcomeReturned, Key: p.Key, Balancer: f.asker, Load: s.Load()})
		s.answer(f.asker, relay.KindRefused, relay.ReasonReturned, p.Key)
		return
	}
	s.remove(p.Key, f)
	if f.state == stateOpen {
		s.report(OutcomeLost, p.Key, f, 0, now)
	}
	if f.asker.IsValid() {
		s.config.ClearReturned(packet)
		s.returnPacket(now, f.asker, f.agent, p.Key, packet)
	}
}

func (s *Sidecar) remove(key segment.Key, f *flow) {
	if s.flows[key] != f {
		return
	}
	delete(s.flows, key)
	s.capacity.arrived(f)
	s.open--
	if f.busy {
		s.active--
	}
}

// Tick forgets flows that have ended.
func (s *Sidecar) Tick(now clock.Millis) {
	s.publish(now)
	s.capacity.expire(now)
	if now-s.swept < clock.Second {
		return
	}
	s.swept = now
	s.search.expire(now, func(key segment.Key, q *inquiry) {
		s.count(Event{Outcome: OutcomeUnanswered, Key: key, Balancer: q.asker, Sibling: q.awaited[0], Load: s.Load()})
	})
	for key, f := range s.flows {
		idle := now - f.seen
		if f.busy && now-f.busySince > requestLife {
			f.busy = false
			s.active--
			s.report(OutcomeAbandoned, key, f, 0, now)
		}
		if idle > flowLife || (idle > closedLife && f.finished()) || (idle > offerLife && f.state != stateOpen) {
			s.remove(key, f)
		}
	}
}

func (s *Sidecar) answer(to netip.AddrPort, kind relay.Kind, reason relay.Reason, key segment.Key) {
	s.send(to, relay.Message{Kind: kind, Reason: reason, Key: key, Load: s.Load()})
}

func (s *Sidecar) send(to netip.AddrPort, m relay.Message) {
	data, err := m.Append(s.buffer[:0])
	if err != nil {
		s.count(Event{Outcome: OutcomeInvalid, Balancer: to})
		return
	}
	s.buffer = data
	s.config.ToPeer(to, data)
}

func (s *Sidecar) count(e Event) {
	s.counts[e.Outcome]++
	s.config.Observe(e)
}
