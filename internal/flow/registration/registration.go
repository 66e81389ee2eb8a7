// Package registration decides which incarnation of an upstream a sidecar serves, from
// heartbeats that may be late, repeated or from another process. It does no input or
// output: the caller passes in heartbeats and the time.
package registration

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// replaceTimeout is how long the current incarnation may send no heartbeat before an
// incarnation with an earlier start time replaces it. Start times come from clocks that
// may have been set back, so they decide only while both incarnations send heartbeats.
const replaceTimeout = 4 * clock.Second

// Heartbeat is the state that an upstream reports of itself.
type Heartbeat struct {
	ID      string
	Service string
	Address netip.AddrPort
	// StartedAt is the Unix time of the upstream's start in milliseconds; 0 if the
	// heartbeat does not contain it.
	StartedAt int64
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
	Draining bool
	// Slots is the number of requests that the upstream works on concurrently.
	Slots int
	// Warmup is how much longer the upstream is slow after its start.
	Warmup clock.Millis
}

// Result is how a heartbeat or deregistration was handled.
type Result int

// Results.
const (
	// Applied means that the heartbeat or deregistration is in effect.
	Applied Result = iota
	// Stale means that a newer heartbeat or incarnation is known, or that the
	// incarnation has deregistered.
	Stale
	// Foreign means that the heartbeat is for another address or service.
	Foreign
)

var resultNames = [...]string{"applied", "stale", "foreign"}

// String returns the result's name in logs.
func (r Result) String() string { return resultNames[r] }

// Config configures a Registration.
type Config struct {
	// Address is where the upstream of this sidecar listens.
	Address netip.AddrPort
	// Service is the service that the upstream must belong to; "" allows any.
	Service string
}

// Registration holds the state of the upstream that a sidecar serves. It is not safe
// for concurrent use.
type Registration struct {
	config        Config
	current       Heartbeat
	known         bool
	deregistered  bool
	lastHeartbeat clock.Millis
	// drainingStartedAt is the start time of the newest incarnation whose drain was
	// reported to an earlier incarnation of this process; 0 means none.
	drainingStartedAt int64
	// confirmed is set once the current incarnation has sent two heartbeats in order.
	// requiresTwo is set if new flows need that.
	confirmed, requiresTwo bool
}

// New returns a Registration to which no upstream has registered yet.
func New(config Config) *Registration {
	return &Registration{config: config}
}

// Configure sets the address and service that later heartbeats must have. The current
// upstream stays registered.
func (r *Registration) Configure(config Config) { r.config = config }

// RestoreDrain records that the incarnation with the given start time has reported to an
// earlier incarnation of this process that it drains. This incarnation of the upstream and
// older ones get no new flows.
func (r *Registration) RestoreDrain(startedAt int64) {
	r.drainingStartedAt = max(r.drainingStartedAt, startedAt)
}

// RequireTwo makes the upstream get new flows only after two heartbeats of its incarnation.
// The record of a drain may have been lost, so that a single late heartbeat of an earlier
// incarnation must not hide that the current one drains.
func (r *Registration) RequireTwo() { r.requiresTwo = true }

// Heartbeat applies a heartbeat, unless it is stale or foreign.
func (r *Registration) Heartbeat(now clock.Millis, h Heartbeat) Result {
	if h.Address != r.config.Address || (r.config.Service != "" && h.Service != r.config.Service) {
		return Foreign
	}
	if r.known && r.sameIncarnation(h) {
		if h.Sequence <= r.current.Sequence || r.deregistered {
			return Stale
		}
		r.apply(now, h)
		r.confirmed = true
		return Applied
	}
	if r.known && h.StartedAt < r.current.StartedAt && now-r.lastHeartbeat < replaceTimeout {
		return Stale
	}
	r.apply(now, h)
	r.confirmed = false
	return Applied
}

// Deregister records that an incarnation of the upstream has ended. If startedAt is 0, the
// ID alone identifies the incarnation. The result is Stale if the current incarnation is
// another one.
func (r *Registration) Deregister(id string, startedAt int64) Result {
	if !r.known || r.current.ID != id || (startedAt != 0 && startedAt != r.current.StartedAt) {
		return Stale
	}
	r.deregistered = true
	return Applied
}

func (r *Registration) sameIncarnation(h Heartbeat) bool {
	return h.ID == r.current.ID && h.StartedAt == r.current.StartedAt
}

func (r *Registration) apply(now clock.Millis, h Heartbeat) {
	r.current, r.known, r.deregistered, r.lastHeartbeat = h, true, false, now
}

// Current returns the newest heartbeat of the upstream, or false before the first one.
func (r *Registration) Current() (Heartbeat, bool) { return r.current, r.known }

// Accepting reports whether the upstream may get new flows: it has registered, with two
// heartbeats if RequireTwo was called, and has neither deregistered nor reported that it
// drains.
func (r *Registration) Accepting() bool {
	restoredDrain := r.drainingStartedAt > 0 && r.current.StartedAt <= r.drainingStartedAt
	return r.known && !r.deregistered && !r.current.Draining && !restoredDrain && !r.AwaitsSecond()
}

// AwaitsSecond reports whether the upstream gets no new flows until its next heartbeat,
// because RequireTwo was called.
func (r *Registration) AwaitsSecond() bool { return r.requiresTwo && !r.confirmed }

// Deregistered reports whether the current incarnation has deregistered.
func (r *Registration) Deregistered() bool { return r.deregistered }

// Warmup returns how much longer the upstream is slow after its start.
func (r *Registration) Warmup(now clock.Millis) clock.Millis {
	return max(r.current.Warmup-(now-r.lastHeartbeat), 0)
}

// HeartbeatAge returns the time since the last applied heartbeat.
func (r *Registration) HeartbeatAge(now clock.Millis) clock.Millis { return now - r.lastHeartbeat }
