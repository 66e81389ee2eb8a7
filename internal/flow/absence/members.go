package absence

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
)

const (
	// verifyTime is the time after the directory was read in which a sidecar that hears no
	// balancer writes its entry again, if it has lapsed, and contacts the listed balancers.
	verifyTime = 3 * clock.Second
	// discoveryTime is the time after the start in which every sidecar finds a balancer,
	// also if the directory cannot be read. Sidecars read the directory every 10 to 13 s. It is
	// also the time after which a sidecar takes the lists of a balancer for complete.
	discoveryTime = 15 * clock.Second
)

// Members decides whether a balancer knows all sidecars of a service. The directory alone
// does not tell: entries lapse while the store is away. The sidecars that run longer than the
// balancer know their siblings from earlier balancers. If all processes have started anew, an
// entry that a sidecar has found at its start shows that the directory has lost nothing.
// A nil Members knows all sidecars. Members is not safe for concurrent use.
type Members struct {
	startedAt clock.Millis
	// directoryReadAt is when the directory was first read. It is valid if directoryRead is
	// set.
	directoryReadAt clock.Millis
	directoryRead   bool
	hosts           map[netip.Addr]*member
	services        map[identity.ServiceID]*service
}

// member is what is known about a sidecar.
type member struct {
	// service is what the sidecar has reported, and entryFound what its roster has said.
	service              identity.ServiceID
	reported, entryFound bool
	// listed is set if the directory listed the sidecar.
	listed bool
	// older is set if the process runs longer than the balancer and has sent all its siblings.
	older bool
}

// service is what is known about a service as a whole. The counts make a decision as cheap in
// a system with thousands of sidecars as in a small one.
type service struct {
	// older is set once a sidecar that runs longer than the balancer has sent all its siblings.
	older bool
	// listed counts the sidecars that the directory listed and that have reported the service,
	// and found those of them that have found their own entries.
	listed, found int
}

// NewMembers returns the Members of a balancer that has started at a time.
func NewMembers(startedAt clock.Millis) *Members {
	return &Members{startedAt: startedAt, hosts: map[netip.Addr]*member{}, services: map[identity.ServiceID]*service{}}
}

// DirectoryRead records the sidecars that the directory lists in a response that is not
// stale. Only the first call counts.
func (m *Members) DirectoryRead(now clock.Millis, sidecars []netip.Addr) {
	if m == nil || m.directoryRead {
		return
	}
	m.directoryRead, m.directoryReadAt = true, now
	for _, host := range sidecars {
		m.change(host, func(known *member) { known.listed = true })
	}
}

// Reported records that a sidecar has reported its service.
func (m *Members) Reported(host netip.Addr, id identity.ServiceID) {
	if m != nil {
		m.change(host, func(known *member) { known.service, known.reported = id, true })
	}
}

// Departed records that a sidecar has no upstream, and so owns no flow. It removes its entry
// itself, so that one that was not there at its start is no sign that entries have lapsed.
func (m *Members) Departed(host netip.Addr) {
	if m != nil {
		m.change(host, func(known *member) { known.reported = false })
	}
}

// Stated records the roster of a sidecar. The caller adds its hosts to those that must
// report.
func (m *Members) Stated(now clock.Millis, host netip.Addr, r relay.Roster) {
	if m == nil {
		return
	}
	m.change(host, func(known *member) {
		known.entryFound = r.EntryFound
		known.older = known.older || (r.Complete && r.Age >= now-m.startedAt)
	})
}

// change changes what is known about a sidecar, and its share in what is known about its
// service.
func (m *Members) change(host netip.Addr, apply func(*member)) {
	known := m.hosts[host]
	if known == nil {
		known = &member{}
		m.hosts[host] = known
	}
	m.count(known, -1)
	apply(known)
	m.count(known, 1)
}

func (m *Members) count(known *member, change int) {
	if !known.reported {
		return
	}
	s := m.services[known.service]
	if s == nil {
		s = &service{}
		m.services[known.service] = s
	}
	s.older = s.older || known.older
	if known.listed {
		s.listed += change
		if known.entryFound {
			s.found += change
		}
	}
}

// Complete reports whether all sidecars of a service are known, provided that every host
// that any source has listed has reported or does not respond.
func (m *Members) Complete(now clock.Millis, id identity.ServiceID) bool {
	if m == nil {
		return true
	}
	s := m.services[id]
	if m.directoryRead && now-m.directoryReadAt < verifyTime {
		return s != nil && (s.older || (s.listed > 0 && s.found == s.listed))
	}
	if m.directoryRead && s != nil {
		return true
	}
	return now-m.startedAt >= discoveryTime
}
