package fleet

import (
	"errors"
	"fmt"
	"maps"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/orioledyke/orioledyke/internal/standin/metadata"
)

const (
	// storeTimeout is how long a host waits for a response of the store, in addition to the
	// wait of a watch.
	storeTimeout clock.Millis = 700
	// maxExecutionDelay is the longest time after which a call without a response is
	// executed.
	maxExecutionDelay = 6 * clock.Second
	// copyInterval is the time between two copies of the store, and maxCopies is the number
	// that is kept.
	copyInterval = clock.Second
	maxCopies    = 12
	// operatorPrefix is the prefix of the keys that the operator writes: his configuration,
	// and a key for each evacuated data centre.
	operatorPrefix   = "op/"
	configurationKey = operatorPrefix + "config"
	evacuationPrefix = operatorPrefix + "evacuate/"
	// applyLimit is the time within which a configuration must be in effect on each
	// balancer that another one or the store could tell of it.
	applyLimit = 4 * clock.Second
	// drainRecordLimit is the time within which an acknowledged drain must be in the store.
	drainRecordLimit = 2 * clock.Second
	// versionInterval is the time between two checks of the versions in effect.
	versionInterval clock.Millis = 500
)

// StoreFault is a fault of the store, for all hosts or for one.
type StoreFault int

// Faults of the store.
const (
	// StoreWorks executes each call and responds.
	StoreWorks StoreFault = iota
	// StoreRefuses executes nothing and responds with an error.
	StoreRefuses
	// StoreSilent executes nothing and does not respond.
	StoreSilent
	// StoreLosesResponses executes half of the calls late or without a response.
	StoreLosesResponses
	// StoreFaultCount is the number of faults.
	StoreFaultCount
)

var (
	errStoreRefused = errors.New("fleet: store has refused the call")
	errStoreSilent  = errors.New("fleet: store has not responded")
)

// storeHost is the host of the metadata store.
type storeHost struct {
	cluster *Cluster
	state   *metadata.Store
	fault   StoreFault
	// owners maps the leases of the epoch to the keys of the hosts that hold them.
	owners map[uint64]string
	// copies are older copies, the newest last.
	copies  []storeCopy
	watches []*watch
	// configurations holds the configuration of each version.
	configurations map[uint64]route.Config
	// undisturbedSince is the time of the last fault, restore or end of a fault.
	undisturbedSince clock.Millis
	// calls is the number of calls so far.
	calls int
	// lapsedAt is when leases have ended without notice.
	lapsedAt clock.Millis
	// written holds the versions that the operator has written.
	written versionHistory
	// evacuations holds the evacuations that the operator has requested and not withdrawn, and
	// since when.
	evacuations map[string]clock.Millis
}

// versionHistory holds versions and since when they are known, the newest last.
type versionHistory []knownVersion

type knownVersion struct {
	version uint64
	since   clock.Millis
}

// add adds a version unless it is known.
func (h *versionHistory) add(now clock.Millis, version uint64) {
	if n := len(*h); n == 0 || (*h)[n-1].version < version {
		*h = append(*h, knownVersion{version, now})
	}
}

// at returns the version that was known at a time, 0 if none was.
func (h versionHistory) at(time clock.Millis) uint64 {
	var version uint64
	for _, k := range h {
		if k.since <= time {
			version = k.version
		}
	}
	return version
}

type storeCopy struct {
	state  *metadata.Store
	owners map[uint64]string
}

// watch is a watch of the operator's keys that waits at the store.
type watch struct {
	client   *storeClient
	after    uint64
	accepted bool
	// respond ends the watch. It does nothing after the first call.
	respond func(events []metadata.Item, available bool, err error)
}

// storeClient is a process that calls the store.
type storeClient struct {
	// alive reports whether the process still runs. whenRunning calls a function now or at
	// the end of a pause.
	alive       func() bool
	whenRunning func(func())
	// fault is that of the store towards this process. undisturbedSince is the time of its
	// last change.
	fault            StoreFault
	undisturbedSince clock.Millis
}

func newStoreHost(c *Cluster) *storeHost {
	s := &storeHost{cluster: c, state: metadata.New(), owners: map[uint64]string{}, configurations: map[uint64]route.Config{}, evacuations: map[string]clock.Millis{}}
	s.writeConfiguration()
	s.keepCopies()
	c.after(versionInterval, s.checkVersions)
	return s
}

// checkVersions records a violation for each balancer that reverts, or has an older version
// than another one or the store had applyLimit before. Both balancers must have run all the
// while, and the store must have served the balancer without a fault.
func (s *storeHost) checkVersions() {
	c := s.cluster
	then := c.now - applyLimit
	var newest uint64
	for _, b := range c.balancers {
		if b.runsSince(then) && b.cutUntil <= then {
			newest = max(newest, b.learner.applied.at(then))
		}
	}
	for _, b := range c.balancers {
		if !b.runsSince(then) {
			continue
		}
		expected := uint64(0)
		if b.cutUntil <= then {
			expected = newest
		}
		if s.undisturbedSince <= then && b.client.undisturbedSince <= then && s.faultFor(b.client) == StoreWorks {
			expected = max(expected, s.written.at(then))
		}
		if version := b.logic.Table().Version(); version < expected {
			c.recordViolation("balancer %d has version %d, and %d was known for %d ms\n%s", b.index, version, expected, applyLimit, &b.timeline)
		}
	}
	s.checkDrains(c.now - drainRecordLimit)
	c.after(versionInterval, s.checkVersions)
}

// runsSince reports whether the process has run without a pause since a time.
func (b *balancerHost) runsSince(time clock.Millis) bool {
	return b.up && b.startedAt <= time && b.pausedUntil <= time
}

// checkDrains records a violation for each drain that was acknowledged before a time and is
// not in the store, although the sidecar and the store have worked since. A host that loses
// its lease without notice misses its entry only when it reads the list again.
func (s *storeHost) checkDrains(then clock.Millis) {
	lapsed := s.lapsedAt > 0 && s.lapsedAt+listInterval+listJitter > then
	if s.undisturbedSince > then || s.fault != StoreWorks || lapsed {
		return
	}
	for _, u := range s.cluster.upstreams {
		if u.removed || !u.sidecarUp || max(u.sidecarStartedAt, u.pausedUntil) > then || u.drainAcknowledgedAt == 0 || u.drainAcknowledgedAt > then {
			continue
		}
		if item, _ := s.state.Get(u.keeper.key); item.Value != fmt.Sprint(u.startedAt) {
			s.cluster.recordViolation("%s records the drain %q instead of %d\n%s", u.keeper.key, item.Value, u.startedAt, &u.timeline)
		}
	}
}

// writeConfiguration writes the current configuration as an operator does.
func (s *storeHost) writeConfiguration() {
	version := s.cluster.version
	s.configurations[version] = route.Config{Version: version, Routes: s.cluster.targets.routes()}
	s.written.add(s.cluster.now, version)
	s.state.Put(configurationKey, fmt.Sprint(version))
	s.wakeWatches()
}

func (s *storeHost) keepCopies() {
	s.copies = append(s.copies, storeCopy{s.state.Copy(), maps.Clone(s.owners)})
	s.copies = s.copies[max(len(s.copies)-maxCopies, 0):]
	s.cluster.after(copyInterval, s.keepCopies)
}

// call sends a call to the store. done gets an error if no response arrives.
func (s *storeHost) call(client *storeClient, execute func(*metadata.Store), done func(error)) {
	c := s.cluster
	s.calls++
	finish := func(delay clock.Millis, err error) {
		c.after(delay, func() {
			client.whenRunning(func() {
				if client.alive() {
					done(err)
				}
			})
		})
	}
	c.after(s.delay(), func() {
		switch s.faultFor(client) {
		case StoreRefuses:
			finish(s.delay(), errStoreRefused)
			return
		case StoreSilent:
			finish(storeTimeout, errStoreSilent)
			return
		case StoreLosesResponses:
			if late := c.random.IntN(4); late < 2 {
				c.after(clock.Millis(late*c.random.IntN(int(maxExecutionDelay))), func() { s.execute(execute) })
				finish(storeTimeout, errStoreSilent)
				return
			}
		}
		s.execute(execute)
		finish(s.delay(), nil)
	})
}

func (s *storeHost) execute(call func(*metadata.Store)) {
	s.state.Expire(s.cluster.now)
	call(s.state)
	s.wakeWatches()
}

// endLease ends a lease for the host with the given key.
func (s *storeHost) endLease(key string, id uint64) {
	if owner := s.owners[id]; owner != key {
		s.cluster.recordViolation("%s ended the lease of %q", key, owner)
	}
	s.execute(func(state *metadata.Store) { state.EndLease(id) })
}

func (s *storeHost) delay() clock.Millis { return clock.Millis(1 + s.cluster.random.IntN(maxDelay)) }

// faultFor returns the fault of the store towards a process.
func (s *storeHost) faultFor(client *storeClient) StoreFault {
	if s.fault != StoreWorks {
		return s.fault
	}
	return client.fault
}

// wait lets a watch wait until there are events or its time has passed.
func (s *storeHost) wait(w *watch, duration clock.Millis) {
	s.watches = append(s.watches, w)
	s.cluster.after(duration, func() { s.answer(w, true) })
	s.wakeWatches()
}

// wakeWatches ends the watches that have events or whose history is lost.
func (s *storeHost) wakeWatches() {
	waiting := s.watches
	s.watches = nil
	for _, w := range waiting {
		if !s.answer(w, false) {
			s.watches = append(s.watches, w)
		}
	}
}

// answer responds to a watch if there are events, its history is lost or its time has
// passed, unless the store is silent. It reports whether the watch is over. Whether the
// store has the revision of the watch is checked when the watch arrives, so that it goes on
// across a restore.
func (s *storeHost) answer(w *watch, timedOut bool) bool {
	events, available := s.state.Events(operatorPrefix, w.after)
	available = available || (w.accepted && w.after > s.state.Revision())
	w.accepted = true
	if len(events) == 0 && available && !timedOut {
		return false
	}
	switch s.faultFor(w.client) {
	case StoreSilent:
		if timedOut {
			s.cluster.after(storeTimeout, func() { w.respond(nil, true, errStoreSilent) })
		}
		return timedOut
	case StoreRefuses:
		w.respond(nil, true, errStoreRefused)
		return true
	}
	w.respond(events, available, nil)
	return true
}

// StoreCalls returns the number of calls of all hosts to the store so far, with one for each
// watch.
func (c *Cluster) StoreCalls() int { return c.store.calls }

// ConfigurationApplied reports whether the newest configuration is in effect on all
// balancers that run.
func (c *Cluster) ConfigurationApplied() bool {
	for _, b := range c.balancers {
		if b.up && c.now >= b.pausedUntil && b.logic.Table().Version() < c.version {
			return false
		}
	}
	return true
}

// SetStoreFault replaces the fault of the store. Waiting watches are cut if cut is set.
func (c *Cluster) SetStoreFault(fault StoreFault, cut bool) {
	s := c.store
	s.fault, s.undisturbedSince = fault, c.now
	if cut {
		waiting := s.watches
		s.watches = nil
		for _, w := range waiting {
			w.respond(nil, true, errStoreRefused)
		}
	}
}

// TurnAway replaces the fault of the store towards one balancer.
func (c *Cluster) TurnAway(balancer int, fault StoreFault) {
	client := c.balancers[balancer].client
	client.fault, client.undisturbedSince = fault, c.now
}

// WriteOtherKeys makes changes of the store that concern neither the configuration nor the
// hosts, as upstreams do that announce themselves elsewhere.
func (c *Cluster) WriteOtherKeys(count int) {
	for range count {
		c.store.state.Put("other", "")
	}
}

// CompactStore drops the history of the store.
func (c *Cluster) CompactStore() { c.store.state.Compact() }

// EndLeases ends all leases, as if none had been renewed in time.
func (c *Cluster) EndLeases() {
	c.store.lapsedAt = c.now
	c.store.execute((*metadata.Store).EndLeases)
}

// RestoreStore restores the store from the copy with the given age, 0 being the newest. The
// operator writes his keys again after rewriteDelay, or not at all if that is negative.
// Watches go on.
func (c *Cluster) RestoreStore(age int, rewriteDelay clock.Millis) {
	s := c.store
	from := s.copies[max(len(s.copies)-1-age, 0)]
	s.state.Restore(from.state)
	s.owners, s.undisturbedSince = maps.Clone(from.owners), c.now
	s.wakeWatches()
	if rewriteDelay >= 0 {
		c.after(rewriteDelay, func() {
			s.writeConfiguration()
			s.writeEvacuations()
		})
	}
}
