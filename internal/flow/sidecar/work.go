package sidecar

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/worktime"
)

const (
	// acceptTimeout is how long an upstream may take to respond to the offer of a new flow
	// before the offer counts as a failed request. Running upstreams respond at once, also
	// when they are busy.
	acceptTimeout clock.Millis = 250
	// closeTimeout is how long the response may follow the packet that ends a flow. Packets
	// overtake each other.
	closeTimeout clock.Millis = 50
	// maxTickGap is the longest time between two calls of Tick in a process that was not
	// paused. After a pause, responses that have arrived in it may not have been read yet, so
	// nothing counts as silence at that call.
	maxTickGap clock.Millis = 500
	// minProvisionalStatus and minFinalStatus are the lowest status of a response that is
	// followed by another one, and of one that is not.
	minProvisionalStatus = 100
	minFinalStatus       = 200
	// minServerErrorStatus is the lowest status of a response that blames the upstream.
	// statusTooManyRequests does so as well.
	minServerErrorStatus  = 500
	statusTooManyRequests = 429
)

// Failure is the cause for which a request counts as failed at the upstream.
type Failure int

// Causes of failed requests.
const (
	// FailureStatus is a response with an error status.
	FailureStatus Failure = iota
	// FailureNotExecuted is a response that is marked as one to a request that was not
	// executed.
	FailureNotExecuted
	// FailureSilent is a request without a response for several times the usual time.
	FailureSilent
	// FailureReset and FailureClosed are a reset and an orderly end of the flow instead of a
	// response.
	FailureReset
	FailureClosed
	// FailureLost is a flow that the upstream dropped during a request.
	FailureLost
	// FailureUnaccepted is the offer of a new flow without a response for acceptTimeout.
	FailureUnaccepted
	// FailureRejected is the offer of a new flow that the upstream returned although it had
	// an idle slot. Without an idle slot, it is overload and counts as nothing.
	FailureRejected
	// FailureCount is the number of causes.
	FailureCount
)

var failureNames = [FailureCount]string{
	"status", "not-executed", "silent", "reset", "closed", "lost", "unaccepted", "rejected",
}

// String returns the cause's name in metrics.
func (f Failure) String() string { return failureNames[f] }

// Failures returns how many requests have failed for a cause.
func (s *Sidecar) Failures(cause Failure) uint64 { return s.failures[cause] }

// Load returns the work of the upstream. Active includes the new flows whose first
// request is still expected.
func (s *Sidecar) Load() relay.Load {
	const limit = 1<<16 - 1
	return relay.Load{Active: uint16(min(s.work.Active()+s.capacity.expectedRequests, limit)), Flows: uint16(min(s.flowCount, limit))}
}

// Work returns what the sidecar has learned of its upstream's work, for a report.
func (s *Sidecar) Work(now clock.Millis) relay.Work {
	failed, ended := s.outcomes.Total(now)
	w := relay.Work{
		Known: true, Remaining: clock.Millis(s.work.Remaining(now, s.capacity.expectedRequests)),
		Failed: failed, Ended: ended,
	}
	if s.work.Learned() {
		w.ServiceTime = s.work.ServiceTime()
	}
	return w
}

// TakeSpeedChange returns the factor by which the work times of requests have changed at once
// since the last call. It returns false if they have not.
func (s *Sidecar) TakeSpeedChange() (factor float64, changed bool) { return s.work.TakeChange() }

// Costs returns the learned work times of requests in order of address.
func (s *Sidecar) Costs() []worktime.Cost { return s.work.Costs() }

// endRequest ends the request in progress of a flow. learn is set if its work time is one of
// a request that was served. A request that has counted as silent before is not counted
// again.
func (s *Sidecar) endRequest(now clock.Millis, f *flow, learn bool) {
	if !f.work.Overdue() {
		s.outcomes.Add(now, false)
	}
	s.work.End(now, f.work, learn)
	f.work = nil
}

// failRequest ends the request in progress of a flow as failed.
func (s *Sidecar) failRequest(now clock.Millis, f *flow, cause Failure) {
	if !f.work.Overdue() {
		s.countFailure(now, cause)
	}
	s.work.End(now, f.work, false)
	f.work = nil
}

func (s *Sidecar) countFailure(now clock.Millis, cause Failure) {
	s.outcomes.Add(now, true)
	s.failures[cause]++
}

// isUpstreamFault reports whether a response with an error status counts as a failure of the
// upstream. A status that blames the client does, because an upstream that lacks data may
// send it to all clients, but not several times in a row for the same client.
func (s *Sidecar) isUpstreamFault(client netip.Addr, status int) bool {
	if status >= minServerErrorStatus || status == statusTooManyRequests {
		return true
	}
	repeated := client == s.lastRejectedClient
	s.lastRejectedClient = client
	return !repeated
}

// findSilence counts the requests and offers that have become overdue as failed, and those
// whose flow the upstream has ended without a response.
func (s *Sidecar) findSilence(now clock.Millis) {
	paused := now-s.lastTick > maxTickGap
	s.lastTick = now
	if paused {
		return
	}
	for len(s.closing) > 0 && (s.closing[0].flow.work == nil || now-s.closing[0].since > closeTimeout) {
		if s.closing[0].flow.work != nil {
			s.failRequest(now, s.closing[0].flow, FailureClosed)
		}
		s.closing[0] = expectation{}
		s.closing = s.closing[1:]
	}
	for range s.work.Expire(now) {
		s.countFailure(now, FailureSilent)
	}
	for len(s.offers) > 0 && (s.offers[0].flow.offerSettled || now-s.offers[0].since > acceptTimeout) {
		if !s.offers[0].flow.offerSettled {
			s.countFailure(now, FailureUnaccepted)
		}
		s.offers[0] = expectation{}
		s.offers = s.offers[1:]
	}
}
