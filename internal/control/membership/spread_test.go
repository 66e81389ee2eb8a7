package membership_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/control/membership"
)

const (
	// spreadStep is the time between two ticks; the clock moves only with events.
	spreadStep = membership.TickInterval
	// spreadLimit ends a measurement that does not come to an end.
	spreadLimit = 5 * clock.Minute
)

// BenchmarkSpread measures, in virtual time with 1 to 5 ms between hosts, how long
// a fleet of balancers that start together needs until all know each other, and
// how long a contract takes from one reader to all of them.
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
	places := make([]place, balancers)
	for i := range places {
		places[i] = place{
			address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1000),
			dataCentre: fmt.Sprint("data-centre-", i%scaleDataCentres), role: membership.RoleBalancer,
		}
	}
	n := newNetwork(1, places)
	n.t = b
	for i := range places {
		n.start(i)
	}
	joined := n.until(func(p *process) bool {
		return p.balancer.Ready() && p.balancer.Table().Len() == balancers
	})
	contract := membership.Contract{Customer: customer, Revision: 1, Document: make([]byte, documentSize)}
	n.apply(n.processes[0], n.processes[0].balancer.Publish(n.now, contract))
	spread := n.until(func(p *process) bool { return p.revisions[customer] == contract.Revision })
	b.ReportMetric(float64(joined), "ms-until-joined")
	b.ReportMetric(float64(spread), "ms-until-in-effect")
	b.ReportMetric(0, "ns/op")
}

// until lets time pass until every process satisfies done, and returns the time.
func (n *network) until(done func(*process) bool) clock.Millis {
	began := n.now
	for n.now-began < spreadLimit {
		n.advance(spreadStep)
		all := true
		for _, p := range n.processes {
			all = all && done(p)
		}
		if all {
			return n.now - began
		}
	}
	n.t.Fatalf("not done after %d ms", spreadLimit)
	return 0
}
