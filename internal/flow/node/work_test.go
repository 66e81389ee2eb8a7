package node

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/flow/outlier"
	"github.com/orioledyke/orioledyke/internal/flow/worktime"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against learned work times that operators cannot see, or that are shown in another
// unit than the metric's name says.
func TestWorkTimesAreCollectedByAddress(t *testing.T) {
	c := qt.New(t)
	registry := prometheus.NewRegistry()
	registry.MustRegister(&workCollector{
		description: prometheus.NewDesc("work_seconds", "", []string{"address"}, nil),
		costs: func() []worktime.Cost {
			return []worktime.Cost{{Address: netip.MustParseAddrPort("198.18.0.1:443"), WorkTime: 13}}
		},
	})
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	c.Assert(families, qt.HasLen, 1)
	metric := families[0].GetMetric()[0]
	c.Assert(metric.GetGauge().GetValue(), qt.Equals, 0.013)
	c.Assert(metric.GetLabel()[0].GetValue(), qt.Equals, "198.18.0.1:443")
}

// Guards against an upstream that loses its work without a line that says why, and for how
// long at least.
func TestOutliersAreLoggedWithCause(t *testing.T) {
	c := qt.New(t)
	core, logs := observer.New(zap.InfoLevel)
	n := &balancerNode{base: &base{logger: zap.New(core)}}
	change := outlier.Change{
		Sidecar: netip.MustParseAddrPort("10.2.0.3:7000"), Ejected: true, Cause: outlier.CauseFailures,
		Failed: 5, Ended: 15, Baseline: 0.01, Hold: 2000,
	}
	n.logOutlier(change)
	change.Ejected, change.Cause = false, outlier.CauseTrials
	n.logOutlier(change)
	entries := logs.All()
	c.Assert(entries, qt.HasLen, 2)
	c.Assert(entries[0].Message, qt.Equals, "upstream-ejected")
	c.Assert(entries[0].ContextMap(), qt.DeepEquals, map[string]any{
		"sidecar": "10.2.0.3:7000", "cause": "failures", "failed": int64(5), "ended": int64(15),
		"siblings-share": 0.01, "hold-ms": int64(2000),
	})
	c.Assert(entries[1].Message, qt.Equals, "upstream-returned")
	c.Assert(entries[1].ContextMap()["cause"], qt.Equals, "trial-flows")
}
