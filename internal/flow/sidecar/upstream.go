package sidecar

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

func (s *Sidecar) toUpstream(now clock.Millis, packet []byte) {
	if !s.awaitingUpstream {
		s.awaitingUpstream, s.awaitingSince = true, now
	}
	s.config.ToUpstream(packet)
}

// UpstreamUnresponsive reports whether the upstream has sent nothing for
// unresponsiveTimeout although packets were sent to it. A running upstream acknowledges
// every second packet.
func (s *Sidecar) UpstreamUnresponsive(now clock.Millis) bool {
	return s.awaitingUpstream && now-s.awaitingSince >= unresponsiveTimeout
}

// HandleUpstream handles a packet that the upstream sent to a client, or a client's
// packet that the upstream did not accept and returned.
func (s *Sidecar) HandleUpstream(now clock.Millis, packet []byte) {
	p, err := s.config.Decode(packet, true)
	if err != nil {
		s.record(Event{Outcome: OutcomeInvalid})
		return
	}
	s.unansweredOffers, s.awaitingUpstream = 0, false
	if p.Returned {
		s.handleReturned(now, p, packet)
		return
	}
	f := s.flows[p.Key]
	if f == nil {
		f = s.add(now, p.Key, stateOpen)
	}
	f.lastSeen = now
	switch {
	case p.Resets && !s.mayReset(f):
		s.remove(p.Key, f)
		if f.searcher.IsValid() {
			s.returnPacket(now, f.requester, f.searcher, p.Key, nil)
		}
		return
	case p.IsAcceptance():
		s.handleAccepted(f, p)
	case f.state == stateProbed:
		f.state = stateOpen
		s.claim(f, p.Key)
	}
	s.noteResponse(now, f, p, packet)
	s.trackResponse(now, f, p, packet)
	s.counts[OutcomeReplied]++
	s.config.ToClient(p.Key.Client().Addr(), packet)
	if p.Resets {
		s.remove(p.Key, f)
	}
}

// mayReset reports whether a reset by the upstream may go to the client. An upstream that
// was only probed for a search, or whose acceptance the client has not acknowledged,
// must not reset a flow that another upstream holds.
func (s *Sidecar) mayReset(f *flow) bool {
	return f.state == stateOpen || (f.state == stateProbed && !f.searcher.IsValid())
}

func (s *Sidecar) handleAccepted(f *flow, p segment.Segment) {
	f.offerSettled = true
	if f.state == stateOffered {
		f.state = stateAccepted
		s.record(Event{Outcome: OutcomeAccepted, Key: p.Key, Balancer: f.requester, Load: s.Load()})
	}
	if f.state == stateAccepted {
		// An upstream that has restarted accepts the flow at another position.
		f.firstPosition = p.Sequence
	}
	if f.requester.IsValid() {
		s.respond(f.requester, relay.KindAccepted, 0, p.Key)
	}
}

// handleReturned handles a client's packet that the upstream has returned.
func (s *Sidecar) handleReturned(now clock.Millis, p segment.Segment, packet []byte) {
	f := s.flows[p.Key]
	if f == nil {
		s.counts[OutcomeReturned]++
		return
	}
	if p.IsRequest() {
		if f.state != stateOffered {
			return
		}
		s.remove(p.Key, f)
		if s.hasIdleSlot() {
			s.countFailure(now, FailureRejected)
		}
		s.record(Event{Outcome: OutcomeReturned, Key: p.Key, Balancer: f.requester, Load: s.Load()})
		s.respond(f.requester, relay.KindRefused, relay.ReasonReturned, p.Key)
		return
	}
	if f.work != nil {
		s.failRequest(now, f, FailureLost)
	}
	s.remove(p.Key, f)
	if f.state == stateOpen {
		s.recordOutcome(OutcomeLost, p.Key, f, 0, now)
	}
	if f.requester.IsValid() {
		s.config.ClearReturned(packet)
		s.returnPacket(now, f.requester, f.searcher, p.Key, packet)
	}
}
