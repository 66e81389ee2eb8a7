package upstream

import (
	"math"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// Limits of the weight of an upstream.
const (
	MinWeight = 1
	MaxWeight = 16
)

const (
	slowStart = 30 * clock.Second
	// failureHalfLife makes the weight recover when a low weight leaves too little
	// traffic to measure.
	failureHalfLife = 2 * clock.Second
	// failureWeight is the weight of one failure in the failure level.
	failureWeight = 1.0 / 8
	// currentWeight is the weight of a new response time in the present one.
	currentWeight = 1.0 / 8
	// baselineTime is the time in which the usual response time follows the
	// present one. It does not depend on the rate, because a slow upstream at a
	// high rate would become the usual one within a second.
	baselineTime = clock.Minute
	// baselineSamples is the number of first responses whose average is the usual
	// response time.
	baselineSamples = 32
	// toleratedSlowdown is how many times slower than usual responses may be
	// without effect on the weight.
	toleratedSlowdown = 2.0
	// maxSlowdown keeps one response on a silent connection from excluding the
	// upstream.
	maxSlowdown = 16.0
	// failingWeight is the limit while the health endpoint reports a failure. It
	// may lag or be wrong, so it does not exclude the upstream.
	failingWeight = 4
	// refusalMemory is how long before the report of a drain a refusal counts as
	// its effect, because the health endpoint lags behind the upstream.
	refusalMemory = 5 * clock.Second
)

// Result tells how a request to the upstream ended.
type Result uint8

// Results of requests.
const (
	Responded Result = iota + 1
	// Shed is an answer with status 503 or 429.
	Shed
	// Failed is a request without an answer.
	Failed
	// Unreachable is a connection that could not be opened.
	Unreachable
)

// Health judges an upstream by what is measured. It is not safe for concurrent
// use.
type Health struct {
	started   clock.Millis
	down      bool
	failures  float64
	updated   clock.Millis
	slowdown  float64
	baselines map[string]*baseline
	failing   bool
	draining  bool
	// refused tells that the upstream shed work around or during a drain.
	refused bool
	// shed is set once the upstream shed work, and shedAt is when it last did.
	shed   bool
	shedAt clock.Millis
}

// baseline is the usual response time of a kind in milliseconds.
type baseline struct {
	value   float64
	samples int
	updated clock.Millis
}

// NewHealth returns the Health of an upstream that starts now.
func NewHealth(now clock.Millis) *Health {
	return &Health{started: now, updated: now, slowdown: 1, baselines: map[string]*baseline{}}
}

// Record adds the result of one request. The elapsed time until the response
// header counts for Responded only.
func (h *Health) Record(kind string, result Result, elapsed, now clock.Millis) {
	h.decay(now)
	switch result {
	case Responded:
		h.recordTime(kind, float64(max(elapsed, 1)), now)
		h.failures -= h.failures * failureWeight
	case Shed, Failed:
		if result == Shed {
			h.shed, h.shedAt = true, now
			h.refused = h.refused || h.draining
		}
		h.failures += (1 - h.failures) * failureWeight
	case Unreachable:
		h.down = true
		return
	}
	h.reached(now)
}

// reached ends an outage: the process behind the address is a new one and starts
// cold.
func (h *Health) reached(now clock.Millis) {
	if h.down {
		h.down = false
		h.started = now
	}
}

func (h *Health) recordTime(kind string, elapsed float64, now clock.Millis) {
	b := h.baselines[kind]
	if b == nil {
		b = &baseline{value: elapsed}
		h.baselines[kind] = b
	}
	h.slowdown += (min(elapsed/b.value, maxSlowdown) - h.slowdown) * currentWeight
	weight := min(float64(now-b.updated)/float64(baselineTime), currentWeight)
	if b.samples < baselineSamples {
		b.samples++
		weight = max(weight, 1/float64(b.samples))
	}
	b.value += (elapsed - b.value) * weight
	b.updated = now
}

// RecordProbe records an answer of the upstream's own health endpoint, which can only
// lower the weight.
func (h *Health) RecordProbe(failing, draining bool, now clock.Millis) {
	h.reached(now)
	h.failing = failing
	recent := h.shed && now-h.shedAt <= refusalMemory
	h.refused = draining && (h.refused || !h.draining && recent)
	h.draining = draining
}

// RefusesWork reports whether the upstream takes no work until its health endpoint no
// longer reports a drain. The endpoint alone may be wrong, and one refusal may be
// a moment of load, so both must say so.
func (h *Health) RefusesWork() bool { return h.draining && h.refused }

// UsualTime returns the usual response time of a kind, or zero if it is not known.
func (h *Health) UsualTime(kind string) clock.Millis {
	if b := h.baselines[kind]; b != nil {
		return clock.Millis(b.value)
	}
	return 0
}

// Weight returns the weight from MinWeight to MaxWeight.
func (h *Health) Weight(now clock.Millis) int {
	h.decay(now)
	if h.down || h.draining {
		return MinWeight
	}
	weight := float64(MaxWeight) * (1 - h.failures)
	if h.slowdown > toleratedSlowdown {
		weight *= toleratedSlowdown / h.slowdown
	}
	warmth := min(float64(now-h.started)/float64(slowStart), 1)
	weight = min(weight, MinWeight+(MaxWeight-MinWeight)*warmth)
	if h.failing {
		weight = min(weight, failingWeight)
	}
	return max(MinWeight, int(math.Round(weight)))
}

func (h *Health) decay(now clock.Millis) {
	halves := float64(now-h.updated) / float64(failureHalfLife)
	if halves <= 0 {
		return
	}
	h.updated = now
	factor := math.Exp2(-halves)
	h.failures *= factor
	h.slowdown = 1 + (h.slowdown-1)*factor
}
