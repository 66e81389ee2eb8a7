package node

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a sidecar to which fewer or more than notifierCount balancers send the
// list of its siblings.
func TestNotifiers(t *testing.T) {
	c := qt.New(t)
	var balancers []netip.Addr
	for i := range byte(24) {
		balancers = append(balancers, netip.AddrFrom4([4]byte{10, 1, 0, i + 1}))
	}
	for i := range byte(60) {
		sidecar := netip.AddrFrom4([4]byte{10, 2, 0, i + 1})
		count := 0
		for _, balancer := range balancers {
			if isNotifier(balancer, sidecar, balancers) {
				count++
			}
		}
		c.Assert(count, qt.Equals, notifierCount)
	}
	c.Assert(isNotifier(balancers[0], balancers[1], nil), qt.IsTrue)
}

// Guards against a number of readers that grows with the number of balancers, and against
// a system without readers.
func TestReaders(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{1, 6, 59, 500} {
		var balancers []netip.Addr
		for i := range size {
			balancers = append(balancers, netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}))
		}
		readers := 0
		for _, balancer := range balancers {
			if isReader(balancer, balancers) {
				readers++
			}
		}
		c.Assert(readers, qt.Equals, min(size, readerCount))
	}
}
