package membership

import (
	"maps"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// HeartbeatInterval is the time between two heartbeats of members, of Sync
	// streams and of data centres.
	HeartbeatInterval = clock.Second
	// UnreachableTimeout is how long the counter of a data centre may stay
	// unchanged before the members there get no new flows.
	UnreachableTimeout = 5 * clock.Second
	// RetirementTimeout is how long the counter of a data centre may stay
	// unchanged before the data centre is retired, which removes its records.
	RetirementTimeout = 60 * clock.Minute
	// settleTime covers the longest delay before a balancer reconnects to a
	// neighbour (15 s) and several digests.
	settleTime = clock.Minute
)

// reachability tracks the heartbeat counter of each data centre. The balancers
// of a data centre increment its counter and forward the counters of others.
type reachability struct {
	ownDataCentre string
	counters      map[string]*counter
	// retired holds the last counter of each retired data centre. Neighbours
	// retire the data centre slightly later and would otherwise reintroduce its
	// records.
	retired map[string]uint64
	// lastPartition is the last time at which a data centre was unreachable. It
	// is valid if wasPartitioned is true.
	lastPartition  clock.Millis
	wasPartitioned bool
}

type counter struct {
	value       uint64
	lastChange  clock.Millis
	unreachable bool
}

func newReachability(own string) *reachability {
	return &reachability{ownDataCentre: own, counters: map[string]*counter{}, retired: map[string]uint64{}}
}

// incrementOwn increments the counter of this data centre, unless it changed
// within the last HeartbeatInterval. It reports whether it incremented the
// counter.
func (r *reachability) incrementOwn(now clock.Millis) bool {
	c, ok := r.counters[r.ownDataCentre]
	if !ok {
		c = &counter{}
		r.counters[r.ownDataCentre] = c
	} else if now < c.lastChange+HeartbeatInterval {
		return false
	}
	c.value++
	c.lastChange = now
	return true
}

// receive records a counter from a neighbour. It reports whether the data
// centre became reachable again.
func (r *reachability) receive(now clock.Millis, dataCentre string, value uint64) bool {
	if last, ok := r.retired[dataCentre]; ok {
		if value <= last {
			return false
		}
		delete(r.retired, dataCentre)
	}
	c, ok := r.counters[dataCentre]
	if !ok {
		r.counters[dataCentre] = &counter{value: value, lastChange: now}
		return false
	}
	if value <= c.value {
		return false
	}
	c.value, c.lastChange = value, now
	recovered := c.unreachable
	c.unreachable = false
	return recovered
}

// check returns the data centres that became unreachable, and those that are
// now retired.
func (r *reachability) check(now clock.Millis) (lost, retired []string) {
	if r.anyUnreachable() {
		r.lastPartition, r.wasPartitioned = now, true
	}
	for _, name := range slices.Sorted(maps.Keys(r.counters)) {
		c := r.counters[name]
		switch unchangedFor := now - c.lastChange; {
		case name == r.ownDataCentre:
		case unchangedFor >= RetirementTimeout:
			r.retired[name] = c.value
			delete(r.counters, name)
			retired = append(retired, name)
		case unchangedFor >= UnreachableTimeout && !c.unreachable:
			c.unreachable = true
			lost = append(lost, name)
		}
	}
	return lost, retired
}

// excludePause treats the time of a pause of this process as not elapsed.
func (r *reachability) excludePause(pause clock.Millis) {
	for _, c := range r.counters {
		c.lastChange += pause
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
	return !r.wasPartitioned || now >= r.lastPartition+settleTime
}

func (r *reachability) isRetired(dataCentre string) bool {
	_, ok := r.retired[dataCentre]
	return ok
}
