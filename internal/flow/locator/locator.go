// Package locator selects the sidecars of a service that know the owner of a flow.
// Balancers and sidecars with slightly different lists of sidecars select the same
// ones for nearly all flows (rendezvous hashing).
package locator

import (
	"encoding/binary"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

// Replicas is the number of sidecars that know the owner of a flow, so that one may
// end.
const Replicas = 2

// Selection are the agents of a flow in order of preference. Unused places hold the
// zero value.
type Selection [Replicas]netip.AddrPort

// Select returns the agents of a flow among some sidecars.
func Select(key segment.Key, sidecars []netip.AddrPort) Selection {
	var selection Selection
	var scores [Replicas]uint64
	hash := key.Hash()
	for _, sidecar := range sidecars {
		score := mix(hash ^ number(sidecar))
		for i := range scores {
			if !selection[i].IsValid() || score > scores[i] {
				copy(scores[i+1:], scores[i:])
				copy(selection[i+1:], selection[i:])
				scores[i], selection[i] = score, sidecar
				break
			}
		}
	}
	return selection
}

func number(a netip.AddrPort) uint64 {
	octets := a.Addr().As4()
	return uint64(binary.BigEndian.Uint32(octets[:]))<<16 | uint64(a.Port())
}

// mix spreads the bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
