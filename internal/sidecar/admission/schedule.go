package admission

import (
	"math"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// dispatch drops queued requests that are too late and starts others while slots
// are free.
func (c *Controller) dispatch(now clock.Millis) []Action {
	actions := c.dropLate(now)
	for {
		k := c.next()
		if k == nil {
			return actions
		}
		e := k.queue[0]
		k.queue = k.queue[1:]
		c.queued--
		actions = append(actions, c.start(e, now))
	}
}

func (c *Controller) dropLate(now clock.Millis) []Action {
	var actions []Action
	for _, k := range c.kinds {
		kept := k.queue[:0]
		for _, e := range k.queue {
			if now <= e.latest {
				kept = append(kept, e)
				continue
			}
			actions = append(actions, c.refuse(e.request, c.wait(k)))
			delete(c.requests, e.request.ID)
			c.queued--
		}
		clear(k.queue[len(kept):])
		k.queue = kept
	}
	return actions
}

// next returns the kind whose first queued request starts next: the one that is
// owed most in proportion to its share, else the most urgent one, else the one
// that waits longest. It returns nil if no request can start.
func (c *Controller) next() *kind {
	var best *kind
	for _, k := range c.kinds {
		if len(k.queue) > 0 && c.startable(k) && (best == nil || precedes(k, best)) {
			best = k
		}
	}
	return best
}

func precedes(a, b *kind) bool {
	if a.owed() != b.owed() {
		return a.owed()
	}
	if a.owed() {
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

func (k *kind) owed() bool {
	return k.GuaranteedShare > 0 && k.credit >= -epsilon
}

// startable reports whether a slot is free for the kind.
func (c *Controller) startable(k *kind) bool {
	return c.inUse < c.config.Slots && k.running < c.ceiling(k)
}

// ceiling returns the number of slots that the kind may take: at least one,
// because a kind that can never run would be a mistake in the contract.
func (c *Controller) ceiling(k *kind) int {
	return max(1, int(k.Ceiling*float64(c.config.Slots)+epsilon))
}

func (c *Controller) guaranteed(k *kind) float64 {
	return min(k.GuaranteedShare*float64(c.config.Slots), float64(c.ceiling(k)))
}

// accrue brings the credits to the given time. A kind without demand recovers
// its debt and saves its share of at most maxSaved.
func (c *Controller) accrue(now clock.Millis) {
	elapsed := float64(now - c.updated)
	if elapsed <= 0 {
		return
	}
	c.updated = now
	for _, k := range c.kinds {
		share := c.guaranteed(k)
		k.credit += elapsed * (share - float64(k.running))
		if len(k.queue) == 0 {
			k.credit = min(k.credit, share*float64(maxSaved))
		}
		limit := share * float64(maxCredit)
		k.credit = max(min(k.credit, limit), -limit)
	}
}

func (c *Controller) latestStart(k *kind, deadline, now clock.Millis) clock.Millis {
	// A mean above half of the time left would refuse everything after a spell of
	// slow responses, and then never be measured again.
	return deadline - min(clock.Millis(k.mean), (deadline-now)/2)
}

// wait estimates how long a new request of the kind waits for a slot: the
// shorter one of its guaranteed rate and its turn by urgency, but not less than
// its ceiling permits.
func (c *Controller) wait(k *kind) clock.Millis {
	own := float64(len(k.queue)+1) * k.mean
	atCeiling := own / float64(c.ceiling(k))
	byShare := math.Inf(1)
	if share := c.guaranteed(k); share > 0 {
		byShare = max(own-max(k.credit, 0), 0) / share
	}
	ahead, slots := own, float64(c.config.Slots)
	for _, other := range c.kinds {
		switch {
		case other == k || len(other.queue) == 0:
		case other.Urgency >= k.Urgency:
			ahead += float64(len(other.queue)) * other.mean
		default:
			slots -= c.guaranteed(other)
		}
	}
	byUrgency := math.Inf(1)
	if slots > epsilon {
		byUrgency = ahead / slots
	}
	wait := max(atCeiling, min(byShare, byUrgency))
	return clock.Millis(min(wait, float64(clock.Minute)))
}
