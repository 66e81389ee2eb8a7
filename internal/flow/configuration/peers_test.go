package configuration_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/configuration"
)

// applyLimit is the time within which the users want a version in effect everywhere.
const applyLimit = 4 * clock.Second

// digestInterval is how often a balancer asks for the next fetch.
const digestInterval clock.Millis = 500

func peerAddress(index int) netip.Addr { return netip.AddrFrom4([4]byte{10, 1, 0, byte(index + 1)}) }

// simulation plays a balancer that the store turns away. Its peers have each version as
// soon as it exists.
type simulation struct {
	peers *configuration.Peers
	now   clock.Millis
	// confirmedAt holds the time of each version.
	confirmedAt map[uint64]clock.Millis
	newest      uint64
	current     uint64
	worst       clock.Millis
	fetches     int
	// deliver returns the version that a peer sends, or 0 if the fetch fails.
	deliver func(peer netip.Addr) uint64
}

func newSimulation() *simulation {
	s := &simulation{peers: configuration.NewPeers(), confirmedAt: map[uint64]clock.Millis{}, newest: 1, current: 1}
	s.peers.Applied(0, 1, false)
	s.deliver = func(netip.Addr) uint64 { return s.newest }
	return s
}

// confirm lets all peers report a further version.
func (s *simulation) confirm(peers int) {
	s.newest++
	s.confirmedAt[s.newest] = s.now
	for i := range peers {
		s.peers.Report(s.now, peerAddress(i), s.newest)
	}
}

// advance moves the time to the next digest and carries out the fetch that is due.
func (s *simulation) advance(step clock.Millis) {
	s.now += step
	if s.now%digestInterval != 0 {
		return
	}
	fetch, due := s.peers.Next(s.now)
	if !due {
		return
	}
	s.fetches++
	if version := s.deliver(fetch.Peer); version > s.current {
		for v := s.current + 1; v <= version; v++ {
			s.worst = max(s.worst, s.now-s.confirmedAt[v])
		}
		s.current = version
		s.peers.Applied(s.now, version, true)
	}
	s.peers.Ended(s.now, fetch)
}

// Guards against a balancer that never fetches while versions follow each other faster
// than the delay of a fetch.
func TestStormDoesNotDeferFetch(t *testing.T) {
	for _, gap := range []clock.Millis{20, 100, 200, 250, 330, 1000} {
		c := qt.New(t)
		s := newSimulation()
		for s.now < 20*clock.Second {
			if s.now%gap == 0 && s.now < 15*clock.Second {
				s.confirm(20)
			}
			s.advance(10)
		}
		c.Assert(s.current, qt.Equals, s.newest)
		c.Assert(s.worst <= applyLimit, qt.IsTrue, qt.Commentf("gap %d ms: a version took %d ms", gap, s.worst))
	}
}

// Guards against a balancer that asks one peer again and again although it does not
// deliver what it has reported, because it was cut off or has started anew.
func TestFailingPeerIsReplaced(t *testing.T) {
	for name, delivered := range map[string]uint64{"no response": 0, "older version": 1} {
		c := qt.New(t)
		s := newSimulation()
		s.deliver = func(peer netip.Addr) uint64 {
			if peer == peerAddress(0) || peer == peerAddress(1) {
				return delivered
			}
			return s.newest
		}
		s.confirm(20)
		for s.now < applyLimit {
			s.advance(10)
		}
		c.Assert(s.current, qt.Equals, s.newest, qt.Commentf(name))
		c.Assert(s.fetches, qt.Equals, 3)
	}
}

// Guards against fetches although the store delivers in time or nothing newer exists, and
// against waiting at the start.
func TestFetchOnlyWhenBehind(t *testing.T) {
	c := qt.New(t)
	p := configuration.NewPeers()
	p.Report(0, peerAddress(0), 7)
	fetch, due := p.Next(0)
	c.Assert(due, qt.IsTrue)
	c.Assert(fetch, qt.Equals, configuration.Fetch{Peer: peerAddress(0), Version: 7})
	p.Applied(10, 7, true)
	p.Report(20, peerAddress(1), 7)
	p.Report(30, peerAddress(2), 8)
	_, due = p.Next(100)
	c.Assert(due, qt.IsFalse)
	p.Applied(110, 8, false)
	p.Report(120, peerAddress(2), 6)
	_, due = p.Next(10 * clock.Second)
	c.Assert(due, qt.IsFalse)
}

// Guards against a process that starts with the older version of a restored store and serves
// it, although its peers have told it of a newer one.
func TestOlderFirstVersionIsReplacedAtOnce(t *testing.T) {
	c := qt.New(t)
	p := configuration.NewPeers()
	p.Applied(0, 9, false)
	p.Report(10, peerAddress(0), 12)
	fetch, due := p.Next(10)
	c.Assert(due, qt.IsTrue)
	c.Assert(fetch, qt.Equals, configuration.Fetch{Peer: peerAddress(0), Version: 12})
	p.Applied(15, 12, true)
	p.Ended(15, fetch)
	p.Report(20, peerAddress(0), 13)
	_, due = p.Next(20)
	c.Assert(due, qt.IsFalse)
}

// Guards against a fetch from a peer that has started anew with an older version.
func TestOlderReportReplacesNewer(t *testing.T) {
	c := qt.New(t)
	p := configuration.NewPeers()
	p.Applied(0, 3, false)
	p.Report(0, peerAddress(0), 9)
	p.Report(10, peerAddress(1), 8)
	p.Report(20, peerAddress(0), 2)
	fetch, due := p.Next(clock.Second)
	c.Assert(due, qt.IsTrue)
	c.Assert(fetch, qt.Equals, configuration.Fetch{Peer: peerAddress(1), Version: 8})
}

// Guards against a watch that waits on a silent connection while peers deliver versions,
// and against ending watches of a store that responds or has no time to.
func TestSilentStoreIsOverdue(t *testing.T) {
	c := qt.New(t)
	p := configuration.NewPeers()
	p.Applied(0, 1, false)
	p.StoreResponded(0)
	c.Assert(p.StoreOverdue(20*clock.Second), qt.IsFalse)
	p.Applied(20*clock.Second, 2, true)
	p.StoreResponded(21 * clock.Second)
	c.Assert(p.StoreOverdue(30*clock.Second), qt.IsFalse)
	p.Applied(30*clock.Second, 3, true)
	c.Assert(p.StoreOverdue(31*clock.Second), qt.IsFalse)
	p.Applied(31*clock.Second, 4, true)
	c.Assert(p.StoreOverdue(30*clock.Second+applyLimit), qt.IsTrue)
}

// Guards against a balancer that counts as behind for good because of a peer that has ended
// with a version which a restore of the store has lost.
func TestBehindAny(t *testing.T) {
	c := qt.New(t)
	p := configuration.NewPeers()
	p.Applied(0, 1, false)
	p.Report(0, peerAddress(0), 2)
	p.Report(0, peerAddress(1), 1)
	c.Assert(p.BehindAny([]netip.Addr{peerAddress(1), peerAddress(0)}), qt.IsTrue)
	c.Assert(p.BehindAny([]netip.Addr{peerAddress(1)}), qt.IsFalse)
	p.Applied(0, 2, true)
	c.Assert(p.BehindAny([]netip.Addr{peerAddress(0)}), qt.IsFalse)
}
