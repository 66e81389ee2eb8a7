package node

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync/atomic"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/platform"
	"go.uber.org/zap"
)

const (
	// listingTTL is how long the entry of a host outlives it. An outdated entry
	// costs a datagram now and then.
	listingTTL = 60 * clock.Second
	// directoryInterval is the time between two looks at the directory, and
	// renewInterval that between two renewals of the own entry.
	directoryInterval = 10 * clock.Second
	renewInterval     = 20 * clock.Second
	// directoryRetry is the time between failed calls.
	directoryRetry clock.Millis = 500
	// drainTimeout limits the entry of a drain, which the acknowledgement waits for:
	// upstreams wait for one second.
	drainTimeout clock.Millis = 400
	// restoreTimeout limits the look at the start for a drain before it. Heartbeats
	// come every second or so.
	restoreTimeout clock.Millis = 400
	// leaveTimeout limits the removal of the own entry at the end.
	leaveTimeout clock.Millis = 200
)

// directory keeps the own host in the store's list of hosts, by which processes
// find each other when no seed answers.
type directory struct {
	base *base
	list platform.HostList
	// learn receives the list.
	learn func(now clock.Millis, hosts platform.Hosts)
	self  netip.Addr
	// read tells that the list has been read.
	read  atomic.Bool
	lease atomic.Uint64
	// drained is the start of the upstream that drains on this host.
	drained atomic.Int64
	renewed clock.Millis
}

// newDirectory returns the directory entry of a process in a list.
func (b *base) newDirectory(list platform.HostList, learn func(clock.Millis, platform.Hosts)) *directory {
	return &directory{base: b, list: list, learn: learn, self: b.settings.RelayAddress.Addr()}
}

// serve reads the list and keeps the entry until ctx ends.
func (d *directory) serve(ctx context.Context) error {
	for {
		wait := directoryInterval
		if err := d.step(ctx); err != nil && ctx.Err() == nil {
			d.base.logger.Warn("directory-failed", zap.Error(err))
			wait = directoryRetry
		}
		if sleep(ctx, wait+clock.Millis(random(int(wait)/4))) != nil {
			return nil
		}
	}
}

// step reads the list, and adds or renews the own entry.
func (d *directory) step(ctx context.Context) error {
	hosts, err := d.base.store.ListHosts(ctx)
	if err != nil {
		return err
	}
	d.base.mutex.Lock()
	now := d.base.clock.Now()
	d.learn(now, hosts)
	d.base.mutex.Unlock()
	d.read.Store(true)
	lease := d.lease.Load()
	if lease == 0 || (!slices.Contains(hosts[d.list], d.self) && now-d.renewed > directoryInterval/2) {
		// Without the entry in the list, the store has ended the lease without a word.
		return d.add(ctx)
	}
	if now-d.renewed < renewInterval {
		return nil
	}
	if err := d.base.store.Renew(ctx, lease); errors.Is(err, platform.ErrNotFound) {
		return d.add(ctx)
	} else if err != nil {
		return err
	}
	d.renewed = now
	return nil
}

func (d *directory) add(ctx context.Context) error {
	lease, err := d.base.store.Grant(ctx, listingTTL)
	if err != nil {
		return err
	}
	if err := d.base.store.AddHost(ctx, d.list, d.self, d.drained.Load(), lease); err != nil {
		return err
	}
	d.lease.Store(lease)
	d.renewed = d.base.clock.Now()
	return nil
}

// setDrained adds to the entry that an upstream drains, for the next run of this
// process. Without an answer in time, the next new entry has it.
func (d *directory) setDrained(born int64) {
	d.drained.Store(born)
	lease := d.lease.Load()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout.Duration())
	defer cancel()
	if err := d.base.store.AddHost(ctx, d.list, d.self, born, lease); err != nil {
		d.base.logger.Warn("directory-failed", zap.Error(err))
		if errors.Is(err, platform.ErrNotFound) {
			d.lease.Store(0)
		}
	}
}

// restore returns the start of the upstream that drains on this host, as an earlier run
// has listed it; 0 if none does or the store does not answer in time.
func (d *directory) restore(ctx context.Context) int64 {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout.Duration())
	defer cancel()
	born, err := d.base.store.Drained(ctx, d.list, d.self)
	if err != nil {
		d.base.logger.Warn("directory-failed", zap.Error(err))
		return 0
	}
	d.drained.Store(born)
	return born
}

// leave removes the own entry. If that fails, its lease ends it.
func (d *directory) leave() {
	lease := d.lease.Load()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout.Duration())
	defer cancel()
	if err := d.base.store.Revoke(ctx, lease); err != nil {
		d.base.logger.Warn("directory-failed", zap.Error(err))
	}
}
