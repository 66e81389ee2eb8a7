package outlier_test

import (
	"math/rand/v2"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/outlier"
	"github.com/orioledyke/orioledyke/internal/flow/worktime"
)

const testService = identity.ServiceID(7)

func sidecarAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 7000)
}

// simulation has the upstreams of one service serve requests by the weights of the first
// tracker, and reports the outcomes to all trackers.
type simulation struct {
	random   *rand.Rand
	now      clock.Millis
	outcomes []worktime.Outcomes
	trackers []*outlier.Tracker
	changes  []outlier.Change
	// perSecond is the mean number of requests a second of an upstream of weight 1, and
	// trialsPerSecond that of one of weight 0. interval is the time between two reports.
	perSecond, trialsPerSecond float64
	interval                   clock.Millis
	// failure returns the probability that a request at an upstream fails.
	failure func(upstream int) float64
	// lost reports whether the report of an upstream to a tracker is lost. It may be nil.
	lost func(tracker int) bool
	// failed and ended count the requests of all upstreams.
	failed, ended int
}

func newSimulation(seed uint64, upstreams, trackers int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 2)), outcomes: make([]worktime.Outcomes, upstreams), now: 1000,
		perSecond: 30, trialsPerSecond: 5, interval: 230, failure: func(int) float64 { return 0 },
	}
	for range trackers {
		s.addTracker()
	}
	return s
}

func (s *simulation) addTracker() {
	config := outlier.Config{MaxEjectedShare: 1. / 3}
	if len(s.trackers) == 0 {
		config.Changed = func(change outlier.Change) { s.changes = append(s.changes, change) }
	}
	s.trackers = append(s.trackers, outlier.New(config))
}

// run advances the simulation.
func (s *simulation) run(duration clock.Millis) {
	for end := s.now + duration; s.now < end; s.now++ {
		for i := range s.outcomes {
			s.serve(i)
			if (s.now+clock.Millis(i*37))%s.interval != 0 {
				continue
			}
			failed, ended := s.outcomes[i].Total(s.now)
			for j, t := range s.trackers {
				if s.lost == nil || !s.lost(j) {
					t.Observe(s.now, testService, sidecarAt(i), failed, ended)
				}
			}
		}
	}
}

// serve ends the requests of one millisecond at an upstream.
func (s *simulation) serve(upstream int) {
	rate := s.perSecond * s.weight(upstream)
	if rate == 0 {
		rate = s.trialsPerSecond
	}
	if s.random.Float64() >= rate/1000 {
		return
	}
	failed := s.random.Float64() < s.failure(upstream)
	s.outcomes[upstream].Add(s.now, failed)
	s.ended++
	if failed {
		s.failed++
	}
}

func (s *simulation) weight(upstream int) float64 {
	return s.trackers[0].Weight(s.now, sidecarAt(upstream))
}

// runUntil advances the simulation until a condition holds, for at most limit, and returns
// the time that this took.
func (s *simulation) runUntil(limit clock.Millis, condition func() bool) clock.Millis {
	start := s.now
	for s.now-start < limit && !condition() {
		s.run(10)
	}
	return s.now - start
}
