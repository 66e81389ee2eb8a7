package node

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/entry"
	"github.com/orioledyke/orioledyke/platform"
	"go.uber.org/zap"
)

const (
	// minDirectoryInterval is the shortest time between two reads of the directory by
	// one process. The interval is at least directoryIntervalPerHost for each listed
	// host, so that all hosts together read the directory at most ten times a second.
	minDirectoryInterval                  = 10 * clock.Second
	directoryIntervalPerHost clock.Millis = 100
	// directoryRetryInterval is the time after which a failed call is repeated.
	directoryRetryInterval clock.Millis = 500
	// verifyTimePerHost is the time that each host adds to the time in which all of them
	// check their entries after a restore or an outage. Writing an entry again takes two write calls,
	// and the store takes 400 a second.
	verifyTimePerHost clock.Millis = 5
	// recordDrainTimeout limits the calls that record a drain in the store. The
	// acknowledgement of the heartbeat waits for them, and upstreams wait for the
	// acknowledgement for one second.
	recordDrainTimeout clock.Millis = 400
	// restoreDrainTimeout limits the call that reads a drain recorded before the start
	// of this process. No new flow is accepted meanwhile, nor before the first
	// heartbeat. Heartbeats come about every second.
	restoreDrainTimeout clock.Millis = 400
	// leaveTimeout limits the calls that remove the process's own entry at its end.
	leaveTimeout clock.Millis = 200
	// maxEntryCalls limits the calls of one attempt to bring the process's own entry up to
	// date. After a restore of the store it takes a read, a grant and a write.
	maxEntryCalls = 6
)

// errEntryUnsettled is returned if maxEntryCalls have not brought the entry up to date.
var errEntryUnsettled = errors.New("own entry is not up to date after several calls")

// directory keeps the process's own host in the store's list of hosts, by which
// processes find each other when no seed responds.
type directory struct {
	base *base
	list platform.HostListName
	// onHosts is called with the list after each read, with the mutex of base locked.
	onHosts func(now clock.Millis, hosts platform.Hosts)
	self    netip.Addr
	// onDrain is called with the start time of a draining upstream that a read of the entry
	// has found; nil for a process without an upstream.
	onDrain func(upstreamStart int64)
	// currentFirst is set if the first read of the list must not be stale. wasRead is set when
	// the list has been read at least once.
	currentFirst bool
	wasRead      atomic.Bool
	// entryRead is set when the process's own entry has been read, and entryFound if the
	// first read has found it. No earlier call of this process writes it.
	entryRead, entryFound bool
	// mutex guards own, the process's own entry, and what is known of it. It is not held
	// during calls.
	mutex sync.Mutex
	own   *entry.Entry
	// wake ends the wait for the next step. readDue is set if that step reads the list.
	// spreadDue is set if all hosts make the step at that time.
	wake               chan struct{}
	readDue, spreadDue atomic.Bool
	// failed is set from a failed step until the next one that succeeds.
	failed bool
	// lastRead is the time of the last read of the list, and interval is the time from it
	// to the next one. hosts is the number of hosts that it listed.
	lastRead, interval clock.Millis
	hosts              int
}

// newDirectory returns a directory that keeps the process's own host in the given list.
func (b *base) newDirectory(list platform.HostListName, onHosts func(clock.Millis, platform.Hosts)) *directory {
	return &directory{
		base: b, list: list, onHosts: onHosts, self: b.settings.RelayAddress.Addr(), own: entry.New(), wake: make(chan struct{}, 1),
	}
}

// readSoon makes serve read the directory immediately, because entries may have expired
// while the store was unavailable.
func (d *directory) readSoon() {
	d.readDue.Store(true)
	d.wakeUp()
}

// verifySoon makes serve check the process's own entry, because the store may have lost it
// in a restore. All hosts do so at that time, so that each waits for a random share of
// verifyTimePerHost for every host.
func (d *directory) verifySoon() {
	d.mutex.Lock()
	d.own.Verify()
	d.mutex.Unlock()
	d.spreadDue.Store(true)
	d.wakeUp()
}

// lookSoon makes serve check the process's own entry and read the directory, because entries
// may have lapsed and other hosts may be listed now. All hosts may do so at that time.
func (d *directory) lookSoon() {
	d.readDue.Store(true)
	d.verifySoon()
}

func (d *directory) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// serve reads the list and keeps the process's own entry until ctx ends.
func (d *directory) serve(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := directoryRetryInterval
		if err := d.step(ctx); err == nil {
			wait = min(d.interval, entry.RenewInterval)
			d.succeeded()
		} else if ctx.Err() == nil {
			d.failed = true
			d.base.logger.Warn("directory-failed", zap.Error(err))
		}
		timer := time.NewTimer((wait + clock.Millis(random(int(wait)/4))).Duration())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-d.wake:
			if d.spreadDue.Swap(false) && sleep(ctx, clock.Millis(random(int(verifyTimePerHost)*d.hosts))) != nil {
				return nil
			}
			if d.readDue.Swap(false) {
				d.interval = 0
			}
		}
		timer.Stop()
	}
	return nil
}

// succeeded records a step that has succeeded. After a failed one, the store may have been
// away for long enough to lose entries.
func (d *directory) succeeded() {
	if d.failed {
		d.failed = false
		d.lookSoon()
	}
}

// step reads the list if its interval has passed, and brings the process's own entry up to
// date.
func (d *directory) step(ctx context.Context) error {
	now := d.base.clock.Now()
	if now-d.lastRead >= d.interval {
		listed, err := d.readHosts(ctx)
		if err != nil {
			return err
		}
		if !listed {
			d.mutex.Lock()
			d.own.Unlisted(now)
			d.mutex.Unlock()
		}
	}
	return d.settle(ctx)
}

// readHosts reads the list. It reports whether the process's own host is in it.
func (d *directory) readHosts(ctx context.Context) (bool, error) {
	list := d.base.store.ListHosts
	if d.currentFirst && !d.wasRead.Load() {
		list = d.base.store.ListCurrentHosts
	}
	hosts, err := list(ctx)
	if err != nil {
		return false, err
	}
	d.base.mutex.Lock()
	d.lastRead = d.base.clock.Now()
	d.onHosts(d.lastRead, hosts)
	d.base.mutex.Unlock()
	d.hosts = len(hosts[platform.Balancers]) + len(hosts[platform.Sidecars])
	d.interval = max(minDirectoryInterval, directoryIntervalPerHost*clock.Millis(d.hosts))
	d.wasRead.Store(true)
	return slices.Contains(hosts[d.list], d.self), nil
}

// settle makes the calls that the process's own entry needs, until none is due or one
// fails.
func (d *directory) settle(ctx context.Context) error {
	for range maxEntryCalls {
		d.mutex.Lock()
		call := d.own.Next(d.base.clock.Now())
		d.mutex.Unlock()
		if call.Action == entry.None {
			return nil
		}
		if err := d.perform(ctx, call); err != nil {
			return err
		}
	}
	return errEntryUnsettled
}

// perform makes a call for the process's own entry and records its result. It returns an
// error if the outcome is unknown.
func (d *directory) perform(ctx context.Context, call entry.Call) error {
	result, err := d.call(ctx, call)
	switch {
	case err == nil:
		result.Outcome = entry.Done
	case errors.Is(err, platform.ErrConflict):
		result.Outcome, err = entry.Conflict, nil
	case errors.Is(err, platform.ErrNotFound):
		result.Outcome, err = entry.NoLease, nil
	case errors.Is(err, platform.ErrInvalidEntry):
		// The entry is written again.
		d.base.logger.Warn("directory-failed", zap.Error(err))
		result.Outcome, err = entry.Done, nil
	}
	d.mutex.Lock()
	if call.Action == entry.Read && result.Outcome == entry.Done && !d.entryRead {
		d.entryRead, d.entryFound = true, result.Item.Revision > 0
	}
	known := d.own.DrainingUpstreamStart()
	d.own.Ended(d.base.clock.Now(), call, result)
	found := d.own.DrainingUpstreamStart()
	d.mutex.Unlock()
	if found > known && d.onDrain != nil {
		d.onDrain(found)
	}
	return err
}

// call makes a call for the process's own entry. The outcome of the result is not set.
func (d *directory) call(ctx context.Context, call entry.Call) (r entry.Result, err error) {
	store := d.base.store
	switch call.Action {
	case entry.Read:
		r.Item, r.Epoch, err = store.HostEntry(ctx, d.list, d.self)
	case entry.Grant:
		lease, err := store.Grant(ctx, entry.TTL)
		return entry.Result{Epoch: lease.Epoch, LeaseID: lease.ID}, err
	case entry.Write:
		revision, err := store.PutHost(ctx, d.list, d.self, call.DrainingUpstreamStart, call.Lease.ID, call.Expected)
		return entry.Result{Epoch: revision.Epoch, Revision: revision.Number}, err
	case entry.Renew:
		r.Epoch, err = store.Renew(ctx, call.Lease.ID)
	case entry.Remove:
		r.Epoch, err = store.RemoveHost(ctx, d.list, d.self, call.Expected)
	}
	return r, err
}

// drainingUpstreamStart returns the start time, in Unix milliseconds, of the newest
// upstream on this host that is known to drain; 0 if none is.
func (d *directory) drainingUpstreamStart() int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.own.DrainingUpstreamStart()
}

// foundEntry reports whether the process's own entry was in the store when the process
// started. It returns false if that is unknown.
func (d *directory) foundEntry() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.entryFound
}

// recordDrain records in the process's own entry that the upstream with the given
// start time in Unix milliseconds drains, for the next incarnation of this process. If
// the store does not respond in time, serve writes the record later.
func (d *directory) recordDrain(upstreamStart int64) {
	d.mutex.Lock()
	d.own.RecordDrain(upstreamStart)
	d.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), recordDrainTimeout.Duration())
	defer cancel()
	if err := d.settle(ctx); err != nil {
		d.base.logger.Warn("directory-failed", zap.Error(err))
	}
}

// restoreDrain reads whether an earlier incarnation of this process has recorded a drain.
// If the store does not respond in time, serve finds the record later.
func (d *directory) restoreDrain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, restoreDrainTimeout.Duration())
	defer cancel()
	d.mutex.Lock()
	call := d.own.Read()
	d.mutex.Unlock()
	if err := d.perform(ctx, call); err != nil {
		d.base.logger.Warn("directory-failed", zap.Error(err))
	}
}

// leave removes the process's own entry. If that fails, the entry expires with its lease.
func (d *directory) leave() {
	d.mutex.Lock()
	d.own.Leave()
	d.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout.Duration())
	defer cancel()
	if err := d.settle(ctx); err != nil {
		d.base.logger.Warn("directory-failed", zap.Error(err))
	}
}
