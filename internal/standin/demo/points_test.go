package demo

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/standin/client"
)

// goodEvidence returns evidence with trials for every point and without a
// fault. A planned round has bookings 1 (completed), 2 (refused, then completed)
// and 3 (ended refused). A round of failures has booking 4 (unknown).
func goodEvidence() *evidence {
	planned := round{name: "planned", planned: true, report: client.Report{
		Kinds: map[string]client.Counts{
			"booking": {Requests: 3, Completed: 2, NotRun: 1},
			"board":   {Requests: 5, Completed: 5},
		},
		Bookings: []client.Booking{
			{Number: 1, Result: client.Completed},
			{Number: 2, Result: client.Completed, Refusals: 2},
			{Number: 3, Result: client.NotRun, Refusals: 11},
		},
	}}
	failures := round{name: "failures", excludedBoards: map[uint64]bool{20: true}, report: client.Report{
		Kinds: map[string]client.Counts{
			"booking": {Requests: 1, Unknown: 1}, "board": {Requests: 2, Completed: 1, BrokenFlows: 1},
		},
		Bookings:     []client.Booking{{Number: 4, Result: client.Unknown}},
		BrokenBoards: []uint64{20},
	}, cancelled: 1}
	return &evidence{
		rounds: []round{planned, failures}, bookingRuns: map[uint64]int{1: 1, 2: 1, 4: 1},
		departures: []departure{{name: "u", lastWork: leaveLimit}}, stops: []gracefulStop{{name: "s"}},
		revisions: revisionsVerdict{pairs: 3, slowest: effectLimit}, races: 1,
		unauthenticated: attackCounts{datagrams: 20, connections: 4},
	}
}

// TestPointsHoldWithoutFaults guards against a judgement that fails a good run or
// that counts broken boards whose own sidecar was killed.
func TestPointsHoldWithoutFaults(t *testing.T) {
	c := qt.New(t)
	rows := goodEvidence().points()
	c.Assert(rows, qt.HasLen, 8)
	for i, p := range rows {
		c.Check(p.number, qt.Equals, i+1)
		c.Check(p.passed(), qt.IsTrue, qt.Commentf("%s", p))
	}
	c.Check(rows[0].trials, qt.Equals, 6)
	line, failed := summary(rows)
	c.Check(line, qt.Equals, "prove: points=8 failed=0")
	c.Check(failed, qt.Equals, 0)
}

// TestEachFaultFailsItsPoint guards against a fault that fails no point or the
// wrong one.
func TestEachFaultFailsItsPoint(t *testing.T) {
	c := qt.New(t)
	counts := func(e *evidence, round int, kind string, change func(*client.Counts)) {
		k := e.rounds[round].report.Kinds[kind]
		change(&k)
		e.rounds[round].report.Kinds[kind] = k
	}
	for _, test := range []struct {
		name  string
		point int
		spoil func(*evidence)
	}{
		{"board broke", 1, func(e *evidence) { e.rounds[0].report.BrokenBoards = []uint64{9} }},
		{"board of another sidecar broke", 1, func(e *evidence) { e.rounds[1].report.BrokenBoards = []uint64{20, 21} }},
		{"client misrouted", 2, func(e *evidence) {
			counts(e, 0, "booking", func(k *client.Counts) { k.Misrouted, k.Requests = 1, 4 })
		}},
		{"upstream got a foreign request", 2, func(e *evidence) { e.foreignRequests = 1 }},
		{"unauthenticated peer was announced", 2, func(e *evidence) { e.unauthenticated.announced = 1 }},
		{"unauthenticated peer got a response", 2, func(e *evidence) { e.unauthenticated.answered = 1 }},
		{"forged datagrams were not rejected", 2, func(e *evidence) { e.unauthenticated.unseen = 1 }},
		{"response to another request", 3, func(e *evidence) {
			counts(e, 0, "booking", func(k *client.Counts) { k.MismatchedResponses, k.Requests = 1, 4 })
		}},
		{"confirmation without a run", 3, func(e *evidence) { delete(e.bookingRuns, 1) }},
		{"request without a result", 3, func(e *evidence) {
			counts(e, 0, "booking", func(k *client.Counts) { k.Requests++ })
		}},
		{"refused booking ran", 4, func(e *evidence) { e.bookingRuns[3] = 1 }},
		{"booking ran twice", 5, func(e *evidence) { e.bookingRuns[1] = 2 }},
		{"unknown booking ran twice", 5, func(e *evidence) { e.bookingRuns[4] = 2 }},
		{"late work at a leaving upstream", 6, func(e *evidence) { e.departures[0].lastWork = leaveLimit + 1 }},
		{"stop failed", 7, func(e *evidence) { e.stops[0].fault = "exit status 1" }},
		{"request cancelled at an upstream", 7, func(e *evidence) { e.rounds[0].cancelled = 1 }},
		{"request interrupted at a client", 7, func(e *evidence) {
			counts(e, 0, "booking", func(k *client.Counts) { k.Interrupted = 1 })
		}},
		{"request ended unknown", 7, func(e *evidence) {
			counts(e, 0, "booking", func(k *client.Counts) { k.Unknown, k.Requests = 1, 4 })
		}},
		{"contract late", 8, func(e *evidence) { e.revisions.late = 1 }},
		{"contract missing", 8, func(e *evidence) { e.revisions.missing = 1 }},
		{"contract reverted", 8, func(e *evidence) { e.revisions.reverted = 1 }},
		{"race went wrong", 8, func(e *evidence) { e.raceFaults = 1 }},
		{"unauthenticated peer changed a contract", 8, func(e *evidence) { e.unauthenticated.changed = 1 }},
	} {
		e := goodEvidence()
		test.spoil(e)
		for _, p := range e.points() {
			c.Check(p.passed(), qt.Equals, p.number != test.point, qt.Commentf("%s: %s", test.name, p))
		}
	}
}

// TestPointsNeedTrials guards against a point that passes without any trial.
func TestPointsNeedTrials(t *testing.T) {
	c := qt.New(t)
	rows := (&evidence{}).points()
	_, failed := summary(rows)
	c.Check(failed, qt.Equals, 8)
}

// TestRevisionsAreTimed guards against a judgement that misses a late, missing or
// reverted revision, or that counts the time in which a balancer was paused.
func TestRevisionsAreTimed(t *testing.T) {
	c := qt.New(t)
	observed := func(at clock.Millis, revision uint64) observation {
		return observation{balancer: "b", at: at, ready: true, revision: revision}
	}
	for _, test := range []struct {
		name    string
		history revisionHistory
		want    revisionsVerdict
	}{
		{
			"in time",
			revisionHistory{writes: []write{{1, 0}, {2, 100}}, observations: []observation{observed(50, 1), observed(4100, 2)}},
			revisionsVerdict{pairs: 2, slowest: 4000},
		},
		{
			"in effect before the operator learned of it",
			revisionHistory{writes: []write{{1, 100}}, observations: []observation{observed(50, 1)}},
			revisionsVerdict{pairs: 1},
		},
		{
			"late",
			revisionHistory{writes: []write{{1, 0}}, observations: []observation{observed(4001, 1)}},
			revisionsVerdict{pairs: 1, late: 1, slowest: 4001},
		},
		{"missing", revisionHistory{writes: []write{{2, 0}}, observations: []observation{observed(10, 1)}}, revisionsVerdict{missing: 1}},
		{
			"reverted",
			revisionHistory{writes: []write{{2, 0}}, observations: []observation{observed(10, 2), observed(20, 1), observed(30, 2)}},
			revisionsVerdict{pairs: 1, reverted: 1, slowest: 10},
		},
		{
			"not ready after a restart",
			revisionHistory{writes: []write{{2, 0}}, observations: []observation{
				observed(10, 2), {balancer: "b", at: 20, revision: 0},
			}},
			revisionsVerdict{pairs: 1, slowest: 10},
		},
		{
			"paused",
			revisionHistory{writes: []write{{1, 100}}, observations: []observation{observed(9000, 1)}, downtimes: []downtime{{"b", 50, 6000}}},
			revisionsVerdict{pairs: 1, slowest: 3000},
		},
		{
			"late after a pause",
			revisionHistory{writes: []write{{1, 100}}, observations: []observation{observed(11000, 1)}, downtimes: []downtime{{"b", 50, 6000}}},
			revisionsVerdict{pairs: 1, late: 1, slowest: 5000},
		},
		{
			"pause before the write",
			revisionHistory{writes: []write{{1, 100}}, observations: []observation{observed(300, 1)}, downtimes: []downtime{{"b", 10, 50}}},
			revisionsVerdict{pairs: 1, slowest: 200},
		},
		{"does not become available again", revisionHistory{writes: []write{{1, 100}}, downtimes: []downtime{{"b", 50, 0}}}, revisionsVerdict{}},
	} {
		c.Check(test.history.judge([]string{"b"}), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}

// TestRaceNeedsOneWinner guards against a lost update that counts as a pass.
func TestRaceNeedsOneWinner(t *testing.T) {
	c := qt.New(t)
	won := func(revision uint64) putResult { return putResult{revision: revision, written: true} }
	c.Check(hasOneWinner(4, []putResult{won(5), {}}), qt.IsTrue)
	c.Check(hasOneWinner(4, []putResult{won(5)}), qt.IsTrue)
	c.Check(hasOneWinner(4, []putResult{won(5), won(6)}), qt.IsFalse)
	c.Check(hasOneWinner(4, []putResult{won(6), {}}), qt.IsFalse)
	c.Check(hasOneWinner(4, []putResult{{}, {}}), qt.IsFalse)
	c.Check(hasOneWinner(4, []putResult{won(5), {err: errors.New("platform is down")}}), qt.IsFalse)
}

// TestPutResultIsParsed guards against a failed command that counts as a conflict,
// and against a success without a revision.
func TestPutResultIsParsed(t *testing.T) {
	c := qt.New(t)
	r, ok := parsePut([]byte(`{"customer":"presa-digital","revision":5}`), true)
	c.Check(ok, qt.IsTrue)
	c.Check(r, qt.Equals, putResult{revision: 5, written: true})
	r, ok = parsePut([]byte(`{"error":"conflict","current":{"revision":5},"proposed":{"revision":5}}`), false)
	c.Check(ok, qt.IsTrue)
	c.Check(r, qt.Equals, putResult{})
	for _, output := range []string{"", `{}`, `{"revision":5}`, `platform is down`} {
		_, ok = parsePut([]byte(output), false)
		c.Check(ok, qt.IsFalse, qt.Commentf("%s", output))
	}
	_, ok = parsePut([]byte(`{}`), true)
	c.Check(ok, qt.IsFalse)
}
