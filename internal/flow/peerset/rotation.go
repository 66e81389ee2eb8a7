package peerset

import (
	"net/netip"
	"slices"
)

// Rotation selects hosts in turn (round robin). The zero value is ready for use.
type Rotation struct {
	// last is the host that was selected last.
	last netip.Addr
}

// StartAfter returns a Rotation that begins with the host after the given one.
func StartAfter(host netip.Addr) Rotation { return Rotation{last: host} }

// Next returns the next n of the given hosts, which must be in order of address, or all of
// them if there are at most n. The list of hosts may change between calls.
func (r *Rotation) Next(hosts []netip.Addr, n int) []netip.Addr {
	if len(hosts) <= n {
		return slices.Clone(hosts)
	}
	start, found := slices.BinarySearchFunc(hosts, r.last, netip.Addr.Compare)
	if found {
		start++
	}
	next := make([]netip.Addr, 0, n)
	for i := range n {
		next = append(next, hosts[(start+i)%len(hosts)])
	}
	r.last = next[n-1]
	return next
}

// Rounds returns how many calls of Next(..., n) it takes to select each of the given
// number of hosts once. The result is at least 1.
func Rounds(hosts, n int) int { return max((hosts+n-1)/n, 1) }
