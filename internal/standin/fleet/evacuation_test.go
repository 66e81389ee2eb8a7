package fleet_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/standin/fleet"
)

const evacuationBalancers, dataCentres = 8, 3

func newEvacuationCluster(s uint64, mutant fleet.Mutant) *fleet.Cluster {
	cluster := fleet.New(fleet.Config{
		Seed: s, RendezvousHash: s%2 == 0, Store: true, DataCentres: dataCentres,
		Balancers: evacuationBalancers, Upstreams: 2 * dataCentres, Services: 2, Loss: float64(s%3) / 100, Mutant: mutant,
	})
	cluster.Advance(8 * clock.Second)
	return cluster
}

// killAll kills all processes and restarts them after 300 ms to a second.
func killAll(cluster *fleet.Cluster) {
	for i := range evacuationBalancers {
		cluster.KillBalancer(i, clock.Millis(300+cluster.RandomInt(700)))
	}
	for i := range cluster.Upstreams() {
		cluster.KillSidecar(i, clock.Millis(300+cluster.RandomInt(700)))
	}
}

// turnAway makes the store turn away all balancers but the last ones of the given number.
func turnAway(cluster *fleet.Cluster, served int, fault fleet.StoreFault) {
	for i := range evacuationBalancers - served {
		cluster.TurnAway(i, fault)
	}
}

// evacuationFaults are the failures that the plan lists, around an evacuation of the first
// data centre.
var evacuationFaults = []struct {
	name string
	run  func(cluster *fleet.Cluster, evacuate func())
}{
	{"calm", func(_ *fleet.Cluster, evacuate func()) { evacuate() }},
	{"store turns balancers away", func(cluster *fleet.Cluster, evacuate func()) {
		turnAway(cluster, 1, fleet.StoreRefuses)
		evacuate()
	}},
	{"store is silent for most", func(cluster *fleet.Cluster, evacuate func()) {
		turnAway(cluster, 1, fleet.StoreSilent)
		evacuate()
	}},
	{"written before an outage", func(cluster *fleet.Cluster, evacuate func()) {
		evacuate()
		cluster.Advance(500)
		cluster.SetStoreFault(fleet.StoreRefuses, true)
	}},
	{"written during an outage", func(cluster *fleet.Cluster, evacuate func()) {
		cluster.SetStoreFault(fleet.StoreSilent, true)
		cluster.Advance(2 * clock.Second)
		evacuate()
		openFlows(cluster, 2, 6)
		cluster.SetStoreFault(fleet.StoreWorks, false)
	}},
	{"history dropped", func(cluster *fleet.Cluster, evacuate func()) {
		cluster.SetStoreFault(fleet.StoreRefuses, true)
		evacuate()
		cluster.CompactStore()
		cluster.Advance(clock.Second)
		cluster.SetStoreFault(fleet.StoreWorks, false)
	}},
	{"lost by a restore", func(cluster *fleet.Cluster, evacuate func()) {
		evacuate()
		openFlows(cluster, 2, 2)
		cluster.RestoreStore(6, -1)
		openFlows(cluster, 2, 20)
	}},
	{"written again after a restore", func(cluster *fleet.Cluster, evacuate func()) {
		evacuate()
		cluster.Advance(clock.Second)
		cluster.RestoreStore(6, 1500)
	}},
	{"all processes restart", func(cluster *fleet.Cluster, evacuate func()) {
		evacuate()
		openFlows(cluster, 2, 3)
		killAll(cluster)
	}},
	{"all processes restart, store serves one", func(cluster *fleet.Cluster, evacuate func()) {
		evacuate()
		openFlows(cluster, 2, 3)
		turnAway(cluster, 1, fleet.StoreRefuses)
		killAll(cluster)
	}},
	{"sidecars restart", func(cluster *fleet.Cluster, evacuate func()) {
		evacuate()
		for i := range cluster.Upstreams() {
			openFlows(cluster, 2, 1)
			cluster.KillSidecar(i, 300)
		}
	}},
	{"balancers restart while the store is away", func(cluster *fleet.Cluster, evacuate func()) {
		evacuate()
		openFlows(cluster, 2, 2)
		cluster.SetStoreFault(fleet.StoreRefuses, true)
		for i := range evacuationBalancers / 2 {
			cluster.KillBalancer(i, 500)
		}
	}},
	{"two data centres, one returned while balancers are cut off", func(cluster *fleet.Cluster, evacuate func()) {
		evacuate()
		cluster.Evacuate(fleet.DataCentre(1))
		openFlows(cluster, 2, 2)
		for i := range 3 {
			cluster.TurnAway(i, fleet.StoreSilent)
			cluster.CutBalancer(i, 8*clock.Second)
		}
		cluster.Return(fleet.DataCentre(1))
		openFlows(cluster, 2, 2)
		for i := 3; i < evacuationBalancers; i++ {
			cluster.KillBalancer(i, 500)
		}
		for i := range cluster.Upstreams() {
			cluster.KillSidecar(i, 500)
		}
	}},
	{"cut off during the request", func(cluster *fleet.Cluster, evacuate func()) {
		for i := range 3 {
			cluster.TurnAway(i, fleet.StoreSilent)
			cluster.CutBalancer(i, 8*clock.Second)
		}
		evacuate()
	}},
}

// runEvacuationFault evacuates the first data centre under a failure and goes on for 12 s.
func runEvacuationFault(s uint64, mutant fleet.Mutant, fault func(*fleet.Cluster, func())) *fleet.Cluster {
	cluster := newEvacuationCluster(s, mutant)
	openFlows(cluster, 2, 1)
	fault(cluster, func() { cluster.Evacuate(fleet.DataCentre(0)) })
	openFlows(cluster, 2, 12)
	return cluster
}

// Guards against new flows in an evacuated data centre longer than 4 s after the request,
// and against hosts that do not take part when the evacuation ends, under each of the
// failures.
func TestEvacuationUnderFaults(t *testing.T) {
	for _, fault := range evacuationFaults {
		t.Run(fault.name, func(t *testing.T) {
			for s := range uint64(3) {
				c := qt.New(t)
				cluster := runEvacuationFault(s, 0, fault.run)
				for i := range dataCentres {
					c.Assert(cluster.EvacuationApplied(fleet.DataCentre(i)), qt.IsTrue)
				}
				cluster.SetStoreFault(fleet.StoreWorks, false)
				turnAway(cluster, 0, fleet.StoreWorks)
				cluster.Evacuate(fleet.DataCentre(0))
				cluster.Advance(2 * clock.Second)
				cluster.Return(fleet.DataCentre(0))
				openFlows(cluster, 2, 4)
				c.Assert(cluster.EvacuationApplied(fleet.DataCentre(0)), qt.IsTrue)
				for _, violation := range cluster.Violations() {
					t.Error(violation)
				}
			}
		})
	}
}

// Guards against clients that wait for a data centre although all are evacuated, and against
// service that does not come back.
func TestAllDataCentresEvacuated(t *testing.T) {
	c := qt.New(t)
	cluster := newEvacuationCluster(1, 0)
	for i := range dataCentres {
		cluster.Evacuate(fleet.DataCentre(i))
	}
	openFlows(cluster, 2, 12)
	served := cluster.Served()
	for i := range dataCentres {
		cluster.Return(fleet.DataCentre(i))
	}
	openFlows(cluster, 2, 2)
	unserved := cluster.Unserved()
	openFlows(cluster, 2, 5)
	c.Assert(cluster.Violations(), qt.HasLen, 0)
	c.Assert(cluster.Served() > served+300, qt.IsTrue)
	c.Assert(cluster.Unserved()-unserved <= 2, qt.IsTrue)
}

// runWithEvacuations runs a cluster under random faults of the store and of hosts, while the
// operator evacuates data centres and returns them to service.
func runWithEvacuations(s uint64, mutant fleet.Mutant) *fleet.Cluster {
	cluster := newEvacuationCluster(s, mutant)
	for range 20 {
		dataCentre := fleet.DataCentre(cluster.RandomInt(dataCentres))
		if cluster.RandomInt(3) == 0 {
			cluster.Return(dataCentre)
		} else {
			cluster.Evacuate(dataCentre)
		}
		injectStoreFault(cluster, evacuationBalancers)
		injectFault(cluster, evacuationBalancers, 2)
		openFlows(cluster, 2, []int{1, 2, 6}[cluster.RandomInt(3)])
	}
	return cluster
}

// Guards against rules that are violated while data centres are evacuated under overlapping
// faults, and against hosts that differ after the last fault.
func TestEvacuations(t *testing.T) {
	for s := *seed; s < *seed+uint64(*seeds); s++ {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			c := qt.New(t)
			cluster := runWithEvacuations(s, 0)
			cluster.SetStoreFault(fleet.StoreWorks, false)
			turnAway(cluster, 0, fleet.StoreWorks)
			// A withdrawal that a restore has lost takes a minute to reach all.
			cluster.Advance(70 * clock.Second)
			for i := range dataCentres {
				c.Assert(cluster.EvacuationApplied(fleet.DataCentre(i)), qt.IsTrue)
				cluster.Return(fleet.DataCentre(i))
			}
			cluster.Advance(5 * clock.Second)
			unserved := cluster.Unserved()
			openFlows(cluster, 2, 3)
			cluster.Advance(20 * clock.Second)
			c.Assert(cluster.Unserved()-unserved <= 2, qt.IsTrue)
			for _, violation := range cluster.Violations() {
				t.Error(violation)
			}
		})
	}
}

// Guards against an oracle that misses new flows in evacuated data centres.
func TestEvacuationMutants(t *testing.T) {
	for _, mutant := range fleet.EvacuationMutants() {
		t.Run(fmt.Sprint(mutant), func(t *testing.T) {
			caught := 0
			for _, fault := range evacuationFaults {
				for _, violation := range runEvacuationFault(*seed, mutant, fault.run).Violations() {
					if strings.Contains(violation, "after the evacuation") {
						caught++
					}
				}
			}
			t.Logf("%d violations", caught)
			qt.New(t).Assert(caught > 0, qt.IsTrue)
		})
	}
}

// evacuationSpread returns the longest time until an evacuation or its end is known by all
// hosts under a fault of the store.
func evacuationSpread(balancers, upstreams, fault int) (worst clock.Millis) {
	cluster := fleet.New(fleet.Config{Seed: 1, Store: true, DataCentres: 11, Balancers: balancers, Upstreams: upstreams, Services: 1})
	cluster.Advance(12 * clock.Second)
	spreadFaults[fault].inject(cluster, balancers)
	for _, change := range []func(string){cluster.Evacuate, cluster.Return, cluster.Evacuate} {
		change(fleet.DataCentre(3))
		changedAt := cluster.Now()
		for !cluster.EvacuationApplied(fleet.DataCentre(3)) && cluster.Now()-changedAt < clock.Minute {
			cluster.Advance(10)
		}
		worst = max(worst, cluster.Now()-changedAt)
		cluster.Advance(clock.Second)
	}
	return worst
}

// Guards against evacuations that reach some of many hosts late, because the store turns most
// balancers away or was restored.
func TestEvacuationReachesAllHosts(t *testing.T) {
	for i, fault := range spreadFaults {
		t.Run(fault.name, func(t *testing.T) {
			worst := evacuationSpread(30, 60, i)
			t.Logf("%d ms", worst)
			qt.New(t).Assert(worst <= 4*clock.Second, qt.IsTrue, qt.Commentf("%d ms", worst))
		})
	}
}

// BenchmarkEvacuations measures how evacuations spread with the number of balancers.
func BenchmarkEvacuations(b *testing.B) {
	for i, fault := range spreadFaults {
		for _, balancers := range []int{30, 100, 500} {
			b.Run(fmt.Sprintf("%s/balancers=%d", fault.name, balancers), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(float64(evacuationSpread(balancers, 55, i)), "worst-ms")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
