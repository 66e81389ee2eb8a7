package fleet_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/standin/fleet"
)

// measureRecovery lets all hosts lose power under load and measures how long the clients of
// open flows wait until they learn that these are gone: from the start of the last process
// for those that wait then. It returns the times in ascending order.
func measureRecovery(s uint64, hosts int) []clock.Millis {
	const services = 2
	cluster := fleet.New(fleet.Config{Seed: s, Store: true, Balancers: hosts, Upstreams: hosts, Services: services})
	cluster.Advance(12 * clock.Second)
	openFlows(cluster, services, 6)
	const down = clock.Second
	for i := range hosts {
		cluster.KillBalancer(i, down)
	}
	for i := range cluster.Upstreams() {
		cluster.KillSidecar(i, down+clock.Millis(cluster.RandomInt(200)))
		cluster.RestartUpstream(i, down+clock.Millis(cluster.RandomInt(200)))
	}
	open := cluster.OpenFlowsUntil()
	var times []clock.Millis
	for left := open(); left > 0 && len(times) < 1000; {
		cluster.Advance(10)
		for now := open(); left > now; left-- {
			times = append(times, cluster.Now()-18*clock.Second-down)
		}
	}
	slices.Sort(times)
	return times
}

// BenchmarkRecovery measures the recovery after all hosts have lost power.
func BenchmarkRecovery(b *testing.B) {
	for _, hosts := range []int{4, 12, 30} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			var all []clock.Millis
			for b.Loop() {
				for s := range uint64(20) {
					all = append(all, measureRecovery(s, hosts)...)
				}
			}
			slices.Sort(all)
			sum := clock.Millis(0)
			for _, t := range all {
				sum += t
			}
			b.ReportMetric(float64(sum)/float64(len(all)), "mean-ms")
			b.ReportMetric(float64(all[len(all)/2]), "median-ms")
			b.ReportMetric(float64(all[len(all)*9/10]), "p90-ms")
			b.ReportMetric(float64(all[len(all)-1]), "worst-ms")
			b.ReportMetric(float64(len(all)), "flows")
		})
	}
}
