package peerset_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/peerset"
)

var (
	self = netip.MustParseAddr("10.1.0.1")
	a    = netip.MustParseAddr("10.1.0.2")
	b    = netip.MustParseAddr("10.1.0.3")
)

// equalsAddresses compares lists of addresses, whose type has unexported fields.
var equalsAddresses = qt.CmpEquals(cmpopts.EquateComparable(netip.Addr{}))

// Guards against a host that counts as live because other sources still list it, and
// against one that never expires.
func TestListedHostsExpire(t *testing.T) {
	c := qt.New(t)
	s := peerset.New(self)
	c.Assert(s.MarkListed(0, []netip.Addr{self, a, b}), equalsAddresses, []netip.Addr{a, b})
	c.Assert(s.MarkListed(0, []netip.Addr{a}), qt.HasLen, 0)
	c.Assert(s.Live(0), qt.HasLen, 0)
	c.Assert(s.Awaited(0), equalsAddresses, []netip.Addr{a, b})
	c.Assert(s.MarkSeen(10, a, 0), qt.IsTrue)
	c.Assert(s.MarkSeen(20, a, 0), qt.IsFalse)
	c.Assert(s.Live(20), equalsAddresses, []netip.Addr{a})
	c.Assert(s.Silent(20), equalsAddresses, []netip.Addr{b})
	c.Assert(s.Awaited(20), equalsAddresses, []netip.Addr{b})
	c.Assert(s.Live(10*clock.Second), qt.HasLen, 0)
	s.Expire(16 * clock.Second)
	c.Assert(s.Silent(16*clock.Second), qt.HasLen, 0)
}

// Guards against waiting for a host that has announced that it leaves, also if the
// directory still lists it, and against a host that cannot come back.
func TestDepartedHost(t *testing.T) {
	c := qt.New(t)
	s := peerset.New(self)
	s.MarkSeen(0, a, 0)
	s.MarkDeparted(0, a)
	s.MarkDeparted(0, b)
	s.MarkListed(0, []netip.Addr{a, b})
	c.Assert(s.Live(0), qt.HasLen, 0)
	c.Assert(s.Silent(0), qt.HasLen, 0)
	c.Assert(s.Awaited(0), qt.HasLen, 0)
	c.Assert(s.MarkSeen(10, a, 0), qt.IsTrue)
	c.Assert(s.Live(10), equalsAddresses, []netip.Addr{a})
	s.Expire(20 * clock.Second)
	c.Assert(s.MarkListed(20*clock.Second, []netip.Addr{b}), equalsAddresses, []netip.Addr{b})
}

// Guards against waiting for a host that failed before it was listed. Its entry stays in the
// directory until its lease ends.
func TestUnresponsiveHostIsNotAwaited(t *testing.T) {
	c := qt.New(t)
	s := peerset.New(self)
	s.MarkListed(0, []netip.Addr{a})
	c.Assert(s.Awaited(2*clock.Second), qt.HasLen, 1)
	s.MarkListed(2*clock.Second, []netip.Addr{a})
	c.Assert(s.Awaited(3*clock.Second), qt.HasLen, 0)
	c.Assert(s.Silent(3*clock.Second), qt.HasLen, 1)
}

// Guards against expiring a host between two of its messages. In a large system each
// host sends messages rarely.
func TestHostWithLongIntervalStaysLive(t *testing.T) {
	c := qt.New(t)
	s := peerset.New(self)
	s.MarkSeen(0, a, 20*clock.Second)
	c.Assert(s.Live(80*clock.Second), equalsAddresses, []netip.Addr{a})
	s.Expire(80 * clock.Second)
	c.Assert(s.MarkSeen(80*clock.Second, a, clock.Second), qt.IsFalse)
	c.Assert(s.Live(84*clock.Second+1), qt.HasLen, 0)
}

// Guards against hosts that are never selected, and against messages to all hosts at once,
// whose number grows with the number of hosts.
func TestRotation(t *testing.T) {
	c := qt.New(t)
	var r peerset.Rotation
	hosts := []netip.Addr{self, a, b}
	c.Assert(r.Next(hosts, 5), equalsAddresses, hosts)
	c.Assert(r.Next(hosts, 2), equalsAddresses, []netip.Addr{self, a})
	c.Assert(r.Next(hosts, 2), equalsAddresses, []netip.Addr{b, self})
	c.Assert(r.Next([]netip.Addr{self, b}, 1), equalsAddresses, []netip.Addr{b})
	c.Assert(r.Next(nil, 1), qt.HasLen, 0)
	c.Assert(peerset.Rounds(5, 2), qt.Equals, 3)
	c.Assert(peerset.Rounds(0, 2), qt.Equals, 1)
}
