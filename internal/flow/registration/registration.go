// Package registration decides which incarnation of an upstream a sidecar serves,
// from heartbeats that may be late, repeated or from another process. It is pure.
package registration

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// silence is how long the current incarnation may be silent before another one
// with an older start replaces it. Start times come from clocks that may have been
// set back, so they decide only while both are heard.
const silence = 4 * clock.Second

// Heartbeat is what an upstream says of itself.
type Heartbeat struct {
	ID      string
	Service string
	Address netip.AddrPort
	// StartedAt is the Unix time of the upstream's start in milliseconds; 0 if it was
	// not given.
	StartedAt int64
	// Sequence rises with each heartbeat of an incarnation.
	Sequence uint64
	Draining bool
	Slots    int
	// Warmup is how much longer the upstream is slow after its start.
	Warmup clock.Millis
}

// Result tells what was done with a heartbeat.
type Result int

// Results.
const (
	// Applied means that the heartbeat is in effect.
	Applied Result = iota
	// Stale means that a newer heartbeat or incarnation is known.
	Stale
	// Foreign means that the heartbeat is for another address or service.
	Foreign
)

var verdictNames = [...]string{"applied", "stale", "foreign"}

// String returns the name of the verdict in logs.
func (v Result) String() string { return verdictNames[v] }

// Config configures a Registration.
type Config struct {
	// Address is where the upstream of this sidecar listens.
	Address netip.AddrPort
	// Service is the service that the upstream must belong to. Empty allows any.
	Service string
}

// Registration is the upstream that a sidecar serves. It is not safe for
// concurrent use.
type Registration struct {
	config  Config
	current Heartbeat
	known   bool
	left    bool
	heard   clock.Millis
	// drained is the start of the newest incarnation that is known to drain.
	drained int64
}

// New returns a Registration without an upstream.
func New(config Config) *Registration {
	return &Registration{config: config}
}

// Configure sets the address and service that heartbeats must have.
func (r *Registration) Configure(config Config) { r.config = config }

// RestoreDrain records that the incarnation with the given start has reported that it
// drains, to an earlier run of this process. It and older ones get no new flows.
func (r *Registration) RestoreDrain(born int64) { r.drained = max(r.drained, born) }

// Heartbeat applies a heartbeat.
func (r *Registration) Heartbeat(now clock.Millis, h Heartbeat) Result {
	if h.Address != r.config.Address || (r.config.Service != "" && h.Service != r.config.Service) {
		return Foreign
	}
	if r.known && r.same(h) {
		if h.Sequence <= r.current.Sequence || r.left {
			return Stale
		}
		r.apply(now, h)
		return Applied
	}
	if r.known && h.StartedAt < r.current.StartedAt && now-r.heard < silence {
		return Stale
	}
	r.apply(now, h)
	return Applied
}

// Deregister records that an incarnation has ended.
func (r *Registration) Deregister(id string, born int64) Result {
	if !r.known || r.current.ID != id || (born != 0 && born != r.current.StartedAt) {
		return Stale
	}
	r.left = true
	return Applied
}

func (r *Registration) same(h Heartbeat) bool {
	return h.ID == r.current.ID && h.StartedAt == r.current.StartedAt
}

func (r *Registration) apply(now clock.Millis, h Heartbeat) {
	r.current, r.known, r.left, r.heard = h, true, false, now
}

// Current returns the newest heartbeat of the upstream. It returns false before
// the first one.
func (r *Registration) Current() (Heartbeat, bool) { return r.current, r.known }

// Accepting reports whether the upstream takes new flows.
func (r *Registration) Accepting() bool {
	drained := r.drained > 0 && r.current.StartedAt <= r.drained
	return r.known && !r.left && !r.current.Draining && !drained
}

// Deregistered reports whether the upstream has deregistered.
func (r *Registration) Deregistered() bool { return r.left }

// Warmup returns how much longer the upstream is slow.
func (r *Registration) Warmup(now clock.Millis) clock.Millis {
	return max(r.current.Warmup-(now-r.heard), 0)
}

// HeartbeatAge returns the time since the last heartbeat.
func (r *Registration) HeartbeatAge(now clock.Millis) clock.Millis { return now - r.heard }
