// Package membership decides which processes are part of the system: records
// and their merge rule, watchers, the overlay of balancers, reachability of
// data centres, and the distribution of contracts. It is pure: messages and
// time go in, actions come out.
package membership
