package node

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

const (
	// notifierCount is the number of sibling notifiers of a sidecar: balancers that send it
	// the list of its siblings.
	notifierCount = 3
	// readerCount is the number of balancers that watch the configuration with short
	// calls. It does not depend on the number of balancers. Two balancers that do not see
	// each other as live may make it larger or smaller for a while, which is harmless.
	readerCount = 6
)

// isNotifier reports whether a balancer is a sibling notifier of a sidecar, given the
// other balancers that are live. Balancers and sidecars select the same notifiers by
// rendezvous hashing, so a sidecar can drop the list of a balancer that has ceased to be
// its notifier.
func isNotifier(balancer, sidecar netip.Addr, others []netip.Addr) bool {
	return isAmongHighest(balancer, sidecar, others, notifierCount)
}

// isReader reports whether a balancer is one of those that watch the configuration with
// short calls, given the other balancers that are live.
func isReader(balancer netip.Addr, others []netip.Addr) bool {
	return isAmongHighest(balancer, netip.IPv4Unspecified(), others, readerCount)
}

// isAmongHighest reports whether at most count-1 of the other balancers have a higher rank
// for the subject.
func isAmongHighest(balancer, subject netip.Addr, others []netip.Addr, count int) bool {
	ownRank, higher := rank(balancer, subject), 0
	for _, other := range others {
		if other != balancer && rank(other, subject) > ownRank {
			higher++
		}
	}
	return higher < count
}

func rank(balancer, subject netip.Addr) uint64 {
	return segment.NewKey(netip.AddrPortFrom(balancer, 0), netip.AddrPortFrom(subject, 0)).Hash()
}
