package balancer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/outlier"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
)

// Guards against failures in reports that have no effect, and against an ejection that leaves
// only draining sidecars for new flows.
func TestReportsFeedOutliers(t *testing.T) {
	c := qt.New(t)
	tracker := outlier.New(outlier.Config{MaxEjectedShare: 0.33})
	b := balancer.New(balancer.Config{Outliers: tracker, Random: func(int) int { return 0 }})
	report := func(now clock.Millis, draining ...int) {
		for i, address := range sidecars {
			r := relay.Report{Service: portal, Accepting: true, Slots: 3, Work: relay.Work{Known: true, Ended: 60}}
			if i == 0 {
				r.Work.Failed = 30
			}
			for _, other := range draining {
				r.Accepting = r.Accepting && i != other
			}
			b.HandleSidecar(now, address, relay.Message{Kind: relay.KindReport, Report: r})
		}
	}
	for now := clock.Millis(1000); now < 3000; now += 200 {
		report(now)
	}
	c.Assert(tracker.Weight(3000, sidecars[0]), qt.Equals, 0.0)
	c.Assert(tracker.Weight(3000, sidecars[1]), qt.Equals, 1.0)
	report(3000, 1)
	report(3200, 1)
	c.Assert(tracker.Weight(3200, sidecars[0]) > 0, qt.IsTrue)
}
