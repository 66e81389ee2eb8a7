package measure

const (
	// openingTime is the time over which the clients open their first flows. The work
	// is offered after that.
	openingTime = 5 * second
	// warmUp is the time before the measurement.
	warmUp = 15 * second
	// disturbFrom is the start of the overload, or the time of the kill or the pause.
	disturbFrom   = 25 * second
	overloadUntil = 55 * second
	steadyUntil   = 75 * second
	// runOutTime is how long a run continues without new work, so that the last
	// requests can end.
	runOutTime = 10 * second
	// upstreamInterval is the interval between replacements of upstreams.
	upstreamInterval = 8 * second
	// balancerInterval is the interval between replacements of balancers.
	balancerInterval = 15 * second
	// startLead is how long a new upstream runs before the old one starts to leave.
	startLead = 2 * second
	// pauseTime exceeds the silence timeout after which a sidecar is declared dead.
	pauseTime = 4 * second
)

type scenario struct {
	name string
	// overloaded is the index of the kind whose offered work exceeds the capacity. It
	// is negative if there is none.
	overloaded int
	// until returns the end of the measurement, at which the offered work ends too.
	until func(deployment) micros
	// change schedules the changes and faults of the scenario. It is called at most
	// once for each simulation.
	change func(*simulation)
	// hasPeakToMeanGoal is whether the goal for the peak-to-mean ratio applies.
	// hasBrokenFlowsGoal is whether the goal for broken flows applies.
	hasPeakToMeanGoal, hasBrokenFlowsGoal bool
}

func steadyEnd(deployment) micros { return steadyUntil }

func scenarios() []scenario {
	noChange := func(*simulation) {}
	return []scenario{
		{name: "steady", overloaded: -1, until: steadyEnd, change: noChange, hasPeakToMeanGoal: true, hasBrokenFlowsGoal: true},
		{
			name: "rolling-replacement", overloaded: -1, change: replaceAll, hasPeakToMeanGoal: true, hasBrokenFlowsGoal: true,
			until: func(d deployment) micros {
				return max(warmUp+micros(d.upstreams)*upstreamInterval, warmUp+balancerCount*balancerInterval) + 20*second
			},
		},
		{
			name: "balancer-killed", overloaded: -1, until: steadyEnd, hasPeakToMeanGoal: true, hasBrokenFlowsGoal: true,
			change: func(sim *simulation) { sim.at(disturbFrom, func() { sim.killBalancer(sim.balancers[0]) }) },
		},
		{
			name: "owner-paused", overloaded: -1, until: steadyEnd,
			change: func(sim *simulation) { sim.at(disturbFrom, func() { sim.pause(sim.sidecars[0], pauseTime) }) },
		},
		{name: "overload-least-urgent", overloaded: 2, until: steadyEnd, change: noChange, hasBrokenFlowsGoal: true},
		{name: "overload-most-urgent", overloaded: 0, until: steadyEnd, change: noChange, hasBrokenFlowsGoal: true},
	}
}

// replaceAll replaces every upstream and every balancer. The first upstream and the
// first balancer are replaced at the same time.
func replaceAll(sim *simulation) {
	for i, old := range sim.sidecars {
		sim.at(warmUp+micros(i)*upstreamInterval, func() {
			sim.addSidecar(old.dataCentre)
			sim.after(startLead, old.leave)
		})
	}
	for i, old := range sim.balancers {
		sim.at(warmUp+micros(i)*balancerInterval, func() { sim.replaceBalancer(old) })
	}
}

// runScenario runs a scenario to its end. flows is the number of flows for each
// upstream.
func runScenario(seed uint64, flows int, d deployment, p policy, s scenario) *simulation {
	sim := newSimulation(seed, d, p)
	sim.upstreamFlows = flows
	until := s.until(d)
	sim.measureFrom, sim.measureUntil = warmUp, until
	sim.openClients(openingTime)
	for kindIndex, w := range d.workloads {
		sim.generate(kindIndex, w.load, false, openingTime, until)
	}
	if s.overloaded >= 0 {
		sim.generate(s.overloaded, overloadFactor, true, disturbFrom, overloadUntil)
	}
	s.change(sim)
	sim.runUntil(until + runOutTime)
	return sim
}
