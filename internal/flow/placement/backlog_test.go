package placement_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/placement"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
)

func report(slots int, active uint16, work relay.Work) relay.Report {
	return relay.Report{Slots: slots, Load: relay.Load{Active: active}, Work: work}
}

// Guards against sidecars that count as full until their next report although their slots
// have processed the reported queue, and against an estimate that falls faster than the
// slots work.
func TestBacklogIsProcessedSinceReport(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		work relay.Work
		goal clock.Millis
		age  clock.Millis
		want float64
	}{
		{work: relay.Work{Known: true, ServiceTime: 30}, age: 0, want: 8},
		{work: relay.Work{Known: true, ServiceTime: 30}, age: 30, want: 6},
		{work: relay.Work{Known: true, ServiceTime: 30}, age: 90, want: 2},
		{work: relay.Work{Known: true, ServiceTime: 30}, age: 120, want: 2 / math.E},
		// The requests in progress are costlier than the next one.
		{work: relay.Work{Known: true, ServiceTime: 30, Remaining: 480}, age: 60, want: 6},
		// Without stated work, the queue takes half of the goal.
		{goal: 240, age: 30, want: 6},
		{goal: 0, age: 1000, want: 8},
		{work: relay.Work{Known: true, ServiceTime: 30}, age: -50, want: 8},
	} {
		var b placement.Backlog
		b.ApplyReport(1000, report(2, 8, test.work), new(placement.Service), test.goal)
		got := b.Requests(1000 + test.age)
		c.Check(math.Abs(got-test.want) < 1e-9, qt.IsTrue, qt.Commentf("%+v: %v", test, got))
	}
}

// Guards against own flows that are counted twice, forgotten before a load contains them,
// or counted forever after a lost response.
func TestBacklogCountsOwnFlowsUntilStated(t *testing.T) {
	c := qt.New(t)
	var b placement.Backlog
	b.ApplyReport(0, report(2, 0, relay.Work{Known: true, ServiceTime: 30}), new(placement.Service), 0)
	for range 3 {
		b.Place(0)
	}
	c.Assert(b.Requests(0), qt.Equals, 3.)
	b.ApplyLoad(0, relay.Load{Active: 1})
	c.Assert(b.Requests(0), qt.Equals, 3.)
	b.ApplyLoad(0, relay.Load{Active: 2})
	b.ApplyLoad(0, relay.Load{Active: 5})
	c.Assert(b.Requests(0), qt.Equals, 5.)
	b.Place(0)
	c.Assert(b.Requests(500) < 0.01, qt.IsTrue)
	b.ApplyReport(500, report(2, 1, relay.Work{Known: true, ServiceTime: 30}), new(placement.Service), 0)
	c.Assert(b.Requests(500), qt.Equals, 1.)
}

// Guards against an estimate that stays wrong after a step of the clock or a restart of the
// sidecar: the next load or report corrects it.
func TestStatedLoadCorrectsEstimate(t *testing.T) {
	c := qt.New(t)
	var b placement.Backlog
	service, work := new(placement.Service), relay.Work{Known: true, ServiceTime: 30}
	b.ApplyReport(1000, report(2, 8, work), service, 0)
	c.Assert(b.Requests(61_000) < 0.01, qt.IsTrue)
	b.ApplyLoad(61_000, relay.Load{Active: 8})
	c.Assert(b.Requests(61_000), qt.Equals, 8.)
	b.Place(50_000)
	c.Assert(b.Requests(50_000), qt.Equals, 9.)
	b.ApplyReport(61_010, report(2, 0, relay.Work{}), service, 240)
	c.Assert(b.Requests(61_010), qt.Equals, 0.)
}

// Guards against a time of the next room at which the estimate shows none, or that is later
// than needed.
func TestBelowAtFollowsEstimate(t *testing.T) {
	c := qt.New(t)
	for _, limit := range []float64{7.5, 4, 2, 1.5, 0.5} {
		var b placement.Backlog
		b.ApplyReport(0, report(2, 8, relay.Work{Known: true, ServiceTime: 30}), new(placement.Service), 0)
		at := b.BelowAt(0, limit)
		c.Check(b.Requests(at) <= limit, qt.IsTrue, qt.Commentf("%v: %v", limit, at))
		c.Check(b.Requests(at-1) > limit, qt.IsTrue, qt.Commentf("%v: %v", limit, at))
	}
}
