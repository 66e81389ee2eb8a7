package node

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/store"
	"github.com/orioledyke/orioledyke/platform"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against logs and metrics that do not tell a restore of the store from an outage,
// and against a late response that is taken for a restore.
func TestRestoreIsLoggedOnce(t *testing.T) {
	c := qt.New(t)
	core, logs := observer.New(zap.WarnLevel)
	b := &base{logger: zap.New(core), storeRestored: func() {}}
	b.directory = b.newDirectory(platform.Sidecars, nil)
	for _, epoch := range []store.Epoch{3, 3, 5, 3, 5} {
		b.observeStoreEpoch(epoch)
	}
	c.Assert(b.storeEpoch, qt.Equals, store.Epoch(5))
	c.Assert(b.storeRestores, qt.Equals, uint64(1))
	restored := logs.FilterMessage("store-restored").All()
	c.Assert(restored, qt.HasLen, 1)
	c.Assert(restored[0].ContextMap(), qt.DeepEquals, map[string]any{"epoch": uint64(5), "before": uint64(3)})
}

// Guards against an entry and a recorded drain that are missing until the next read of the
// directory, because the restore lost them and nothing tells a sidecar of it.
func TestAnnouncedRestoreBringsEntryBack(t *testing.T) {
	d := newDirectoryTest(t)
	ctx := context.Background()
	empty := d.copy()
	d.c.Assert(d.first.step(ctx), qt.IsNil)
	d.first.recordDrain(123)
	d.restore(empty)
	d.c.Assert(d.first.step(ctx), qt.IsNil)
	d.c.Assert(d.exists(firstKey), qt.IsFalse)
	d.first.base.handleEpoch(2)
	d.c.Assert(d.first.wake, qt.HasLen, 1)
	d.c.Assert(d.first.step(ctx), qt.IsNil)
	d.c.Assert(d.recordedDrain("127.4.0.1"), qt.Equals, int64(123))
}

// Guards against calls to the store for each repetition of an announcement, and for one that
// tells nothing new.
func TestRepeatedAnnouncementIsIgnored(t *testing.T) {
	d := newDirectoryTest(t)
	ctx := context.Background()
	d.c.Assert(d.first.step(ctx), qt.IsNil)
	for _, announcement := range []struct {
		epoch store.Epoch
		wakes int
	}{{1, 0}, {9, 1}, {9, 0}, {4, 0}, {10, 1}} {
		d.first.base.handleEpoch(announcement.epoch)
		d.c.Assert(d.first.wake, qt.HasLen, announcement.wakes)
		if announcement.wakes > 0 {
			<-d.first.wake
		}
	}
}

// Guards against a restore that is not announced, or announced for longer than
// epochAnnounceTime.
func TestRestoreIsAnnounced(t *testing.T) {
	r := newDigestRecorder(t)
	const balancers, sidecars = 7, 10
	r.markSeen(balancers, sidecars)
	n := r.node
	var time clock.Manual
	n.clock, n.logger, n.storeRestored = time.Clock(), zap.NewNop(), n.handleRestore
	n.directory = n.newDirectory(platform.Balancers, nil)
	n.observeStoreEpoch(3)
	n.observeStoreEpoch(4)
	const rounds = int(epochAnnounceTime / digestInterval)
	announced := 0
	for range 2 * rounds {
		for _, m := range r.messages(time.Now()) {
			if m.Kind == relay.KindEpoch {
				r.c.Assert(m.Epoch, qt.Equals, store.Epoch(4))
				announced++
			}
		}
		time.Advance(digestInterval)
	}
	r.c.Assert(announced, qt.Equals, rounds*announcedPerRound)
	r.c.Assert(announced >= balancers+sidecars, qt.IsTrue)
}
