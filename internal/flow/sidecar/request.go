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
func (s *Sidecar) trackRequest(now clock.Millis, f *flow, p segment.Segment) {
	f.clientFinished = f.clientFinished || p.Ends
	if p.Length == 0 || p.Length == s.config.MaxDataSize {
		return
	}
	s.capacity.stopExpecting(f)
	if !f.busy && !f.upstreamFinished {
		f.busy, f.requestCompletedAt = true, now
		s.activeRequests++
		f.queued = s.activeRequests > s.capacity.slots
	}
	f.lastRequestPacket = now
}

// recordArrival records the request that begins in a client's packet, if one does.
func (s *Sidecar) recordArrival(now clock.Millis, f *flow, p segment.Segment, packet []byte) {
	if s.config.RequestID == nil || p.Length == 0 {
		return
	}
	if id := s.config.RequestID(packet); id != "" && id != f.request.id {
		f.request = request{id: id, arrivedAt: now, activeOnArrival: s.activeRequests}
		s.record(Event{
			Outcome: OutcomeReceived, Key: p.Key, Balancer: f.requester, Load: s.Load(), Request: id, Active: s.activeRequests,
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

// responseStatus returns the status of a response that begins in a packet, or 0 if none does
// or the status is not available.
func (s *Sidecar) responseStatus(packet []byte) int {
	if s.config.ResponseStatus == nil {
		return 0
	}
	return s.config.ResponseStatus(packet)
}

func (s *Sidecar) trackResponse(now clock.Millis, f *flow, p segment.Segment, packet []byte) {
	f.upstreamFinished = f.upstreamFinished || p.Ends
	if (p.Length > 0 || p.Ends || p.Resets) && f.busy {
		failed := p.Resets || s.responseStatus(packet) >= minErrorStatus
		s.endRequest(now, f, failed)
		if !f.queued && !failed {
			s.capacity.observe(now - f.requestCompletedAt)
		}
	}
}
