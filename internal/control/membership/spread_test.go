package membership_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/control/membership"
)

const (
	// spreadStep is the interval at which the condition is checked. The clock
	// advances only with events.
	spreadStep = membership.TickInterval
	// spreadLimit bounds the virtual time of a measurement that would not end.
	spreadLimit = 5 * clock.Minute
)

// BenchmarkSpread measures two durations in virtual time, with a latency of 1
// to 5 ms between hosts: how long a fleet of balancers that start together
// takes until all know each other, and how long a contract takes from one
// reader to all balancers.
func BenchmarkSpread(b *testing.B) {
	for _, balancers := range []int{50, 150, 300, 500} {
		b.Run(fmt.Sprint("balancers=", balancers), func(b *testing.B) {
			for b.Loop() {
				measureSpread(b, balancers)
			}
		})
	}
}

func measureSpread(b *testing.B, balancers int) {
	locations := make([]location, balancers)
	for i := range locations {
		locations[i] = location{
			address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1000),
			dataCentre: fmt.Sprint("data-centre-", i%scaleDataCentres), role: membership.RoleBalancer,
		}
	}
	n := newNetwork(1, locations)
	n.t = b
	for i := range locations {
		n.start(i)
	}
	joined := n.waitFor(func(p *process) bool {
		return p.balancer.Ready() && p.balancer.Table().Len() == balancers
	})
	contract := membership.Contract{Customer: customer, Revision: 1, Document: make([]byte, documentSize)}
	n.apply(n.processes[0], n.processes[0].balancer.Publish(n.now, contract))
	spread := n.waitFor(func(p *process) bool { return p.revisions[customer] == contract.Revision })
	b.ReportMetric(float64(joined), "ms-until-joined")
	b.ReportMetric(float64(spread), "ms-until-in-effect")
	b.ReportMetric(0, "ns/op")
}

// waitFor advances the time until every process satisfies done, and returns the
// time that passed.
func (n *network) waitFor(done func(*process) bool) clock.Millis {
	start := n.now
	for n.now-start < spreadLimit {
		n.advance(spreadStep)
		all := true
		for _, p := range n.processes {
			all = all && done(p)
		}
		if all {
			return n.now - start
		}
	}
	n.t.Fatalf("condition not satisfied after %d ms", spreadLimit)
	return 0
}
