package demo

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// effectLimit is the time within which an accepted contract must be in effect on
// every balancer (point 8).
const effectLimit = 4 * clock.Second

// write is a contract that the platform accepted.
type write struct {
	revision uint64
	// learnedAt is when the operator learned that the platform accepted the contract.
	learnedAt clock.Millis
}

// observation is the revision that a balancer reported in one response.
type observation struct {
	balancer string
	at       clock.Millis
	ready    bool
	revision uint64
}

// downtime is an interval in which a balancer is paused or does not run. If to is
// 0, it lasts until the end of the run.
type downtime struct {
	balancer string
	from     clock.Millis
	to       clock.Millis
}

// revisionHistory is the input to the judgement of point 8. Writes and
// observations are in chronological order.
type revisionHistory struct {
	writes       []write
	observations []observation
	downtimes    []downtime
}

// revisionsVerdict is the judgement of point 8. A pair is a write and a
// balancer.
type revisionsVerdict struct {
	// pairs counts pairs in which the write came into effect on the balancer.
	pairs int
	// late counts pairs in which that took longer than effectLimit.
	late int
	// missing counts pairs in which the write did not come into effect.
	missing int
	// reverted counts observations of a lower revision than an earlier one.
	reverted int
	// slowest is the longest time that a write took to come into effect.
	slowest clock.Millis
}

func (v revisionsVerdict) failed() bool { return v.pairs == 0 || v.late+v.missing+v.reverted > 0 }

// judge measures how long each write takes to come into effect on each balancer.
// The time starts when the operator learned of the acceptance, or at the end of a
// downtime if that is later.
func (r *revisionHistory) judge(balancers []string) revisionsVerdict {
	var v revisionsVerdict
	for _, balancer := range balancers {
		reported := r.readyObservations(balancer)
		v.reverted += reversions(reported)
		for _, w := range r.writes {
			r.judgePair(&v, balancer, reported, w)
		}
	}
	return v
}

func (r *revisionHistory) readyObservations(balancer string) []observation {
	var reported []observation
	for _, o := range r.observations {
		if o.balancer == balancer && o.ready {
			reported = append(reported, o)
		}
	}
	return reported
}

// reversions counts observations with a lower revision than an earlier observation
// of the same balancer. The earlier observation may be of an earlier process on the
// same host.
func reversions(reported []observation) int {
	count, highest := 0, uint64(0)
	for _, o := range reported {
		if o.revision < highest {
			count++
		}
		highest = max(highest, o.revision)
	}
	return count
}

func (r *revisionHistory) judgePair(v *revisionsVerdict, balancer string, reported []observation, w write) {
	from, available := r.timingStart(balancer, w.learnedAt)
	if !available {
		return
	}
	for _, o := range reported {
		if o.revision < w.revision {
			continue
		}
		v.pairs++
		delay := max(0, o.at-from)
		v.slowest = max(v.slowest, delay)
		if delay > effectLimit {
			v.late++
		}
		return
	}
	v.missing++
}

// timingStart returns the time from which the delay of a write on a balancer is
// measured. This time is learnedAt at first. It moves to the end of each downtime
// that ends later and begins at most effectLimit after it. timingStart returns false
// if a downtime that begins so early never ends.
func (r *revisionHistory) timingStart(balancer string, learnedAt clock.Millis) (clock.Millis, bool) {
	from := learnedAt
	for _, down := range r.downtimes {
		if down.balancer != balancer || down.from > from+effectLimit {
			continue
		}
		if down.to == 0 {
			return 0, false
		}
		from = max(from, down.to)
	}
	return from, true
}
