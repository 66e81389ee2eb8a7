package demo

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/standin/client"
)

// goodEvidence has trials for every invariant and no fault: one planned round
// with bookings 1 (completed), 2 (refused, then completed), 3 (ended refused)
// and 4 (unknown in another round).
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
	failures := round{name: "failures", unclaimed: map[uint64]bool{20: true}, report: client.Report{
		Kinds: map[string]client.Counts{
			"booking": {Requests: 1, Unknown: 1}, "board": {Requests: 2, Completed: 1, BrokenFlows: 1},
		},
		Bookings:     []client.Booking{{Number: 4, Result: client.Unknown}},
		BrokenBoards: []uint64{20},
	}, interrupted: 1}
	return &evidence{
		rounds: []round{planned, failures}, runs: map[uint64]int{1: 1, 2: 1, 4: 1},
		departures: []departure{{name: "u", last: leaveLimit}}, stops: []stop{{name: "s"}},
		revisions: revisionsVerdict{pairs: 3, slowest: effectLimit}, races: 1,
		stranger: strangerVerdict{datagrams: 20, connections: 4},
	}
}

// TestPointsHoldWithoutFaults guards against a judge that fails a good run, or
// claims boards whose own sidecar was killed.
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

// TestEachFaultFailsItsPoint guards against a fault that no row shows.
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
		{"upstream got a foreign request", 2, func(e *evidence) { e.foreign = 1 }},
		{"stranger was announced", 2, func(e *evidence) { e.stranger.announced = 1 }},
		{"stranger was answered", 2, func(e *evidence) { e.stranger.answered = 1 }},
		{"stranger's datagrams were not rejected", 2, func(e *evidence) { e.stranger.unseen = 1 }},
		{"answer of another request", 3, func(e *evidence) {
			counts(e, 0, "booking", func(k *client.Counts) { k.MismatchedResponses, k.Requests = 1, 4 })
		}},
		{"confirmation without a run", 3, func(e *evidence) { delete(e.runs, 1) }},
		{"request without a result", 3, func(e *evidence) {
			counts(e, 0, "booking", func(k *client.Counts) { k.Requests++ })
		}},
		{"refused booking ran", 4, func(e *evidence) { e.runs[3] = 1 }},
		{"booking ran twice", 5, func(e *evidence) { e.runs[1] = 2 }},
		{"unknown booking ran twice", 5, func(e *evidence) { e.runs[4] = 2 }},
		{"late work at a leaver", 6, func(e *evidence) { e.departures[0].last = leaveLimit + 1 }},
		{"stop failed", 7, func(e *evidence) { e.stops[0].fault = "exit status 1" }},
		{"request cancelled at an upstream", 7, func(e *evidence) { e.rounds[0].interrupted = 1 }},
		{"request cut off at a client", 7, func(e *evidence) {
			counts(e, 0, "booking", func(k *client.Counts) { k.Interrupted = 1 })
		}},
		{"request ended unknown", 7, func(e *evidence) {
			counts(e, 0, "booking", func(k *client.Counts) { k.Unknown, k.Requests = 1, 4 })
		}},
		{"contract late", 8, func(e *evidence) { e.revisions.late = 1 }},
		{"contract missing", 8, func(e *evidence) { e.revisions.missing = 1 }},
		{"contract reverted", 8, func(e *evidence) { e.revisions.reverted = 1 }},
		{"race went wrong", 8, func(e *evidence) { e.raceFaults = 1 }},
		{"stranger changed a contract", 8, func(e *evidence) { e.stranger.changed = 1 }},
	} {
		e := goodEvidence()
		test.spoil(e)
		for _, p := range e.points() {
			c.Check(p.passed(), qt.Equals, p.number != test.point, qt.Commentf("%s: %s", test.name, p))
		}
	}
}

// TestPointsNeedTrials guards against a pass without any trial.
func TestPointsNeedTrials(t *testing.T) {
	c := qt.New(t)
	rows := (&evidence{}).points()
	_, failed := summary(rows)
	c.Check(failed, qt.Equals, 8)
}

// TestRevisionsAreTimed guards against a judge that misses a late, missing or
// older revision, or that blames a balancer for the time in which it was paused.
func TestRevisionsAreTimed(t *testing.T) {
	c := qt.New(t)
	see := func(at clock.Millis, revision uint64) observation {
		return observation{balancer: "b", at: at, ready: true, revision: revision}
	}
	for _, test := range []struct {
		name string
		seen revisions
		want revisionsVerdict
	}{
		{
			"in time",
			revisions{writes: []write{{1, 0}, {2, 100}}, observations: []observation{see(50, 1), see(4100, 2)}},
			revisionsVerdict{pairs: 2, slowest: 4000},
		},
		{
			"known before the operator",
			revisions{writes: []write{{1, 100}}, observations: []observation{see(50, 1)}},
			revisionsVerdict{pairs: 1},
		},
		{
			"late",
			revisions{writes: []write{{1, 0}}, observations: []observation{see(4001, 1)}},
			revisionsVerdict{pairs: 1, late: 1, slowest: 4001},
		},
		{"missing", revisions{writes: []write{{2, 0}}, observations: []observation{see(10, 1)}}, revisionsVerdict{missing: 1}},
		{
			"reverted",
			revisions{writes: []write{{2, 0}}, observations: []observation{see(10, 2), see(20, 1), see(30, 2)}},
			revisionsVerdict{pairs: 1, reverted: 1, slowest: 10},
		},
		{
			"not ready after a restart",
			revisions{writes: []write{{2, 0}}, observations: []observation{
				see(10, 2), {balancer: "b", at: 20, revision: 0},
			}},
			revisionsVerdict{pairs: 1, slowest: 10},
		},
		{
			"paused",
			revisions{writes: []write{{1, 100}}, observations: []observation{see(9000, 1)}, absences: []absence{{"b", 50, 6000}}},
			revisionsVerdict{pairs: 1, slowest: 3000},
		},
		{
			"late after a pause",
			revisions{writes: []write{{1, 100}}, observations: []observation{see(11000, 1)}, absences: []absence{{"b", 50, 6000}}},
			revisionsVerdict{pairs: 1, late: 1, slowest: 5000},
		},
		{
			"pause before the write",
			revisions{writes: []write{{1, 100}}, observations: []observation{see(300, 1)}, absences: []absence{{"b", 10, 50}}},
			revisionsVerdict{pairs: 1, slowest: 200},
		},
		{"does not come back", revisions{writes: []write{{1, 100}}, absences: []absence{{"b", 50, 0}}}, revisionsVerdict{}},
	} {
		c.Check(test.seen.judge([]string{"b"}), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}

// TestRaceNeedsOneWinner guards against a lost update that counts as a pass.
func TestRaceNeedsOneWinner(t *testing.T) {
	c := qt.New(t)
	won := func(revision uint64) putResult { return putResult{revision: revision, written: true} }
	c.Check(rightRace(4, []putResult{won(5), {}}), qt.IsTrue)
	c.Check(rightRace(4, []putResult{won(5)}), qt.IsTrue)
	c.Check(rightRace(4, []putResult{won(5), won(6)}), qt.IsFalse)
	c.Check(rightRace(4, []putResult{won(6), {}}), qt.IsFalse)
	c.Check(rightRace(4, []putResult{{}, {}}), qt.IsFalse)
	c.Check(rightRace(4, []putResult{won(5), {err: errors.New("platform is down")}}), qt.IsFalse)
}

// TestPutOutcomeIsRead guards against a failed command that counts as a conflict,
// and against a success without a revision.
func TestPutOutcomeIsRead(t *testing.T) {
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
