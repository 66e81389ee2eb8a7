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
	// entryTTL is how long the entry of a host remains in the store after its last
	// renewal. An outdated entry costs other hosts only an occasional datagram.
	entryTTL = 60 * clock.Second
	// minDirectoryInterval is the shortest time between two reads of the directory by
	// one process. The interval is at least directoryIntervalPerHost for each listed
	// host, so that all hosts together read the directory at most ten times a second.
	minDirectoryInterval                  = 10 * clock.Second
	directoryIntervalPerHost clock.Millis = 100
	// renewInterval is the time between two renewals of the process's own entry.
	renewInterval = 20 * clock.Second
	// directoryRetryInterval is the time after which a failed call is repeated.
	directoryRetryInterval clock.Millis = 500
	// recordDrainTimeout limits the call that records a drain in the store. The
	// acknowledgement of the heartbeat waits for this call, and upstreams wait for the
	// acknowledgement for one second.
	recordDrainTimeout clock.Millis = 400
	// restoreDrainTimeout limits the call that reads a drain recorded before the start
	// of this process. No new flow is accepted meanwhile, nor before the first
	// heartbeat. Heartbeats come about every second.
	restoreDrainTimeout clock.Millis = 400
	// leaveTimeout limits the call that removes the process's own entry at its end.
	leaveTimeout clock.Millis = 200
)

// directory keeps the process's own host in the store's list of hosts, by which
// processes find each other when no seed responds.
type directory struct {
	base *base
	list platform.HostListName
	// onHosts is called with the list after each read, with the mutex of base locked.
	onHosts func(now clock.Millis, hosts platform.Hosts)
	self    netip.Addr
	// wasRead is set when the list has been read at least once.
	wasRead atomic.Bool
	// lease is the lease of the process's own entry; 0 means that there is no entry.
	lease atomic.Uint64
	// drainingStartedAt is the start time of the upstream that drains on this host, in
	// Unix milliseconds; 0 if none does.
	drainingStartedAt atomic.Int64
	lastRenewal       clock.Millis
	// wake ends the wait for the next step.
	wake chan struct{}
	// lastRead is the time of the last read of the directory, and interval is the time
	// from it to the next one.
	lastRead, interval clock.Millis
}

// newDirectory returns a directory that keeps the process's own host in the given list.
func (b *base) newDirectory(list platform.HostListName, onHosts func(clock.Millis, platform.Hosts)) *directory {
	return &directory{
		base: b, list: list, onHosts: onHosts, self: b.settings.RelayAddress.Addr(), wake: make(chan struct{}, 1),
	}
}

// readSoon makes serve read the directory immediately, because entries may have expired
// while the store was unavailable.
func (d *directory) readSoon() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// serve reads the list and renews the process's own entry until ctx ends.
func (d *directory) serve(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := directoryRetryInterval
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

// step reads the list if its interval has passed, and adds or renews the process's own
// entry if necessary.
func (d *directory) step(ctx context.Context) error {
	now := d.base.clock.Now()
	lease := d.lease.Load()
	missing := lease == 0
	if now-d.lastRead >= d.interval {
		listed, err := d.readHosts(ctx)
		if err != nil {
			return err
		}
		// If the entry is missing from the list, the store has ended the lease without
		// notifying this process.
		missing = missing || (!listed && now-d.lastRenewal > minDirectoryInterval/2)
	}
	if missing {
		return d.add(ctx)
	}
	if now-d.lastRenewal < renewInterval {
		return nil
	}
	if err := d.base.store.Renew(ctx, lease); errors.Is(err, platform.ErrNotFound) {
		return d.add(ctx)
	} else if err != nil {
		return err
	}
	d.lastRenewal = now
	return nil
}

// readHosts reads the list. It reports whether the process's own host is in it.
func (d *directory) readHosts(ctx context.Context) (bool, error) {
	hosts, err := d.base.store.ListHosts(ctx)
	if err != nil {
		return false, err
	}
	d.base.mutex.Lock()
	d.lastRead = d.base.clock.Now()
	d.onHosts(d.lastRead, hosts)
	d.base.mutex.Unlock()
	count := len(hosts[platform.Balancers]) + len(hosts[platform.Sidecars])
	d.interval = max(minDirectoryInterval, directoryIntervalPerHost*clock.Millis(count))
	d.wasRead.Store(true)
	return slices.Contains(hosts[d.list], d.self), nil
}

func (d *directory) add(ctx context.Context) error {
	lease, err := d.base.store.Grant(ctx, entryTTL)
	if err != nil {
		return err
	}
	if err := d.base.store.AddHost(ctx, d.list, d.self, d.drainingStartedAt.Load(), lease); err != nil {
		return err
	}
	d.lease.Store(lease)
	d.lastRenewal = d.base.clock.Now()
	return nil
}

// recordDrain records in the process's own entry that an upstream drains, for the next
// incarnation of this process. If there is no entry or the store does not respond in time,
// the record becomes part of the next entry that is added.
func (d *directory) recordDrain(startedAt int64) {
	d.drainingStartedAt.Store(startedAt)
	lease := d.lease.Load()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordDrainTimeout.Duration())
	defer cancel()
	if err := d.base.store.AddHost(ctx, d.list, d.self, startedAt, lease); err != nil {
		d.base.logger.Warn("directory-failed", zap.Error(err))
		if errors.Is(err, platform.ErrNotFound) {
			d.lease.Store(0)
		}
	}
}

// restoreDrain returns the start time, in Unix milliseconds, of the upstream that drains
// on this host, as an earlier incarnation of this process has recorded it. It returns 0 if
// no drain is recorded or the store does not respond in time.
func (d *directory) restoreDrain(ctx context.Context) int64 {
	ctx, cancel := context.WithTimeout(ctx, restoreDrainTimeout.Duration())
	defer cancel()
	startedAt, err := d.base.store.DrainingUpstreamStart(ctx, d.list, d.self)
	if err != nil {
		d.base.logger.Warn("directory-failed", zap.Error(err))
		return 0
	}
	d.drainingStartedAt.Store(startedAt)
	return startedAt
}

// leave removes the process's own entry. If that fails, the entry expires with its lease.
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
