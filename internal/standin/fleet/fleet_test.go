package fleet_test

import (
	"flag"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/standin/fleet"
)

var (
	seed  = flag.Uint64("fleet.seed", 20261204, "first seed of TestFaults and TestMutants")
	seeds = flag.Int("fleet.seeds", 12, "number of seeds of TestFaults")
)

// mutantSeeds is the number of seeds within which a mutant must be caught.
// rareMutantSeeds replaces it for ServiceUnchecked, which only shows if an address is reused
// at the moment of a new flow.
const (
	mutantSeeds     = 6
	rareMutantSeeds = 32
)

// openFlows opens 20 flows a second to random services for some seconds.
func openFlows(cluster *fleet.Cluster, services int, seconds int) {
	for range seconds * 20 {
		cluster.OpenRandomFlow(services)
		cluster.Advance(clock.Second / 20)
	}
}

// Guards against failed requests while no fault occurs.
func TestCalm(t *testing.T) {
	c := qt.New(t)
	for _, rendezvous := range []bool{false, true} {
		cluster := fleet.New(fleet.Config{Seed: 1, RendezvousHash: rendezvous, Balancers: 4, Upstreams: 3, Services: 2})
		cluster.Advance(2 * clock.Second)
		openFlows(cluster, 2, 10)
		cluster.Advance(15 * clock.Second)
		c.Assert(cluster.Violations(), qt.HasLen, 0)
		c.Assert(cluster.Unserved(), qt.Equals, 0)
		c.Assert(cluster.Served() > 500, qt.IsTrue)
	}
}

// Guards against flows that break when balancers are stopped one after the other. Each
// change of the rotation moves about three quarters of the flows to other balancers.
func TestRollingRestartOfBalancers(t *testing.T) {
	c := qt.New(t)
	cluster := fleet.New(fleet.Config{Seed: 2, Balancers: 4, Upstreams: 3, Services: 2})
	cluster.Advance(2 * clock.Second)
	for i := range 4 {
		cluster.StopBalancer(i, clock.Second)
		openFlows(cluster, 2, 5)
	}
	cluster.Advance(15 * clock.Second)
	c.Assert(cluster.Violations(), qt.HasLen, 0)
	c.Assert(cluster.Unserved(), qt.Equals, 0)
}

// Guards against flows that are lost with a killed sidecar although their upstream still
// runs.
func TestSidecarRestart(t *testing.T) {
	c := qt.New(t)
	cluster := fleet.New(fleet.Config{Seed: 3, Balancers: 3, Upstreams: 3, Services: 1})
	cluster.Advance(2 * clock.Second)
	for i := range 3 {
		openFlows(cluster, 1, 4)
		cluster.KillSidecar(i, 600)
	}
	openFlows(cluster, 1, 4)
	cluster.Advance(15 * clock.Second)
	c.Assert(cluster.Violations(), qt.HasLen, 0)
	c.Assert(cluster.Unserved() < 10, qt.IsTrue, qt.Commentf("%d unserved", cluster.Unserved()))
}

// Guards against service that does not recover after all balancers, sidecars and upstreams
// were killed.
func TestAllKilled(t *testing.T) {
	c := qt.New(t)
	cluster := fleet.New(fleet.Config{Seed: 4, Balancers: 4, Upstreams: 3, Services: 2})
	cluster.Advance(2 * clock.Second)
	openFlows(cluster, 2, 5)
	for i := range 4 {
		cluster.KillBalancer(i, clock.Millis(500+cluster.RandomInt(700)))
	}
	for i := range cluster.Upstreams() {
		cluster.KillSidecar(i, clock.Millis(500+cluster.RandomInt(700)))
		cluster.RestartUpstream(i, clock.Millis(500+cluster.RandomInt(700)))
	}
	openFlows(cluster, 2, 5)
	cluster.Advance(5 * clock.Second)
	unserved, served := cluster.Unserved(), cluster.Served()
	openFlows(cluster, 2, 5)
	cluster.Advance(15 * clock.Second)
	c.Assert(cluster.Violations(), qt.HasLen, 0)
	c.Assert(cluster.Served() > served+300, qt.IsTrue)
	c.Assert(cluster.Unserved(), qt.Equals, unserved)
}

// injectFault injects one random fault.
func injectFault(cluster *fleet.Cluster, balancers, services int) {
	upstream := cluster.RandomInt(cluster.Upstreams())
	down := clock.Millis(200 + cluster.RandomInt(2000))
	switch cluster.RandomInt(10) {
	case 0:
		cluster.KillBalancer(cluster.RandomInt(balancers), down)
	case 1:
		cluster.StopBalancer(cluster.RandomInt(balancers), down)
	case 2:
		cluster.KillSidecar(upstream, down)
	case 3:
		cluster.RestartUpstream(upstream, down)
	case 4:
		cluster.SendStaleHeartbeat(upstream)
	case 5:
		if cluster.ServingUpstreams(cluster.Service(upstream)) > 2 {
			cluster.DrainUpstream(upstream)
		}
	case 6:
		if cluster.ServingUpstreams(cluster.Service(upstream)) > 2 {
			cluster.ReuseAddress(upstream, cluster.RandomInt(services))
		}
	case 7:
		cluster.AddUpstream(cluster.RandomInt(services))
	default:
		cluster.Reconfigure()
	}
}

// moveTargets changes the targets of a random route: to another service, to this one and
// its own, back to its own, or to none.
func moveTargets(cluster *fleet.Cluster, services int) {
	route, other := cluster.RandomInt(services), cluster.RandomInt(services)
	switch cluster.RandomInt(5) {
	case 0, 1:
		cluster.Retarget(route, other)
	case 2:
		cluster.Retarget(route, route, other)
	case 3:
		cluster.Retarget(route, route)
	default:
		cluster.Retarget(route)
	}
}

// restoreTargets sends each route to its own service again.
func restoreTargets(cluster *fleet.Cluster, services int) {
	for route := range services {
		cluster.Retarget(route, route)
	}
}

// runWithFaults runs a cluster under load and injects a random fault each second for 20 s.
// With moving targets, it also changes the targets of a route each second, and stops a
// sidecar now and then.
func runWithFaults(config fleet.Config, movingTargets bool) *fleet.Cluster {
	cluster := fleet.New(config)
	cluster.Advance(2 * clock.Second)
	for range 20 {
		if movingTargets {
			moveTargets(cluster, config.Services)
			if cluster.RandomInt(4) == 0 {
				cluster.StopSidecar(cluster.RandomInt(cluster.Upstreams()), clock.Millis(600+cluster.RandomInt(2000)))
			}
		}
		injectFault(cluster, config.Balancers, config.Services)
		openFlows(cluster, config.Services, 1)
	}
	if movingTargets {
		restoreTargets(cluster, config.Services)
	}
	return cluster
}

// Guards against a reset of an open flow after a new configuration has removed the flow's
// service from the targets of the route, also by balancers that have never seen the older
// configuration.
func TestTargetsMove(t *testing.T) {
	c := qt.New(t)
	cluster := fleet.New(fleet.Config{Seed: 5, Balancers: 4, Upstreams: 3, Services: 3})
	cluster.Advance(2 * clock.Second)
	for _, services := range [][]int{{1}, {0, 1}, {2}, {0}, {1, 2}} {
		openFlows(cluster, 3, 2)
		cluster.Retarget(0, services...)
		for i := range 4 {
			cluster.KillBalancer(i, 700)
			cluster.Advance(2 * clock.Second)
		}
	}
	openFlows(cluster, 3, 3)
	cluster.Advance(15 * clock.Second)
	c.Assert(cluster.Violations(), qt.HasLen, 0)
}

// Guards against a flow that a restarted sidecar does not list yet and that a balancer
// therefore takes for lost, after the flow's service has ceased to be a target.
func TestTargetsMoveWhileSidecarsLearn(t *testing.T) {
	c := qt.New(t)
	cluster := fleet.New(fleet.Config{Seed: 6, Balancers: 4, Upstreams: 3, Services: 7})
	cluster.Advance(2 * clock.Second)
	openFlows(cluster, 7, 4)
	for route := range 7 {
		cluster.Retarget(route, (route+1)%7)
	}
	for i := range cluster.Upstreams() {
		cluster.KillSidecar(i, 300)
	}
	for i := range 4 {
		cluster.KillBalancer(i, 300)
	}
	cluster.Advance(15 * clock.Second)
	c.Assert(cluster.Violations(), qt.HasLen, 0)
	c.Assert(cluster.Served() > 250, qt.IsTrue)
}

// runBehind runs a cluster in which balancers leave the rotation while a route moves to a
// target whose reports, which list its address, are lost for a while.
func runBehind(config fleet.Config) *fleet.Cluster {
	cluster := fleet.New(config)
	cluster.Advance(5 * clock.Second)
	for i := range config.Services - 1 {
		cluster.StopBalancer(i%config.Balancers, 500)
		cluster.Advance(clock.Millis(cluster.RandomInt(600)))
		cluster.LoseReports(600)
		cluster.Retarget(0, 1+i)
		for range 40 {
			cluster.OpenRandomFlow(1)
			cluster.Advance(25)
		}
		cluster.Advance(5 * clock.Second)
	}
	cluster.Advance(15 * clock.Second)
	return cluster
}

// Guards against a balancer that is behind by a configuration and resets a flow that another
// one has placed on the route's new target.
func TestBalancerBehindResetsNoFlow(t *testing.T) {
	c := qt.New(t)
	caught := 0
	for s := uint64(0); s < rareMutantSeeds && (s < mutantSeeds || caught == 0); s++ {
		config := fleet.Config{Seed: *seed + s, Balancers: 5, Upstreams: 3, Services: 8}
		c.Assert(runBehind(config).Violations(), qt.HasLen, 0)
		config.Mutant = fleet.BehindIgnored
		caught += len(runBehind(config).Violations())
	}
	c.Assert(caught > 0, qt.IsTrue)
}

// Guards against an oracle that misses violations. Each mutant breaks one mechanism, and the
// oracle must record a violation within mutantSeeds or rareMutantSeeds.
func TestMutants(t *testing.T) {
	for _, mutant := range fleet.Mutants() {
		t.Run(fmt.Sprint(mutant), func(t *testing.T) {
			c := qt.New(t)
			caught := 0
			limit := uint64(mutantSeeds)
			if mutant == fleet.ServiceUnchecked {
				limit = rareMutantSeeds
			}
			for s := uint64(0); s < limit && caught == 0; s++ {
				config := fleet.Config{Seed: *seed + s, Balancers: 4, Upstreams: 3, Services: 2, Mutant: mutant}
				cluster := runWithFaults(config, mutant >= fleet.CurrentTargetsSearched)
				caught += len(cluster.Violations())
			}
			c.Assert(caught > 0, qt.IsTrue)
		})
	}
}

// Guards against rules that are violated under overlapping faults: a flow that opens at
// a service that is no target of its route or long after a drain, a reset of an open flow, a response to another
// request, a refusal of a request that was executed, and a second execution of a request
// that must not be repeated.
func TestFaults(t *testing.T) {
	for s := *seed; s < *seed+uint64(*seeds); s++ {
		t.Run(fmt.Sprint(s), func(t *testing.T) { checkSeed(t, s, false) })
		t.Run(fmt.Sprint(s, " with moving targets"), func(t *testing.T) { checkSeed(t, s, true) })
	}
}

// checkSeed runs a cluster under random faults and checks that no rule was violated. It also
// checks that at most two requests fail later than 5 s after the last fault.
func checkSeed(t *testing.T, s uint64, movingTargets bool) {
	const balancers, services = 4, 2
	c := qt.New(t)
	cluster := runWithFaults(fleet.Config{
		Seed: s, RendezvousHash: s%2 == 0, Balancers: balancers, Upstreams: 3, Services: services, Loss: float64(s%3) / 100,
	}, movingTargets)
	cluster.Advance(5 * clock.Second)
	unserved := cluster.Unserved()
	openFlows(cluster, services, 3)
	cluster.Advance(20 * clock.Second)
	c.Assert(cluster.Violations(), qt.HasLen, 0)
	unservedAfter := cluster.Unserved() - unserved
	c.Assert(unservedAfter <= 2, qt.IsTrue, qt.Commentf("%d requests after the last fault were not served", unservedAfter))
}

// Guards against the return of bugs that random seeds have found before.
func TestKeptSeeds(t *testing.T) {
	for cause, s := range map[string]uint64{
		"a sidecar at a reused address responded to a search for another service":                            20261390,
		"a restarted sidecar received a stale heartbeat before that of the drain":                            20261267,
		"a sidecar that restarted shortly after a drain received a stale heartbeat before that of the drain": 20261536,
	} {
		t.Run(cause, func(t *testing.T) { checkSeed(t, s, false) })
	}
	for cause, s := range map[string]uint64{
		"a sidecar that had changed its service responded to a search for the old one": 20290078,
		"such a sidecar responded in the place of a sidecar that an operator stopped":  20290035,
		"a flow was reset after the lost sidecar that owned it had come back":          20290087,
	} {
		t.Run(cause, func(t *testing.T) { checkSeed(t, s, true) })
	}
}
