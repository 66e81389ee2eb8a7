// Package store holds the types by which the flow path refers to states of the metadata
// store.
package store

import "cmp"

// Epoch counts how often the store has been restored from an older copy of its data. A
// restore loses the latest changes and leases, and their numbers are given out again. 0
// means that the store has not stated its epoch.
type Epoch uint64

// Revision identifies a state of the store. Numbers of different epochs cannot be compared,
// because a restore gives them out again.
type Revision struct {
	Epoch Epoch
	// Number increases with each change within an epoch. 0 means that the revision is
	// unknown or, as that of a key, that the key does not exist.
	Number uint64
}

// Compare returns a negative number if r is older than other, a positive one if it is newer,
// and 0 if they are equal. A revision of a later epoch is newer, whatever the numbers.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Number, other.Number))
}

// Lease identifies a lease.
type Lease struct {
	// Epoch is the epoch in which the lease is known to belong to this process.
	Epoch Epoch
	// ID is unique within an epoch; 0 means that there is no lease.
	ID uint64
}
