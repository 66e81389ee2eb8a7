package routing

import (
	"sync/atomic"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// Times after which a link that gets no answer is examined and given up. A
// sidecar that lives answers a probe within milliseconds, so three lost probes
// in a row are improbable.
const (
	linkProbeAfter    = clock.Second
	linkProbeInterval = 500 * clock.Millis(1)
	linkSilentAfter   = 3 * clock.Second
)

// LinkAction tells what to do after a datagram was sent over a link.
type LinkAction uint8

// Actions after a datagram was sent.
const (
	LinkNone LinkAction = iota
	// LinkProbe asks for a probe, which the sidecar answers at once.
	LinkProbe
	// LinkReplaced means that the link was silent: later datagrams use another
	// socket, in case something on the way has lost track of the old one.
	LinkReplaced
)

// Link is the state of the path from one balancer to one sidecar. It is safe for
// concurrent use; a race between two senders costs at most one more probe.
type Link struct {
	// waitingSince is the time of the first datagram that was sent after the
	// last one heard, plus one; 0 if nothing is awaited.
	waitingSince atomic.Int64
	probed       atomic.Int64
	socket       atomic.Uint32
}

// Socket returns a number that selects the socket. It changes when the link was
// silent.
func (l *Link) Socket() uint32 { return l.socket.Load() }

// Received records that a datagram of the sidecar arrived.
func (l *Link) Received() {
	if l.waitingSince.Load() != 0 {
		l.waitingSince.Store(0)
	}
}

// Sent records that a datagram was sent to the sidecar.
func (l *Link) Sent(now clock.Millis) LinkAction {
	since := l.waitingSince.Load()
	if since == 0 {
		l.waitingSince.Store(int64(now) + 1)
		return LinkNone
	}
	waited := now - clock.Millis(since-1)
	if waited < linkProbeAfter {
		return LinkNone
	}
	if waited >= linkSilentAfter {
		if l.waitingSince.CompareAndSwap(since, int64(now)+1) {
			l.socket.Add(1)
			return LinkReplaced
		}
		return LinkNone
	}
	probed := l.probed.Load()
	if now-clock.Millis(probed) >= linkProbeInterval && l.probed.CompareAndSwap(probed, int64(now)) {
		return LinkProbe
	}
	return LinkNone
}
