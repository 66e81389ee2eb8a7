package node

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

// informers is the number of balancers that tell a sidecar its siblings.
const informers = 3

// isInformer reports whether a balancer is one of those that tell a sidecar its
// siblings, given the other balancers that are live. Both sides select the same ones
// (rendezvous hashing), so that lists of a balancer that has lost the task are not
// used any more.
func isInformer(balancer, sidecar netip.Addr, others []netip.Addr) bool {
	own, before := rank(balancer, sidecar), 0
	for _, other := range others {
		if other != balancer && rank(other, sidecar) > own {
			before++
		}
	}
	return before < informers
}

func rank(balancer, sidecar netip.Addr) uint64 {
	return segment.NewKey(netip.AddrPortFrom(balancer, 0), netip.AddrPortFrom(sidecar, 0)).Hash()
}
