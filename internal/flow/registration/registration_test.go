package registration_test

import (
	"flag"
	"net/netip"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/registration"
	"pgregory.net/rapid"
)

var address = netip.MustParseAddrPort("10.1.0.9:8080")

// TestMain fixes the seed of rapid, which is random by default.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func heartbeat(id string, startedAt int64, sequence uint64) registration.Heartbeat {
	return registration.Heartbeat{ID: id, Service: "portal", Address: address, StartedAt: startedAt, Sequence: sequence, Slots: 3}
}

func newRegistration() *registration.Registration {
	return registration.New(registration.Config{Address: address, Service: "portal"})
}

// Guards against new flows for an upstream whose recorded drain a restore of the store has
// lost, because a late heartbeat of an earlier incarnation arrives first. Guards also against
// an upstream that gets no new flows for longer than to its second heartbeat.
func TestSecondHeartbeatConfirms(t *testing.T) {
	c := qt.New(t)
	r := newRegistration()
	r.RequireTwo()
	c.Assert(r.Heartbeat(0, heartbeat("old", 50, 900)), qt.Equals, registration.Applied)
	c.Assert(r.Accepting(), qt.IsFalse)
	c.Assert(r.Heartbeat(10, heartbeat("a", 100, 8)), qt.Equals, registration.Applied)
	c.Assert(r.Accepting(), qt.IsFalse)
	c.Assert(r.Heartbeat(20, heartbeat("a", 100, 8)), qt.Equals, registration.Stale)
	c.Assert(r.Accepting(), qt.IsFalse)
	c.Assert(r.Heartbeat(1200, heartbeat("a", 100, 9)), qt.Equals, registration.Applied)
	c.Assert(r.Accepting(), qt.IsTrue)
}

// Guards against a late heartbeat, sent before the drain, that ends the drain.
func TestLateHeartbeatIsIgnored(t *testing.T) {
	c := qt.New(t)
	r := newRegistration()
	c.Assert(r.Heartbeat(0, heartbeat("a", 100, 1)), qt.Equals, registration.Applied)
	c.Assert(r.Accepting(), qt.IsTrue)
	draining := heartbeat("a", 100, 3)
	draining.Draining = true
	c.Assert(r.Heartbeat(10, draining), qt.Equals, registration.Applied)
	c.Assert(r.Heartbeat(20, heartbeat("a", 100, 2)), qt.Equals, registration.Stale)
	c.Assert(r.Accepting(), qt.IsFalse)
}

// Guards against replacing the current incarnation by one that has ended, whose last
// heartbeat a network partition has delayed.
func TestOlderIncarnationIsIgnored(t *testing.T) {
	c := qt.New(t)
	r := newRegistration()
	r.Heartbeat(0, heartbeat("b", 200, 1))
	c.Assert(r.Heartbeat(10, heartbeat("a", 100, 9)), qt.Equals, registration.Stale)
	current, _ := r.Current()
	c.Assert(current.ID, qt.Equals, "b")
}

// Guards against an upstream whose heartbeats are always ignored because the time of day
// was set back between the start of the previous incarnation and its own.
func TestSilentIncarnationIsReplaced(t *testing.T) {
	c := qt.New(t)
	r := newRegistration()
	r.Heartbeat(0, heartbeat("b", 200, 1))
	c.Assert(r.Heartbeat(5*clock.Second, heartbeat("a", 100, 1)), qt.Equals, registration.Applied)
}

// Guards against the use of an earlier incarnation's sequence numbers or deregistration
// for a new incarnation with the same ID.
func TestRestartUnderTheSameID(t *testing.T) {
	c := qt.New(t)
	r := newRegistration()
	r.Heartbeat(0, heartbeat("a", 100, 50))
	c.Assert(r.Heartbeat(10, heartbeat("a", 300, 1)), qt.Equals, registration.Applied)
	c.Assert(r.Deregister("a", 100), qt.Equals, registration.Stale)
	c.Assert(r.Accepting(), qt.IsTrue)
}

// Guards against the registration of an upstream of another service at the same address,
// or of one at another address.
func TestForeignHeartbeat(t *testing.T) {
	c := qt.New(t)
	r := newRegistration()
	foreign := heartbeat("a", 100, 1)
	foreign.Service = "weighbridge"
	c.Assert(r.Heartbeat(0, foreign), qt.Equals, registration.Foreign)
	foreign = heartbeat("a", 100, 1)
	foreign.Address = netip.MustParseAddrPort("10.1.0.10:8080")
	c.Assert(r.Heartbeat(0, foreign), qt.Equals, registration.Foreign)
	c.Assert(r.Accepting(), qt.IsFalse)
}

// Guards against new flows for an upstream that has deregistered, no matter which of its
// heartbeats arrive late.
func TestDeregisteredStaysDeregistered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegistration()
		r.Heartbeat(0, heartbeat("a", 100, 1))
		r.Deregister("a", 0)
		for range rapid.IntRange(0, 5).Draw(t, "late") {
			r.Heartbeat(10, heartbeat("a", 100, rapid.Uint64Range(0, 9).Draw(t, "sequence")))
		}
		if r.Accepting() {
			t.Fatal("a deregistered upstream accepts flows")
		}
	})
}

// Guards against new flows for a draining upstream after its sidecar has restarted. The
// first heartbeat that the sidecar receives may have been sent before the drain.
func TestRestoredDrain(t *testing.T) {
	c := qt.New(t)
	r := newRegistration()
	r.RestoreDrain(200)
	c.Assert(r.Heartbeat(0, heartbeat("a", 100, 9)), qt.Equals, registration.Applied)
	c.Assert(r.Accepting(), qt.IsFalse)
	c.Assert(r.Heartbeat(10, heartbeat("b", 200, 4)), qt.Equals, registration.Applied)
	c.Assert(r.Accepting(), qt.IsFalse)
	c.Assert(r.Heartbeat(20, heartbeat("c", 300, 1)), qt.Equals, registration.Applied)
	c.Assert(r.Accepting(), qt.IsTrue)
}
