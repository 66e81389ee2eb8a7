package sidecar

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
)

// unknownWorkTime is the work time in milliseconds that is reported until one has been
// measured.
const unknownWorkTime = 30

// Work returns what the sidecar has learned of its upstream's work, for a report.
func (s *Sidecar) Work(now clock.Millis) relay.Work {
	workTime := s.capacity.workTime
	if workTime == 0 {
		workTime = unknownWorkTime
	}
	failed, ended := s.outcomes.Total(now)
	return relay.Work{
		Known:       true,
		Remaining:   clock.Millis(workTime * float64(s.activeRequests+s.capacity.expectedRequests)),
		ServiceTime: workTime, Failed: failed, Ended: ended,
	}
}

// endRequest stops counting the request in progress of a flow and counts its outcome.
func (s *Sidecar) endRequest(now clock.Millis, f *flow, failed bool) {
	f.busy = false
	s.activeRequests--
	s.outcomes.Add(now, failed)
}
