// Package peerset keeps the hosts that a process has heard from or was told of. It
// is pure: time and news in, lists out.
package peerset

import (
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// liveTime is how long a host counts as live at least after its last message, and
	// missedMessages how many of its messages may be missing, so that single losses do
	// not matter.
	liveTime       = 3 * clock.Second
	missedMessages = 4
	// hintTime is how long a host that was only heard of is tried. It is longer than
	// the time between two readings of the directory.
	hintTime = 15 * clock.Second
)

type host struct {
	// heard is the time of the last message of the host itself, learned the last
	// time that another host named it.
	heard, learned clock.Millis
	// interval is the time to its next message, as it told.
	interval        clock.Millis
	wasHeard, named bool
}

// Set is a set of hosts of one role.
type Set struct {
	self  netip.Addr
	hosts map[netip.Addr]*host
}

// New returns an empty roster of a process on the host self, which is never a
// member.
func New(self netip.Addr) *Set {
	return &Set{self: self, hosts: map[netip.Addr]*host{}}
}

// MarkSeen records a message of a host, which sends the next one after an interval; 0
// means as before. It reports whether the host was not live.
func (r *Set) MarkSeen(now clock.Millis, address netip.Addr, interval clock.Millis) bool {
	h := r.get(address)
	if h == nil {
		return false
	}
	appeared := !h.live(now)
	h.heard, h.wasHeard = now, true
	if interval > 0 {
		h.interval = interval
	}
	return appeared
}

// MarkListed records that another source named hosts. It returns those that were not
// known.
func (r *Set) MarkListed(now clock.Millis, addresses []netip.Addr) []netip.Addr {
	var added []netip.Addr
	for _, address := range addresses {
		_, known := r.hosts[address]
		if h := r.get(address); h != nil {
			h.learned, h.named = now, true
			if !known {
				added = append(added, address)
			}
		}
	}
	return added
}

// Remove forgets a host that has said that it leaves.
func (r *Set) Remove(address netip.Addr) { delete(r.hosts, address) }

func (r *Set) get(address netip.Addr) *host {
	if address == r.self || !address.Is4() {
		return nil
	}
	h, ok := r.hosts[address]
	if !ok {
		h = &host{}
		r.hosts[address] = h
	}
	return h
}

// Live returns the hosts that sent a message lately, in order.
func (r *Set) Live(now clock.Millis) []netip.Addr {
	return r.list(func(h *host) bool { return h.live(now) })
}

// Silent returns the hosts that are worth a try but are not live, in order.
func (r *Set) Silent(now clock.Millis) []netip.Addr {
	return r.list(func(h *host) bool { return !h.live(now) && !h.expired(now) })
}

// NeverSeen returns the hosts that others name and that have never sent a message, in
// order.
func (r *Set) NeverSeen(now clock.Millis) []netip.Addr {
	return r.list(func(h *host) bool { return !h.wasHeard && !h.expired(now) })
}

// Expire forgets hosts that are neither live nor named any more.
func (r *Set) Expire(now clock.Millis) {
	for address, h := range r.hosts {
		if h.expired(now) {
			delete(r.hosts, address)
		}
	}
}

func (r *Set) list(include func(*host) bool) []netip.Addr {
	var addresses []netip.Addr
	for address, h := range r.hosts {
		if include(h) {
			addresses = append(addresses, address)
		}
	}
	slices.SortFunc(addresses, netip.Addr.Compare)
	return addresses
}

// patience is how long the host may be silent and still count as live.
func (h *host) patience() clock.Millis { return max(liveTime, missedMessages*h.interval) }

func (h *host) live(now clock.Millis) bool { return h.wasHeard && now-h.heard <= h.patience() }

func (h *host) expired(now clock.Millis) bool {
	return (!h.named || now-h.learned > hintTime) && (!h.wasHeard || now-h.heard > max(hintTime, h.patience()))
}
