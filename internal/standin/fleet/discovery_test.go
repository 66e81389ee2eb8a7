package fleet_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/standin/fleet"
)

// runReplaced runs a cluster whose leases run out and some of whose sidecars restart while the
// store is silent, and in which hosts at other addresses replace all balancers when it works again, or a little later.
func runReplaced(config fleet.Config) *fleet.Cluster {
	config.Store, config.Balancers, config.Upstreams, config.Services = true, 4, 4, 2
	cluster := fleet.New(config)
	cluster.Advance(12 * clock.Second)
	for range 3 {
		openFlows(cluster, config.Services, 4)
		cluster.SetStoreFault(fleet.StoreSilent, true)
		cluster.EndLeases()
		for range 3 {
			cluster.KillSidecar(cluster.RandomInt(cluster.Upstreams()), 500)
		}
		openFlows(cluster, config.Services, 3)
		cluster.SetStoreFault(fleet.StoreWorks, false)
		cluster.Advance(clock.Millis(cluster.RandomInt(1000)))
		cluster.ReplaceBalancers(clock.Millis(100 + cluster.RandomInt(900)))
		openFlows(cluster, config.Services, 8)
	}
	cluster.Advance(20 * clock.Second)
	return cluster
}

// Guards against resets by balancers that replace all earlier ones and whose directory lacks
// sidecars, because entries have lapsed in an outage of the store. Each of the mechanisms that
// prevent them is broken in turn.
func TestBalancersReplacedAfterOutage(t *testing.T) {
	c := qt.New(t)
	caught := map[fleet.Mutant]int{fleet.DirectoryTrusted: 0, fleet.SiblingsForgotten: 0}
	for s := range uint64(4) {
		cluster := runReplaced(fleet.Config{Seed: *seed + s, RendezvousHash: s%2 == 0, Loss: float64(s%2) / 100})
		for _, violation := range cluster.Violations() {
			t.Error(violation)
		}
		for mutant := range caught {
			caught[mutant] += len(runReplaced(fleet.Config{Seed: *seed + s, RendezvousHash: s%2 == 0, Mutant: mutant}).Violations())
		}
	}
	for mutant, violations := range caught {
		c.Assert(violations > 0, qt.IsTrue, qt.Commentf("mutant %d", mutant))
	}
}
