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
	seed  = flag.Uint64("fleet.seed", 20261204, "first seed of TestFaults")
	seeds = flag.Int("fleet.seeds", 12, "seeds of TestFaults")
)

// load opens flows of all services for some seconds.
func load(w *fleet.Cluster, services int, seconds int) {
	for range seconds * 20 {
		w.OpenRandomFlow(services)
		w.Advance(clock.Second / 20)
	}
}

// Guards against losses without any fault.
func TestCalm(t *testing.T) {
	c := qt.New(t)
	for _, steady := range []bool{false, true} {
		w := fleet.New(fleet.Config{Seed: 1, RendezvousHash: steady, Balancers: 4, Upstreams: 3, Services: 2})
		w.Advance(2 * clock.Second)
		load(w, 2, 10)
		w.Advance(15 * clock.Second)
		c.Assert(w.Violations(), qt.HasLen, 0)
		c.Assert(w.Unserved(), qt.Equals, 0)
		c.Assert(w.Served() > 500, qt.IsTrue)
	}
}

// Guards against flows that break when balancers are stopped one after the other,
// which moves nearly all packets to other balancers.
func TestRollingRestartOfBalancers(t *testing.T) {
	c := qt.New(t)
	w := fleet.New(fleet.Config{Seed: 2, Balancers: 4, Upstreams: 3, Services: 2})
	w.Advance(2 * clock.Second)
	for i := range 4 {
		w.StopBalancer(i, clock.Second)
		load(w, 2, 5)
	}
	w.Advance(15 * clock.Second)
	c.Assert(w.Violations(), qt.HasLen, 0)
	c.Assert(w.Unserved(), qt.Equals, 0)
}

// Guards against flows of a living upstream that are lost with its sidecar.
func TestSidecarRestart(t *testing.T) {
	c := qt.New(t)
	w := fleet.New(fleet.Config{Seed: 3, Balancers: 3, Upstreams: 3, Services: 1})
	w.Advance(2 * clock.Second)
	for i := range 3 {
		load(w, 1, 4)
		w.KillSidecar(i, 600)
	}
	load(w, 1, 4)
	w.Advance(15 * clock.Second)
	c.Assert(w.Violations(), qt.HasLen, 0)
	c.Assert(w.Unserved() < 10, qt.IsTrue, qt.Commentf("%d unserved", w.Unserved()))
}

// Guards against service that does not come back after everything was killed.
func TestAllKilled(t *testing.T) {
	c := qt.New(t)
	w := fleet.New(fleet.Config{Seed: 4, Balancers: 4, Upstreams: 3, Services: 2})
	w.Advance(2 * clock.Second)
	load(w, 2, 5)
	for i := range 4 {
		w.KillBalancer(i, clock.Millis(500+w.RandomInt(700)))
	}
	for i := range w.Upstreams() {
		w.KillSidecar(i, clock.Millis(500+w.RandomInt(700)))
		w.RestartUpstream(i, clock.Millis(500+w.RandomInt(700)))
	}
	load(w, 2, 5)
	w.Advance(5 * clock.Second)
	unserved, served := w.Unserved(), w.Served()
	load(w, 2, 5)
	w.Advance(15 * clock.Second)
	c.Assert(w.Violations(), qt.HasLen, 0)
	c.Assert(w.Served() > served+300, qt.IsTrue)
	c.Assert(w.Unserved(), qt.Equals, unserved)
}

// fault makes one random fault.
func fault(w *fleet.Cluster, balancers, services int) {
	upstream := w.RandomInt(w.Upstreams())
	down := clock.Millis(200 + w.RandomInt(2000))
	switch w.RandomInt(10) {
	case 0:
		w.KillBalancer(w.RandomInt(balancers), down)
	case 1:
		w.StopBalancer(w.RandomInt(balancers), down)
	case 2:
		w.KillSidecar(upstream, down)
	case 3:
		w.RestartUpstream(upstream, down)
	case 4:
		w.SendStaleHeartbeat(upstream)
	case 5:
		if w.ServingUpstreams(w.Service(upstream)) > 2 {
			w.DrainUpstream(upstream)
		}
	case 6:
		if w.ServingUpstreams(w.Service(upstream)) > 2 {
			w.ReuseAddress(upstream, w.RandomInt(services))
		}
	case 7:
		w.AddUpstream(w.RandomInt(services))
	default:
		w.Reconfigure()
	}
}

// faulty runs a cluster through random faults.
func faulty(config fleet.Config) *fleet.Cluster {
	w := fleet.New(config)
	w.Advance(2 * clock.Second)
	for range 20 {
		fault(w, config.Balancers, config.Services)
		load(w, config.Services, 1)
	}
	return w
}

// Guards against an oracle that does not see what it is there for.
func TestMutants(t *testing.T) {
	for _, mutant := range fleet.Mutants() {
		t.Run(fmt.Sprint(mutant), func(t *testing.T) {
			c := qt.New(t)
			caught := 0
			for s := range uint64(6) {
				w := faulty(fleet.Config{Seed: *seed + s, Balancers: 4, Upstreams: 3, Services: 2, Mutant: mutant})
				caught += len(w.Violations())
			}
			c.Assert(caught > 0, qt.IsTrue)
		})
	}
}

// Guards against broken rules under overlapping faults: a flow opened at another
// service or long after a drain, a live flow that is reset, an answer for another
// request, and a refusal of a request that has run.
func TestFaults(t *testing.T) {
	for s := *seed; s < *seed+uint64(*seeds); s++ {
		t.Run(fmt.Sprint(s), func(t *testing.T) { judge(t, s) })
	}
}

// judge runs the cluster of a seed through faults and checks that no rule was broken and
// that service is whole again afterwards.
func judge(t *testing.T, s uint64) {
	const balancers, services = 4, 2
	c := qt.New(t)
	w := faulty(fleet.Config{
		Seed: s, RendezvousHash: s%2 == 0, Balancers: balancers, Upstreams: 3, Services: services, Loss: float64(s%3) / 100,
	})
	w.Advance(5 * clock.Second)
	unserved := w.Unserved()
	load(w, services, 3)
	w.Advance(20 * clock.Second)
	c.Assert(w.Violations(), qt.HasLen, 0)
	lost := w.Unserved() - unserved
	c.Assert(lost <= 2, qt.IsTrue, qt.Commentf("%d requests after the last fault were not served", lost))
}

// Guards against the return of faults that were found by chance.
func TestKeptSeeds(t *testing.T) {
	for cause, s := range map[string]uint64{
		"a sidecar at a reused address answered a search for another service": 20261390,
		"a restarted sidecar heard a late heartbeat before that of the drain": 20261267,
		"the same, with the drain shortly before the restart":                 20261536,
	} {
		t.Run(cause, func(t *testing.T) { judge(t, s) })
	}
}
