package membership

import (
	"maps"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

const (
	// firstHeartbeatTimeout is how long a new watcher waits for the first
	// heartbeat of a member. Before that, the member must lose its old watcher,
	// learn of the new one and connect to it.
	firstHeartbeatTimeout = 10 * clock.Second
	// remoteTimeout replaces SilenceTimeout for members of a data centre
	// without balancers. It is longer than UnreachableTimeout, so that a
	// partition is recognized first.
	remoteTimeout = UnreachableTimeout + 2*clock.Second
	// isolatedTimeout replaces the other timeouts while this balancer receives
	// nothing from any peer. In that case the fault is more likely its own.
	isolatedTimeout = 30 * clock.Second
	// isolationThreshold is the silence of a peer after which the peer no
	// longer proves that the network works. Neighbours and members send every
	// second.
	isolationThreshold = 2 * clock.Second

	// minRedeclareDelay and maxRedeclareDelay bound how long a member that
	// refuted a declaration is not declared dead again. The delay doubles with
	// each refutation.
	minRedeclareDelay = clock.Minute
	maxRedeclareDelay = 16 * clock.Minute
)

// watch describes a member for which this balancer is one of the watchers.
type watch struct {
	// lastSeen is the time of the last heartbeat. Before the first one, it is
	// the time when this balancer became a watcher.
	lastSeen clock.Millis
	// heartbeatReceived is set when the member has sent a heartbeat to this
	// balancer.
	heartbeatReceived bool
}

// declaration records that this balancer declared a member dead. If the member
// refutes the declaration, another watcher receives its heartbeats and this one
// does not. This balancer must then not declare the member dead over and over.
type declaration struct {
	version         uint64
	delay           clock.Millis
	suppressedUntil clock.Millis
}

// isResponsibleFor reports whether balancers of this data centre may declare r
// dead. Without this restriction, a partition between data centres would make
// each side declare the members of the other dead.
func (b *Balancer) isResponsibleFor(r Record) bool {
	return r.DataCentre() == b.self.DataCentre() || !b.table.dataCentre(r.DataCentre()).hadBalancer
}

func (b *Balancer) updateWatch(now clock.Millis, r Record) {
	if r.ID() == b.self.ID() || r.State().Ended() || !b.isResponsibleFor(r) || !b.watches(r) {
		delete(b.watched, r.ID())
		return
	}
	if _, ok := b.watched[r.ID()]; ok {
		return
	}
	b.watched[r.ID()] = &watch{lastSeen: now}
}

func (b *Balancer) watches(r Record) bool {
	return slices.ContainsFunc(b.watchersOf(r, WatcherCount), func(w Record) bool { return w.ID() == b.self.ID() })
}

// refreshWatched selects the watched members again after the set of balancers
// changed. It considers only data centres for which this balancer is
// responsible.
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

// recordHeartbeat records a heartbeat of a member. An earlier declaration no
// longer delays the next one.
func (b *Balancer) recordHeartbeat(now clock.Millis, id identity.OwnerID) {
	if w, ok := b.watched[id]; ok {
		w.lastSeen, w.heartbeatReceived = now, true
	}
	delete(b.declarations, id)
}

func (b *Balancer) checkWatched(now clock.Millis) {
	if !b.complete {
		// The members may have other watchers that this balancer does not know
		// yet.
		return
	}
	isolated := b.isolated(now)
	partitioned := b.reach.anyUnreachable()
	for _, id := range slices.Sorted(maps.Keys(b.watched)) {
		r, _ := b.table.Get(id)
		w := b.watched[id]
		remote := r.DataCentre() != b.self.DataCentre()
		if declared, ok := b.declarations[id]; ok && now < declared.suppressedUntil {
			continue
		}
		if remote && partitioned {
			// The other side may still receive heartbeats of the member. After
			// the partition, the member needs time to connect to this side
			// again.
			w.lastSeen, w.heartbeatReceived = now, false
			continue
		}
		if now >= w.lastSeen+w.timeout(isolated, remote) {
			b.declareDead(now, id)
		}
	}
}

func (w *watch) timeout(isolated, remote bool) clock.Millis {
	switch {
	case isolated:
		return isolatedTimeout
	case !w.heartbeatReceived:
		return firstHeartbeatTimeout
	case remote:
		return remoteTimeout
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
	if _, ok := b.declarations[id]; !ok {
		b.declarations[id] = &declaration{delay: minRedeclareDelay}
	}
	b.declarations[id].version = r.Version()
	b.mergeRecord(now, r.withState(StateDead), now, nil)
}

// recordRefutation delays the next declaration of r if r refutes the previous
// one.
func (b *Balancer) recordRefutation(now clock.Millis, r, old Record) {
	declared, ok := b.declarations[r.ID()]
	if !ok || r.State().Ended() || old.State() != StateDead || r.Version() <= declared.version {
		return
	}
	declared.suppressedUntil = now + declared.delay
	declared.delay = min(2*declared.delay, maxRedeclareDelay)
}

// isolated reports whether this balancer knows other balancers but has recently
// received nothing from any neighbour or member.
func (b *Balancer) isolated(now clock.Millis) bool {
	if len(b.view.balancers) <= 1 {
		return false
	}
	for _, l := range b.links {
		if l.identified && now < l.lastSeen+isolationThreshold {
			return false
		}
	}
	for _, s := range b.sessions {
		if now < s.lastSeen+isolationThreshold {
			return false
		}
	}
	return true
}
