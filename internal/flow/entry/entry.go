// Package entry decides how a process keeps the entry of its own host in the store's
// directory, under a lease. It does no input or output: the caller makes the calls and
// passes in their results and the time.
package entry

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/store"
)

const (
	// TTL is how long the entry remains in the store after its last renewal. An outdated
	// entry costs other hosts only an occasional datagram.
	TTL = clock.Minute
	// RenewInterval is the time between two renewals of the lease.
	RenewInterval = 20 * clock.Second
	// unlistedGrace is the time after a renewal in which a list without the entry is
	// ignored, because lists may be seconds old.
	unlistedGrace = 5 * clock.Second
)

// Item is the entry as the store holds it. The zero value means that there is none.
type Item struct {
	// Revision is the number of the entry's last change.
	Revision uint64
	// Lease is the ID of the lease with which the entry ends.
	Lease uint64
	// DrainingUpstreamStart is the start time of the newest upstream on the host that has
	// reported that it drains, in Unix milliseconds; 0 if none has.
	DrainingUpstreamStart int64
}

// Action is what a call to the store does.
type Action int

// Actions.
const (
	// None means that no call is due.
	None Action = iota
	// Read reads the entry.
	Read
	// Grant creates a lease with TTL.
	Grant
	// Write writes the entry if it is at the expected revision.
	Write
	// Renew renews the lease.
	Renew
	// Remove removes the entry if it is at the expected revision.
	Remove
)

// Call is a call to the store. Action determines which other fields are set.
type Call struct {
	Action Action
	Lease  store.Lease
	// Expected is the revision number that the entry must have for Write and Remove; 0
	// means that there must be no entry.
	Expected              uint64
	DrainingUpstreamStart int64
	// verifyCount is the number of calls of Verify before a Read.
	verifyCount int
}

// Outcome is the outcome of a call.
type Outcome int

// Outcomes.
const (
	// Unknown means that no usable response arrived. The call may have been executed or
	// may be executed later.
	Unknown Outcome = iota
	// Done means that the call was executed.
	Done
	// Conflict means that the entry is not at the expected revision.
	Conflict
	// NoLease means that the lease does not exist.
	NoLease
)

// Result is the result of a call.
type Result struct {
	Outcome Outcome
	// Epoch is that of the response.
	Epoch store.Epoch
	// Item is the result of Read, LeaseID that of Grant, and Revision that of Write.
	Item              Item
	LeaseID, Revision uint64
}

// Entry is the state of the entry. It is not safe for concurrent use, but several calls may
// be in progress: each write and removal is conditional on what was read before, so that
// neither a concurrent call nor one that the store executes late undoes a newer one.
//
// After a restore of the store, the lease's ID may belong to another host. The lease counts
// as the process's own only if a read in the same epoch has shown the entry under it, or it
// was granted in that epoch.
type Entry struct {
	// item is the entry as last known in the epoch. It may have changed unless known is set.
	item  Item
	epoch store.Epoch
	known bool
	// verifyCount is the number of calls of Verify.
	verifyCount int
	// lease is the process's own lease; its ID is 0 if there is none. held is set if the
	// process has written the entry under it.
	lease       store.Lease
	held        bool
	lastRenewal clock.Millis
	// drainingUpstreamStart is what the entry has to hold.
	drainingUpstreamStart int64
	leaving               bool
}

// New returns an Entry of which nothing is known yet.
func New() *Entry { return &Entry{} }

// DrainingUpstreamStart returns the start time that the entry holds or will hold, 0 if there
// is none.
func (e *Entry) DrainingUpstreamStart() int64 { return e.drainingUpstreamStart }

// RecordDrain makes the entry hold the start time of an upstream that drains, unless it
// holds that of a newer one.
func (e *Entry) RecordDrain(upstreamStart int64) {
	e.drainingUpstreamStart = max(e.drainingUpstreamStart, upstreamStart)
}

// Verify makes the next call a read, because the entry or the lease may have been lost. A
// read in progress does not count, because it may have been executed before.
func (e *Entry) Verify() {
	e.known = false
	e.verifyCount++
}

// Unlisted records that a list of the store, which may be seconds old, lacks the entry.
func (e *Entry) Unlisted(now clock.Millis) {
	if now-e.lastRenewal > unlistedGrace {
		e.Verify()
	}
}

// Leave makes the next calls remove the entry for good.
func (e *Entry) Leave() { e.leaving = true }

// Next returns the call that is due.
func (e *Entry) Next(now clock.Millis) Call {
	switch {
	case !e.known:
		return e.Read()
	case e.leaving && e.item.Revision == 0:
		return Call{}
	case e.leaving:
		return Call{Action: Remove, Expected: e.item.Revision}
	case e.lease.ID == 0:
		return Call{Action: Grant}
	case e.item.Lease != e.lease.ID || e.item.DrainingUpstreamStart != e.drainingUpstreamStart:
		return Call{
			Action: Write, Lease: e.lease, Expected: e.item.Revision, DrainingUpstreamStart: e.drainingUpstreamStart,
		}
	case now-e.lastRenewal >= RenewInterval:
		return Call{Action: Renew, Lease: e.lease}
	}
	return Call{}
}

// Read returns a call that reads the entry, whether or not one is due.
func (e *Entry) Read() Call { return Call{Action: Read, verifyCount: e.verifyCount} }

// Ended records the result of a call.
func (e *Entry) Ended(now clock.Millis, call Call, r Result) {
	if r.Outcome == Unknown {
		return
	}
	// A conflict also follows a write that was executed without a response.
	if call.Action != Read && (r.Epoch != e.epoch || r.Outcome != Done) {
		e.Verify()
	}
	if r.Outcome == NoLease {
		e.dropLease(call.Lease)
	}
	if r.Outcome != Done {
		return
	}
	switch call.Action {
	case Read:
		e.read(now, r)
		e.known = call.verifyCount == e.verifyCount
	case Grant:
		e.lease, e.held, e.lastRenewal = store.Lease{Epoch: r.Epoch, ID: r.LeaseID}, false, now
	case Write:
		e.wrote(call, r)
	case Renew:
		e.lastRenewal = now
	case Remove:
		e.item = Item{}
	}
}

// read takes over what a read has shown, and drops the lease if it is not, or no longer, the
// process's own.
func (e *Entry) read(now clock.Millis, r Result) {
	underLease := e.lease.ID != 0 && r.Item.Lease == e.lease.ID
	switch {
	case r.Epoch == e.lease.Epoch:
		e.held = underLease
	case e.held && underLease && r.Item.Revision == e.item.Revision:
		// The copy had the entry and therefore the lease, with the renewals of that time.
		e.lease.Epoch, e.lastRenewal = r.Epoch, now-RenewInterval
	default:
		e.dropLease(e.lease)
	}
	e.item, e.epoch = r.Item, r.Epoch
	e.RecordDrain(r.Item.DrainingUpstreamStart)
}

// wrote takes over what a write has made of the entry. If the store was restored after the
// lease was granted, the entry may be under the lease of another host.
func (e *Entry) wrote(call Call, r Result) {
	if r.Epoch != call.Lease.Epoch {
		e.dropLease(call.Lease)
		return
	}
	e.item = Item{Revision: r.Revision, Lease: call.Lease.ID, DrainingUpstreamStart: call.DrainingUpstreamStart}
	e.held = call.Lease == e.lease
}

// dropLease drops a lease unless another one has taken its place.
func (e *Entry) dropLease(lease store.Lease) {
	if e.lease == lease {
		e.lease, e.held = store.Lease{}, false
	}
}
