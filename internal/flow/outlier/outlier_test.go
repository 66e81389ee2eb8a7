package outlier_test

import (
	"math"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/outlier"
)

// fails returns a function in which some upstreams fail with a probability and the others
// rarely do.
func fails(probability float64, upstreams ...int) func(int) float64 {
	return func(i int) float64 {
		if slices.Contains(upstreams, i) {
			return probability
		}
		return 0.005
	}
}

// Guards against a failing upstream that keeps its work for long because its heartbeats are
// well, and against one that loses it by a single bad report.
func TestFailingUpstreamLosesWorkGradually(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		share float64
		// halved and ejected are the longest times in which the weight of half of the failing
		// upstreams falls below a half and to 0.
		halved, ejected clock.Millis
	}{{share: 0.3, halved: 600, ejected: 2500}, {share: 0.5, halved: 400, ejected: 1500}, {share: 1, halved: 400, ejected: 600}} {
		var halved, ejected []clock.Millis
		for seed := range uint64(30) {
			s := newSimulation(seed, 12, 1)
			s.run(5000)
			s.failure = fails(test.share, 3)
			below := s.runUntil(10_000, func() bool { return s.weight(3) < 0.5 })
			halved = append(halved, below)
			ejected = append(ejected, below+s.runUntil(10_000, func() bool { return s.weight(3) == 0 }))
		}
		slices.Sort(halved)
		slices.Sort(ejected)
		c.Assert(halved[15] <= test.halved, qt.IsTrue, qt.Commentf("%v: %v", test.share, halved))
		c.Assert(ejected[15] <= test.ejected, qt.IsTrue, qt.Commentf("%v: %v", test.share, ejected))
	}
	s := newSimulation(1, 12, 1)
	s.run(5000)
	s.failure = fails(0.5, 3)
	s.runUntil(2000, func() bool { return s.weight(3) < 1 })
	c.Assert(s.weight(3) > 0, qt.IsTrue)
}

// Guards against ejections although the siblings fail alike: for a fault behind the service,
// or because all reject what they have no room for.
func TestFaultOfServiceEjectsNone(t *testing.T) {
	c := qt.New(t)
	for _, upstreams := range []int{1, 2, 3, 6, 49} {
		for _, probability := range []float64{0.02, 0.2, 0.6, 1} {
			ejections := uint64(0)
			for seed := range uint64(8) {
				s := newSimulation(seed, upstreams, 1)
				s.run(4000)
				s.failure = func(int) float64 { return probability }
				s.run(8000)
				ejections += s.trackers[0].Ejections()
				c.Assert(s.trackers[0].Ejected(), qt.Equals, 0)
			}
			c.Assert(ejections <= 2, qt.IsTrue, qt.Commentf("%d upstreams, %v: %d", upstreams, probability, ejections))
		}
	}
	// Most requests fail at the siblings, all at one upstream.
	tracker := outlier.New(outlier.Config{MaxEjectedShare: 0.33})
	for now := clock.Millis(1000); now < 5000; now += 200 {
		for i, failed := range []int{60, 34, 34, 34, 34, 34} {
			tracker.Observe(now, testService, sidecarAt(i), failed, 60)
		}
	}
	c.Assert(tracker.Weight(5000, sidecarAt(0)), qt.Equals, 1.0)
}

// Guards against a service that loses more than a third of its upstreams, or its last one, to
// ejections.
func TestEjectionIsBounded(t *testing.T) {
	c := qt.New(t)
	for upstreams, limit := range map[int]int{1: 0, 2: 0, 3: 1, 5: 1, 6: 2, 12: 4} {
		s := newSimulation(1, upstreams, 1)
		s.trackers[0] = outlier.New(outlier.Config{MaxEjectedShare: 1})
		s.run(3000)
		var bad []int
		for i := range upstreams * 9 / 20 {
			bad = append(bad, i)
		}
		s.failure = fails(1, bad...)
		for range 100 {
			s.run(100)
			c.Assert(s.trackers[0].Ejected() <= limit, qt.IsTrue, qt.Commentf("%d upstreams", upstreams))
		}
		c.Assert(s.trackers[0].Ejected(), qt.Equals, min(limit, len(bad)))
		for _, i := range bad {
			c.Assert(s.weight(i) <= 0.1, qt.IsTrue, qt.Commentf("%d of %d", i, upstreams))
		}
		c.Assert(s.weight(upstreams-1) > 0.9, qt.IsTrue)
	}
	// The limit falls with the number of upstreams that accept new flows.
	s := newSimulation(1, 6, 1)
	s.run(3000)
	s.failure = fails(1, 0, 1)
	s.run(3000)
	c.Assert(s.trackers[0].Ejected(), qt.Equals, 2)
	for i := 2; i < 5; i++ {
		s.trackers[0].Leave(s.now, sidecarAt(i))
	}
	s.interval = 230
	for i := range 2 {
		failed, ended := s.outcomes[i].Total(s.now)
		s.trackers[0].Observe(s.now, testService, sidecarAt(i), failed, ended)
	}
	c.Assert(s.trackers[0].Ejected(), qt.Equals, 1)
}

// Guards against an upstream that stays ejected, and for longer the next time, although its
// siblings turn out to fail alike.
func TestSiblingsThatFailAlikeEndEjection(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(1, 12, 1)
	s.run(3000)
	s.failure = fails(1, 3)
	s.runUntil(5000, func() bool { return s.weight(3) == 0 })
	s.failure = func(int) float64 { return 1 }
	c.Assert(s.runUntil(5000, func() bool { return s.weight(3) == 1 }) < 1500, qt.IsTrue)
	c.Assert(s.changes[len(s.changes)-1].Cause, qt.Equals, outlier.CauseSiblings)
	s.failure = fails(1, 3)
	s.runUntil(30_000, func() bool { return s.weight(3) == 0 })
	c.Assert(s.changes[len(s.changes)-1].Hold, qt.Equals, 2*clock.Second)
}

// Guards against a share of ejected upstreams that the operator has switched off.
func TestNoEjectionWithoutShare(t *testing.T) {
	c := qt.New(t)
	tracker := outlier.New(outlier.Config{})
	for now := clock.Millis(0); now < 10_000; now += 200 {
		for i := range 9 {
			failed := 0
			if i == 0 {
				failed = 60
			}
			tracker.Observe(now, testService, sidecarAt(i), failed, 60)
		}
	}
	c.Assert(tracker.Ejected(), qt.Equals, 0)
	c.Assert(tracker.Weight(10_000, sidecarAt(0)) > 0, qt.IsTrue)
}

// Guards against an upstream that never returns after its fault has ended, that returns with
// full load at once, or that returns as soon as before each time although it fails again.
func TestUpstreamReturnsMoreSlowlyEachTime(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(1, 12, 1)
	s.run(5000)
	var outages []clock.Millis
	for range 4 {
		s.failure = fails(1, 3)
		s.runUntil(10_000, func() bool { return s.weight(3) == 0 })
		s.failure = fails(0)
		outages = append(outages, s.runUntil(120_000, func() bool { return s.weight(3) > 0 }))
		c.Assert(s.weight(3) < 0.2, qt.IsTrue)
		s.runUntil(60_000, func() bool { return s.weight(3) > 0.95 })
	}
	for i, outage := range outages {
		c.Assert(outage >= 2000<<i && outage <= 4500<<i, qt.IsTrue, qt.Commentf("%v", outages))
	}
	for _, change := range s.changes {
		c.Assert(change.Sidecar, qt.Equals, sidecarAt(3))
		if change.Ejected {
			c.Assert(change.Cause, qt.Equals, outlier.CauseFailures)
			c.Assert(change.Failed >= 3 && change.Ended >= change.Failed, qt.IsTrue, qt.Commentf("%+v", change))
		} else {
			c.Assert(change.Cause, qt.Equals, outlier.CauseTrials)
		}
	}
	c.Assert(s.changes, qt.HasLen, 8)

	// After minutes without a fault, an ejection is short again.
	s.run(5 * clock.Minute)
	s.failure = fails(1, 3)
	s.runUntil(10_000, func() bool { return s.weight(3) == 0 })
	s.failure = fails(0)
	c.Assert(s.runUntil(120_000, func() bool { return s.weight(3) > 0 }) < 5000, qt.IsTrue)
}

// Guards against an upstream that still fails and returns by a few lucky trial flows again and
// again, and against trials that go on failing clients.
func TestFailingUpstreamStaysAway(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		s := newSimulation(seed, 12, 1)
		s.run(5000)
		s.failure = fails(0.5, 3)
		s.run(5000)
		s.failed, s.ended = 0, 0
		s.run(2 * clock.Minute)
		c.Assert(s.trackers[0].Ejections() <= 3, qt.IsTrue, qt.Commentf("%d", s.trackers[0].Ejections()))
		c.Assert(float64(s.failed)/float64(s.ended) < 0.02, qt.IsTrue, qt.Commentf("%d of %d", s.failed, s.ended))
	}
}

// Guards against an upstream that stays ejected because no flow comes to try it.
func TestUpstreamReturnsWithoutTraffic(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(1, 12, 1)
	s.run(5000)
	s.failure = fails(1, 3)
	s.runUntil(5000, func() bool { return s.weight(3) == 0 })
	s.perSecond, s.trialsPerSecond = 0, 0
	s.run(10_000)
	c.Assert(s.weight(3) > 0, qt.IsTrue)
	c.Assert(s.changes[len(s.changes)-1].Cause, qt.Equals, outlier.CauseIdle)
}

// Guards against balancers that judge the same upstream differently: after lost reports, and
// after a restart that made one forget all reports.
func TestBalancersAgree(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		s := newSimulation(seed, 12, 5)
		s.lost = func(tracker int) bool { return tracker == 4 && s.random.IntN(20) == 0 }
		s.run(4000)
		s.failure = fails(0.6, 3, 7)
		s.run(5000)
		s.addTracker()
		s.run(3000)
		for i := range 12 {
			weights := make([]float64, len(s.trackers))
			for j, tracker := range s.trackers {
				weights[j] = tracker.Weight(s.now, sidecarAt(i))
			}
			// Those that got the same reports agree exactly.
			for j := 1; j < 4; j++ {
				c.Assert(weights[j], qt.Equals, weights[0])
			}
			for j := 4; j < len(weights); j++ {
				c.Assert(math.Abs(weights[j]-weights[0]) < 0.6, qt.IsTrue, qt.Commentf("seed %d, upstream %d: %v", seed, i, weights))
			}
		}
		for _, tracker := range s.trackers {
			c.Assert(tracker.Weight(s.now, sidecarAt(3)) < 0.6 && tracker.Weight(s.now, sidecarAt(7)) < 0.6, qt.IsTrue)
		}
	}
}

// Guards against a fault that is never found in a large system, where reports come every few
// seconds, or at one request a second.
func TestRareReportsAndRequests(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		s := newSimulation(seed, 12, 1)
		s.interval = 5000
		s.run(30_000)
		s.failure = fails(0.5, 3)
		c.Assert(s.runUntil(60_000, func() bool { return s.weight(3) < 0.5 }) <= 10_000, qt.IsTrue)
		c.Assert(s.runUntil(60_000, func() bool { return s.weight(3) == 0 }) <= 30_000, qt.IsTrue)

		s = newSimulation(seed, 12, 1)
		s.perSecond, s.trialsPerSecond = 1, 0.5
		s.run(30_000)
		s.failure = fails(0.8, 3)
		c.Assert(s.runUntil(60_000, func() bool { return s.weight(3) <= 0.1 }) <= 20_000, qt.IsTrue)
	}
}

// Guards against sidecars that are kept in memory or counted as members after they have gone,
// and against an upstream of another service that inherits an ejection.
func TestGoneSidecarsAreForgotten(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(1, 6, 1)
	s.run(3000)
	s.failure = fails(1, 0)
	s.run(3000)
	tracker := s.trackers[0]
	c.Assert(tracker.Ejected(), qt.Equals, 1)
	tracker.Observe(s.now, testService+1, sidecarAt(0), 0, 10)
	c.Assert(tracker.Ejected(), qt.Equals, 0)
	c.Assert(tracker.Weight(s.now, sidecarAt(0)), qt.Equals, 1.0)
	tracker.Leave(s.now, sidecarAt(99))
	c.Assert((*outlier.Tracker)(nil).Weight(s.now, sidecarAt(0)), qt.Equals, 1.0)
	c.Assert(tracker.Weight(s.now, sidecarAt(99)), qt.Equals, 1.0)
	s.run(100)
	tracker.Leave(s.now, sidecarAt(0))
	later := s.now + 5*clock.Minute
	tracker.Observe(later, testService, sidecarAt(9), 0, 0)
	c.Assert(tracker.Members(), qt.Equals, 1)
}
