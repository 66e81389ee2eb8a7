// Package admission decides which new flows a balancer offers to upstreams, which wait in
// the balancer and in which order, and which are refused. The load that it addresses is
// one at which clients of several priorities ask for more than the upstreams of a service
// can process, while many balancers decide on reports that are older than the work they
// show. It uses no socket, goroutine or clock: callers pass the current time.
package admission

import "github.com/orioledyke/orioledyke/internal/common/clock"

const (
	// goalShare is the share of a latency goal within which sidecars process what they
	// admit; see maxGoalShare in package sidecar. Offers beyond it would be refused.
	goalShare = 0.5
	// maxRequestsPerSlot is how many requests for each slot an upstream may have before
	// new flows wait. Upstreams return requests that find a longer queue.
	maxRequestsPerSlot = 4
	// lessUrgentShare is the share of the queue of an upstream that flows may fill for
	// which a more urgent priority exists in the service. The rest keeps the wait of urgent
	// flows short, without an agreement between balancers. With half of the queue, slots
	// stood idle between reports while less urgent flows waited.
	lessUrgentShare = 0.85
)

// Flow is a new flow that no upstream has accepted yet.
type Flow struct {
	// Priority is the priority of the flow's route; 0 is the most urgent.
	Priority int
	// FirstSent is when the client first asked for the flow. Goal is the time from then in
	// which it wants its response; 0 means none. At GiveUp it stops waiting.
	FirstSent, Goal, GiveUp clock.Millis
}

// PastGoal reports whether the client has waited longer than its goal.
func (f Flow) PastGoal(now clock.Millis) bool { return f.Goal > 0 && now-f.FirstSent > f.Goal }

// Expired reports whether the client has stopped waiting.
func (f Flow) Expired(now clock.Millis) bool { return now > f.GiveUp }

// Limit returns the number of requests at an upstream below which a flow is offered to it.
// A flow that is past its goal is only offered to an idle slot. urgent is set if the flow
// may fill the whole queue of the upstream. serviceTime is the time in milliseconds of one
// request; 0 means unknown.
func (f Flow) Limit(now clock.Millis, urgent bool, slots int, serviceTime float64) float64 {
	idle := float64(max(slots, 1))
	if f.PastGoal(now) {
		return idle
	}
	limit := maxRequestsPerSlot * idle
	if serviceTime > 0 && f.Goal > 0 {
		limit = min(max(idle*goalShare*float64(f.Goal)/serviceTime, idle), limit)
	}
	if !urgent {
		limit = idle + lessUrgentShare*(limit-idle)
	}
	return limit
}
