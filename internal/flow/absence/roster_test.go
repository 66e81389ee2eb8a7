package absence_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/absence"
)

var (
	equalsHosts = qt.CmpEquals(cmpopts.EquateComparable(netip.Addr{}))
	front       = netip.MustParseAddr("10.1.0.1")
	otherFront  = netip.MustParseAddr("10.1.0.2")
	allCurrent  = func(netip.Addr) bool { return true }
	noneCurrent = func(netip.Addr) bool { return false }
)

// Guards against siblings that are forgotten when all balancers are replaced by others, which
// do not know them.
func TestRosterOutlivesBalancers(t *testing.T) {
	c := qt.New(t)
	r := absence.NewRoster()
	siblings := []netip.Addr{x.Addr(), y.Addr()}
	r.Replace(0, front, siblings, allCurrent)
	replaced := func(balancer netip.Addr) bool { return balancer == otherFront }
	for now := clock.Second; now < 30*clock.Second; now += 200 {
		for _, host := range r.Probes(now, replaced) {
			r.Heard(now+1, host)
		}
		r.Replace(now, otherFront, siblings[:1], replaced)
	}
	c.Assert(r.Hosts(), equalsHosts, siblings)
}

// Guards against a reset by a balancer that replaces others, because a sidecar passes on what
// balancers that have started at the same time have found so far. The sidecar has started
// after the earlier balancers had ended, or could not find them.
func TestRosterOfNewBalancersIsIncomplete(t *testing.T) {
	c := qt.New(t)
	r := absence.NewRoster()
	siblings := []netip.Addr{x.Addr()}
	for now := clock.Millis(0); now < 10*clock.Second; now += 200 {
		r.Replace(now, front, siblings, allCurrent)
		r.Probes(now, allCurrent)
	}
	replaced := func(balancer netip.Addr) bool { return balancer == otherFront }
	for now := 10 * clock.Second; now < 25*clock.Second; now += 200 {
		r.Probes(now, replaced)
		r.Replace(now, otherFront, siblings, replaced)
		c.Assert(r.Complete(), qt.IsFalse)
	}
	r.Probes(25*clock.Second, replaced)
	c.Assert(r.Complete(), qt.IsTrue)
	r.Probes(26*clock.Second, noneCurrent)
	c.Assert(r.Complete(), qt.IsTrue)
}

// Guards against a balancer that starts anew at its address and whose first list makes
// sidecars forget the siblings that it does not know yet.
func TestRosterOutlivesRestartOfBalancer(t *testing.T) {
	c := qt.New(t)
	r := absence.NewRoster()
	siblings := []netip.Addr{x.Addr(), y.Addr()}
	r.Replace(0, front, siblings, allCurrent)
	r.Replace(100, front, siblings[:1], allCurrent)
	c.Assert(r.Probes(100, allCurrent), equalsHosts, siblings[1:])
	r.Heard(101, y.Addr())
	r.Probes(5*clock.Second, allCurrent)
	c.Assert(r.Hosts(), equalsHosts, siblings)
}

// Guards against searches that wait for a sibling long after the balancers have found it lost.
func TestDroppedSiblingIsRemovedSoon(t *testing.T) {
	c := qt.New(t)
	r := absence.NewRoster()
	r.Replace(0, front, []netip.Addr{x.Addr(), y.Addr()}, allCurrent)
	r.Replace(1200, front, []netip.Addr{x.Addr()}, allCurrent)
	for now := clock.Millis(1200); now <= 1600; now += 200 {
		r.Probes(now, allCurrent)
	}
	c.Assert(r.Hosts(), equalsHosts, []netip.Addr{x.Addr()})
}

// Guards against siblings that stay although they are gone, and against probes whose number
// grows with that of the siblings.
func TestSilentSiblingsAreRemoved(t *testing.T) {
	c := qt.New(t)
	r := absence.NewRoster()
	var many []netip.Addr
	for i := range 100 {
		many = append(many, netip.AddrFrom4([4]byte{10, 2, 0, byte(i + 1)}))
	}
	r.Replace(0, front, many, allCurrent)
	r.Left(many[99])
	for now := clock.Second; now < 30*clock.Second; now += 200 {
		probes := r.Probes(now, noneCurrent)
		c.Assert(len(probes) <= 8, qt.IsTrue)
		for _, host := range probes {
			if host == many[7] {
				r.Heard(now, host)
			}
		}
	}
	c.Assert(r.Hosts(), equalsHosts, many[7:8])
}
