package admission

import (
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// guaranteedShare is the share of the offers that each priority gets while flows of it
	// wait. A tenth keeps the less urgent clients coming through within their attempts and
	// costs the urgent ones less than the variation of their own load.
	guaranteedShare = 0.1
	// maxOwed is the number of offers that a priority may be owed. It bounds the burst
	// after a time in which no upstream had room.
	maxOwed = 2
	// A flow counts as hopeless if the flows ahead of it take hopelessFactor times the time
	// that is left, at the measured rate. With a factor of 1, clients use up their attempts
	// sooner and return as new flows: at lookups of 1.15 times the capacity, 0.48 of them
	// meet their goal instead of 0.60 (load_test.go of package balancer).
	hopelessFactor = 10
	// refusalMargin is how long before its client gives up a flow is refused at the latest,
	// so that the refusal arrives first. It covers two sweeps.
	refusalMargin clock.Millis = 40
	// minServedFlows is the number of flows that must have been served within about half a
	// second before their rate decides on refusals.
	minServedFlows = 8
)

// Queue holds the flows of one service that wait for a sidecar. T is what the caller keeps
// of a flow. The zero value is an empty queue.
type Queue[T any] struct {
	classes []*class[T]
	size    int
	// pace limits the offers of flows within their goals, latePace those of flows past them,
	// which sidecars refuse more often because they need an idle slot.
	pace, latePace pace
	// arrivals is the rate of new flows, and served the one at which waiting flows have been
	// offered.
	arrivals, served rate
}

// class holds the waiting flows of the same priority, goal and time to give up, the oldest
// first.
type class[T any] struct {
	priority       int
	goal, patience clock.Millis
	flows          []entry[T]
	// owed is the number of offers that are due by the guaranteed share.
	owed float64
	// blocked is set during a round in which no sidecar has room for the first flow.
	blocked bool
}

type entry[T any] struct {
	flow Flow
	item T
}

// Len returns the number of waiting flows.
func (q *Queue[T]) Len() int { return q.size }

// Arrived counts a new flow of the service, whether it will wait or not.
func (q *Queue[T]) Arrived(now clock.Millis) { q.arrivals.add(now) }

// Offered counts an offer of a waiting flow or another one.
func (q *Queue[T]) Offered(now clock.Millis, pastGoal bool) { q.paceOf(pastGoal).spend(now) }

// Accepted counts an accepted offer.
func (q *Queue[T]) Accepted(now clock.Millis, pastGoal bool) {
	q.paceOf(pastGoal).accepted(now, &q.arrivals)
}

// Refused counts an offer that a sidecar has refused as busy.
func (q *Queue[T]) Refused(now clock.Millis, pastGoal bool) { q.paceOf(pastGoal).refused(now) }

// Reported allows one offer because a report of a sidecar shows room.
func (q *Queue[T]) Reported(now clock.Millis) {
	q.pace.grant(now)
	q.latePace.grant(now)
}

func (q *Queue[T]) paceOf(pastGoal bool) *pace {
	if pastGoal {
		return &q.latePace
	}
	return &q.pace
}

// Add adds a waiting flow.
func (q *Queue[T]) Add(f Flow, item T) {
	patience := f.GiveUp - f.FirstSent
	index, found := slices.BinarySearchFunc(q.classes, f, func(c *class[T], f Flow) int { return c.compare(f.Priority, f.Goal, patience) })
	if !found {
		q.classes = slices.Insert(q.classes, index, &class[T]{priority: f.Priority, goal: f.Goal, patience: patience})
	}
	c := q.classes[index]
	at := len(c.flows)
	for at > 0 && c.flows[at-1].flow.FirstSent > f.FirstSent {
		at--
	}
	c.flows = slices.Insert(c.flows, at, entry[T]{flow: f, item: item})
	q.size++
}

func (c *class[T]) compare(priority int, goal, patience clock.Millis) int {
	switch {
	case c.priority != priority:
		return c.priority - priority
	case c.goal != goal:
		return int(c.goal - goal)
	default:
		return int(c.patience - patience)
	}
}

// BeginRound starts a round of offers.
func (q *Queue[T]) BeginRound() {
	for _, c := range q.classes {
		c.blocked = false
	}
}

// First returns the flow that is offered next in this round. urgent is set if it may fill
// the whole queue of an upstream: no flow of a higher priority waits, or its priority is
// owed an offer. ok is false if no further flow is offered now.
//
// Priorities that are owed an offer go first, then the most urgent one. Among equals, those
// that can still meet their goal go first, and the newest first.
func (q *Queue[T]) First(now clock.Millis) (item T, owed, ok bool) {
	best := q.first(now)
	if best == nil {
		return item, false, false
	}
	return best.newest().item, best.owed >= 1, true
}

func (c *class[T]) newest() entry[T] { return c.flows[len(c.flows)-1] }

// mayOffer reports whether the rate of offers allows the newest flow of a class. It does not
// limit flows that are in their goal and more urgent than another waiting flow.
func (q *Queue[T]) mayOffer(now clock.Millis, c *class[T]) bool {
	pastGoal := c.newest().flow.PastGoal(now)
	return q.paceOf(pastGoal).allows(now) || (!pastGoal && c.priority < q.classes[len(q.classes)-1].priority)
}

func (q *Queue[T]) first(now clock.Millis) *class[T] {
	var best *class[T]
	for _, c := range q.classes {
		if len(c.flows) > 0 && !c.blocked && q.mayOffer(now, c) && (best == nil || c.precedes(now, best)) {
			best = c
		}
	}
	return best
}

func (c *class[T]) precedes(now clock.Millis, other *class[T]) bool {
	if owed := c.owed >= 1; owed != (other.owed >= 1) {
		return owed
	}
	if c.priority != other.priority {
		return c.priority < other.priority
	}
	x, y := c.newest().flow, other.newest().flow
	if past := x.PastGoal(now); past != y.PastGoal(now) {
		return !past
	}
	return x.FirstSent > y.FirstSent
}

// Block records that no sidecar has room for the flow that First has returned. Flows of its
// priority, goal and patience are not offered in this round any more.
func (q *Queue[T]) Block(now clock.Millis) { q.first(now).blocked = true }

// Take removes the flow that First has returned, because it is offered or has ended.
func (q *Queue[T]) Take(now clock.Millis, offered bool) {
	c := q.first(now)
	last := len(c.flows) - 1
	c.flows[last] = entry[T]{}
	c.flows = c.flows[:last]
	q.size--
	if !offered {
		return
	}
	q.served.add(now)
	c.owed = max(c.owed-1, 0)
	for _, other := range q.classes {
		if other.priority > c.priority && len(other.flows) > 0 {
			other.owed = min(other.owed+guaranteedShare, maxOwed)
		}
	}
}

// NextOffer returns when the rate of offers allows the next one, now if it does already.
func (q *Queue[T]) NextOffer(now clock.Millis) clock.Millis {
	next := now
	for _, c := range q.classes {
		if len(c.flows) > 0 && !q.mayOffer(now, c) {
			at := q.paceOf(c.newest().flow.PastGoal(now)).next(now)
			if next == now || at < next {
				next = at
			}
		}
	}
	return next
}

// Sweep passes each waiting flow to remove and drops it if that returns true. hopeless is
// set if the flow cannot be served before its client gives up, even if no further flow
// arrives: at the measured rate, the flows ahead of it take far longer, or no time is left.
func (q *Queue[T]) Sweep(now clock.Millis, remove func(item T, f Flow, hopeless bool) bool) {
	served := q.served.current(now)
	ahead := 0
	for _, c := range q.classes {
		ahead += len(c.flows)
		position := ahead
		c.flows = slices.DeleteFunc(c.flows, func(e entry[T]) bool {
			position--
			hopeless := now > e.flow.GiveUp-refusalMargin ||
				(served*rateWindow >= minServedFlows && float64(position) > hopelessFactor*served*float64(e.flow.GiveUp-now))
			return remove(e.item, e.flow, hopeless)
		})
	}
	q.classes = slices.DeleteFunc(q.classes, func(c *class[T]) bool { return len(c.flows) == 0 && c.owed == 0 })
	q.size = 0
	for _, c := range q.classes {
		q.size += len(c.flows)
	}
	if q.size == 0 {
		q.pace.release()
		q.latePace.release()
	}
}
