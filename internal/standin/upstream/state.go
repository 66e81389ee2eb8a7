package upstream

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	serving  = "serving"
	draining = "draining"

	// randomShare is the part of the mean service time that varies; the rest is
	// the same for every request.
	randomShare = 0.5
	// maxSample cuts the exponential distribution, so that one request does not
	// hold a slot for longer than the deadlines of the contract.
	maxSample = 4.0
)

// state decides about each request of an upstream. It is not safe for
// concurrent use.
type state struct {
	config       Config
	random       *rand.Rand
	started      clock.Millis
	inUse        int
	drainedSince clock.Millis
	draining     bool
	health       []healthChange
	runs         map[uint64]int
	shed         int
	foreign      int
	interrupted  int
	arrivals     int
	lastArrival  clock.Millis
	// boards counts the open boards of each number.
	boards map[uint64]int
}

type healthChange struct {
	at     clock.Millis
	status string
}

func newState(config Config, now clock.Millis) *state {
	return &state{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 0)), started: now,
		health: []healthChange{{status: serving}}, runs: map[uint64]int{},
		boards: map[uint64]int{},
	}
}

// take occupies a slot. It returns false if the request is to be shed.
func (s *state) take(now clock.Millis) bool {
	if !s.accepts(now) || s.inUse >= s.config.Slots {
		s.shed++
		return false
	}
	s.inUse++
	return true
}

// accepts reports whether new work is answered at all.
func (s *state) accepts(now clock.Millis) bool {
	return !s.draining || now-s.drainedSince < s.config.DrainGrace
}

func (s *state) release() { s.inUse-- }

// ran counts one run of a booking.
func (s *state) ran(number uint64) { s.runs[number]++ }

// arrived counts new work.
func (s *state) arrived(now clock.Millis) {
	s.arrivals++
	s.lastArrival = now
}

func (s *state) closeBoard(number uint64) {
	if s.boards[number]--; s.boards[number] == 0 {
		delete(s.boards, number)
	}
}

func (s *state) activity(now clock.Millis) Activity {
	a := Activity{
		Service: s.config.Service, Misrouted: s.foreign, Interrupted: s.interrupted, Arrivals: s.arrivals,
		ArrivalAge: -1, OpenBoards: slices.Sorted(maps.Keys(s.boards)),
	}
	if s.arrivals > 0 {
		a.ArrivalAge = now - s.lastArrival
	}
	return a
}

// setDraining starts or ends the drain.
func (s *state) setDraining(on bool, now clock.Millis) {
	if on == s.draining {
		return
	}
	s.draining = on
	status := serving
	if on {
		s.drainedSince = now
		status = draining
	}
	s.health = append(s.health, healthChange{at: now, status: status})
}

// reported returns the status that /health shows: the one of HealthLag ago.
func (s *state) reported(now clock.Millis) string {
	status := serving
	for _, change := range s.health {
		if change.at+s.config.HealthLag <= now {
			status = change.status
		}
	}
	return status
}

// serviceTime returns how long the next request takes. During the cold start
// the mean falls linearly from ColdFactor times the normal one to the normal
// one.
func (s *state) serviceTime(now clock.Millis) clock.Millis {
	sample := 1 - randomShare + randomShare*min(s.random.ExpFloat64(), maxSample)
	factor := 1.0
	if age := now - s.started; age < s.config.ColdStart {
		cold := 1 - float64(age)/float64(s.config.ColdStart)
		factor += (s.config.ColdFactor - 1) * cold
	}
	return clock.Millis(float64(s.config.ServiceTime) * sample * factor)
}
