package roster_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/roster"
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
	r := roster.New(self)
	c.Assert(r.Learned(0, []netip.Addr{self, a, b}), equals, []netip.Addr{a, b})
	c.Assert(r.Learned(0, []netip.Addr{a}), qt.HasLen, 0)
	c.Assert(r.Live(0), qt.HasLen, 0)
	c.Assert(r.Unheard(0), equals, []netip.Addr{a, b})
	c.Assert(r.Heard(10, a), qt.IsTrue)
	c.Assert(r.Heard(20, a), qt.IsFalse)
	c.Assert(r.Live(20), equals, []netip.Addr{a})
	c.Assert(r.Silent(20), equals, []netip.Addr{b})
	c.Assert(r.Unheard(20), equals, []netip.Addr{b})
	c.Assert(r.Live(10*clock.Second), qt.HasLen, 0)
	r.Expire(16 * clock.Second)
	c.Assert(r.Silent(16*clock.Second), qt.HasLen, 0)
}

// Guards against a host that has said that it leaves and is awaited all the same.
func TestRemove(t *testing.T) {
	c := qt.New(t)
	r := roster.New(self)
	r.Heard(0, a)
	r.Remove(a)
	c.Assert(r.Live(0), qt.HasLen, 0)
	c.Assert(r.Silent(0), qt.HasLen, 0)
}
