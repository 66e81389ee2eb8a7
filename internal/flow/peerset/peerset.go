// Package peerset keeps the hosts that have sent messages to a process or that other
// sources list. It does no input or output: the caller passes in the time and what it
// has received, and reads lists of hosts.
package peerset

import (
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// minLiveTimeout is the minimum time for which a host counts as live after its last
	// message.
	minLiveTimeout = 3 * clock.Second
	// maxMissedMessages is how many consecutive messages of a live host may be missing, so
	// that single losses do not matter.
	maxMissedMessages = 4
	// hostTTL is how long a host stays in the set after it was last listed. After its last
	// message it stays for hostTTL or its live timeout, whichever is longer. hostTTL is
	// longer than the shortest time between two reads of the directory with its jitter.
	// With more than about 120 listed hosts, reads may be further apart than hostTTL.
	hostTTL = 15 * clock.Second
	// responseTimeout is how long a newly listed host may take to send its first message.
	// Hosts are contacted at once and at least every second.
	responseTimeout clock.Millis = 2500
)

type host struct {
	// lastSeen is the time of the host's own last message. lastListed is the last time
	// that another source listed the host.
	lastSeen, lastListed clock.Millis
	// addedAt is the time since which the host is in the set.
	addedAt clock.Millis
	// interval is the time until its next message, as the host stated; 0 means unknown.
	interval clock.Millis
	// seen is set once the host has sent a message. listed is set once another source has
	// listed the host.
	seen, listed bool
	// departed is set from the announcement that the host leaves until its next message.
	departed bool
}

// Set is a set of hosts of one role, such as all balancers. It is not safe for concurrent
// use.
type Set struct {
	self  netip.Addr
	hosts map[netip.Addr]*host
}

// New returns an empty set for a process on the host self, which is never a member.
func New(self netip.Addr) *Set {
	return &Set{self: self, hosts: map[netip.Addr]*host{}}
}

// MarkSeen records a message of a host that sends its next one after interval; 0 means
// that the interval is unchanged. The result is true if the host was not live before. A
// message of the process's own host or of an address other than IPv4 is ignored.
func (s *Set) MarkSeen(now clock.Millis, address netip.Addr, interval clock.Millis) bool {
	h := s.ensureHost(now, address)
	if h == nil {
		return false
	}
	appeared := !h.live(now)
	h.lastSeen, h.seen, h.departed = now, true, false
	if interval > 0 {
		h.interval = interval
	}
	return appeared
}

// MarkListed records that another source, such as the directory or another process,
// listed hosts. It returns those that were not in the set. The process's own host and
// addresses other than IPv4 are ignored.
func (s *Set) MarkListed(now clock.Millis, addresses []netip.Addr) []netip.Addr {
	var added []netip.Addr
	for _, address := range addresses {
		_, known := s.hosts[address]
		if h := s.ensureHost(now, address); h != nil {
			h.lastListed, h.listed = now, true
			if !known {
				added = append(added, address)
			}
		}
	}
	return added
}

// MarkDeparted records that a host has announced that it leaves or has nothing to offer.
// It is in no list until its next other message. Its entry is kept, because other sources
// may still list it.
func (s *Set) MarkDeparted(now clock.Millis, address netip.Addr) {
	if h := s.ensureHost(now, address); h != nil {
		h.seen, h.lastSeen, h.departed = true, now, true
	}
}

// ensureHost returns the entry of a host and creates it if there is none. It returns nil
// for the process's own host and for an address that is not IPv4.
func (s *Set) ensureHost(now clock.Millis, address netip.Addr) *host {
	if address == s.self || !address.Is4() {
		return nil
	}
	h, ok := s.hosts[address]
	if !ok {
		h = &host{addedAt: now}
		s.hosts[address] = h
	}
	return h
}

// Live returns the hosts whose last message is recent, in order of address.
func (s *Set) Live(now clock.Millis) []netip.Addr {
	return s.list(func(h *host) bool { return h.live(now) })
}

// Silent returns the hosts that are not live but have not expired, in order of address.
// They may still respond to a message.
func (s *Set) Silent(now clock.Millis) []netip.Addr {
	return s.list(func(h *host) bool { return !h.live(now) && !h.expired(now) })
}

// Awaited returns the hosts that other sources list and whose first message is still
// expected, in order of address. A host that has not sent one within responseTimeout has
// probably failed before it was listed.
func (s *Set) Awaited(now clock.Millis) []netip.Addr {
	return s.list(func(h *host) bool { return !h.seen && !h.expired(now) && now-h.addedAt <= responseTimeout })
}

// Expire removes hosts that have neither sent a message nor been listed recently.
func (s *Set) Expire(now clock.Millis) {
	for address, h := range s.hosts {
		if h.expired(now) {
			delete(s.hosts, address)
		}
	}
}

func (s *Set) list(include func(*host) bool) []netip.Addr {
	var addresses []netip.Addr
	for address, h := range s.hosts {
		if !h.departed && include(h) {
			addresses = append(addresses, address)
		}
	}
	slices.SortFunc(addresses, netip.Addr.Compare)
	return addresses
}

// liveTimeout returns how long the host may be silent and still count as live.
func (h *host) liveTimeout() clock.Millis { return max(minLiveTimeout, maxMissedMessages*h.interval) }

func (h *host) live(now clock.Millis) bool {
	return h.seen && !h.departed && now-h.lastSeen <= h.liveTimeout()
}

func (h *host) expired(now clock.Millis) bool {
	return (!h.listed || now-h.lastListed > hostTTL) && (!h.seen || now-h.lastSeen > max(hostTTL, h.liveTimeout()))
}
