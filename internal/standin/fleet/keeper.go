package fleet

import (
	"fmt"
	"strconv"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/entry"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/store"
	"github.com/orioledyke/orioledyke/internal/standin/metadata"
)

const (
	// listInterval is the shortest time between two reads of the list of hosts, and
	// listJitter is the longest that is added to it.
	listInterval = 10 * clock.Second
	listJitter   = 3 * clock.Second
	// callRetryInterval is the time after which a failed call is repeated.
	callRetryInterval clock.Millis = 500
	// announceTime is how long a balancer announces a restore of the store.
	announceTime = 5 * clock.Second
	// outageVerifyInterval is the shortest time between two checks of the entry for announced
	// outages, and verifyTimePerHost the time in ms that each host adds to their spread.
	outageVerifyInterval = 6 * clock.Second
	verifyTimePerHost    = 5
	// restoreDrainTimeout is how long a sidecar waits for the store at its start before it
	// accepts new flows.
	restoreDrainTimeout clock.Millis = 400
)

// keeper keeps the entry of a host in the store in one incarnation of its process.
type keeper struct {
	cluster *Cluster
	key     string
	client  *storeClient
	entry   *entry.Entry
	// onDrain is called when a read has found a drain; nil for a balancer.
	onDrain func(upstreamStart int64)
	// onAnnouncement is called when a balancer announces a restore; nil for a balancer.
	onAnnouncement func()
	// onRestore is called when the process has noticed a restore; nil for a sidecar.
	onRestore func()
	// epoch is the newest that the store has stated, and announced the newest that a
	// balancer has announced.
	epoch, announced store.Epoch
	announceUntil    clock.Millis
	// outageUntil is the end of the announcements of the last outage, and outageVerifiedAt is
	// when such an announcement last made the process check its entry.
	outageUntil, outageVerifiedAt clock.Millis
	// onList is called at the store with each list of the hosts, and returns what is to be
	// done when the response has arrived; nil for a balancer.
	onList func(*metadata.Store) func()
	// onFirstRead is called when the first read of the entry has ended.
	onFirstRead func()
	// found is set if the first read has found the entry. entryRead is set after that read.
	found, entryRead bool
	// failed is set from a failed call until the next one that succeeds.
	failed bool
	// calling is set while a call is in progress.
	calling bool
	// leaseID is that of the last lease that was granted.
	leaseID  uint64
	timeline *timeline
}

func newKeeper(c *Cluster, key string, client *storeClient, t *timeline) *keeper {
	k := &keeper{cluster: c, key: key, client: client, entry: entry.New(), timeline: t, onFirstRead: func() {}}
	k.settle()
	k.scheduleList()
	return k
}

func (k *keeper) after(d clock.Millis, run func()) {
	k.cluster.after(d, func() {
		k.client.whenRunning(func() {
			if k.client.alive() {
				run()
			}
		})
	})
}

// settle makes the calls that the entry needs, one after the other.
func (k *keeper) settle() {
	call := k.entry.Next(k.cluster.now)
	if k.calling || call.Action == entry.None {
		return
	}
	k.calling = true
	k.timeline.add(k.cluster.now, "entry: %+v", call)
	var result entry.Result
	k.cluster.store.call(k.client, func(state *metadata.Store) { result = k.execute(state, call) }, func(err error) {
		k.calling = false
		if err != nil {
			k.failed = true
			k.entry.Ended(k.cluster.now, call, entry.Result{})
			k.after(callRetryInterval, k.settle)
			return
		}
		k.timeline.add(k.cluster.now, "entry: %+v", result)
		if call.Action == entry.Read && !k.entryRead {
			k.entryRead, k.found = true, result.Item.Revision > 0
			k.onFirstRead()
		}
		k.succeeded()
		known := k.entry.DrainingUpstreamStart()
		k.observe(result.Epoch)
		k.entry.Ended(k.cluster.now, call, result)
		if found := k.entry.DrainingUpstreamStart(); found > known && k.onDrain != nil {
			k.onDrain(found)
		}
		k.settle()
	})
}

// execute executes a call at the store.
func (k *keeper) execute(state *metadata.Store, call entry.Call) entry.Result {
	owners := k.cluster.store.owners
	r := entry.Result{Outcome: entry.Done, Epoch: store.Epoch(state.Epoch())}
	transaction := metadata.Transaction{Expected: []metadata.Item{{Key: k.key, Revision: call.Expected}}}
	switch call.Action {
	case entry.Read:
		item, _ := state.Get(k.key)
		r.Item = entry.Item{Revision: item.Revision, Lease: item.Lease}
		r.Item.DrainingUpstreamStart, _ = strconv.ParseInt(item.Value, 10, 64)
		return r
	case entry.Grant:
		r.LeaseID = state.Grant(k.cluster.now, entry.TTL)
		owners[r.LeaseID], k.leaseID = k.key, r.LeaseID
		return r
	case entry.Renew:
		if _, ok := state.Renew(k.cluster.now, call.Lease.ID); !ok {
			r.Outcome = entry.NoLease
		} else if owners[call.Lease.ID] != k.key && k.epoch == r.Epoch {
			k.cluster.recordViolation("%s renewed the lease of %s", k.key, owners[call.Lease.ID])
		}
		return r
	case entry.Write:
		drain := call.DrainingUpstreamStart
		if k.cluster.config.Mutant == DrainUnrecorded {
			drain = 0
		}
		transaction.Puts = []metadata.Item{{Key: k.key, Value: fmt.Sprint(drain), Lease: call.Lease.ID}}
	case entry.Remove:
		transaction.Remove = []string{k.key}
	}
	switch state.Transact(transaction) {
	case metadata.Conflict:
		r.Outcome = entry.Conflict
	case metadata.NoLease:
		r.Outcome = entry.NoLease
	}
	r.Revision = state.Revision()
	return r
}

// scheduleList reads the list of hosts after its interval.
func (k *keeper) scheduleList() {
	k.after(listInterval+clock.Millis(k.cluster.random.IntN(int(listJitter))), func() { k.readList(k.scheduleList) })
}

// readList reads the list of hosts and calls done.
func (k *keeper) readList(done func()) {
	var listed bool
	var epoch store.Epoch
	onResponse := func() {}
	k.cluster.store.call(k.client, func(state *metadata.Store) {
		_, listed = state.Get(k.key)
		epoch = store.Epoch(state.Epoch())
		if k.onList != nil {
			onResponse = k.onList(state)
		}
	}, func(err error) {
		if err == nil {
			onResponse()
			k.observe(epoch)
			if !listed && k.cluster.config.Mutant != EntryUnverified {
				k.entry.Unlisted(k.cluster.now)
			}
			k.succeeded()
			k.settle()
		} else {
			k.failed = true
		}
		done()
	})
}

// succeeded records a call that has succeeded. After a failed one, the store may have been
// away for long enough to lose entries.
func (k *keeper) succeeded() {
	if k.failed {
		k.failed = false
		k.look()
	}
}

// look reads the list of hosts and the entry soon.
func (k *keeper) look() {
	k.after(k.spread(), func() {
		k.verify()
		k.readList(func() {})
	})
}

// spread returns a random wait before calls that all hosts may make at that time.
func (k *keeper) spread() clock.Millis {
	hosts := len(k.cluster.balancers) + len(k.cluster.upstreams)
	return clock.Millis(1 + k.cluster.random.IntN(verifyTimePerHost*hosts))
}

// announceOutage begins to announce that the store works again.
func (k *keeper) announceOutage() { k.outageUntil = k.cluster.now + announceTime }

// handleOutage handles such an announcement.
func (k *keeper) handleOutage() {
	if k.outageVerifiedAt > 0 && k.cluster.now-k.outageVerifiedAt < outageVerifyInterval {
		return
	}
	k.outageVerifiedAt = k.cluster.now
	k.timeline.add(k.cluster.now, "announced outage")
	k.after(k.spread(), k.verify)
}

// observe records the epoch that a response of the store states.
func (k *keeper) observe(epoch store.Epoch) {
	before := k.epoch
	if epoch <= before {
		return
	}
	k.epoch = epoch
	if before == 0 {
		return
	}
	k.timeline.add(k.cluster.now, "store restored, epoch %d", epoch)
	k.announceUntil = k.cluster.now + announceTime
	k.verify()
	if k.onRestore != nil {
		k.onRestore()
	}
}

func (k *keeper) verify() {
	if m := k.cluster.config.Mutant; m == EntryUnverified || m == LeaseEnded {
		return
	}
	k.entry.Verify()
	k.after(1, k.settle)
}

// announce tells all hosts that the store was restored or works again, for announceTime.
func (k *keeper) announce() {
	epoch := k.epoch
	switch {
	case k.cluster.now < k.announceUntil:
		k.tellAll(func(other *keeper) { other.handleAnnouncement(epoch) })
	case k.cluster.now < k.outageUntil:
		k.tellAll((*keeper).handleOutage)
	}
}

func (k *keeper) tellAll(handle func(*keeper)) {
	for _, b := range k.cluster.balancers {
		b.receive(func() { handle(b.keeper) })
	}
	for _, u := range k.cluster.upstreams {
		if !u.removed {
			u.receive(func() { handle(u.keeper) })
		}
	}
}

func (k *keeper) handleAnnouncement(epoch store.Epoch) {
	if k.onAnnouncement != nil {
		k.onAnnouncement()
	}
	if k.epoch == 0 || epoch <= max(k.epoch, k.announced) {
		return
	}
	k.announced = epoch
	k.timeline.add(k.cluster.now, "announced epoch %d", epoch)
	k.verify()
}

// recordDrain records that the upstream with the given start time drains.
func (k *keeper) recordDrain(upstreamStart int64) {
	k.entry.RecordDrain(upstreamStart)
	k.settle()
}

// leave removes the entry at the end of the process.
func (k *keeper) leave() {
	if k.cluster.config.Mutant == LeaseEnded {
		k.cluster.store.endLease(k.key, k.leaseID)
		return
	}
	k.entry.Leave()
	k.settle()
}

// startKeeping connects an incarnation of the sidecar with the store.
func (u *upstreamHost) startKeeping() {
	incarnation := u.sidecarIncarnation
	client := &storeClient{
		alive:       func() bool { return u.sidecarUp && u.sidecarIncarnation == incarnation && !u.removed },
		whenRunning: u.whenRunning,
	}
	u.timeline.add(u.cluster.now, "started")
	u.keeper = newKeeper(u.cluster, fmt.Sprint("sidecars/", u.index), client, &u.timeline)
	u.keeper.onList = u.readBalancers
	u.keeper.onAnnouncement = func() {
		if u.cluster.now-u.sidecarStartedAt < announceTime {
			u.registration.RequireTwo()
			u.applyRegistration()
		}
	}
	u.keeper.onFirstRead = func() {
		clear(u.rostersSent)
		for _, b := range u.cluster.balancers {
			if u.knows(b) {
				u.sendRoster(b)
			}
		}
	}
	u.keeper.after(0, func() { u.keeper.readList(func() {}) })
	u.keeper.onDrain = func(upstreamStart int64) {
		u.registration.RestoreDrain(upstreamStart)
		u.applyRegistration()
	}
	u.cluster.after(restoreDrainTimeout, func() {
		if client.alive() {
			u.drainRestored = true
			u.applyRegistration()
		}
	})
}

// applyRegistration lets the sidecar accept or refuse new flows as the upstream's state
// demands.
func (u *upstreamHost) applyRegistration() {
	_, known := u.registration.Current()
	switch {
	case !known:
	case u.registration.Accepting():
		if !u.sidecarStopping && u.drainRestored {
			u.logic.Accept()
		}
	case u.cluster.config.Mutant != DrainIgnored:
		u.logic.Refuse(relay.ReasonDraining)
	}
}

// MissingEntries returns the number of running hosts without an entry.
func (c *Cluster) MissingEntries() int {
	missing := 0
	count := func(running bool, k *keeper) {
		if _, ok := c.store.state.Get(k.key); running && !ok {
			missing++
		}
	}
	for _, b := range c.balancers {
		count(b.up && !b.draining, b.keeper)
	}
	for _, u := range c.upstreams {
		count(u.sidecarUp && !u.removed, u.keeper)
	}
	return missing
}

// CheckDirectory records a violation for each running host whose entry is missing, under the
// lease of another host, or without its drain.
func (c *Cluster) CheckDirectory() {
	check := func(k *keeper) {
		item, ok := c.store.state.Get(k.key)
		switch {
		case !ok:
			c.recordViolation("%s has no entry\n%s", k.key, k.timeline)
		case c.store.owners[item.Lease] != k.key:
			c.recordViolation("%s is under the lease of %q\n%s", k.key, c.store.owners[item.Lease], k.timeline)
		case item.Value != fmt.Sprint(k.entry.DrainingUpstreamStart()):
			c.recordViolation("%s records the drain %s instead of %d\n%s", k.key, item.Value, k.entry.DrainingUpstreamStart(), k.timeline)
		}
	}
	for _, b := range c.balancers {
		if b.up && !b.draining {
			check(b.keeper)
		}
	}
	for _, u := range c.upstreams {
		if u.sidecarUp && !u.removed {
			check(u.keeper)
		}
	}
}
