package entry_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/entry"
	"github.com/orioledyke/orioledyke/internal/flow/store"
	"github.com/orioledyke/orioledyke/internal/standin/metadata"
)

// world is a store with the processes of some hosts, on a virtual clock.
type world struct {
	c      *qt.C
	random *rand.Rand
	now    clock.Millis
	store  *metadata.Store
	hosts  []*process
	// owners maps the leases of the current epoch to their processes, and copies holds
	// older copies of the store with theirs.
	owners map[uint64]*process
	copies []storeCopy
	// late holds calls without a response that the store executes later.
	late []func()
}

type storeCopy struct {
	state  *metadata.Store
	owners map[uint64]*process
}

// process is one incarnation of the process of a host.
type process struct {
	key   string
	entry *entry.Entry
	// drained is the highest start time that RecordDrain was called with, also in earlier
	// incarnations if it was acknowledged there.
	drained int64
}

func newWorld(c *qt.C, seed uint64, hosts int) *world {
	w := &world{c: c, random: rand.New(rand.NewPCG(seed, 0)), store: metadata.New(), owners: map[uint64]*process{}}
	for i := range hosts {
		w.hosts = append(w.hosts, &process{key: fmt.Sprintf("hosts/%d", i), entry: entry.New()})
	}
	return w
}

func (w *world) takeCopy() {
	owners := map[uint64]*process{}
	for id, p := range w.owners {
		owners[id] = p
	}
	w.copies = append(w.copies, storeCopy{w.store.Copy(), owners})
}

func (w *world) restore(i int) {
	w.store.Restore(w.copies[i].state)
	w.owners = map[uint64]*process{}
	for id, p := range w.copies[i].owners {
		w.owners[id] = p
	}
	w.copies = w.copies[:i+1]
}

// execute executes a call of a process.
func (w *world) execute(p *process, call entry.Call) entry.Result {
	w.store.Expire(w.now)
	r := entry.Result{Outcome: entry.Done, Epoch: store.Epoch(w.store.Epoch())}
	transaction := metadata.Transaction{Expected: []metadata.Item{{Key: p.key, Revision: call.Expected}}}
	switch call.Action {
	case entry.Read:
		item, _ := w.store.Get(p.key)
		r.Item = entry.Item{Revision: item.Revision, Lease: item.Lease}
		r.Item.DrainingUpstreamStart, _ = strconv.ParseInt(item.Value, 10, 64)
		return r
	case entry.Grant:
		r.LeaseID = w.store.Grant(w.now, entry.TTL)
		w.owners[r.LeaseID] = p
		return r
	case entry.Renew:
		if _, ok := w.store.Renew(w.now, call.Lease.ID); !ok {
			r.Outcome = entry.NoLease
		}
		return r
	case entry.Write:
		transaction.Puts = []metadata.Item{{Key: p.key, Value: fmt.Sprint(call.DrainingUpstreamStart), Lease: call.Lease.ID}}
	case entry.Remove:
		transaction.Remove = []string{p.key}
	}
	switch w.store.Transact(transaction) {
	case metadata.Conflict:
		r.Outcome = entry.Conflict
	case metadata.NoLease:
		r.Outcome = entry.NoLease
	}
	r.Revision = w.store.Revision()
	return r
}

// step makes the call of a process that is due, and reports whether there was one. faulty
// lets calls or responses get lost.
func (w *world) step(p *process, faulty bool) bool {
	call := p.entry.Next(w.now)
	if call.Action == entry.None {
		return false
	}
	if faulty {
		switch w.random.IntN(8) {
		case 0:
			p.entry.Ended(w.now, call, entry.Result{})
			return true
		case 1:
			w.execute(p, call)
			p.entry.Ended(w.now, call, entry.Result{})
			return true
		case 2:
			w.late = append(w.late, func() { w.execute(p, call) })
			p.entry.Ended(w.now, call, entry.Result{})
			return true
		}
	}
	p.entry.Ended(w.now, call, w.execute(p, call))
	return true
}

// settle lets all processes make their calls, without faults.
func (w *world) settle() {
	for _, p := range w.hosts {
		const maxCalls = 6
		calls := 0
		for w.step(p, false) {
			calls++
			w.c.Assert(calls <= maxCalls, qt.IsTrue)
		}
	}
}

// check asserts that the entry of every host is in the store, under a lease of its own
// process and with its drain.
func (w *world) check() {
	for _, p := range w.hosts {
		item, ok := w.store.Get(p.key)
		w.c.Assert(ok, qt.IsTrue)
		w.c.Assert(w.owners[item.Lease], qt.Equals, p, qt.Commentf("%s is under lease %d", p.key, item.Lease))
		w.c.Assert(item.Value, qt.Equals, fmt.Sprint(p.drained))
	}
}

// fault lets something happen to the store or to a random process.
func (w *world) fault() {
	p := w.hosts[w.random.IntN(len(w.hosts))]
	switch w.random.IntN(12) {
	case 0:
		w.takeCopy()
	case 1:
		if len(w.copies) > 0 {
			w.restore(w.random.IntN(len(w.copies)))
		}
	case 2:
		w.store.EndLeases()
	case 3, 4:
		w.now += clock.Millis(w.random.IntN(int(2 * entry.TTL)))
	case 5:
		p.drained = max(p.drained, 1+w.random.Int64N(1000))
		p.entry.RecordDrain(p.drained)
	case 6:
		if len(w.late) > 0 {
			i := w.random.IntN(len(w.late))
			w.late[i]()
			w.late = append(w.late[:i], w.late[i+1:]...)
		}
	case 7:
		p.entry.Unlisted(w.now)
	default:
		w.step(p, true)
	}
}

// Guards against entries that are missing, under the lease of another host or without their
// drain after restores, lapsed leases, and calls that are lost or executed late.
func TestEntriesAreKeptUnderFaults(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(qt.New(t), seed, 4)
			for range 10 {
				for range 60 {
					w.fault()
				}
				// A process learns of a restore or a lapsed lease from its list or from
				// any call.
				for _, p := range w.hosts {
					p.entry.Verify()
				}
				w.settle()
				w.check()
			}
		})
	}
}

// Guards against a process that renews or ends what belongs to another host, because the
// store has given out the ID of its lease again.
func TestLeaseOfEarlierEpochIsNotUsed(t *testing.T) {
	w := newWorld(qt.New(t), 1, 2)
	first, second := w.hosts[0], w.hosts[1]
	w.takeCopy()
	for w.step(first, false) {
	}
	w.restore(0)
	for w.step(second, false) {
	}
	held, _ := w.store.Get(second.key)
	first.entry.Verify()
	for call := first.entry.Next(w.now); call.Action != entry.None; call = first.entry.Next(w.now) {
		w.c.Assert(call.Action != entry.Renew, qt.IsTrue)
		w.c.Assert(call.Action != entry.Write || call.Lease.ID != held.Lease, qt.IsTrue)
		w.step(first, false)
	}
	w.check()
	first.entry.Leave()
	for w.step(first, false) {
	}
	_, kept := w.store.Get(second.key)
	w.c.Assert(kept, qt.IsTrue)
	_, left := w.store.Get(first.key)
	w.c.Assert(left, qt.IsFalse)
}

// Guards against a restore that a process does not notice, because the store accepts the
// renewal of a lease that now belongs to another host.
func TestRenewalOfReusedLeaseShowsRestore(t *testing.T) {
	w := newWorld(qt.New(t), 1, 2)
	w.takeCopy()
	for w.step(w.hosts[0], false) {
	}
	w.restore(0)
	for w.step(w.hosts[1], false) {
	}
	w.now += entry.RenewInterval
	w.settle()
	w.check()
}

// Guards against an entry that is kept under the lease of another host, because its ID is
// that of the process's own lease of an earlier epoch.
func TestEntryUnderForeignLeaseIsWrittenAgain(t *testing.T) {
	c := qt.New(t)
	for _, found := range []entry.Item{{Revision: 12, Lease: 7}, {Revision: 11, Lease: 8}} {
		e := entry.New()
		done := func(call entry.Call, r entry.Result) {
			r.Outcome = entry.Done
			e.Ended(0, call, r)
		}
		done(e.Next(0), entry.Result{Epoch: 1})
		done(e.Next(0), entry.Result{Epoch: 1, LeaseID: 7})
		done(e.Next(0), entry.Result{Epoch: 1, Revision: 11})
		e.Verify()
		done(e.Next(0), entry.Result{Epoch: 2, Item: found})
		c.Assert(e.Next(0), qt.Equals, entry.Call{Action: entry.Grant})
	}
}

// Guards against a restore after which all hosts write their entries, although the copy has
// them: the store takes far fewer writes than reads.
func TestRestoredEntryIsNotWrittenAgain(t *testing.T) {
	w := newWorld(qt.New(t), 1, 1)
	w.settle()
	w.takeCopy()
	w.now += 9 * clock.Second
	w.restore(0)
	p := w.hosts[0]
	p.entry.Verify()
	var actions []entry.Action
	for call := p.entry.Next(w.now); call.Action != entry.None; call = p.entry.Next(w.now) {
		actions = append(actions, call.Action)
		w.step(p, false)
	}
	w.c.Assert(actions, qt.DeepEquals, []entry.Action{entry.Read, entry.Renew})
	w.check()
}

// Guards against the record of a drain that is overwritten by an earlier write, whose
// response was lost and which the store executes late.
func TestLateWriteDoesNotUndoDrain(t *testing.T) {
	w := newWorld(qt.New(t), 1, 1)
	p := w.hosts[0]
	w.step(p, false)
	w.step(p, false)
	call := p.entry.Next(w.now)
	w.c.Assert(call.Action, qt.Equals, entry.Write)
	p.entry.Ended(w.now, call, entry.Result{})
	p.drained = 123
	p.entry.RecordDrain(p.drained)
	w.settle()
	w.execute(p, call)
	w.check()
}

// Guards against a lost entry that is not missed, because a read was executed before the
// restore and its response arrives after the news of it.
func TestReadBeforeRestoreDoesNotCount(t *testing.T) {
	w := newWorld(qt.New(t), 1, 1)
	p := w.hosts[0]
	w.takeCopy()
	w.settle()
	p.entry.Verify()
	call := p.entry.Next(w.now)
	result := w.execute(p, call)
	w.restore(0)
	p.entry.Verify()
	p.entry.Ended(w.now, call, result)
	w.settle()
	w.check()
}

// Guards against a write that fails forever, because an earlier one was executed without a
// response and has changed the revision.
func TestWriteWithoutResponseIsFoundLater(t *testing.T) {
	w := newWorld(qt.New(t), 1, 1)
	p := w.hosts[0]
	w.step(p, false)
	w.step(p, false)
	call := p.entry.Next(w.now)
	w.c.Assert(call.Action, qt.Equals, entry.Write)
	w.execute(p, call)
	p.entry.Ended(w.now, call, entry.Result{})
	w.settle()
	w.check()
}

// Guards against an incarnation that overwrites the drain that an earlier one has recorded.
func TestRestartKeepsDrain(t *testing.T) {
	w := newWorld(qt.New(t), 1, 1)
	p := w.hosts[0]
	p.drained = 123
	p.entry.RecordDrain(p.drained)
	w.settle()
	p.entry = entry.New()
	w.settle()
	w.check()
	w.c.Assert(p.entry.DrainingUpstreamStart(), qt.Equals, int64(123))
}
