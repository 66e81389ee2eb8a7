package routing

import (
	"sync/atomic"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// A running sidecar responds to a probe within milliseconds. If three probes in a row
// get no response, the path is probably broken.
const (
	// linkProbeDelay is how long a link may be silent before it is probed.
	linkProbeDelay = clock.Second
	// linkProbeInterval is the minimum time between two probes of a link.
	linkProbeInterval = 500 * clock.Millis(1)
	// linkTimeout is how long a link may be silent before its socket is replaced.
	linkTimeout = 3 * clock.Second
)

// LinkAction is what Link.Sent requests from the sender or reports to it.
type LinkAction uint8

// Actions that Link.Sent returns.
const (
	LinkNone LinkAction = iota
	// LinkProbe means that the sender must send a probe. The sidecar responds to it
	// immediately.
	LinkProbe
	// LinkSocketReplaced means that the link was silent for too long. Later datagrams
	// use another socket, in case a device on the path has lost its state for the old
	// one. The sender need not do anything.
	LinkSocketReplaced
)

// Link is the state of the path from one balancer to one sidecar. It is safe for
// concurrent use. A race between two senders causes at most one additional probe.
type Link struct {
	// unansweredSince is the time of the first datagram sent after the last one
	// received, plus 1 ms. After the socket was replaced, it is the time of the
	// replacement, plus 1 ms. It is 0 if no response is outstanding.
	unansweredSince atomic.Int64
	lastProbe       atomic.Int64
	socket          atomic.Uint32
}

// Socket returns a number that selects the socket. It increases by 1 each time the
// socket is replaced because the link is silent.
func (l *Link) Socket() uint32 { return l.socket.Load() }

// Received records that a datagram from the sidecar arrived.
func (l *Link) Received() {
	if l.unansweredSince.Load() != 0 {
		l.unansweredSince.Store(0)
	}
}

// Sent records that a datagram was sent to the sidecar, and returns the resulting
// action.
func (l *Link) Sent(now clock.Millis) LinkAction {
	since := l.unansweredSince.Load()
	if since == 0 {
		l.unansweredSince.Store(int64(now) + 1)
		return LinkNone
	}
	silence := now - clock.Millis(since-1)
	if silence < linkProbeDelay {
		return LinkNone
	}
	if silence >= linkTimeout {
		if l.unansweredSince.CompareAndSwap(since, int64(now)+1) {
			l.socket.Add(1)
			return LinkSocketReplaced
		}
		return LinkNone
	}
	previous := l.lastProbe.Load()
	if now-clock.Millis(previous) >= linkProbeInterval && l.lastProbe.CompareAndSwap(previous, int64(now)) {
		return LinkProbe
	}
	return LinkNone
}
