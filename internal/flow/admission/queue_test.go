package admission_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/admission"
)

func flow(priority int, firstSent clock.Millis) admission.Flow {
	return admission.Flow{Priority: priority, FirstSent: firstSent, Goal: 250, GiveUp: firstSent + 1400}
}

// take takes n flows in order and returns what the queue keeps of them.
func take(q *admission.Queue[string], now clock.Millis, n int) []string {
	var taken []string
	for range n {
		item, _, ok := q.First(now)
		if !ok {
			break
		}
		q.Take(now, true)
		taken = append(taken, item)
	}
	return taken
}

// Guards against less urgent flows that go first, against old flows that make newer ones
// late too, and against flows past their goals that go before others of their priority.
func TestOrderOfWaitingFlows(t *testing.T) {
	c := qt.New(t)
	var q admission.Queue[string]
	q.Add(flow(2, 990), "lookup, new")
	q.Add(flow(1, 500), "booking, past its goal")
	q.Add(flow(1, 900), "booking, old")
	q.Add(flow(1, 980), "booking, new")
	q.Add(admission.Flow{Priority: 1, FirstSent: 600, Goal: 500, GiveUp: 2000}, "booking, longer goal")
	c.Assert(take(&q, 1000, 9), qt.DeepEquals, []string{
		"booking, new", "booking, old", "booking, longer goal", "booking, past its goal", "lookup, new",
	})
	c.Assert(q.Len(), qt.Equals, 0)
}

// Guards against a priority that starves because more urgent flows fill the upstreams.
func TestGuaranteedShareOfLessUrgentFlows(t *testing.T) {
	c := qt.New(t)
	var q admission.Queue[string]
	for range 100 {
		q.Add(flow(1, 0), "urgent")
		q.Add(flow(2, 0), "less urgent")
	}
	counts := map[string]int{}
	for _, item := range take(&q, 0, 100) {
		counts[item]++
	}
	c.Assert(counts["less urgent"] >= 8 && counts["less urgent"] <= 10, qt.IsTrue, qt.Commentf("%v", counts))
}

// Guards against a blocked flow that holds back those for which sidecars have room.
func TestBlockedFlowsLetOthersPass(t *testing.T) {
	c := qt.New(t)
	var q admission.Queue[string]
	q.Add(flow(1, 0), "urgent")
	q.Add(flow(2, 0), "less urgent")
	q.BeginRound()
	q.Block(0)
	c.Assert(take(&q, 0, 1), qt.DeepEquals, []string{"less urgent"})
	c.Assert(take(&q, 0, 1), qt.HasLen, 0)
	q.BeginRound()
	c.Assert(take(&q, 0, 1), qt.DeepEquals, []string{"urgent"})
}

// Guards against balancers that offer flows to busy sidecars without end, and against a
// limit that stays when the sidecars accept again.
func TestRefusalsLimitOffers(t *testing.T) {
	c := qt.New(t)
	var q admission.Queue[string]
	offers := func(from, until clock.Millis, accepted bool) int {
		count := 0
		for now := from; now < until; now++ {
			q.Arrived(now)
			q.Add(flow(2, now), "")
			for len(take(&q, now, 1)) > 0 {
				count++
				q.Offered(now, false)
				if accepted {
					q.Accepted(now, false)
				} else {
					q.Refused(now, false)
				}
			}
		}
		return count
	}
	c.Assert(offers(0, 1000, true), qt.Equals, 1000)
	refused := offers(1000, 2000, false)
	c.Assert(refused < 50, qt.IsTrue, qt.Commentf("%d", refused))
	resumed := offers(4000, 6000, true)
	c.Assert(resumed >= 2000, qt.IsTrue, qt.Commentf("%d", resumed))
}

// Guards against urgent flows that wait for the limit on the offers of others.
func TestLimitDoesNotHoldUrgentFlows(t *testing.T) {
	c := qt.New(t)
	var q admission.Queue[string]
	for range 30 {
		q.Refused(0, false)
	}
	q.Add(flow(2, 0), "less urgent")
	c.Assert(take(&q, 0, 1), qt.HasLen, 0)
	c.Assert(q.NextOffer(0) > 0, qt.IsTrue)
	q.Add(flow(1, 0), "urgent")
	c.Assert(take(&q, 0, 2), qt.DeepEquals, []string{"urgent"})
	q.Reported(0)
	c.Assert(take(&q, 0, 1), qt.DeepEquals, []string{"less urgent"})
}

// Guards against flows that are held until their clients give up, and against refusals of
// flows that can still be served.
func TestHopelessFlows(t *testing.T) {
	c := qt.New(t)
	var q admission.Queue[string]
	hopeless := func(now clock.Millis) int {
		count := 0
		q.Sweep(now, func(_ string, _ admission.Flow, hopeless bool) bool {
			if hopeless {
				count++
			}
			return false
		})
		return count
	}
	for i := range 1000 {
		q.Add(flow(2, clock.Millis(i)), "")
	}
	c.Assert(hopeless(1000), qt.Equals, 0)
	c.Assert(hopeless(1400), qt.Equals, 40)
	// At about 20 flows a second, only a part of the flows is served in time.
	for now := clock.Millis(0); now < 1000; now += 50 {
		take(&q, now, 1)
	}
	found := hopeless(1000)
	c.Assert(found > 500 && found < 900, qt.IsTrue, qt.Commentf("%d", found))
}

// Guards against limits that hold urgent flows back with others, fill an upstream beyond
// what its sidecar admits, or give late flows more than idle slots.
func TestLimits(t *testing.T) {
	c := qt.New(t)
	f := flow(1, 0)
	c.Assert(f.Limit(0, true, 2, 0), qt.Equals, 8.)
	c.Assert(f.Limit(0, true, 2, 50), qt.Equals, 5.)
	c.Assert(f.Limit(0, false, 2, 50), qt.Equals, 2+0.85*3)
	c.Assert(f.Limit(0, true, 2, 1), qt.Equals, 8.)
	c.Assert(f.Limit(0, false, 2, 1000), qt.Equals, 2.)
	c.Assert(f.Limit(251, true, 2, 50), qt.Equals, 2.)
}
