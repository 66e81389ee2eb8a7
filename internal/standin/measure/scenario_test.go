package measure

// Times of the scenarios.
const (
	openTime      = 5 * second
	warmUp        = 15 * second
	overloadFrom  = 25 * second
	overloadUntil = 55 * second
	steadyUntil   = 75 * second
	// drainTime lets the last requests end.
	drainTime = 10 * second
	// replaceInterval is the time between two replaced upstreams, and
	// balancerInterval that between two replaced balancers.
	replaceInterval  = 8 * second
	balancerInterval = 15 * second
	// startLead is how long a new upstream runs before the old one leaves.
	startLead = 2 * second
	// pauseTime exceeds the silence after which a sidecar is declared dead.
	pauseTime = 4 * second
)

type scenario struct {
	name string
	// overloaded is the index of the kind that exceeds the capacity, or negative.
	overloaded int
	// until is the end of the measurement. The work is offered until then.
	until func(deployment) micros
	// change makes the changes of the scenario, at most once for each world.
	change func(*world)
	// smooth tells that the goal of imbalance applies, and planned that the goal of
	// broken flows does.
	smooth, planned bool
}

func steadyEnd(deployment) micros { return steadyUntil }

func scenarios() []scenario {
	nothing := func(*world) {}
	return []scenario{
		{name: "steady", overloaded: -1, until: steadyEnd, change: nothing, smooth: true, planned: true},
		{
			name: "rolling-replacement", overloaded: -1, change: replaceAll, smooth: true, planned: true,
			until: func(d deployment) micros {
				return max(warmUp+micros(d.upstreams)*replaceInterval, warmUp+balancerCount*balancerInterval) + 20*second
			},
		},
		{
			name: "balancer-killed", overloaded: -1, until: steadyEnd, smooth: true, planned: true,
			change: func(w *world) { w.at(overloadFrom, func() { w.killBalancer(w.balancers[0]) }) },
		},
		{
			name: "owner-paused", overloaded: -1, until: steadyEnd,
			change: func(w *world) { w.at(overloadFrom, func() { w.pause(w.sidecars[0], pauseTime) }) },
		},
		{name: "overload-least-urgent", overloaded: 2, until: steadyEnd, change: nothing, planned: true},
		{name: "overload-most-urgent", overloaded: 0, until: steadyEnd, change: nothing, planned: true},
	}
}

// replaceAll replaces every upstream and every balancer, some at the same moment.
func replaceAll(w *world) {
	for i, old := range w.sidecars {
		w.at(warmUp+micros(i)*replaceInterval, func() {
			w.addSidecar(old.dataCentre)
			w.after(startLead, old.leave)
		})
	}
	for i, old := range w.balancers {
		w.at(warmUp+micros(i)*balancerInterval, func() { w.replaceBalancer(old) })
	}
}

// play runs a scenario from its start to its end.
func play(seed uint64, flows int, d deployment, p policy, s scenario) *world {
	w := newWorld(seed, d, p)
	w.flows = flows
	until := s.until(d)
	w.measureFrom, w.measureUntil = warmUp, until
	w.openClients(openTime)
	for kind, k := range d.kinds {
		w.generate(kind, k.load, false, openTime, until)
	}
	if s.overloaded >= 0 {
		w.generate(s.overloaded, overloadFactor, true, overloadFrom, overloadUntil)
	}
	s.change(w)
	w.runUntil(until + drainTime)
	return w
}
