package absence

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// rosterTTL is how long a sibling is kept after the last evidence of it. It covers the
	// replacement of all balancers.
	rosterTTL = 120 * clock.Second
	// probeInterval is the time after which a sibling that no balancer lists is asked for a
	// sign of life, and between two such probes. One that has not responded for probeTimeout
	// is left out.
	probeInterval = clock.Second
	probeTimeout  = 5 * clock.Second
	// droppedProbeInterval and droppedProbeTimeout apply to a sibling that a balancer has
	// ceased to list. The balancer has found it lost, or has started anew and does not know
	// it yet. Hosts respond within some milliseconds.
	droppedProbeInterval clock.Millis = 200
	droppedProbeTimeout  clock.Millis = 400
	// maxProbes limits the probes of one call. A probe takes 29 bytes and its response about
	// 80. With five calls a second, a sidecar sends 1.2 KB and gets 3.2 KB a second at most.
	maxProbes = 8
)

// Roster is the list of siblings that a sidecar keeps. Lists of balancers come and go with
// the balancers; what is known about a sibling stays, because its upstream may hold flows. It
// is not safe for concurrent use.
type Roster struct {
	siblings map[netip.Addr]*sibling
	// lists holds the list of each balancer.
	lists map[netip.Addr]list
	// complete is set once a balancer has listed siblings for discoveryTime.
	complete bool
}

// list holds the siblings that a balancer has listed last. since is when its first list
// arrived.
type list struct {
	hosts []netip.Addr
	since clock.Millis
}

type sibling struct {
	// lastEvidence is the time of the last message or list, and lastHeard that of the last
	// message of the sibling itself.
	lastEvidence, lastHeard clock.Millis
	// probedSince is when the first probe without a response was sent. It is valid if probed
	// is set. lastProbe is when the last one was.
	probedSince, lastProbe clock.Millis
	probed                 bool
	// dropped is set if a balancer has ceased to list the sibling since its last message.
	dropped bool
}

// NewRoster returns an empty Roster.
func NewRoster() *Roster {
	return &Roster{siblings: map[netip.Addr]*sibling{}, lists: map[netip.Addr]list{}}
}

// Complete reports whether the siblings include all that a balancer lists which knows all of
// them. A balancer that has just started lists those that it has found so far, so that lists
// count after discoveryTime.
func (r *Roster) Complete() bool { return r.complete }

// Heard records a message of a sibling.
func (r *Roster) Heard(now clock.Millis, host netip.Addr) {
	known := r.add(now, host)
	known.lastHeard, known.probed, known.dropped = now, false, false
}

// Left removes a sibling that has announced its departure or belongs to another service now.
func (r *Roster) Left(host netip.Addr) { delete(r.siblings, host) }

// Replace records the list of a balancer. current reports whether the list of a balancer
// still counts.
func (r *Roster) Replace(now clock.Millis, balancer netip.Addr, hosts []netip.Addr, current func(netip.Addr) bool) {
	if !current(balancer) {
		return
	}
	before, continued := r.lists[balancer]
	if !continued {
		before.since = now
	}
	for _, host := range before.hosts {
		if known := r.siblings[host]; known != nil {
			known.dropped = true
		}
	}
	r.lists[balancer] = list{hosts: hosts, since: before.since}
	for _, host := range hosts {
		r.add(now, host).dropped = false
	}
}

func (r *Roster) add(now clock.Millis, host netip.Addr) *sibling {
	known := r.siblings[host]
	if known == nil {
		known = &sibling{lastHeard: now}
		r.siblings[host] = known
	}
	known.lastEvidence = now
	return known
}

// Probes returns the siblings that must be asked for a sign of life, in order of address. It
// removes siblings without recent evidence and those that have not responded. current
// reports whether the list of a balancer still counts.
func (r *Roster) Probes(now clock.Millis, current func(netip.Addr) bool) []netip.Addr {
	maps.DeleteFunc(r.lists, func(balancer netip.Addr, _ list) bool { return !current(balancer) })
	listed := map[netip.Addr]bool{}
	for _, l := range r.lists {
		r.complete = r.complete || now-l.since >= discoveryTime
		for _, host := range l.hosts {
			listed[host] = true
		}
	}
	var due []netip.Addr
	for host, known := range r.siblings {
		switch {
		case listed[host]:
			known.lastEvidence, known.probed, known.dropped = now, false, false
		case now-known.lastEvidence > rosterTTL, known.unresponsive(now):
			delete(r.siblings, host)
		case known.probeDue(now):
			due = append(due, host)
		}
	}
	slices.SortFunc(due, func(a, b netip.Addr) int {
		first, second := r.siblings[a], r.siblings[b]
		return cmp.Or(
			second.urgency()-first.urgency(), cmp.Compare(first.lastProbe, second.lastProbe), a.Compare(b),
		)
	})
	due = due[:min(len(due), maxProbes)]
	for _, host := range due {
		known := r.siblings[host]
		known.lastProbe = now
		if !known.probed {
			known.probed, known.probedSince = true, now
		}
	}
	return due
}

// unresponsive reports whether the sibling has not responded to probes for too long.
func (s *sibling) unresponsive(now clock.Millis) bool {
	timeout := probeTimeout
	if s.dropped {
		timeout = droppedProbeTimeout
	}
	return s.probed && now-s.probedSince >= timeout
}

func (s *sibling) probeDue(now clock.Millis) bool {
	if s.dropped {
		return !s.probed || now-s.lastProbe >= droppedProbeInterval
	}
	return now-max(s.lastHeard, s.lastProbe) >= probeInterval
}

// urgency ranks siblings whose probe is due. A probe that is repeated keeps a single loss
// from counting as silence.
func (s *sibling) urgency() int {
	switch {
	case s.dropped:
		return 2
	case s.probed:
		return 1
	default:
		return 0
	}
}

// Hosts returns the siblings in order of address.
func (r *Roster) Hosts() []netip.Addr {
	return slices.SortedFunc(maps.Keys(r.siblings), netip.Addr.Compare)
}
