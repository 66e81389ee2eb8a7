// Package routing decides which sidecar receives a client's datagram.
package routing

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

// MaxWeight is the weight of a member with warm caches. New flows are distributed
// in proportion to the weights.
const MaxWeight = 16

// The number of slots of a service depends on its number of members. It is a power of
// two, so that a mask selects the slot. It exceeds the number of members, so that their
// shares are even.
const (
	smallServiceMembers  = 16
	smallServiceSlots    = 512
	mediumServiceMembers = 256
	mediumServiceSlots   = 8192
	largeServiceSlots    = 65536
)

// Member is a sidecar in the routing table of a balancer.
type Member struct {
	Owner   identity.OwnerID
	Service identity.ServiceID
	Tunnel  netip.AddrPort
	// Weight is between 0 and MaxWeight. A member with weight 0 receives no new
	// flows unless all members of its service have weight 0.
	Weight int

	link *Link
}

// Link returns the state of the path to the member, which is kept when the member
// changes. It is nil for a member that is in no table.
func (m Member) Link() *Link { return m.link }

// Table is an immutable set of members. A table shares unchanged services with the
// table it was derived from.
type Table struct {
	members  map[identity.OwnerID]Member
	services map[identity.ServiceID]*service
}

type service struct {
	members []Member
	slots   []uint16
}

// NewTable returns a table without members.
func NewTable() *Table {
	return &Table{members: map[identity.OwnerID]Member{}, services: map[identity.ServiceID]*service{}}
}

// With returns a copy of the table in which the changed members are added or
// replaced and the removed ones are deleted. Only the services of these members are
// rebuilt.
func (t *Table) With(changed []Member, removed []identity.OwnerID) *Table {
	next := &Table{
		members:  make(map[identity.OwnerID]Member, len(t.members)+len(changed)),
		services: make(map[identity.ServiceID]*service, len(t.services)),
	}
	for owner, m := range t.members {
		next.members[owner] = m
	}
	for id, s := range t.services {
		next.services[id] = s
	}
	affected := map[identity.ServiceID]bool{}
	for _, owner := range removed {
		if m, ok := next.members[owner]; ok {
			affected[m.Service] = true
			delete(next.members, owner)
		}
	}
	for _, m := range changed {
		m.link = &Link{}
		if old, ok := next.members[m.Owner]; ok {
			affected[old.Service] = true
			m.link = old.link
		}
		affected[m.Service] = true
		next.members[m.Owner] = m
	}
	next.rebuild(affected)
	return next
}

func (t *Table) rebuild(affected map[identity.ServiceID]bool) {
	byService := map[identity.ServiceID][]Member{}
	for _, m := range t.members {
		if affected[m.Service] {
			byService[m.Service] = append(byService[m.Service], m)
		}
	}
	for id := range affected {
		if members := byService[id]; len(members) > 0 {
			t.services[id] = newService(members)
		} else {
			delete(t.services, id)
		}
	}
}

// Len returns the number of members.
func (t *Table) Len() int { return len(t.members) }

// Member returns the member with the given ID, and false if there is none.
func (t *Table) Member(owner identity.OwnerID) (Member, bool) {
	m, ok := t.members[owner]
	return m, ok
}

// Members returns the members of a service, sorted by ID, or nil if it has none. The
// caller must not modify the slice.
func (t *Table) Members(id identity.ServiceID) []Member {
	s, ok := t.services[id]
	if !ok {
		return nil
	}
	return s.members
}

func newService(members []Member) *service {
	slices.SortFunc(members, func(a, b Member) int {
		if a.Owner < b.Owner {
			return -1
		}
		return 1
	})
	s := &service{members: members, slots: make([]uint16, slotCount(len(members)))}
	candidates := placementCandidates(members)
	for i := range s.slots {
		s.slots[i] = highestScore(members, candidates, uint64(i))
	}
	return s
}

func slotCount(members int) int {
	switch {
	case members <= smallServiceMembers:
		return smallServiceSlots
	case members <= mediumServiceMembers:
		return mediumServiceSlots
	default:
		return largeServiceSlots
	}
}

// placementCandidates returns the indexes of the members that may receive new flows. If
// all weights are 0, every member is a candidate. This is safe, because a leaving
// sidecar can still refuse the flow.
func placementCandidates(members []Member) []uint16 {
	candidates := make([]uint16, 0, len(members))
	for i, m := range members {
		if m.Weight > 0 {
			candidates = append(candidates, uint16(i))
		}
	}
	if len(candidates) > 0 {
		return candidates
	}
	for i := range members {
		candidates = append(candidates, uint16(i))
	}
	return candidates
}

// highestScore returns the index of the member for a slot, which it selects from
// candidates by weighted rendezvous hashing. The member with the highest weight/-ln(h)
// wins, where h is a hash of slot and member in (0, 1).
func highestScore(members []Member, candidates []uint16, slot uint64) uint16 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:], slot)
	best, bestScore := candidates[0], -1.0
	for _, i := range candidates {
		binary.LittleEndian.PutUint64(key[8:], uint64(members[i].Owner))
		hash := (float64(xxhash.Sum64(key[:])>>11) + 0.5) / (1 << 53)
		score := float64(max(members[i].Weight, 1)) / -math.Log(hash)
		if score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

func (s *service) place(connectionID []byte) Member {
	slot := xxhash.Sum64(connectionID) & uint64(len(s.slots)-1)
	return s.members[s.slots[slot]]
}
