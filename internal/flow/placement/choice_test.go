package placement_test

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/flow/placement"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
)

// Guards against a sidecar whose work is estimated far too low and that then attracts the
// flows of all balancers: it gets at most twice an even share.
func TestWrongEstimateAtMostDoublesShare(t *testing.T) {
	c := qt.New(t)
	const candidates, flows = 20, 20_000
	choice := placement.Choice[int]{Random: rand.New(rand.NewPCG(7, 7)).IntN}
	cost := func(i int) float64 {
		if i == 0 {
			return 0
		}
		return 100
	}
	chosen := 0
	for range flows {
		choice.Reset()
		for i := range candidates {
			choice.Add(i, false)
		}
		if choice.OfTwo(cost) == 0 {
			chosen++
		}
	}
	c.Assert(chosen*candidates <= flows*21/10, qt.IsTrue, qt.Commentf("%d of %d", chosen, flows))
}

// Guards against choosing by requests alone where upstreams differ in speed, and against
// estimates that exclude a sidecar for good or make it free of cost.
func TestCompletionFollowsWorkWithinBounds(t *testing.T) {
	c := qt.New(t)
	completion := func(service *placement.Service, active uint16, time float64) float64 {
		var b placement.Backlog
		b.ApplyReport(0, report(2, active, relay.Work{Known: true, ServiceTime: time}), service, 250)
		return b.Completion(0, 0)
	}
	service := new(placement.Service)
	c.Assert(completion(service, 0, 20), qt.Equals, 20.)
	c.Assert(completion(service, 1, 10), qt.Equals, 15.)
	for range 50 {
		service.Learn(relay.Work{Known: true, ServiceTime: 20})
	}
	c.Assert(completion(service, 0, 1e6) <= 20*8*2, qt.IsTrue)
	c.Assert(completion(service, 0, 0.001) >= 20/8, qt.IsTrue)
}

// Guards against upstreams that state no work and are compared by the work that their own
// load suggests. The choice among them is by requests for each slot.
func TestUnknownWorkIsComparedByRequests(t *testing.T) {
	c := qt.New(t)
	service := new(placement.Service)
	completion := func(slots int, active uint16) float64 {
		var b placement.Backlog
		b.ApplyReport(0, report(slots, active, relay.Work{}), service, 240)
		return b.Completion(0, 0)
	}
	c.Assert(completion(2, 0), qt.Equals, 60.)
	c.Assert(completion(2, 3), qt.Equals, 150.)
	c.Assert(completion(4, 6), qt.Equals, 150.)
}
