// Package absence decides whether an open flow may be declared lost. A balancer that resets
// a flow whose upstream still holds it breaks the flow, while silence only makes the client
// wait, so that a flow counts as lost only if the evidence is complete: every sidecar that may
// own the flow has been asked, all of these sidecars are known, and a second search has
// confirmed the result. The load that the package addresses is the search traffic after a
// change of rotation, in which packets of most flows arrive at balancers that do not know
// them, while hosts start and leave. It does no input or output.
package absence

import (
	"iter"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

const (
	// ConfirmDelay is the time from the first packet for which the owner of a flow is
	// searched to the earliest search that can confirm its absence. It covers a flow that
	// opens through another balancer meanwhile, and the notice of a further address.
	ConfirmDelay clock.Millis = 100
	// searchTTL is how long a search may take. Sidecars give up earlier.
	searchTTL = 2 * clock.Second
	// maxSearches bounds the memory for the searches of one flow.
	maxSearches = 64
)

// Flow is what searches for the owner of one flow have found. The zero value is that of a
// flow without searches.
type Flow struct {
	// firstSearch is when the first search began. It is valid if began is set.
	firstSearch clock.Millis
	began       bool
	// searches holds those without a response, in the order in which they began.
	searches []search
	findings []finding
}

// search is a search by one sidecar in its service.
type search struct {
	service   identity.ServiceID
	sidecar   netip.AddrPort
	startedAt clock.Millis
}

// finding is the result of the searches in a service.
type finding struct {
	service identity.ServiceID
	// searches counts those that have found no owner among the sidecars that they queried.
	searches int
	// covered is set once one of them has covered all possible owners, and late if one of
	// these began ConfirmDelay or more after the first search of the flow. joins is the number
	// of sidecars that had joined the service. Both are valid as long as no other one joins,
	// because that one may own the flow.
	covered, late bool
	joins         int
}

// Searched records that a sidecar was requested to search for the owner in its service.
func (f *Flow) Searched(now clock.Millis, service identity.ServiceID, sidecar netip.AddrPort) {
	if !f.began {
		f.began, f.firstSearch = true, now
	}
	f.searches = slices.DeleteFunc(f.searches, func(s search) bool { return now-s.startedAt > searchTTL })
	if len(f.searches) < maxSearches {
		f.searches = append(f.searches, search{service: service, sidecar: sidecar, startedAt: now})
	}
}

// Absent records that a search by a sidecar has found no owner in its service. covered is set
// if it has covered all possible owners. joins is the number of sidecars that have joined the
// service so far. A response to an unknown search is ignored.
func (f *Flow) Absent(service identity.ServiceID, sidecar netip.AddrPort, joins int, covered bool) {
	answered, ok := f.take(service, sidecar)
	if !ok {
		return
	}
	index := slices.IndexFunc(f.findings, func(known finding) bool { return known.service == service })
	if index < 0 {
		index = len(f.findings)
		f.findings = append(f.findings, finding{service: service})
	}
	found := &f.findings[index]
	found.searches++
	if covered {
		earlier := found.late && found.joins == joins
		found.covered, found.joins = true, joins
		found.late = earlier || answered.startedAt-f.firstSearch >= ConfirmDelay
	}
}

// take removes the oldest search of a sidecar that has got no response. Responses do not
// name their search, so that the oldest one is the safe assumption.
func (f *Flow) take(service identity.ServiceID, sidecar netip.AddrPort) (search, bool) {
	for i, s := range f.searches {
		if s.service == service && s.sidecar == sidecar {
			f.searches = slices.Delete(f.searches, i, i+1)
			return s, true
		}
	}
	return search{}, false
}

// Found reports whether the flow was found absent from a service, and whether two searches
// agree, of which one began late and has covered all possible owners. joins is the number of
// sidecars that have joined the service so far.
func (f *Flow) Found(service identity.ServiceID, joins int) (absent, confirmed bool) {
	for _, known := range f.findings {
		if known.service == service && known.covered && known.joins == joins {
			return true, known.late && known.searches > 1
		}
	}
	return false, false
}

// Covers reports whether the hosts that a search has queried include all possible owners.
// A search that names no hosts, as those of older versions, covers nothing.
func Covers(queried, owners []netip.Addr) bool {
	sorted := slices.SortedFunc(slices.Values(queried), netip.Addr.Compare)
	for _, owner := range owners {
		if _, found := slices.BinarySearchFunc(sorted, owner, netip.Addr.Compare); !found {
			return false
		}
	}
	return len(queried) > 0
}

// Service is the evidence about one service that may hold a flow.
type Service struct {
	// Complete is set if all sidecars of the service are known.
	Complete bool
	// Ownerless is set if none of the known ones can own the flow and serve it.
	Ownerless bool
	// Learning is set if the service counts only because some of its sidecars cannot list
	// all addresses yet. These ask their upstreams, and there may be many such services, so
	// that their searches need no confirmation.
	Learning bool
	// Absent and Confirmed are the results of Found.
	Absent, Confirmed bool
}

// Lost reports whether a flow may be declared lost.
func Lost(services iter.Seq[Service]) bool {
	for s := range services {
		absent := s.Ownerless || s.Confirmed || (s.Learning && s.Absent)
		if !s.Complete || !absent {
			return false
		}
	}
	return true
}
