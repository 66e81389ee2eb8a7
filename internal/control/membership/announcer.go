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
	// CandidateCount is the number of balancers that a member knows for its
	// next watchers. With 8 it finds one after a rack is lost.
	CandidateCount = 8

	minBackoff = clock.Second
	maxBackoff = 10 * clock.Second
	// seedsInterval is the shortest time between two requests for seeds.
	seedsInterval = 5 * clock.Second
)

// backoff keeps addresses that failed from being tried again at once.
type backoff struct {
	failures map[netip.AddrPort]failure
}

type failure struct {
	until clock.Millis
	delay clock.Millis
}

func newBackoff() *backoff {
	return &backoff{failures: map[netip.AddrPort]failure{}}
}

// failed starts a delay for address, twice as long as the previous one. spread
// varies it, so that members that lost the same balancer return at different
// times.
func (b *backoff) failed(now clock.Millis, address netip.AddrPort, spread uint64) {
	delay := min(max(2*b.failures[address].delay, minBackoff), maxBackoff)
	jitter := clock.Millis(spread % uint64(delay/2))
	b.failures[address] = failure{until: now + delay + jitter, delay: delay}
}

func (b *backoff) succeeded(address netip.AddrPort) { delete(b.failures, address) }

func (b *backoff) ready(now clock.Millis, address netip.AddrPort) bool {
	return now >= b.failures[address].until
}

// forget drops entries that ended long ago, such as those of replaced hosts.
func (b *backoff) forget(now clock.Millis) {
	maps.DeleteFunc(b.failures, func(_ netip.AddrPort, f failure) bool {
		return now > f.until+10*maxBackoff
	})
}

// announcer keeps streams to the watchers of one member.
type announcer struct {
	streams map[StreamID]*announceStream
	backoff *backoff
	next    func() StreamID
}

type announceStream struct {
	address netip.AddrPort
	heard   clock.Millis
	// answered is set with the first answer.
	answered bool
	beat     clock.Millis
	// held is the version of the own record that the watcher holds.
	held uint64
}

func newAnnouncer(next func() StreamID) *announcer {
	return &announcer{streams: map[StreamID]*announceStream{}, backoff: newBackoff(), next: next}
}

// tick keeps streams to the first WatcherCount addresses that are not delayed,
// and sends the heartbeats that are due.
func (a *announcer) tick(now clock.Millis, self Record, addresses []netip.AddrPort, out *Actions) {
	for _, id := range slices.Sorted(maps.Keys(a.streams)) {
		if now >= a.streams[id].heard+SilenceTimeout {
			out.Close = append(out.Close, id)
			a.closed(now, id, self)
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
	a.beats(now, self, out)
}

func (a *announcer) connect(now clock.Millis, targets []netip.AddrPort, out *Actions) {
	for _, address := range targets {
		if a.to(address) != nil {
			continue
		}
		id := a.next()
		a.streams[id] = &announceStream{address: address, heard: now, beat: now}
		out.OpenAnnounce = append(out.OpenAnnounce, Open{Stream: id, Address: address})
	}
}

// release closes other streams once every target answers, so that a member
// that changes its watchers is never without one.
func (a *announcer) release(targets []netip.AddrPort, out *Actions) {
	for _, address := range targets {
		if s := a.to(address); s == nil || !s.answered {
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

func (a *announcer) to(address netip.AddrPort) *announceStream {
	for _, s := range a.streams {
		if s.address == address {
			return s
		}
	}
	return nil
}

func (a *announcer) beats(now clock.Millis, self Record, out *Actions) {
	for _, id := range slices.Sorted(maps.Keys(a.streams)) {
		s := a.streams[id]
		if now < s.beat {
			continue
		}
		s.beat = max(s.beat+HeartbeatInterval, now+HeartbeatInterval/2)
		message := &controlpb.AnnounceRequest{Member: &controlpb.Member{
			Id: uint64(self.ID()), Version: self.Version(),
		}}
		if s.held < self.Version() {
			message.Member = self.Member()
		}
		out.Announce = append(out.Announce, AnnounceSend{Stream: id, Message: message})
	}
}

// hurry makes every heartbeat due, after the own record changed.
func (a *announcer) hurry(now clock.Millis) {
	for _, s := range a.streams {
		s.beat = now
	}
}

// heard notes an answer on a stream; it returns false for an unknown one.
func (a *announcer) heard(now clock.Millis, id StreamID, version uint64) bool {
	s, ok := a.streams[id]
	if !ok {
		return false
	}
	s.heard = now
	s.answered = true
	if version < s.held {
		// The watcher lost the record, so the next heartbeat must carry it.
		s.beat = now
	}
	s.held = version
	a.backoff.succeeded(s.address)
	return true
}

// closed forgets a stream that failed.
func (a *announcer) closed(now clock.Millis, id StreamID, self Record) {
	if s, ok := a.streams[id]; ok {
		a.backoff.failed(now, s.address, score(uint64(self.ID()), identity.OwnerID(id)))
		delete(a.streams, id)
	}
}

func (a *announcer) postpone(now clock.Millis) {
	for _, s := range a.streams {
		s.heard = now
	}
}

func (a *announcer) connected() bool {
	for _, s := range a.streams {
		if s.answered {
			return true
		}
	}
	return false
}
