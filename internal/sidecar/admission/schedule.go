package admission

import (
	"math"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// dispatch refuses queued requests whose latest start has passed, and starts others
// while slots are free.
func (c *Controller) dispatch(now clock.Millis) []Action {
	actions := c.refuseLate(now)
	for {
		k := c.nextKind()
		if k == nil {
			return actions
		}
		e := k.queue[0]
		k.queue = k.queue[1:]
		c.queued--
		actions = append(actions, c.start(e, now))
	}
}

func (c *Controller) refuseLate(now clock.Millis) []Action {
	var actions []Action
	for _, k := range c.kinds {
		kept := k.queue[:0]
		for _, e := range k.queue {
			if now <= e.latestStart {
				kept = append(kept, e)
				continue
			}
			actions = append(actions, c.refuse(e.request, c.estimateWait(k)))
			delete(c.requests, e.request.ID)
			c.queued--
		}
		clear(k.queue[len(kept):])
		k.queue = kept
	}
	return actions
}

// nextKind returns the kind whose first queued request starts next, or nil if no
// request can start. Kinds with a guaranteed share and no debt come first, ordered by
// credit in proportion to share; then by urgency; then by waiting time.
func (c *Controller) nextKind() *kind {
	var best *kind
	for _, k := range c.kinds {
		if len(k.queue) > 0 && c.canStart(k) && (best == nil || precedes(k, best)) {
			best = k
		}
	}
	return best
}

func precedes(a, b *kind) bool {
	if a.inCredit() != b.inCredit() {
		return a.inCredit()
	}
	if a.inCredit() {
		x, y := a.credit/a.GuaranteedShare, b.credit/b.GuaranteedShare
		if math.Abs(x-y) > epsilon {
			return x > y
		}
	}
	if a.Urgency != b.Urgency {
		return a.Urgency > b.Urgency
	}
	return a.queue[0].arrival < b.queue[0].arrival
}

// inCredit reports whether the kind has a guaranteed share and no negative credit.
func (k *kind) inCredit() bool {
	return k.GuaranteedShare > 0 && k.credit >= -epsilon
}

// canStart reports whether a slot is free and the kind is below its ceiling.
func (c *Controller) canStart(k *kind) bool {
	return c.inUse < c.config.Slots && k.running < c.ceiling(k)
}

// ceiling returns the number of slots that the kind may use. It is at least one,
// because a kind that can never run would be a mistake in the contract.
func (c *Controller) ceiling(k *kind) int {
	return max(1, int(k.Ceiling*float64(c.config.Slots)+epsilon))
}

func (c *Controller) guaranteedSlots(k *kind) float64 {
	return min(k.GuaranteedShare*float64(c.config.Slots), float64(c.ceiling(k)))
}

// accrue updates the credits to the given time. Each kind gains the time of its
// guaranteed slots and loses the time of the slots that it uses. A kind with an empty
// queue keeps a credit of at most maxIdleCredit times its guaranteed slots.
func (c *Controller) accrue(now clock.Millis) {
	elapsed := float64(now - c.accruedAt)
	if elapsed <= 0 {
		return
	}
	c.accruedAt = now
	for _, k := range c.kinds {
		guarantee := c.guaranteedSlots(k)
		k.credit += elapsed * (guarantee - float64(k.running))
		if len(k.queue) == 0 {
			k.credit = min(k.credit, guarantee*float64(maxIdleCredit))
		}
		limit := guarantee * float64(maxCredit)
		k.credit = max(min(k.credit, limit), -limit)
	}
}

func (c *Controller) latestStart(k *kind, deadline, now clock.Millis) clock.Millis {
	// At most half of the time left is reserved for the service time. Otherwise, a high
	// mean after some slow responses would make every request too late, and the kind
	// would never be measured again.
	return deadline - min(clock.Millis(k.meanServiceTime), (deadline-now)/2)
}

// estimateWait estimates how long a new request of the kind waits for a slot. The
// estimate is the shorter of the waits by guaranteed share and by urgency. It is at
// least the wait that the ceiling of the kind imposes, and at most a minute.
func (c *Controller) estimateWait(k *kind) clock.Millis {
	own := float64(len(k.queue)+1) * k.meanServiceTime
	atCeiling := own / float64(c.ceiling(k))
	byShare := math.Inf(1)
	if guarantee := c.guaranteedSlots(k); guarantee > 0 {
		byShare = max(own-max(k.credit, 0), 0) / guarantee
	}
	ahead, slots := own, float64(c.config.Slots)
	for _, other := range c.kinds {
		switch {
		case other == k || len(other.queue) == 0:
		case other.Urgency >= k.Urgency:
			ahead += float64(len(other.queue)) * other.meanServiceTime
		default:
			slots -= c.guaranteedSlots(other)
		}
	}
	byUrgency := math.Inf(1)
	if slots > epsilon {
		byUrgency = ahead / slots
	}
	wait := max(atCeiling, min(byShare, byUrgency))
	return clock.Millis(min(wait, float64(clock.Minute)))
}
