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
	// slowStart is the time over which the weight of a started upstream may rise to
	// MaxWeight.
	slowStart = 30 * clock.Second
	// failureHalfLife is the half-life of the failure level and of the slowdown. Their
	// decay lets the weight recover when a low weight leaves too little traffic to
	// measure.
	failureHalfLife = 2 * clock.Second
	// failureWeight is the weight of one result in the failure level.
	failureWeight = 1.0 / 8
	// slowdownWeight is the weight of one response time in the slowdown. It is also the
	// highest weight of one response time in the usual response time, except for the
	// first samples.
	slowdownWeight = 1.0 / 8
	// baselineTime is the time constant with which the usual response time follows the
	// current one. It does not depend on the request rate: otherwise, at a high rate,
	// the response time of a slow upstream would become the usual one within a second.
	baselineTime = clock.Minute
	// baselineSamples is the number of first responses of a kind over which the usual
	// response time is averaged.
	baselineSamples = 32
	// toleratedSlowdown is the factor by which responses may be slower than usual
	// without an effect on the weight.
	toleratedSlowdown = 2.0
	// maxSlowdown limits the slowdown of one sample, so that one response on a silent
	// connection does not exclude the upstream.
	maxSlowdown = 16.0
	// failingWeight is the highest weight while the health endpoint reports a failure.
	// The endpoint may lag or be wrong, so its report does not exclude the upstream.
	failingWeight = 4
	// refusalRetention is how long a refusal (a 503 or 429) is remembered. If the health
	// endpoint reports a drain within this time, the refusal counts as an effect of the
	// drain, because the endpoint lags behind the upstream.
	refusalRetention = 5 * clock.Second
)

// Result is the result of a request to the upstream.
type Result uint8

// Results of requests.
const (
	// Responded is a response with any status but 503 and 429.
	Responded Result = iota + 1
	// Shed is a response with status 503 or 429.
	Shed
	// Failed is a request that got a connection but no response.
	Failed
	// Unreachable is a connection that could not be opened.
	Unreachable
)

// Health derives the weight of an upstream from the results of its requests and from
// the reports of its health endpoint. It is not safe for concurrent use.
type Health struct {
	upSince     clock.Millis
	unreachable bool
	// failures is the failure level, from 0 to 1.
	failures float64
	updated  clock.Millis
	// slowdown is the factor by which responses are slower than usual.
	slowdown  float64
	baselines map[string]*baseline
	failing   bool
	draining  bool
	// refusedInDrain is true if the upstream shed load during the current drain or
	// within refusalRetention before the drain was reported.
	refusedInDrain bool
	// hasShed is true once the upstream has shed load.
	hasShed bool
	// lastShed is when the upstream last shed load. It is valid if hasShed is true.
	lastShed clock.Millis
}

// baseline is the usual response time of a kind. Its value is in milliseconds.
type baseline struct {
	value   float64
	samples int
	updated clock.Millis
}

// NewHealth returns the Health of an upstream that has just started and is cold.
func NewHealth(now clock.Millis) *Health {
	return &Health{upSince: now, updated: now, slowdown: 1, baselines: map[string]*baseline{}}
}

// Record records the result of one request. elapsed is the time until the response
// header and is used for Responded only.
func (h *Health) Record(kind string, result Result, elapsed, now clock.Millis) {
	h.decay(now)
	switch result {
	case Responded:
		h.recordTime(kind, float64(max(elapsed, 1)), now)
		h.failures -= h.failures * failureWeight
	case Shed, Failed:
		if result == Shed {
			h.hasShed, h.lastShed = true, now
			h.refusedInDrain = h.refusedInDrain || h.draining
		}
		h.failures += (1 - h.failures) * failureWeight
	case Unreachable:
		h.unreachable = true
		return
	}
	h.recordContact(now)
}

// recordContact ends a time in which the upstream was unreachable. The process at the
// address is then assumed to be a new one, which starts cold.
func (h *Health) recordContact(now clock.Millis) {
	if h.unreachable {
		h.unreachable = false
		h.upSince = now
	}
}

// recordTime adds a response time in milliseconds to the slowdown and to the usual
// response time of the kind.
func (h *Health) recordTime(kind string, elapsed float64, now clock.Millis) {
	b := h.baselines[kind]
	if b == nil {
		b = &baseline{value: elapsed}
		h.baselines[kind] = b
	}
	h.slowdown += (min(elapsed/b.value, maxSlowdown) - h.slowdown) * slowdownWeight
	weight := min(float64(now-b.updated)/float64(baselineTime), slowdownWeight)
	if b.samples < baselineSamples {
		b.samples++
		weight = max(weight, 1/float64(b.samples))
	}
	b.value += (elapsed - b.value) * weight
	b.updated = now
}

// RecordProbe records a response of the health endpoint of the upstream. Any response
// shows that the upstream is reachable. What it reports can only lower the weight.
func (h *Health) RecordProbe(failing, draining bool, now clock.Millis) {
	h.recordContact(now)
	h.failing = failing
	recent := h.hasShed && now-h.lastShed <= refusalRetention
	h.refusedInDrain = draining && (h.refusedInDrain || !h.draining && recent)
	h.draining = draining
}

// RefusesWork reports whether the upstream accepts no requests until its health
// endpoint no longer reports a drain. This needs both a report and a refusal, because
// the endpoint may be wrong and a refusal may come from a short peak of load.
func (h *Health) RefusesWork() bool { return h.draining && h.refusedInDrain }

// UsualTime returns the usual response time of a kind, or zero if it is unknown.
func (h *Health) UsualTime(kind string) clock.Millis {
	if b := h.baselines[kind]; b != nil {
		return clock.Millis(b.value)
	}
	return 0
}

// Weight returns the weight from MinWeight to MaxWeight.
func (h *Health) Weight(now clock.Millis) int {
	h.decay(now)
	if h.unreachable || h.draining {
		return MinWeight
	}
	weight := float64(MaxWeight) * (1 - h.failures)
	if h.slowdown > toleratedSlowdown {
		weight *= toleratedSlowdown / h.slowdown
	}
	warmup := min(float64(now-h.upSince)/float64(slowStart), 1)
	weight = min(weight, MinWeight+(MaxWeight-MinWeight)*warmup)
	if h.failing {
		weight = min(weight, failingWeight)
	}
	return max(MinWeight, int(math.Round(weight)))
}

// decay reduces the failure level and the slowdown according to the time since the last
// update.
func (h *Health) decay(now clock.Millis) {
	halfLives := float64(now-h.updated) / float64(failureHalfLife)
	if halfLives <= 0 {
		return
	}
	h.updated = now
	factor := math.Exp2(-halfLives)
	h.failures *= factor
	h.slowdown = 1 + (h.slowdown-1)*factor
}
