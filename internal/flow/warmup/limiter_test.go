package warmup_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/warmup"
	"pgregory.net/rapid"
)

// maxWindow returns the largest number of times within one second. The times ascend.
func maxWindow(times []clock.Millis) int {
	first, largest := 0, 0
	for last, t := range times {
		for t-times[first] >= clock.Second {
			first++
		}
		largest = max(largest, last-first+1)
	}
	return largest
}

// Guards against a window of a second, wherever it starts, in which more flows than the
// rate get a token.
func TestNoWindowExceedsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.IntRange(1, 400).Draw(t, "rate")
		var l warmup.Limiter
		l.SetRate(0, float64(perSecond))
		var times []clock.Millis
		for now := clock.Millis(0); now < 5*clock.Second; now += clock.Millis(rapid.SampledFrom([]int{0, 1, 1, 1, 20, 150}).Draw(t, "gap")) {
			for l.Ready(now) {
				if !l.Allow(now) {
					t.Fatalf("ready at %d, but not allowed", now)
				}
				times = append(times, now)
			}
		}
		if n := maxWindow(times); n > perSecond {
			t.Fatalf("%d flows in a second at a rate of %d", n, perSecond)
		}
	})
}

// Guards against a clock step that releases a burst or stops the refill, and against a
// change of the rate that does.
func TestLimiterSteps(t *testing.T) {
	c := qt.New(t)
	var l warmup.Limiter
	c.Assert(l.Allow(0), qt.IsTrue)
	take := func(now clock.Millis) (count int) {
		for l.Allow(now) {
			count++
		}
		return count
	}
	l.SetRate(0, 30)
	c.Assert(take(0), qt.Equals, 1)
	c.Assert(take(clock.Minute), qt.Equals, 3)
	for range 20 {
		c.Assert(take(0), qt.Equals, 0)
	}
	c.Assert(take(clock.Second), qt.Equals, 3)
	l.SetRate(clock.Second, 0)
	c.Assert(l.Allow(clock.Second), qt.IsTrue)
	l.SetRate(clock.Second, 300)
	c.Assert(take(clock.Second), qt.Equals, 0)
	c.Assert(take(clock.Second+10), qt.Equals, 2)
	l.SetRate(clock.Second+10, 10)
	c.Assert(take(clock.Minute), qt.Equals, 1)
	count := 0
	for now := clock.Minute; now < 2*clock.Minute; now += 20 {
		count += take(now)
	}
	c.Assert(count > 60*10*8/10, qt.IsTrue, qt.Commentf("%d flows in a minute", count))
}
