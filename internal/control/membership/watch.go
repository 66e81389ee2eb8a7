package membership

import (
	"maps"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

const (
	// firstHeartbeatTimeout is how long a new watcher waits for a member that it
	// never heard: the member must lose its old watcher, be told of the new one
	// and connect.
	firstHeartbeatTimeout = 10 * clock.Second
	// foreignTimeout replaces SilenceTimeout for members of a data centre without
	// balancers. It is longer than UnreachableTimeout, so that a partition is
	// recognized first.
	foreignTimeout = UnreachableTimeout + 2*clock.Second
	// isolatedTimeout replaces SilenceTimeout while this balancer hears nobody
	// at all, which is more likely its own fault.
	isolatedTimeout = 30 * clock.Second
	// isolationThreshold is the silence after which a neighbour or a member,
	// which sends every second, does not prove that the network works.
	isolationThreshold = 2 * clock.Second

	minRefutationDelay = clock.Minute
	maxRefutationDelay = 16 * clock.Minute
)

// watch is a member for which this balancer is one of the watchers.
type watch struct {
	// heard is when the last heartbeat arrived or, before the first one, when
	// this balancer became a watcher.
	heard clock.Millis
	// direct is set once the member sent a heartbeat to this balancer.
	direct bool
}

// refutation remembers a member that this balancer declared dead. If the member
// refutes, another watcher can hear it and this one cannot, and must not
// declare it dead again and again.
type refutation struct {
	version uint64
	delay   clock.Millis
	until   clock.Millis
}

// mayDeclare reports whether balancers of this data centre decide about r.
// Otherwise a partition between data centres would kill the members of both.
func (b *Balancer) mayDeclare(r Record) bool {
	return r.DataCentre() == b.self.DataCentre() || !b.table.dataCentre(r.DataCentre()).hadBalancer
}

func (b *Balancer) updateWatch(now clock.Millis, r Record) {
	if r.ID() == b.self.ID() || r.State().Ended() || !b.mayDeclare(r) || !b.watches(r) {
		delete(b.watched, r.ID())
		return
	}
	if _, ok := b.watched[r.ID()]; ok {
		return
	}
	b.watched[r.ID()] = &watch{heard: now}
}

func (b *Balancer) watches(r Record) bool {
	return slices.ContainsFunc(b.watchersOf(r, WatcherCount), func(w Record) bool { return w.ID() == b.self.ID() })
}

// refreshWatched selects the watched members again after the set of balancers
// changed. It looks only at data centres about which this balancer decides.
func (b *Balancer) refreshWatched(now clock.Millis) {
	for _, id := range slices.Sorted(maps.Keys(b.watched)) {
		// The data centre may have had no balancer until now.
		r, _ := b.table.Get(id)
		b.updateWatch(now, r)
	}
	for name, d := range b.table.dataCentres {
		if name != b.self.DataCentre() && d.hadBalancer {
			continue
		}
		for id := range d.members {
			r, _ := b.table.Get(id)
			b.updateWatch(now, r)
		}
	}
}

// hear notes a heartbeat of a member.
func (b *Balancer) hear(now clock.Millis, id identity.OwnerID) {
	if w, ok := b.watched[id]; ok {
		w.heard, w.direct = now, true
	}
	delete(b.refuted, id)
}

func (b *Balancer) checkWatched(now clock.Millis) {
	if !b.complete {
		// The members may have other watchers that are not known yet.
		return
	}
	isolated := b.isolated(now)
	partitioned := b.reach.anyUnreachable()
	for _, id := range slices.Sorted(maps.Keys(b.watched)) {
		r, _ := b.table.Get(id)
		w := b.watched[id]
		foreign := r.DataCentre() != b.self.DataCentre()
		if refuted, ok := b.refuted[id]; ok && now < refuted.until {
			continue
		}
		if foreign && partitioned {
			// The other side may still hear the member, which needs time to
			// connect to this side again.
			w.heard, w.direct = now, false
			continue
		}
		if now >= w.heard+w.timeout(isolated, foreign) {
			b.declareDead(now, id)
		}
	}
}

func (w *watch) timeout(isolated, foreign bool) clock.Millis {
	switch {
	case isolated:
		return isolatedTimeout
	case !w.direct:
		return firstHeartbeatTimeout
	case foreign:
		return foreignTimeout
	default:
		return SilenceTimeout
	}
}

func (b *Balancer) declareDead(now clock.Millis, id identity.OwnerID) {
	r, ok := b.table.Get(id)
	if !ok || r.State().Ended() {
		delete(b.watched, id)
		return
	}
	if _, ok := b.refuted[id]; !ok {
		b.refuted[id] = &refutation{delay: minRefutationDelay}
	}
	b.refuted[id].version = r.Version()
	b.accept(now, r.withState(StateDead), now, nil)
}

// noteRefutation delays the next declaration if r refutes the previous one.
func (b *Balancer) noteRefutation(now clock.Millis, r, old Record) {
	refuted, ok := b.refuted[r.ID()]
	if !ok || r.State().Ended() || old.State() != StateDead || r.Version() <= refuted.version {
		return
	}
	refuted.until = now + refuted.delay
	refuted.delay = min(2*refuted.delay, maxRefutationDelay)
}

// isolated reports whether other balancers are known but neither a neighbour
// nor a member was heard recently.
func (b *Balancer) isolated(now clock.Millis) bool {
	if len(b.view.balancers) <= 1 {
		return false
	}
	for _, l := range b.links {
		if l.greeted && now < l.heard+isolationThreshold {
			return false
		}
	}
	for _, s := range b.sessions {
		if now < s.heard+isolationThreshold {
			return false
		}
	}
	return true
}
