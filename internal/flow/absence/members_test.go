package absence_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/absence"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
)

var archive = identity.NewServiceID("", "archive")

const started = 100 * clock.Second

// Guards against a reset by a balancer that has just started and whose directory lacks the
// sidecar that owns the flow, because its entry has lapsed in an outage. All other sidecars
// that the directory lists have reported.
func TestDirectoryWithLapsedEntriesProvesNothing(t *testing.T) {
	c := qt.New(t)
	m := absence.NewMembers(started)
	m.DirectoryRead(started+10, []netip.Addr{x.Addr()})
	m.Reported(x.Addr(), portal)
	c.Assert(m.Complete(started+500, portal), qt.IsFalse)
	m.Stated(started+500, x.Addr(), relay.Roster{Age: 90 * clock.Second})
	c.Assert(m.Complete(started+500, portal), qt.IsFalse)
	c.Assert(m.Complete(started+3100, portal), qt.IsTrue)
}

// Guards against clients that wait for 3 s after all hosts have lost power, because the entry
// of a host without an upstream, which has removed it itself, was not there at the start.
func TestDepartedSidecarIsNoSignOfLapse(t *testing.T) {
	c := qt.New(t)
	m := absence.NewMembers(started)
	m.DirectoryRead(started+10, []netip.Addr{x.Addr(), y.Addr()})
	for _, sidecar := range []netip.Addr{x.Addr(), y.Addr()} {
		m.Reported(sidecar, portal)
		m.Stated(started+20, sidecar, relay.Roster{EntryFound: sidecar == x.Addr()})
	}
	c.Assert(m.Complete(started+500, portal), qt.IsFalse)
	m.Departed(y.Addr())
	c.Assert(m.Complete(started+500, portal), qt.IsTrue)
	m.Departed(x.Addr())
	c.Assert(m.Complete(started+500, portal), qt.IsFalse)
	m.Reported(y.Addr(), portal)
	c.Assert(m.Complete(started+500, portal), qt.IsFalse)
}

// Guards against clients that wait although a sidecar that has seen the earlier balancers has
// named its siblings.
func TestRosterOfOlderSidecarProves(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		roster relay.Roster
		proves bool
	}{
		{relay.Roster{Age: 90 * clock.Second, Complete: true}, true},
		{relay.Roster{Age: 90 * clock.Second}, false},
		{relay.Roster{Age: 400, Complete: true}, false},
	} {
		m := absence.NewMembers(started)
		m.Stated(started+500, x.Addr(), test.roster)
		m.Reported(x.Addr(), portal)
		c.Assert(m.Complete(started+500, portal), qt.IsFalse)
		m.DirectoryRead(started+510, nil)
		c.Assert(m.Complete(started+510, portal), qt.Equals, test.proves)
		c.Assert(m.Complete(started+510, archive), qt.IsFalse)
	}
}

// Guards against slow resets after all hosts have lost power: each sidecar has found its own
// entry in the directory, so that the directory lists all of them.
func TestFoundEntriesProveDirectory(t *testing.T) {
	c := qt.New(t)
	m := absence.NewMembers(started)
	m.DirectoryRead(started+10, []netip.Addr{x.Addr(), y.Addr(), z.Addr()})
	m.Reported(x.Addr(), portal)
	m.Reported(y.Addr(), portal)
	m.Reported(z.Addr(), archive)
	m.Stated(started+400, x.Addr(), relay.Roster{Age: 300, EntryFound: true})
	c.Assert(m.Complete(started+400, portal), qt.IsFalse)
	m.Stated(started+410, y.Addr(), relay.Roster{Age: 200, EntryFound: true})
	c.Assert(m.Complete(started+410, portal), qt.IsTrue)
	c.Assert(m.Complete(started+410, archive), qt.IsFalse)
}

// Guards against a balancer whose first contact comes long after its start, because the store
// was away, and that takes the first sidecar for the only one. Guards also against one that
// never resets a flow without a directory.
func TestEvidenceCountsFromFirstRead(t *testing.T) {
	c := qt.New(t)
	m := absence.NewMembers(started)
	c.Assert(m.Complete(started+14*clock.Second, portal), qt.IsFalse)
	c.Assert(m.Complete(started+15*clock.Second, portal), qt.IsTrue)
	m.DirectoryRead(started+20*clock.Second, []netip.Addr{x.Addr()})
	m.Reported(x.Addr(), portal)
	c.Assert(m.Complete(started+20*clock.Second, portal), qt.IsFalse)
	c.Assert(m.Complete(started+23*clock.Second, portal), qt.IsTrue)
}
