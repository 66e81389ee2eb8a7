package worktime_test

import (
	"math/rand/v2"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/worktime"
)

var (
	lookups  = netip.MustParseAddrPort("198.18.0.1:443")
	bookings = netip.MustParseAddrPort("198.18.0.2:443")
)

// testGoal is the latency goal of all requests in milliseconds.
const testGoal = 200

// job is a request at the simulated upstream.
type job struct {
	request   *worktime.Request
	arrivedAt clock.Millis
	// clean is set if a slot was free at the arrival.
	clean bool
	// left is how much longer the upstream works on it.
	left clock.Millis
}

// simulation drives a Tracker with an upstream of 2 slots, a millisecond at a time.
type simulation struct {
	random  *rand.Rand
	tracker worktime.Tracker
	now     clock.Millis
	// workTime returns the work time of a request to an address, and address that of the next
	// request. next returns the index of the waiting request that a free slot takes.
	workTime func(address netip.AddrPort) float64
	address  func() netip.AddrPort
	next     func(waiting int) int
	// admit reports whether the upstream takes a request to an address. If it is nil, the
	// upstream takes all for which there is room in its queue of 12.
	admit func(address netip.AddrPort) bool
	// cleanMean is the moving average of the work time of clean requests, as sidecars learned
	// it before this package. inGoal and late count the requests that took up to testGoal and
	// more.
	cleanMean    float64
	inGoal, late int
	// perSecond is the mean number of requests a second.
	perSecond float64
	// overdue counts the requests that the tracker has reported as overdue.
	overdue          int
	running, waiting []*job
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), perSecond: 30, now: 1000,
		workTime: func(netip.AddrPort) float64 { return 13 },
		address:  func() netip.AddrPort { return lookups },
		next:     func(int) int { return 0 },
	}
	s.tracker.SetSlots(2)
	s.tracker.SetGoal(testGoal)
	return s
}

// run advances the simulation. New requests arrive only while fewer than 12 wait.
func (s *simulation) run(duration clock.Millis) {
	for end := s.now + duration; s.now < end; s.now++ {
		if s.now%200 == 0 {
			s.overdue += len(s.tracker.Expire(s.now))
		}
		if s.random.Float64() < s.perSecond/1000 {
			s.arrive(s.address())
		}
		for len(s.running) < 2 && len(s.waiting) > 0 {
			i := s.next(len(s.waiting))
			s.running = append(s.running, s.waiting[i])
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
		}
		for i := len(s.running) - 1; i >= 0; i-- {
			j := s.running[i]
			if j.left--; j.left <= 0 {
				s.running = append(s.running[:i], s.running[i+1:]...)
				s.tracker.End(s.now+1, j.request, true)
				s.count(s.now+1-j.arrivedAt, j.clean)
			}
		}
	}
}

// arrive adds a request to an address unless the upstream does not take it.
func (s *simulation) arrive(address netip.AddrPort) {
	if (s.admit == nil && len(s.waiting) >= 12) || (s.admit != nil && !s.admit(address)) {
		return
	}
	clean := s.tracker.Active() < 2
	s.waiting = append(s.waiting, &job{
		request: s.tracker.Begin(s.now, address), arrivedAt: s.now, clean: clean,
		left: clock.Millis(max(s.workTime(address), 1) + s.random.Float64()),
	})
}

// count records a request that was served.
func (s *simulation) count(took clock.Millis, clean bool) {
	if clean && s.cleanMean == 0 {
		s.cleanMean = float64(took)
	} else if clean {
		s.cleanMean += (float64(took) - s.cleanMean) / 8
	}
	if took <= testGoal {
		s.inGoal++
	} else {
		s.late++
	}
}

// remaining returns the work in milliseconds that is left of all requests.
func (s *simulation) remaining() (sum float64) {
	for _, j := range append(append([]*job(nil), s.running...), s.waiting...) {
		sum += float64(j.left)
	}
	return sum
}

// heavyTail returns work times with a mean of 13 ms, 3% of which are seven times the others.
func (s *simulation) heavyTail(netip.AddrPort) float64 {
	usual := 11 * (0.7 + 0.6*s.random.Float64())
	if s.random.Float64() < 0.03 {
		return 7 * usual
	}
	return usual
}
