package peer_test

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/control/membership"
	"github.com/orioledyke/orioledyke/internal/control/peer"
)

// TestReadyWithContractsInEffect guards against a restarted balancer that reports itself
// as ready while the contracts that it received wait to be applied. It would get
// datagrams for services that it has not opened, and report a lower revision than its
// predecessor on the host.
func TestReadyWithContractsInEffect(t *testing.T) {
	c := qt.New(t)
	listener, address := listen(c)
	store := newKeys(c, 1)
	readers := make(chan bool, eventBuffer)
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	var inEffect atomic.Uint64
	ctx, stop := context.WithCancel(context.Background())
	b, err := peer.NewBalancer(ctx, peer.BalancerConfig{
		Self: membership.RecordConfig{
			ID: 1, DataCentre: "agassiz", Host: "host", Control: address, State: membership.StateServing,
		},
		Keys: store, Clock: clock.System(), Listener: listener, Seeds: seeds(),
		OnContract: func(_ string, revision uint64, _ []byte) {
			<-released
			inEffect.Store(revision)
		},
		OnReader: func(reader bool) { readers <- reader },
		InEffect: func(string) uint64 { return inEffect.Load() },
	})
	c.Assert(err, qt.IsNil)
	defer b.Wait()
	defer stop()
	defer release()
	c.Assert(<-readers, qt.IsTrue)
	b.PublishContract("ferncliff-willow", 7, []byte("{}"))
	b.MarkComplete()
	c.Assert(b.Ready(), qt.IsFalse)
	status, err := peer.ContractStatus(context.Background(), store, address, "ferncliff-willow")
	c.Assert(err, qt.IsNil)
	c.Assert(status.GetReady(), qt.IsFalse)

	release()
	for !b.Ready() {
		runtime.Gosched()
	}
	status, err = peer.ContractStatus(context.Background(), store, address, "ferncliff-willow")
	c.Assert(err, qt.IsNil)
	c.Assert(status.GetReady(), qt.IsTrue)
	c.Assert(status.GetContracts()[0].GetRevision(), qt.Equals, uint64(7))
}
