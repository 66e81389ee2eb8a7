package fleet_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/standin/fleet"
)

// spreadFaults are the faults of the store under which the spread of configurations is
// measured. Each leaves at least one balancer a way to the store.
var spreadFaults = []struct {
	name   string
	inject func(cluster *fleet.Cluster, balancers int)
}{
	{"calm", func(*fleet.Cluster, int) {}},
	{"refused", func(cluster *fleet.Cluster, balancers int) { turnAwayMost(cluster, balancers, fleet.StoreRefuses) }},
	{"silent", func(cluster *fleet.Cluster, balancers int) { turnAwayMost(cluster, balancers, fleet.StoreSilent) }},
	{"lost responses", func(cluster *fleet.Cluster, _ int) { cluster.SetStoreFault(fleet.StoreLosesResponses, false) }},
	{"restored", func(cluster *fleet.Cluster, _ int) { cluster.RestoreStore(5, 0) }},
}

// turnAwayMost lets the store turn away nine of ten balancers.
func turnAwayMost(cluster *fleet.Cluster, balancers int, fault fleet.StoreFault) {
	for i := range balancers {
		if i%10 != 0 {
			cluster.TurnAway(i, fault)
		}
	}
}

// spread is how configurations have spread in a run.
type spread struct {
	worst          clock.Millis
	callsPerSecond float64
}

// measureSpread writes a configuration every 1.5 s for 30 s under a fault, and measures the
// longest time until one is in effect on all balancers.
func measureSpread(balancers, fault int) spread {
	cluster := fleet.New(fleet.Config{Seed: 1, Store: true, Balancers: balancers, Upstreams: 3, Services: 1})
	cluster.Advance(12 * clock.Second)
	spreadFaults[fault].inject(cluster, balancers)
	started, calls := cluster.Now(), cluster.StoreCalls()
	const step clock.Millis = 10
	var result spread
	for range 20 {
		cluster.Reconfigure()
		writtenAt := cluster.Now()
		for !cluster.ConfigurationApplied() && cluster.Now()-writtenAt < clock.Minute {
			cluster.Advance(step)
		}
		result.worst = max(result.worst, cluster.Now()-writtenAt)
		cluster.Advance(max(1500-(cluster.Now()-writtenAt), 0))
	}
	result.callsPerSecond = float64(cluster.StoreCalls()-calls) / (cluster.Now() - started).Duration().Seconds()
	return result
}

// Guards against configurations that reach some of many balancers late, because the store
// turns most of them away or was restored.
func TestConfigurationsReachAllBalancers(t *testing.T) {
	const applyLimit = 4 * clock.Second
	for i, fault := range spreadFaults {
		t.Run(fault.name, func(t *testing.T) {
			s := measureSpread(30, i)
			qt.New(t).Assert(s.worst <= applyLimit, qt.IsTrue, qt.Commentf("%d ms", s.worst))
		})
	}
}

// BenchmarkConfigurations measures how configurations spread with the number of balancers.
func BenchmarkConfigurations(b *testing.B) {
	for i, fault := range spreadFaults {
		for _, balancers := range []int{30, 100, 500} {
			b.Run(fmt.Sprintf("%s/balancers=%d", fault.name, balancers), func(b *testing.B) {
				for b.Loop() {
					s := measureSpread(balancers, i)
					b.ReportMetric(float64(s.worst), "worst-ms")
					b.ReportMetric(s.callsPerSecond, "calls/s")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
