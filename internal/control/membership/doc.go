// Package membership decides which processes belong to the system. It contains
// the member records and the rule by which they are merged, the watchers that
// detect failed members, the overlay network of balancers, the reachability of
// data centres, and the distribution of contracts.
//
// The package performs no I/O and reads no clock: callers pass in messages and
// the current time, and receive the actions to perform.
package membership
