package node

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

// notifierCount is the number of sibling notifiers of a sidecar: balancers that send it
// the list of its siblings.
const notifierCount = 3

// isNotifier reports whether a balancer is a sibling notifier of a sidecar, given the
// other balancers that are live. Balancers and sidecars select the same notifiers by
// rendezvous hashing, so a sidecar can drop the list of a balancer that has ceased to be
// its notifier.
func isNotifier(balancer, sidecar netip.Addr, others []netip.Addr) bool {
	ownRank, higher := rank(balancer, sidecar), 0
	for _, other := range others {
		if other != balancer && rank(other, sidecar) > ownRank {
			higher++
		}
	}
	return higher < notifierCount
}

func rank(balancer, sidecar netip.Addr) uint64 {
	return segment.NewKey(netip.AddrPortFrom(balancer, 0), netip.AddrPortFrom(sidecar, 0)).Hash()
}
