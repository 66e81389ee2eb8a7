package balancer

import (
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
)

const (
	// holderTTL is how long a service counts as a holder of flows to an address after a
	// report or configuration has last shown it. Flows live up to 60 s, and sidecars
	// report at least once a minute.
	holderTTL = 120 * clock.Second
	// servicesPerPage limits the services that one search attempt queries only because
	// their sidecars cannot list all addresses. Further attempts query the next ones, so
	// that the cost of an attempt does not grow with the number of services.
	servicesPerPage = 4
)

// holders knows the services whose upstreams may hold open flows to an address. A new
// configuration can move the weights of a route or drop a target while flows to that
// target are open, so the current targets of the route are not enough.
type holders struct {
	// expiry is when a service ceases to count as a holder of flows to an address.
	expiry map[netip.AddrPort]map[identity.ServiceID]clock.Millis
	// unlisted counts the sidecars of each service that may hold flows to addresses that
	// they do not list.
	unlisted map[identity.ServiceID]int
	// unlistedServices are the keys of unlisted in ascending order.
	unlistedServices []identity.ServiceID
}

func newHolders() holders {
	return holders{
		expiry:   map[netip.AddrPort]map[identity.ServiceID]clock.Millis{},
		unlisted: map[identity.ServiceID]int{},
	}
}

func (h *holders) add(now clock.Millis, address netip.AddrPort, service identity.ServiceID) {
	services := h.expiry[address]
	if services == nil {
		services = map[identity.ServiceID]clock.Millis{}
		h.expiry[address] = services
	}
	services[service] = now + holderTTL
}

// addTargets adds the targets of all routes of a configuration that is being replaced.
func (h *holders) addTargets(now clock.Millis, replaced *route.Table) {
	for r := range replaced.Routes() {
		for _, target := range r.Targets {
			h.add(now, r.Address, target.Service)
		}
	}
}

// addReport adds the addresses that a sidecar has listed.
func (h *holders) addReport(now clock.Millis, r relay.Report) {
	for _, address := range r.Addresses {
		h.add(now, address, r.Service)
	}
}

// countUnlisted adds change to the number of sidecars of a service that may hold flows to
// addresses that they do not list.
func (h *holders) countUnlisted(service identity.ServiceID, change int) {
	before := h.unlisted[service]
	h.unlisted[service] = before + change
	if before+change <= 0 {
		delete(h.unlisted, service)
	}
	index, found := slices.BinarySearch(h.unlistedServices, service)
	switch _, counted := h.unlisted[service]; {
	case counted && !found:
		h.unlistedServices = slices.Insert(h.unlistedServices, index, service)
	case !counted && found:
		h.unlistedServices = slices.Delete(h.unlistedServices, index, index+1)
	}
}

// known returns the targets of a route and the other services that are known to have held
// flows to its address, in a fixed order.
func (h *holders) known(now clock.Millis, r route.Route) []identity.ServiceID {
	services := make([]identity.ServiceID, 0, len(r.Targets)+len(h.expiry[r.Address]))
	for _, target := range r.Targets {
		services = append(services, target.Service)
	}
	for service, expiry := range h.expiry[r.Address] {
		if expiry >= now {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// page returns the unlisted services that a search attempt queries in addition to the
// known ones. attempt counts from 0.
func (h *holders) page(attempt int) []identity.ServiceID {
	count := len(h.unlistedServices)
	if count <= servicesPerPage {
		return slices.Clone(h.unlistedServices)
	}
	page := make([]identity.ServiceID, 0, servicesPerPage)
	for i := range servicesPerPage {
		page = append(page, h.unlistedServices[(attempt*servicesPerPage+i)%count])
	}
	return page
}

// expire removes what has expired.
func (h *holders) expire(now clock.Millis) {
	for address, services := range h.expiry {
		for service, expiry := range services {
			if expiry < now {
				delete(services, service)
			}
		}
		if len(services) == 0 {
			delete(h.expiry, address)
		}
	}
}
