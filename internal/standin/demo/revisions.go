package demo

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// effectLimit is the time in which an accepted contract is in effect on every
// balancer (invariant 8).
const effectLimit = 4 * clock.Second

// write is a contract that the platform accepted.
type write struct {
	revision uint64
	// accepted is when the operator knew of the success.
	accepted clock.Millis
}

// observation is one answer of a balancer to the question for its revision.
type observation struct {
	balancer string
	at       clock.Millis
	ready    bool
	revision uint64
}

// absence is a time in which a balancer is paused or does not run. It lasts
// until the end of the run if to is 0.
type absence struct {
	balancer string
	from     clock.Millis
	to       clock.Millis
}

// revisions judges invariant 8 from writes and observations in order of time.
type revisions struct {
	writes       []write
	observations []observation
	absences     []absence
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

// judge counts the time to effect from the acceptance, or from the end of an
// absence if that is later.
func (r *revisions) judge(balancers []string) revisionsVerdict {
	var v revisionsVerdict
	for _, balancer := range balancers {
		own := r.of(balancer)
		v.reverted += reversions(own)
		for _, w := range r.writes {
			r.judgePair(&v, balancer, own, w)
		}
	}
	return v
}

func (r *revisions) of(balancer string) []observation {
	var own []observation
	for _, o := range r.observations {
		if o.balancer == balancer && o.ready {
			own = append(own, o)
		}
	}
	return own
}

// reversions counts answers with a revision lower than an earlier answer of the
// same host, also of an earlier process there.
func reversions(own []observation) int {
	count, highest := 0, uint64(0)
	for _, o := range own {
		if o.revision < highest {
			count++
		}
		highest = max(highest, o.revision)
	}
	return count
}

func (r *revisions) judgePair(v *revisionsVerdict, balancer string, own []observation, w write) {
	from, present := r.presentFrom(balancer, w.accepted)
	if !present {
		return
	}
	for _, o := range own {
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

// presentFrom returns when the time of a write counts for a balancer: from its
// acceptance, or from the end of an absence that begins before the limit. It
// returns false if the balancer does not come back.
func (r *revisions) presentFrom(balancer string, accepted clock.Millis) (clock.Millis, bool) {
	from := accepted
	for _, a := range r.absences {
		if a.balancer != balancer || a.from > from+effectLimit {
			continue
		}
		if a.to == 0 {
			return 0, false
		}
		from = max(from, a.to)
	}
	return from, true
}
