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

// equals compares addresses.
var equals = qt.CmpEquals(cmpopts.EquateComparable(netip.Addr{}))

// Guards against a host that counts as live because others still name it, and against
// one that is tried for ever.
func TestNamedHostsExpire(t *testing.T) {
	c := qt.New(t)
	r := peerset.New(self)
	c.Assert(r.MarkListed(0, []netip.Addr{self, a, b}), equals, []netip.Addr{a, b})
	c.Assert(r.MarkListed(0, []netip.Addr{a}), qt.HasLen, 0)
	c.Assert(r.Live(0), qt.HasLen, 0)
	c.Assert(r.NeverSeen(0), equals, []netip.Addr{a, b})
	c.Assert(r.MarkSeen(10, a, 0), qt.IsTrue)
	c.Assert(r.MarkSeen(20, a, 0), qt.IsFalse)
	c.Assert(r.Live(20), equals, []netip.Addr{a})
	c.Assert(r.Silent(20), equals, []netip.Addr{b})
	c.Assert(r.NeverSeen(20), equals, []netip.Addr{b})
	c.Assert(r.Live(10*clock.Second), qt.HasLen, 0)
	r.Expire(16 * clock.Second)
	c.Assert(r.Silent(16*clock.Second), qt.HasLen, 0)
}

// Guards against a host that has said that it leaves and is awaited all the same.
func TestRemove(t *testing.T) {
	c := qt.New(t)
	r := peerset.New(self)
	r.MarkSeen(0, a, 0)
	r.Remove(a)
	c.Assert(r.Live(0), qt.HasLen, 0)
	c.Assert(r.Silent(0), qt.HasLen, 0)
}

// Guards against a host that is given up between two of its messages, because it sends
// few in a large system.
func TestLongIntervals(t *testing.T) {
	c := qt.New(t)
	r := peerset.New(self)
	r.MarkSeen(0, a, 20*clock.Second)
	c.Assert(r.Live(80*clock.Second), equals, []netip.Addr{a})
	r.Expire(80 * clock.Second)
	c.Assert(r.MarkSeen(80*clock.Second, a, clock.Second), qt.IsFalse)
	c.Assert(r.Live(84*clock.Second+1), qt.HasLen, 0)
}

// Guards against hosts that never get their turn, and against more messages in a large
// system.
func TestRotation(t *testing.T) {
	c := qt.New(t)
	var r peerset.Rotation
	hosts := []netip.Addr{self, a, b}
	c.Assert(r.Next(hosts, 5), equals, hosts)
	c.Assert(r.Next(hosts, 2), equals, []netip.Addr{self, a})
	c.Assert(r.Next(hosts, 2), equals, []netip.Addr{b, self})
	c.Assert(r.Next([]netip.Addr{self, b}, 1), equals, []netip.Addr{b})
	c.Assert(r.Next(nil, 1), qt.HasLen, 0)
	c.Assert(peerset.Rounds(5, 2), qt.Equals, 3)
	c.Assert(peerset.Rounds(0, 2), qt.Equals, 1)
}
