// Package locator selects the locators of a flow: the sidecars of its service that know
// its owner. It uses rendezvous hashing, so that balancers and sidecars with slightly
// different lists of sidecars select the same ones for nearly all flows.
package locator

import (
	"encoding/binary"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

// Count is the number of locators of a flow. With two, the owner can still be found after
// one locator has ended.
const Count = 2

// Selection holds the locators of a flow in order of preference. If there are fewer
// sidecars than Count, the remaining elements are not valid.
type Selection [Count]netip.AddrPort

// Select returns the locators of a flow among the given sidecars, whose order does not
// matter. Their addresses must be IPv4.
func Select(key segment.Key, sidecars []netip.AddrPort) Selection {
	var selection Selection
	var scores [Count]uint64
	hash := key.Hash()
	for _, sidecar := range sidecars {
		score := mix(hash ^ addressBits(sidecar))
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

// addressBits returns an IPv4 address and port as one number.
func addressBits(a netip.AddrPort) uint64 {
	octets := a.Addr().As4()
	return uint64(binary.BigEndian.Uint32(octets[:]))<<16 | uint64(a.Port())
}

// mix returns a hash of x. It is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
