// Package store holds the types by which the flow path refers to states of the metadata
// store.
package store

// Epoch counts how often the store has been restored from an older copy of its data. A
// restore loses the latest changes and leases, and their numbers are given out again. 0
// means that the store has not stated its epoch.
type Epoch uint64

// Revision identifies a state of the store. Revisions of different epochs cannot be
// compared.
type Revision struct {
	Epoch Epoch
	// Number increases with each change within an epoch. 0 means that the revision is
	// unknown or, as that of a key, that the key does not exist.
	Number uint64
}

// Lease identifies a lease.
type Lease struct {
	// Epoch is the epoch in which the lease is known to belong to this process.
	Epoch Epoch
	// ID is unique within an epoch; 0 means that there is no lease.
	ID uint64
}
