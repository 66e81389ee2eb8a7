package peerset

import (
	"net/netip"
	"slices"
)

// Rotation hands out hosts in turn.
type Rotation struct {
	// last is the host that was handed out last.
	last netip.Addr
}

// Next returns the next n of some hosts, which are in order, or all if there are no more.
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

// Rounds returns after how many rounds of n each of a number of hosts has had its turn.
func Rounds(hosts, n int) int { return max((hosts+n-1)/n, 1) }
