package node

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/standin/metadata"
	"go.uber.org/zap"
)

// lapse ends all leases of the store, and with them the entries.
func (d *directoryTest) lapse() { d.server.Update((*metadata.Store).EndLeases) }

// Guards against an entry that has lapsed in an outage and is missing until the next read of
// the directory, so that new balancers do not find the sidecar. The process hears of the
// outage from a balancer, finds a failed call of its own, or hears no balancer any more.
func TestLapsedEntryIsWrittenSoon(t *testing.T) {
	for name, notice := range map[string]func(d *directory){
		"announced": func(d *directory) { d.base.handleVerify(d.base.clock.Now(), 7) },
		"failed": func(d *directory) {
			d.failed = true
			d.succeeded()
		},
		"silence": func(d *directory) {
			n := &sidecarNode{base: d.base}
			n.logger = zap.NewNop()
			n.findBalancers(3 * clock.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDirectoryTest(t)
			ctx := context.Background()
			d.c.Assert(d.first.step(ctx), qt.IsNil)
			d.lapse()
			d.c.Assert(d.first.step(ctx), qt.IsNil)
			d.c.Assert(d.exists(firstKey), qt.IsFalse)
			notice(d.first)
			d.c.Assert(d.first.wake, qt.HasLen, 1)
			d.c.Assert(d.first.spreadDue.Load(), qt.IsTrue)
			d.c.Assert(d.first.step(ctx), qt.IsNil)
			d.c.Assert(d.exists(firstKey), qt.IsTrue)
		})
	}
}

// Guards against calls to the store for each announcement of one outage, which every balancer
// makes several times, and against later outages that are ignored.
func TestAnnouncementsOfOutageAreBounded(t *testing.T) {
	d := newDirectoryTest(t)
	b := d.first.base
	for _, announcement := range []struct {
		at     clock.Millis
		outage uint64
		wakes  int
	}{{1000, 1, 1}, {1500, 1, 0}, {1600, 2, 0}, {8000, 2, 0}, {8000, 3, 1}} {
		b.handleVerify(announcement.at, announcement.outage)
		d.c.Assert(d.first.wake, qt.HasLen, announcement.wakes)
		for range announcement.wakes {
			<-d.first.wake
		}
	}
	for outage := range uint64(100) {
		b.handleVerify(9000, outage)
	}
	d.c.Assert(b.outages, qt.HasLen, maxKnownOutages)
}

// Guards against sidecars that are not told of an outage, and against announcements that go
// on for good.
func TestOutageIsAnnounced(t *testing.T) {
	r := newDigestRecorder(t)
	r.node.logger = zap.NewNop()
	r.node.directory = r.node.newDirectory("balancers", nil)
	r.markSeen(10, 40)
	r.node.storeAvailabilityChanged(nil)
	now := r.node.clock.Now()
	announced := func(now clock.Millis) map[relay.Kind]int {
		kinds := map[relay.Kind]int{}
		for _, m := range r.messages(now) {
			kinds[m.Kind]++
		}
		return kinds
	}
	c := r.c
	c.Assert(announced(now)[relay.KindVerify], qt.Equals, announcedPerRound)
	r.node.digests.startAnnouncing(now)
	kinds := announced(now)
	c.Assert(kinds[relay.KindVerify], qt.Equals, 0)
	c.Assert(kinds[relay.KindEpoch], qt.Equals, announcedPerRound)
	c.Assert(announced(now + 6*clock.Second)[relay.KindVerify], qt.Equals, 0)
}

// Guards against a large system in which digests come rarely and sidecars look for balancers
// again and again, and against a small one that notices the loss of all balancers late.
func TestSilenceOfBalancers(t *testing.T) {
	c := qt.New(t)
	var few, many silence
	few.heard(0, 8*clock.Second, 2)
	many.heard(0, 80*clock.Second, 500)
	c.Assert(many.begins(1900), qt.IsFalse)
	c.Assert(many.begins(2000), qt.IsTrue)
	c.Assert(many.begins(2200), qt.IsFalse)
	c.Assert(few.begins(15*clock.Second), qt.IsFalse)
	c.Assert(few.begins(16*clock.Second), qt.IsTrue)
	few.heard(17*clock.Second, 500, 1)
	c.Assert(few.begins(19*clock.Second), qt.IsTrue)
}
