package sidecar

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

// request describes the last request of a flow, for logs.
type request struct {
	id              string
	arrivedAt       clock.Millis
	activeOnArrival int
}

// trackRequest counts a request as in progress from its last packet until the upstream
// sends data or ends the flow, or until requestTTL has passed. A full packet is assumed
// not to be the last one of a request, so that an upload takes a slot only when it is complete.
// A retransmission of a request that has ended is none.
func (s *Sidecar) trackRequest(now clock.Millis, f *flow, p segment.Segment) {
	f.clientFinished = f.clientFinished || p.Ends
	if p.Resets && f.work != nil {
		s.work.Cancel(now, f.work)
		f.work = nil
	}
	if p.Length == 0 {
		return
	}
	end := p.Sequence + uint32(p.Length)
	isNew := !f.hasData || int32(end-f.dataEnd) > 0
	if isNew {
		f.dataEnd, f.hasData = end, true
	}
	if p.Length == s.config.MaxDataSize {
		return
	}
	s.capacity.stopExpecting(f)
	f.lastRequestPacket = now
	switch {
	case !isNew || f.upstreamFinished:
	case f.work != nil:
		s.work.Restart(now, f.work)
	default:
		f.work = s.work.Begin(now, p.Key.Service())
	}
}

// recordArrival records the request that begins in a client's packet, if one does.
func (s *Sidecar) recordArrival(now clock.Millis, f *flow, p segment.Segment, packet []byte) {
	if s.config.RequestID == nil || p.Length == 0 {
		return
	}
	if id := s.config.RequestID(packet); id != "" && id != f.request.id {
		f.request = request{id: id, arrivedAt: now, activeOnArrival: s.work.Active()}
		s.record(Event{
			Outcome: OutcomeReceived, Key: p.Key, Balancer: f.requester, Load: s.Load(), Request: id, Active: s.work.Active(),
		})
	}
}

// noteResponse reports the response that begins in a packet of the upstream, if one does.
func (s *Sidecar) noteResponse(now clock.Millis, f *flow, p segment.Segment, packet []byte) {
	if s.config.ResponseStatus == nil || p.Length == 0 || f.request.id == "" {
		return
	}
	switch status := s.config.ResponseStatus(packet); {
	case status == 0:
	case status < minErrorStatus:
		s.recordOutcome(OutcomeAnswered, p.Key, f, status, now)
	default:
		s.recordOutcome(OutcomeFailed, p.Key, f, status, now)
	}
}

// recordOutcome records the outcome of the last request of a flow and clears the request.
func (s *Sidecar) recordOutcome(outcome Outcome, key segment.Key, f *flow, status int, now clock.Millis) {
	s.record(Event{
		Outcome: outcome, Key: key, Balancer: f.requester, Load: s.Load(),
		Request: f.request.id, Status: status, Active: f.request.activeOnArrival, ResponseTime: now - f.request.arrivedAt,
	})
	f.request = request{}
}

// trackResponse ends the request in progress of a flow with the first data of its response or
// with the end of the flow. A provisional response, such as 100, ends none.
func (s *Sidecar) trackResponse(now clock.Millis, f *flow, p segment.Segment, packet []byte) {
	f.upstreamFinished = f.upstreamFinished || p.Ends
	if f.work == nil || (p.Length == 0 && !p.Ends && !p.Resets) {
		return
	}
	status := 0
	if p.Length > 0 && s.config.ResponseStatus != nil {
		status = s.config.ResponseStatus(packet)
	}
	switch {
	case p.Resets:
		s.failRequest(now, f, FailureReset)
	case p.Length == 0:
		s.closing = append(s.closing, expectation{flow: f, since: now})
	case status >= minProvisionalStatus && status < minFinalStatus:
	case s.config.NotExecuted != nil && s.config.NotExecuted(packet):
		s.failRequest(now, f, FailureNotExecuted)
	case status >= minErrorStatus && s.isUpstreamFault(p.Key.Client().Addr(), status):
		s.failRequest(now, f, FailureStatus)
	default:
		s.endRequest(now, f, status < minErrorStatus)
	}
}
