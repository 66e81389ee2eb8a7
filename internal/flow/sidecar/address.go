package sidecar

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// addressTTL is how long an address is listed after the last packet of the last flow to it.
// Reports of a further address are sent at once; without this time, an upstream with
// few flows would cause one with every flow. Balancers keep what was listed for 120 s.
const addressTTL = 60 * clock.Second

// addressFlows counts the flows to one address of a route.
type addressFlows struct {
	count int
	// lastSeen is the time of the last packet of the flows that have been removed.
	lastSeen clock.Millis
}

func (s *Sidecar) addAddress(address netip.AddrPort) {
	if s.addresses[address] == nil {
		s.addresses[address], s.addressesChanged = &addressFlows{}, true
	}
	s.addresses[address].count++
}

func (s *Sidecar) removeAddress(address netip.AddrPort, f *flow) {
	if a := s.addresses[address]; a != nil {
		a.count--
		a.lastSeen = max(a.lastSeen, f.lastSeen)
	}
}

// Addresses returns the addresses of routes to which the upstream holds flows or has held
// some within addressTTL, in order, and whether these are all of them. They are not while the
// sidecar learns flows.
func (s *Sidecar) Addresses() (addresses []netip.AddrPort, all bool) {
	return slices.SortedFunc(maps.Keys(s.addresses), netip.AddrPort.Compare), !s.learning
}

// TakeAddressesChanged reports whether flows to a further address were added since the last
// call. Balancers must learn of such an address at once. One that is behind by a
// configuration does not search in a further target of the route otherwise, and a newer
// configuration may remove this service from the targets.
func (s *Sidecar) TakeAddressesChanged() bool {
	changed := s.addressesChanged
	s.addressesChanged = false
	return changed
}

func (s *Sidecar) expireAddresses(now clock.Millis) {
	maps.DeleteFunc(s.addresses, func(_ netip.AddrPort, a *addressFlows) bool {
		return a.count <= 0 && now-a.lastSeen > addressTTL
	})
}
