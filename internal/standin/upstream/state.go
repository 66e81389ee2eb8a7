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

	// randomShare is the part of the mean service time that varies. The rest is the
	// same for every request.
	randomShare = 0.5
	// maxSample limits the samples of the exponential distribution, so that one
	// request does not hold a slot for longer than the deadlines of the contract.
	maxSample = 4.0
)

// state decides which requests an upstream runs and how long each takes, and counts
// them. It is not safe for concurrent use.
type state struct {
	config         Config
	random         *rand.Rand
	startedAt      clock.Millis
	slotsInUse     int
	drainStartedAt clock.Millis
	draining       bool
	// healthChanges holds all changes of the status, the oldest first.
	healthChanges []healthChange
	// runs holds how often each booking ran, by its number.
	runs        map[uint64]int
	shed        int
	misrouted   int
	interrupted int
	arrivals    int
	lastArrival clock.Millis
	// openBoards holds how many boards are open for each number.
	openBoards map[uint64]int
}

type healthChange struct {
	at     clock.Millis
	status string
}

func newState(config Config, now clock.Millis) *state {
	return &state{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 0)), startedAt: now,
		healthChanges: []healthChange{{status: serving}}, runs: map[uint64]int{},
		openBoards: map[uint64]int{},
	}
}

// takeSlot takes a slot for a request. It returns false, and counts the request as
// shed, if the state accepts no work or all slots are taken.
func (s *state) takeSlot(now clock.Millis) bool {
	if !s.acceptsWork(now) || s.slotsInUse >= s.config.Slots {
		s.shed++
		return false
	}
	s.slotsInUse++
	return true
}

// acceptsWork reports whether there is no drain or its grace has not passed. It does
// not consider slots.
func (s *state) acceptsWork(now clock.Millis) bool {
	return !s.draining || now-s.drainStartedAt < s.config.DrainGrace
}

func (s *state) releaseSlot() { s.slotsInUse-- }

func (s *state) countRun(number uint64) { s.runs[number]++ }

// countArrival counts new work, whether it is accepted or shed.
func (s *state) countArrival(now clock.Millis) {
	s.arrivals++
	s.lastArrival = now
}

func (s *state) closeBoard(number uint64) {
	if s.openBoards[number]--; s.openBoards[number] == 0 {
		delete(s.openBoards, number)
	}
}

func (s *state) activity(now clock.Millis) Activity {
	a := Activity{
		Service: s.config.Service, Misrouted: s.misrouted, Interrupted: s.interrupted, Arrivals: s.arrivals,
		ArrivalAge: -1, OpenBoards: slices.Sorted(maps.Keys(s.openBoards)),
	}
	if s.arrivals > 0 {
		a.ArrivalAge = now - s.lastArrival
	}
	return a
}

// setDraining starts a drain if on is true, and ends it otherwise. A drain that is in
// progress does not start again.
func (s *state) setDraining(on bool, now clock.Millis) {
	if on == s.draining {
		return
	}
	s.draining = on
	status := serving
	if on {
		s.drainStartedAt = now
		status = draining
	}
	s.healthChanges = append(s.healthChanges, healthChange{at: now, status: status})
}

// reportedHealth returns the status that /health shows, which is the status of
// HealthLag ago.
func (s *state) reportedHealth(now clock.Millis) string {
	status := serving
	for _, change := range s.healthChanges {
		if change.at+s.config.HealthLag <= now {
			status = change.status
		}
	}
	return status
}

// serviceTime returns how long the next request takes. During the cold start the
// mean falls linearly from ColdFactor times the normal mean to the normal mean.
func (s *state) serviceTime(now clock.Millis) clock.Millis {
	sample := 1 - randomShare + randomShare*min(s.random.ExpFloat64(), maxSample)
	factor := 1.0
	if age := now - s.startedAt; age < s.config.ColdStart {
		cold := 1 - float64(age)/float64(s.config.ColdStart)
		factor += (s.config.ColdFactor - 1) * cold
	}
	return clock.Millis(float64(s.config.ServiceTime) * sample * factor)
}
