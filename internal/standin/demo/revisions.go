package demo

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// effectLimit is the time within which an accepted contract must be in effect on
// every balancer (invariant 8).
const effectLimit = 4 * clock.Second

// write is a contract that the platform accepted.
type write struct {
	revision uint64
	// acceptedAt is when the operator learned of the success.
	acceptedAt clock.Millis
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

// revisionHistory is the input to the judgement of invariant 8. Writes and
// observations are in chronological order.
type revisionHistory struct {
	writes       []write
	observations []observation
	downtimes    []downtime
}

// revisionsVerdict counts pairs of a write and a balancer.
type revisionsVerdict struct {
	pairs    int
	late     int
	missing  int
	reverted int
	slowest  clock.Millis
}

func (v revisionsVerdict) failed() bool { return v.pairs == 0 || v.late+v.missing+v.reverted > 0 }

// judge measures how long each write takes to come into effect on each balancer.
// The time starts at the acceptance, or at the end of a downtime if that is later.
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

// reversions counts observations with a lower revision than an earlier one of the
// same host. The earlier one may come from an earlier process on that host.
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
	from, returns := r.timingStart(balancer, w.acceptedAt)
	if !returns {
		return
	}
	for _, o := range reported {
		if o.revision < w.revision {
			continue
		}
		v.pairs++
		effect := max(0, o.at-from)
		v.slowest = max(v.slowest, effect)
		if effect > effectLimit {
			v.late++
		}
		return
	}
	v.missing++
}

// timingStart returns the time from which the delay of a write on a balancer is
// measured: its acceptance, or the end of a downtime that begins before the limit.
// It returns false if the balancer does not become available again.
func (r *revisionHistory) timingStart(balancer string, accepted clock.Millis) (clock.Millis, bool) {
	from := accepted
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
