package worktime_test

import (
	"math"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/worktime"
)

const seeds = 40

// assertWithin checks that a value differs from another one by at most a factor.
func assertWithin(c *qt.C, got, want, factor float64, comment ...any) {
	c.Helper()
	c.Assert(got >= want/factor && got <= want*factor, qt.IsTrue, qt.Commentf("got %v, want %v within %v %v", got, want, factor, comment))
}

// Guards against work times that contain waiting, so that an upstream under long overload,
// where every request waits, counts as many times slower than it is. Upstreams that do not
// work in order of arrival must not be misjudged for long.
func TestOverloadDoesNotRaiseWorkTime(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(seeds) {
		for order, factor := range map[string]float64{"oldest": 1.15, "newest": 1.3, "random": 1.6} {
			s := newSimulation(seed)
			s.workTime, s.perSecond = s.heavyTail, 400
			switch order {
			case "newest":
				s.next = func(waiting int) int { return waiting - 1 }
			case "random":
				s.next = s.random.IntN
			}
			s.run(4000)
			sum := 0.0
			for range 50 {
				s.run(100)
				sum += s.tracker.ServiceTime()
				if order == "oldest" {
					assertWithin(c, s.tracker.ServiceTime(), 13, 1.3, seed)
				}
			}
			assertWithin(c, sum/50, 13, factor, order, seed)
		}
	}
}

// Guards against placement by the speed that an upstream had before, after it has become
// seven times slower or faster, and against a speed that is learned only from requests that
// find a free slot.
func TestChangeOfSpeedIsLearnedWithinTwoSeconds(t *testing.T) {
	c := qt.New(t)
	for _, perSecond := range []float64{30, 150} {
		inaccurate := 0
		check := func(s *simulation, want float64) {
			s.run(2000)
			got := s.tracker.ServiceTime()
			assertWithin(c, got, want, 2.5)
			if got < want/1.5 || got > want*1.5 {
				inaccurate++
			}
		}
		for seed := range uint64(seeds) {
			s := newSimulation(seed)
			s.perSecond, s.workTime = perSecond, s.heavyTail
			s.run(10_000)
			s.workTime = func(a netip.AddrPort) float64 { return 7 * s.heavyTail(a) }
			check(s, 7*13)
			s.run(6000)
			s.workTime = s.heavyTail
			check(s, 13)
		}
		t.Logf("%v requests a second: %d of %d by more than 1.5", perSecond, inaccurate, 2*seeds)
		c.Assert(inaccurate <= 2*seeds/10, qt.IsTrue, qt.Commentf("%d of %d", inaccurate, 2*seeds))
	}
}

// Guards against a request of the former speed that ends after a change has been noticed and
// hides it again, and against a change that is not logged, or logged with each report.
func TestRequestDuringChangeIsLeftOut(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(1)
	s.workTime = func(netip.AddrPort) float64 { return 100 }
	s.run(10_000)
	s.perSecond = 0
	s.run(2000)
	former := s.tracker.Begin(s.now, lookups)
	for range 12 {
		r := s.tracker.Begin(s.now, lookups)
		s.now += 10
		s.tracker.End(s.now, r, true)
	}
	s.tracker.End(s.now+600, former, true)
	factor, changed := s.tracker.TakeChange()
	c.Assert(changed, qt.IsTrue)
	assertWithin(c, factor, 0.1, 1.1)
	_, changed = s.tracker.TakeChange()
	c.Assert(changed, qt.IsFalse)
	assertWithin(c, s.tracker.ServiceTime(), 10, 1.2)
}

// Guards against an upstream that is slower than before and is still given so many requests
// that nearly all miss their goal, and against slots that are idle meanwhile. The policy by a
// count of requests is the one before this package.
func TestAdmissionByExpectedWork(t *testing.T) {
	c := qt.New(t)
	play := func(byWork bool, factor float64) (inGoal, late int) {
		for seed := range uint64(20) {
			s := newSimulation(seed)
			s.perSecond, s.workTime = 200, s.heavyTail
			s.admit = func(address netip.AddrPort) bool {
				if s.tracker.Active() < 2 {
					return true
				}
				if byWork {
					return s.tracker.Completion(s.now, 0, address) <= testGoal/2
				}
				return s.tracker.Active() < max(int(testGoal/s.cleanMean), 2)
			}
			s.run(5000)
			s.workTime = func(a netip.AddrPort) float64 { return factor * s.heavyTail(a) }
			s.inGoal, s.late = 0, 0
			s.run(5000)
			inGoal, late = inGoal+s.inGoal, late+s.late
		}
		t.Logf("by work %t, %v times the work: %d in goal, %d late", byWork, factor, inGoal, late)
		return inGoal, late
	}
	before, _ := play(false, 1)
	now, late := play(true, 1)
	c.Assert(now >= before*99/100 && late <= now/100, qt.IsTrue)
	before, _ = play(false, 7)
	now, late = play(true, 7)
	c.Assert(now > 4*before && late < now/4, qt.IsTrue)
}

// Guards against one route whose requests become costly and change what is known of others.
func TestAddressesAreLearnedSeparately(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(1)
	s.address = func() netip.AddrPort {
		if s.random.IntN(4) == 0 {
			return bookings
		}
		return lookups
	}
	s.workTime = func(a netip.AddrPort) float64 {
		if a == bookings {
			return 60
		}
		return 10
	}
	s.run(10_000)
	costs := s.tracker.Costs()
	c.Assert(costs, qt.HasLen, 2)
	assertWithin(c, costs[0].WorkTime, 10, 1.15)
	assertWithin(c, costs[1].WorkTime, 60, 1.15)
	assertWithin(c, s.tracker.ServiceTime(), 0.75*10+0.25*60, 1.3)
	c.Assert(s.tracker.Completion(s.now, 0, bookings) > s.tracker.Completion(s.now, 0, lookups), qt.IsTrue)

	// Only lookups arrive from now on, and they become costly.
	s.address = func() netip.AddrPort { return lookups }
	s.workTime = func(netip.AddrPort) float64 { return 70 }
	s.run(3000)
	costs = s.tracker.Costs()
	assertWithin(c, costs[0].WorkTime, 70, 1.2)
	assertWithin(c, costs[1].WorkTime, 60, 1.15)
}

// Guards against an expected remaining time that falls with the age of a request although
// the tail is heavy, or that does not fall although the work times hardly vary.
func TestRemainingTimeFollowsTail(t *testing.T) {
	c := qt.New(t)
	remaining := func(s *simulation, age clock.Millis) float64 {
		s.run(20_000)
		s.perSecond = 0
		s.run(2000)
		s.tracker.Begin(s.now, lookups)
		return s.tracker.Remaining(s.now+age, 0)
	}
	heavy := newSimulation(1)
	heavy.workTime = heavy.heavyTail
	c.Assert(remaining(heavy, 20) > 30, qt.IsTrue)
	c.Assert(heavy.tracker.Remaining(heavy.now, 0) < 20, qt.IsTrue)
	light := newSimulation(1)
	light.workTime = func(netip.AddrPort) float64 { return 25 + 10*light.random.Float64() }
	c.Assert(remaining(light, 20) < 12, qt.IsTrue)
	// A request that hangs counts as a bounded amount of work.
	c.Assert(light.tracker.Remaining(light.now+4000, 0) <= 8*31, qt.IsTrue)
}

// Guards against a backlog that is wrong on average, from which balancers prefer the wrong
// upstream at every load.
func TestRemainingWorkIsUnbiased(t *testing.T) {
	c := qt.New(t)
	for _, perSecond := range []float64{60, 130, 400} {
		var got, want float64
		for seed := range uint64(10) {
			s := newSimulation(seed)
			s.workTime, s.perSecond = s.heavyTail, perSecond
			s.run(5000)
			for range 400 {
				s.run(17)
				got += s.tracker.Remaining(s.now, 0)
				want += s.remaining()
			}
		}
		assertWithin(c, got, want, 1.15, perSecond)
	}
}

// Guards against a single long pause of the host, or a few requests that are misjudged, that
// make the upstream count as slow for long.
func TestPauseIsForgotten(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(1)
	s.run(5000)
	stuck := []*worktime.Request{s.tracker.Begin(s.now, lookups), s.tracker.Begin(s.now, lookups)}
	for _, r := range stuck {
		s.tracker.End(s.now+3000, r, true)
	}
	s.now += 3000
	c.Assert(s.tracker.ServiceTime() < 8*13, qt.IsTrue)
	s.run(10_000)
	assertWithin(c, s.tracker.ServiceTime(), 13, 1.5)
}

// Guards against requests that the upstream has dropped and that keep its slots from those
// that it works on, and against a request that is reported as overdue for its waiting.
func TestOverdueRequestsFreeTheirSlots(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(1)
	s.run(5000)
	s.perSecond = 0
	s.run(1000)
	for range 6 {
		s.tracker.Begin(s.now, lookups)
	}
	c.Assert(s.tracker.Expire(s.now+90), qt.HasLen, 0)
	c.Assert(s.tracker.Expire(s.now+110), qt.HasLen, 2)
	c.Assert(s.tracker.Expire(s.now+150), qt.HasLen, 0)
	late := s.tracker.Expire(s.now + 220)
	c.Assert(late, qt.HasLen, 2)
	c.Assert(s.tracker.Active(), qt.Equals, 6)
	for _, r := range late {
		c.Assert(r.Overdue(), qt.IsTrue)
		s.tracker.End(s.now+230, r, true)
		s.tracker.End(s.now+231, r, true)
	}
	c.Assert(s.tracker.Active(), qt.Equals, 4)
	s.tracker.Reset()
	c.Assert(s.tracker.Active(), qt.Equals, 0)
}

// Guards against requests of clients that have given up and that count as work for as long
// as a request without a response, and against requests that are measured from their first
// packet instead of their last.
func TestCanceledAndRestartedRequests(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(1)
	s.run(5000)
	s.perSecond = 0
	s.run(1000)
	running, _, waiting := s.tracker.Begin(s.now, lookups), s.tracker.Begin(s.now, lookups), s.tracker.Begin(s.now, lookups)
	s.tracker.Cancel(s.now, waiting)
	c.Assert(s.tracker.Active(), qt.Equals, 2)
	s.tracker.Cancel(s.now, running)
	c.Assert(s.tracker.Active(), qt.Equals, 2)
	c.Assert(s.tracker.Expire(s.now+30), qt.HasLen, 0)
	c.Assert(s.tracker.Active(), qt.Equals, 1)

	before := s.tracker.ServiceTime()
	for range 20 {
		r := s.tracker.Begin(s.now, lookups)
		s.tracker.Restart(s.now+200, r)
		s.tracker.End(s.now+213, r, true)
		s.now += 300
	}
	assertWithin(c, s.tracker.ServiceTime(), before, 1.05)
}

// Guards against memory that grows with the number of addresses, and against an upstream
// without samples or with an unknown number of slots for which nothing can be estimated.
func TestBoundsAndDefaults(t *testing.T) {
	c := qt.New(t)
	var tracker worktime.Tracker
	c.Assert(tracker.ServiceTime(), qt.Equals, 30.0)
	tracker.SetGoal(120)
	c.Assert(tracker.ServiceTime(), qt.Equals, 30.0)
	tracker.SetGoal(200)
	c.Assert(tracker.ServiceTime(), qt.Equals, 50.0)
	c.Assert(tracker.Completion(0, 3, lookups), qt.Equals, 50.0)
	for port := range uint16(5000) {
		r := tracker.Begin(clock.Millis(port), netip.AddrPortFrom(lookups.Addr(), port+1))
		tracker.End(clock.Millis(port)+100_000, r, true)
	}
	c.Assert(tracker.Costs(), qt.HasLen, 64)
	c.Assert(tracker.ServiceTime() <= 10_000 && !math.IsNaN(tracker.ServiceTime()), qt.IsTrue)
	// An address that is in use now replaces one that is not.
	later := clock.Millis(5000 + 100_000 + 70_000)
	tracker.End(later+10, tracker.Begin(later, bookings), true)
	c.Assert(len(tracker.Costs()) < 64, qt.IsTrue)
}

// Guards against outcomes that never leave the window, or that leave it at once.
func TestOutcomesCoverTwoSeconds(t *testing.T) {
	c := qt.New(t)
	var o worktime.Outcomes
	for now := clock.Millis(0); now < 4000; now += 100 {
		o.Add(now, now%500 == 0)
	}
	failed, ended := o.Total(3999)
	c.Assert([]int{failed, ended}, qt.DeepEquals, []int{4, 20})
	failed, ended = o.Total(5000)
	c.Assert([]int{failed, ended}, qt.DeepEquals, []int{1, 7})
	failed, ended = o.Total(1 << 40)
	c.Assert([]int{failed, ended}, qt.DeepEquals, []int{0, 0})
}
