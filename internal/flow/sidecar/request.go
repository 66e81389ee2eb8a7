package sidecar

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

// request is the last request of a flow, for logs.
type request struct {
	id      string
	arrived clock.Millis
	active  int
}

// trackRequest counts a request as work from its last packet until the upstream sends
// data. The packets before are full: an upload takes a slot only when it is complete.
func (s *Sidecar) trackRequest(now clock.Millis, f *flow, p segment.Segment) {
	f.clientFinished = f.clientFinished || p.Ends
	if p.Length == 0 || p.Length == s.config.MaxDataSize {
		return
	}
	s.capacity.arrived(f)
	if !f.busy && !f.serverFinished {
		f.busy, f.began = true, now
		s.active++
		f.queued = s.active > s.capacity.slots
	}
	f.busySince = now
}

// noteRequest remembers the request that begins in a client's packet.
func (s *Sidecar) noteRequest(now clock.Millis, f *flow, p segment.Segment, packet []byte) {
	if s.config.RequestID == nil || p.Length == 0 {
		return
	}
	if id := s.config.RequestID(packet); id != "" && id != f.request.id {
		f.request = request{id: id, arrived: now, active: s.active}
		s.count(Event{
			Outcome: OutcomeReceived, Key: p.Key, Balancer: f.asker, Load: s.Load(), Request: id, Active: s.active,
		})
	}
}

// noteResponse reports the response that begins in a packet of the upstream.
func (s *Sidecar) noteResponse(now clock.Millis, f *flow, p segment.Segment, packet []byte) {
	if s.config.ResponseStatus == nil || p.Length == 0 || f.request.id == "" {
		return
	}
	switch status := s.config.ResponseStatus(packet); {
	case status == 0:
	case status < firstFailure:
		s.report(OutcomeAnswered, p.Key, f, status, now)
	default:
		s.report(OutcomeFailed, p.Key, f, status, now)
	}
}

// report reports the outcome of the last request of a flow.
func (s *Sidecar) report(outcome Outcome, key segment.Key, f *flow, status int, now clock.Millis) {
	s.count(Event{
		Outcome: outcome, Key: key, Balancer: f.asker, Load: s.Load(),
		Request: f.request.id, Status: status, Active: f.request.active, ResponseTime: now - f.request.arrived,
	})
	f.request = request{}
}

func (s *Sidecar) trackResponse(now clock.Millis, f *flow, p segment.Segment) {
	f.serverFinished = f.serverFinished || p.Ends
	if (p.Length > 0 || p.Ends) && f.busy {
		f.busy = false
		s.active--
		if !f.queued {
			s.capacity.observe(now - f.began)
		}
	}
}
