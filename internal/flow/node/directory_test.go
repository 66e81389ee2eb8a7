package node

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/standin/metadata"
	"github.com/orioledyke/orioledyke/platform"
	"go.uber.org/zap"
)

// directoryTest holds the entries of two sidecars' hosts in a store.
type directoryTest struct {
	c             *qt.C
	server        *metadata.Server
	address       netip.AddrPort
	time          clock.Manual
	first, second *directory
}

const (
	firstKey  = "orioledyke/hosts/sidecars/127.4.0.1"
	secondKey = "orioledyke/hosts/sidecars/127.4.0.2"
)

func newDirectoryTest(t *testing.T) *directoryTest {
	d := &directoryTest{c: qt.New(t), server: metadata.NewServer()}
	server := httptest.NewServer(d.server.Handler())
	d.c.Cleanup(server.Close)
	d.address = netip.MustParseAddrPort(server.Listener.Addr().String())
	d.first, d.second = d.directory("127.4.0.1"), d.directory("127.4.0.2")
	return d
}

// directory returns the directory of a process that has just started on a host.
func (d *directoryTest) directory(host string) *directory {
	b := &base{
		settings: settings.FlowProcess{RelayAddress: netip.AddrPortFrom(netip.MustParseAddr(host), 7000)},
		clock:    d.time.Clock(), logger: zap.NewNop(), storeRestored: func() {},
	}
	b.store = platform.NewStore(d.address, b.observeStoreEpoch)
	b.directory = b.newDirectory(platform.Sidecars, func(clock.Millis, platform.Hosts) {})
	return b.directory
}

// copy returns a copy of the store.
func (d *directoryTest) copy() (c *metadata.Store) {
	d.server.Update(func(state *metadata.Store) { c = state.Copy() })
	return c
}

func (d *directoryTest) restore(from *metadata.Store) {
	d.server.Update(func(state *metadata.Store) { state.Restore(from) })
}

// recordedDrain returns the drain that a process finds that has just started on a host.
func (d *directoryTest) recordedDrain(host string) int64 {
	restarted := d.directory(host)
	restarted.restoreDrain(context.Background())
	return restarted.drainingUpstreamStart()
}

func (d *directoryTest) exists(key string) (exists bool) {
	d.server.Update(func(state *metadata.Store) { _, exists = state.Get(key) })
	return exists
}

// Guards against a process that ends and takes the entry of another host with it, because
// the store has given out the ID of its lease again after a restore.
func TestLeavingKeepsEntryUnderReusedLease(t *testing.T) {
	d := newDirectoryTest(t)
	ctx := context.Background()
	empty := d.copy()
	d.c.Assert(d.first.step(ctx), qt.IsNil)
	d.restore(empty)
	d.c.Assert(d.second.step(ctx), qt.IsNil)
	d.first.leave()
	d.c.Assert(d.exists(secondKey), qt.IsTrue)
}

// Guards against the record of a drain under the lease of another host, with which it ends.
func TestDrainIsNotRecordedUnderReusedLease(t *testing.T) {
	d := newDirectoryTest(t)
	ctx := context.Background()
	empty := d.copy()
	d.c.Assert(d.first.step(ctx), qt.IsNil)
	d.restore(empty)
	d.c.Assert(d.second.step(ctx), qt.IsNil)
	d.first.recordDrain(123)
	d.second.leave()
	d.server.Update(func(state *metadata.Store) { state.EndLease(1) })
	d.c.Assert(d.recordedDrain("127.4.0.1"), qt.Equals, int64(123))
}

// Guards against an upstream that gets new flows although an earlier incarnation of the
// sidecar has recorded its drain, because the store was away when the sidecar started.
func TestDrainIsFoundAfterOutageAtStart(t *testing.T) {
	d := newDirectoryTest(t)
	ctx := context.Background()
	d.c.Assert(d.first.step(ctx), qt.IsNil)
	d.first.recordDrain(123)
	restarted := d.directory("127.4.0.1")
	var found []int64
	restarted.onDrain = func(upstreamStart int64) { found = append(found, upstreamStart) }
	d.server.SetFault(metadata.Unavailable)
	restarted.restoreDrain(ctx)
	d.c.Assert(found, qt.HasLen, 0)
	d.server.SetFault(metadata.Works)
	d.c.Assert(restarted.step(ctx), qt.IsNil)
	d.c.Assert(found, qt.DeepEquals, []int64{123})
}
