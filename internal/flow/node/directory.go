package node

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/platform"
	"go.uber.org/zap"
)

const (
	// listingTTL is how long the entry of a host outlives it. An outdated entry
	// costs a datagram now and then.
	listingTTL = 60 * clock.Second
	// directoryInterval is the shortest time between two looks at the directory, and
	// directoryShare what each host adds to it, so that all hosts together read it ten
	// times in a second at most.
	directoryInterval              = 10 * clock.Second
	directoryShare    clock.Millis = 100
	// renewInterval is the time between two renewals of the own entry.
	renewInterval = 20 * clock.Second
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
	// wake ends the wait for the next step, listed is the time of the last look at the
	// directory, and interval that to the next one.
	wake             chan struct{}
	listed, interval clock.Millis
}

// newDirectory returns the directory entry of a process in a list.
func (b *base) newDirectory(list platform.HostList, learn func(clock.Millis, platform.Hosts)) *directory {
	return &directory{
		base: b, list: list, learn: learn, self: b.settings.RelayAddress.Addr(), wake: make(chan struct{}, 1),
	}
}

// check looks at the directory soon, because entries may have ended while the store was
// away.
func (d *directory) check() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// serve reads the list and keeps the entry until ctx ends.
func (d *directory) serve(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := directoryRetry
		if err := d.step(ctx); err == nil {
			wait = min(d.interval, renewInterval)
		} else if ctx.Err() == nil {
			d.base.logger.Warn("directory-failed", zap.Error(err))
		}
		timer := time.NewTimer((wait + clock.Millis(random(int(wait)/4))).Duration())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-d.wake:
			d.interval = 0
		}
		timer.Stop()
	}
	return nil
}

// step reads the list when it is time, and adds or renews the own entry.
func (d *directory) step(ctx context.Context) error {
	now := d.base.clock.Now()
	lease := d.lease.Load()
	missing := lease == 0
	if now-d.listed >= d.interval {
		listed, err := d.look(ctx)
		if err != nil {
			return err
		}
		// Without the entry in the list, the store has ended the lease without a word.
		missing = missing || (!listed && now-d.renewed > directoryInterval/2)
	}
	if missing {
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

// look reads the list. It reports whether the own host is there.
func (d *directory) look(ctx context.Context) (bool, error) {
	hosts, err := d.base.store.ListHosts(ctx)
	if err != nil {
		return false, err
	}
	d.base.mutex.Lock()
	d.listed = d.base.clock.Now()
	d.learn(d.listed, hosts)
	d.base.mutex.Unlock()
	count := len(hosts[platform.Balancers]) + len(hosts[platform.Sidecars])
	d.interval = max(directoryInterval, directoryShare*clock.Millis(count))
	d.read.Store(true)
	return slices.Contains(hosts[d.list], d.self), nil
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
	born, err := d.base.store.DrainingUpstream(ctx, d.list, d.self)
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
