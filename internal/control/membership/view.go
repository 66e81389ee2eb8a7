package membership

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// ReaderCount is the number of balancers in each data centre that read the
	// platform.
	ReaderCount = 2
	// neighbourChoices is the number of possible neighbours in each list. It
	// exceeds NeighbourCount, so that others are available if connections to
	// some fail.
	neighbourChoices = 16
)

// view holds what is derived from the set of balancers. It is computed only
// when that set or the reachability of a data centre changes, because it takes
// a hash for each balancer.
type view struct {
	stale bool
	// balancers are those that have not ended, including this one.
	balancers    []Record
	byDataCentre map[string][]Record
	addresses    map[netip.AddrPort]struct{}
	// near and far are the possible neighbours in this data centre and in other
	// data centres, best first.
	near, far []Record
	// watchers are the addresses of the balancers that may watch this one, best
	// first.
	watchers []netip.AddrPort
}

func (b *Balancer) refreshView(now clock.Millis) {
	v := view{
		balancers: b.table.balancers(), byDataCentre: map[string][]Record{},
		addresses: map[netip.AddrPort]struct{}{},
	}
	for _, r := range v.balancers {
		v.byDataCentre[r.DataCentre()] = append(v.byDataCentre[r.DataCentre()], r)
		v.addresses[r.Control()] = struct{}{}
	}
	key := uint64(b.self.ID())
	v.near = rank(key, v.byDataCentre[b.self.DataCentre()], neighbourChoices, b.neighbourClass)
	v.far = rank(key, v.balancers, neighbourChoices, func(r Record) int {
		if r.DataCentre() == b.self.DataCentre() {
			return -1
		}
		return b.neighbourClass(r)
	})
	b.view = v
	b.view.watchers = controlAddresses(b.watchersOf(b.self, CandidateCount))
	b.refreshReader()
	b.refreshWatched(now)
	for _, s := range b.sessions {
		s.balancersStale = true
	}
}

// neighbourClass returns the class for rank. It excludes this balancer, leaving
// balancers, and those without a control address.
func (b *Balancer) neighbourClass(r Record) int {
	if r.ID() == b.self.ID() || r.State() == StateLeaving || !r.Control().IsValid() {
		return -1
	}
	return 0
}

// refreshReader determines whether this balancer is one of the readers of its
// data centre.
func (b *Balancer) refreshReader() {
	readers := rank(xxhash.Sum64String(b.self.DataCentre()), b.view.byDataCentre[b.self.DataCentre()], ReaderCount, leavingLast)
	reader := slices.ContainsFunc(readers, func(r Record) bool { return r.ID() == b.self.ID() })
	if reader != b.reader {
		b.reader = reader
		b.out.Reader = &reader
	}
}

func leavingLast(r Record) int {
	if r.State() == StateLeaving {
		return 1
	}
	return 0
}

// watchersOf returns the first count balancers that should watch a member,
// those in its own data centre first. Sidecars are distributed over balancers
// by rendezvous hash.
//
// Balancers form a ring, in which each one is watched by its successors. If
// several successive balancers fail together, the next running balancer
// declares the last of them dead, and then the one before it. With a rendezvous
// hash, three balancers could watch only each other, and would never be
// declared dead if they failed together.
func (b *Balancer) watchersOf(r Record, count int) []Record {
	candidates := b.view.byDataCentre[r.DataCentre()]
	staying := 0
	for _, c := range candidates {
		if c.State() != StateLeaving && c.ID() != r.ID() {
			staying++
		}
	}
	if staying < count {
		candidates = b.view.balancers
	}
	class := func(c Record) int { return b.watcherClass(r, c) }
	if r.Role() == RoleBalancer {
		return rankRing(r.ID(), candidates, count, class)
	}
	return rank(uint64(r.ID()), candidates, count, class)
}

func (b *Balancer) watcherClass(member, balancer Record) int {
	if member.ID() == balancer.ID() || !balancer.Control().IsValid() {
		return -1
	}
	class := 0
	if balancer.DataCentre() != member.DataCentre() {
		class = 1
		// Balancers of the member's own data centre stay first. Whether this
		// side of a partition reaches them does not matter to the member.
		if b.reach.unreachable(balancer.DataCentre()) {
			class = 2
		}
	}
	if member.Role() == RoleBalancer {
		// The order of the ring must not depend on states.
		return class
	}
	return class + 3*leavingLast(balancer)
}

func controlAddresses(records []Record) []netip.AddrPort {
	addresses := make([]netip.AddrPort, len(records))
	for i, r := range records {
		addresses[i] = r.Control()
	}
	return addresses
}
