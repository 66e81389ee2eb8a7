package membership

import (
	"maps"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// HeartbeatInterval is the time between two heartbeats of any kind.
	HeartbeatInterval = clock.Second
	// UnreachableTimeout is how long the counter of a data centre may stand
	// still before its members get no new flows.
	UnreachableTimeout = 5 * clock.Second
	// RetirementTimeout is how long a data centre stays unreachable before its
	// records are removed.
	RetirementTimeout = 60 * clock.Minute
	// settleTime covers the delay before a neighbour is tried again (15 s) and
	// several digests.
	settleTime = clock.Minute
)

// reachability follows the heartbeat counter of each data centre.
type reachability struct {
	own      string
	counters map[string]*counter
	// retired holds the last counter of each data centre that was removed.
	// Neighbours remove it a little later and would bring its records back.
	retired map[string]uint64
	// partitioned is when a data centre was unreachable last, if wasPartitioned.
	partitioned    clock.Millis
	wasPartitioned bool
}

type counter struct {
	value       uint64
	changed     clock.Millis
	unreachable bool
}

func newReachability(own string) *reachability {
	return &reachability{own: own, counters: map[string]*counter{}, retired: map[string]uint64{}}
}

// beat increments the own counter unless another balancer did so within the
// interval, and reports whether it did.
func (r *reachability) beat(now clock.Millis) bool {
	c, ok := r.counters[r.own]
	if !ok {
		c = &counter{}
		r.counters[r.own] = c
	} else if now < c.changed+HeartbeatInterval {
		return false
	}
	c.value++
	c.changed = now
	return true
}

// receive takes a counter from a neighbour and reports whether the data centre
// became reachable.
func (r *reachability) receive(now clock.Millis, dataCentre string, value uint64) bool {
	if last, ok := r.retired[dataCentre]; ok {
		if value <= last {
			return false
		}
		delete(r.retired, dataCentre)
	}
	c, ok := r.counters[dataCentre]
	if !ok {
		r.counters[dataCentre] = &counter{value: value, changed: now}
		return false
	}
	if value <= c.value {
		return false
	}
	c.value, c.changed = value, now
	recovered := c.unreachable
	c.unreachable = false
	return recovered
}

// check returns the data centres whose counters have now stood still for too
// long, and those that must be removed.
func (r *reachability) check(now clock.Millis) (lost, retired []string) {
	if r.anyUnreachable() {
		r.partitioned, r.wasPartitioned = now, true
	}
	for _, name := range slices.Sorted(maps.Keys(r.counters)) {
		c := r.counters[name]
		switch still := now - c.changed; {
		case name == r.own:
		case still >= RetirementTimeout:
			r.retired[name] = c.value
			delete(r.counters, name)
			retired = append(retired, name)
		case still >= UnreachableTimeout && !c.unreachable:
			c.unreachable = true
			lost = append(lost, name)
		}
	}
	return lost, retired
}

// postpone treats the time of a pause of this process as not elapsed.
func (r *reachability) postpone(pause clock.Millis) {
	for _, c := range r.counters {
		c.changed += pause
	}
}

func (r *reachability) unreachable(dataCentre string) bool {
	c, ok := r.counters[dataCentre]
	return ok && c.unreachable
}

func (r *reachability) anyUnreachable() bool {
	for _, c := range r.counters {
		if c.unreachable {
			return true
		}
	}
	return false
}

// settled reports whether all data centres have been reachable for so long that
// both sides of the last partition have exchanged their records.
func (r *reachability) settled(now clock.Millis) bool {
	return !r.wasPartitioned || now >= r.partitioned+settleTime
}

func (r *reachability) isRetired(dataCentre string) bool {
	_, ok := r.retired[dataCentre]
	return ok
}
