package absence_test

import (
	"net/netip"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/absence"
)

var (
	portal = identity.NewServiceID("", "portal")
	x, y   = netip.MustParseAddrPort("10.2.0.1:7000"), netip.MustParseAddrPort("10.2.0.2:7000")
	z      = netip.MustParseAddrPort("10.2.0.3:7000")
)

// Guards against a reset on the first search alone, on two responses to searches that began
// together, and on a response that is attributed to a later search than its own.
func TestAbsenceIsConfirmed(t *testing.T) {
	c := qt.New(t)
	confirmed := func(f *absence.Flow) bool {
		_, confirmed := f.Found(portal, 1)
		return confirmed
	}
	var together absence.Flow
	together.Searched(0, portal, x)
	together.Searched(50, portal, y)
	together.Absent(portal, x, 1, true)
	together.Absent(portal, y, 1, true)
	c.Assert(confirmed(&together), qt.IsFalse)
	together.Absent(portal, y, 1, true)
	c.Assert(confirmed(&together), qt.IsFalse)
	together.Searched(120, portal, y)
	together.Absent(portal, y, 1, true)
	c.Assert(confirmed(&together), qt.IsTrue)

	var late absence.Flow
	late.Searched(0, portal, x)
	late.Searched(120, portal, x)
	late.Absent(portal, x, 1, true)
	c.Assert(confirmed(&late), qt.IsFalse)
	late.Absent(portal, x, 1, true)
	c.Assert(confirmed(&late), qt.IsTrue)
}

// Guards against a finding that stays valid after a sidecar has joined the service, and
// against clients that wait longer because a search before that counts for nothing.
func TestFindingEndsWithJoin(t *testing.T) {
	c := qt.New(t)
	var f absence.Flow
	f.Searched(0, portal, x)
	f.Absent(portal, x, 1, true)
	absent, _ := f.Found(portal, 2)
	c.Assert(absent, qt.IsFalse)
	f.Searched(120, portal, x)
	f.Absent(portal, x, 2, true)
	_, confirmed := f.Found(portal, 2)
	c.Assert(confirmed, qt.IsTrue)
	absent, _ = f.Found(portal, 3)
	c.Assert(absent, qt.IsFalse)
}

// Guards against a confirmation by a search that has not covered all possible owners.
func TestPartialSearchConfirmsNothing(t *testing.T) {
	c := qt.New(t)
	var f absence.Flow
	f.Searched(0, portal, x)
	f.Absent(portal, x, 1, true)
	f.Searched(120, portal, x)
	f.Absent(portal, x, 1, false)
	_, confirmed := f.Found(portal, 1)
	c.Assert(confirmed, qt.IsFalse)
}

// Guards against a search that counts as complete because it queried as many sidecars as
// the balancer knows, although one of these was not among them.
func TestQueriedSetIsCompared(t *testing.T) {
	c := qt.New(t)
	c.Assert(absence.Covers([]netip.Addr{z.Addr(), x.Addr()}, []netip.Addr{x.Addr(), z.Addr()}), qt.IsTrue)
	c.Assert(absence.Covers([]netip.Addr{z.Addr(), x.Addr()}, []netip.Addr{x.Addr(), y.Addr()}), qt.IsFalse)
	c.Assert(absence.Covers(nil, nil), qt.IsFalse)
}

// Guards against a reset while one of the services may hold the flow.
func TestLostNeedsEveryService(t *testing.T) {
	c := qt.New(t)
	proved := absence.Service{Complete: true, Absent: true, Confirmed: true}
	for _, test := range []struct {
		service absence.Service
		lost    bool
	}{
		{proved, true},
		{absence.Service{Complete: true, Ownerless: true}, true},
		{absence.Service{Ownerless: true}, false},
		{absence.Service{Absent: true, Confirmed: true}, false},
		{absence.Service{Complete: true, Absent: true}, false},
		{absence.Service{Complete: true, Absent: true, Learning: true}, true},
		{absence.Service{Complete: true, Learning: true}, false},
	} {
		c.Assert(absence.Lost(slices.Values([]absence.Service{proved, test.service})), qt.Equals, test.lost)
	}
}
