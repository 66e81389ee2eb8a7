package membership

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
)

const (
	// WatcherCount is the number of balancers that watch each member.
	WatcherCount = 2
	// CandidateCount is the number of balancers that a member knows as possible
	// watchers. With 8 of them it still finds one after the loss of a rack.
	CandidateCount = 8

	minBackoff = clock.Second
	maxBackoff = 10 * clock.Second
	// seedsInterval is the shortest time between two requests for seeds.
	seedsInterval = 5 * clock.Second
)

// backoff delays new connections to addresses that failed.
type backoff struct {
	failures map[netip.AddrPort]failure
}

// failure describes the last failed connection to an address.
type failure struct {
	retryAt clock.Millis
	delay   clock.Millis
}

func newBackoff() *backoff {
	return &backoff{failures: map[netip.AddrPort]failure{}}
}

// failed records a failure and starts a delay for address, twice as long as the
// previous one, from minBackoff to maxBackoff, plus jitter. jitterHash varies
// the delay, so that members that lost the same balancer do not all reconnect at
// the same time.
func (b *backoff) failed(now clock.Millis, address netip.AddrPort, jitterHash uint64) {
	delay := min(max(2*b.failures[address].delay, minBackoff), maxBackoff)
	jitter := clock.Millis(jitterHash % uint64(delay/2))
	b.failures[address] = failure{retryAt: now + delay + jitter, delay: delay}
}

func (b *backoff) reset(address netip.AddrPort) { delete(b.failures, address) }

func (b *backoff) ready(now clock.Millis, address netip.AddrPort) bool {
	return now >= b.failures[address].retryAt
}

// expire removes entries whose delay ended long ago, such as those of replaced
// hosts.
func (b *backoff) expire(now clock.Millis) {
	maps.DeleteFunc(b.failures, func(_ netip.AddrPort, f failure) bool {
		return now > f.retryAt+10*maxBackoff
	})
}

// announcer maintains the streams from one member to its watchers.
type announcer struct {
	streams     map[StreamID]*announceStream
	backoff     *backoff
	newStreamID func() StreamID
}

type announceStream struct {
	address  netip.AddrPort
	lastSeen clock.Millis
	// responded is set when the first response arrives.
	responded     bool
	nextHeartbeat clock.Millis
	// heldVersion is the version of the member's own record that the watcher
	// holds.
	heldVersion uint64
}

func newAnnouncer(newStreamID func() StreamID) *announcer {
	return &announcer{streams: map[StreamID]*announceStream{}, backoff: newBackoff(), newStreamID: newStreamID}
}

// tick maintains streams to the first WatcherCount addresses that are not in
// backoff, and sends the heartbeats that are due.
func (a *announcer) tick(now clock.Millis, self Record, addresses []netip.AddrPort, out *Actions) {
	for _, id := range slices.Sorted(maps.Keys(a.streams)) {
		if now >= a.streams[id].lastSeen+SilenceTimeout {
			out.Close = append(out.Close, id)
			a.streamFailed(now, id, self)
		}
	}
	targets := make([]netip.AddrPort, 0, WatcherCount)
	for _, address := range addresses {
		if len(targets) < WatcherCount && !slices.Contains(targets, address) && a.backoff.ready(now, address) {
			targets = append(targets, address)
		}
	}
	a.connect(now, targets, out)
	a.release(targets, out)
	a.sendHeartbeats(now, self, out)
}

func (a *announcer) connect(now clock.Millis, targets []netip.AddrPort, out *Actions) {
	for _, address := range targets {
		if a.streamTo(address) != nil {
			continue
		}
		id := a.newStreamID()
		a.streams[id] = &announceStream{address: address, lastSeen: now, nextHeartbeat: now}
		out.OpenAnnounce = append(out.OpenAnnounce, Open{Stream: id, Address: address})
	}
}

// release ends all other streams once every target has responded, so that a
// member that changes its watchers always has one.
func (a *announcer) release(targets []netip.AddrPort, out *Actions) {
	for _, address := range targets {
		if s := a.streamTo(address); s == nil || !s.responded {
			return
		}
	}
	if len(targets) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(a.streams)) {
		if !slices.Contains(targets, a.streams[id].address) {
			out.Release = append(out.Release, id)
			delete(a.streams, id)
		}
	}
}

func (a *announcer) streamTo(address netip.AddrPort) *announceStream {
	for _, s := range a.streams {
		if s.address == address {
			return s
		}
	}
	return nil
}

func (a *announcer) sendHeartbeats(now clock.Millis, self Record, out *Actions) {
	for _, id := range slices.Sorted(maps.Keys(a.streams)) {
		s := a.streams[id]
		if now < s.nextHeartbeat {
			continue
		}
		s.nextHeartbeat = max(s.nextHeartbeat+HeartbeatInterval, now+HeartbeatInterval/2)
		message := &controlpb.AnnounceRequest{Member: &controlpb.Member{
			Id: uint64(self.ID()), Version: self.Version(),
		}}
		if s.heldVersion < self.Version() {
			message.Member = self.Member()
		}
		out.Announce = append(out.Announce, AnnounceSend{Stream: id, Message: message})
	}
}

// heartbeatNow makes a heartbeat due on every stream, because the member's own
// record changed.
func (a *announcer) heartbeatNow(now clock.Millis) {
	for _, s := range a.streams {
		s.nextHeartbeat = now
	}
}

// receive records a response on a stream. version is the version of the
// member's own record that the watcher holds, or 0 if the watcher needs the
// full record. receive returns false if the stream is unknown.
func (a *announcer) receive(now clock.Millis, id StreamID, version uint64) bool {
	s, ok := a.streams[id]
	if !ok {
		return false
	}
	s.lastSeen = now
	s.responded = true
	if version < s.heldVersion {
		// The watcher lost the record, so the next heartbeat must contain it.
		s.nextHeartbeat = now
	}
	s.heldVersion = version
	a.backoff.reset(s.address)
	return true
}

// streamFailed removes a failed stream and starts the backoff of its address.
func (a *announcer) streamFailed(now clock.Millis, id StreamID, self Record) {
	if s, ok := a.streams[id]; ok {
		a.backoff.failed(now, s.address, score(uint64(self.ID()), identity.OwnerID(id)))
		delete(a.streams, id)
	}
}

// restartTimeouts restarts the silence timeout of every stream after a pause of
// this process.
func (a *announcer) restartTimeouts(now clock.Millis) {
	for _, s := range a.streams {
		s.lastSeen = now
	}
}

func (a *announcer) connected() bool {
	for _, s := range a.streams {
		if s.responded {
			return true
		}
	}
	return false
}
