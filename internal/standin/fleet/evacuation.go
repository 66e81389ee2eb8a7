package fleet

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/configuration"
	"github.com/orioledyke/orioledyke/internal/flow/evacuation"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/store"
	"github.com/orioledyke/orioledyke/internal/standin/metadata"
)

const (
	// evacuationLimit is the time after which no new flow may open in an evacuated data
	// centre. The users' limit is 5 s.
	evacuationLimit = 4 * clock.Second
	// The traffic of directives, as in the product: to directivesPerRound hosts in each round
	// of digests, where the product sends to 0 to 5 by the size of the message, by notifierCount
	// balancers to each sidecar, and at most once in directivesInterval to a sidecar whose
	// report disagrees.
	directivesPerRound = 2
	notifierCount      = 3
	directivesInterval = clock.Second
)

// dataCentre returns the name of the data centre of a host with an index.
func (c *Cluster) dataCentre(index int) string {
	if c.config.DataCentres == 0 {
		return ""
	}
	return DataCentre(index % c.config.DataCentres)
}

// DataCentre returns the name of a data centre.
func DataCentre(number int) string { return fmt.Sprint("dc-", number) }

// Evacuate lets the operator evacuate a data centre.
func (c *Cluster) Evacuate(name string) {
	if _, requested := c.store.evacuations[name]; !requested {
		c.store.evacuations[name] = c.now
	}
	c.store.writeEvacuations()
}

// Return lets the operator return a data centre to service.
func (c *Cluster) Return(name string) {
	delete(c.store.evacuations, name)
	c.store.writeEvacuations()
}

// writeEvacuations writes and removes the keys of evacuations as the operator wants them.
func (s *storeHost) writeEvacuations() {
	for i := range s.cluster.config.DataCentres {
		name := DataCentre(i)
		_, wanted := s.evacuations[name]
		switch _, exists := s.state.Get(evacuationPrefix + name); {
		case wanted && !exists:
			s.state.Put(evacuationPrefix+name, "{}")
		case exists && !wanted:
			s.state.Transact(metadata.Transaction{Remove: []string{evacuationPrefix + name}})
		}
	}
	s.wakeWatches()
}

// EvacuationApplied reports whether all balancers and sidecars that run know whether a data
// centre is evacuated.
func (c *Cluster) EvacuationApplied(name string) bool {
	_, evacuated := c.store.evacuations[name]
	for _, b := range c.balancers {
		if b.up && c.now >= b.pausedUntil && b.learner.evacuations.Evacuated(name) != evacuated {
			return false
		}
	}
	for _, u := range c.upstreams {
		if u.sidecarUp && !u.removed && c.now >= u.pausedUntil && u.evacuations.Evacuated(name) != evacuated {
			return false
		}
	}
	return true
}

// checkEvacuation records a violation if a new flow opens at an upstream whose data centre was
// evacuated evacuationLimit before, and the balancer that sent it has since had a path to the
// store or to a balancer that knew.
func (c *Cluster) checkEvacuation(u *upstreamHost, from *balancerHost) {
	if c.store == nil || from == nil {
		return
	}
	name, then := c.dataCentre(u.index), c.now-evacuationLimit
	requestedAt, evacuated := c.store.evacuations[name]
	if !evacuated || requestedAt > then || !(c.store.couldTell(from, name, then) || from.peerCouldTell(name, then)) {
		return
	}
	c.recordViolation("upstream %d of %s received a new flow through balancer %d %d ms after the evacuation\n%s\n%s",
		u.index, name, from.index, c.now-requestedAt, &from.timeline, &u.timeline)
}

// couldTell reports whether the store has had the key of an evacuation and has served a
// balancer without a fault since a time.
func (s *storeHost) couldTell(b *balancerHost, name string, then clock.Millis) bool {
	_, exists := s.state.Get(evacuationPrefix + name)
	return exists && s.undisturbedSince <= then && s.faultFor(b.client) == StoreWorks && b.client.undisturbedSince <= then
}

// knownRequest is a request of the operator and the time since which a balancer has known it.
// The balancer must know it until the operator withdraws it, also if the store loses it.
type knownRequest struct{ requestedAt, since clock.Millis }

// peerCouldTell reports whether another balancer has known of an evacuation and has had a path
// to this one since a time.
func (b *balancerHost) peerCouldTell(name string, then clock.Millis) bool {
	for _, other := range b.cluster.balancers {
		if other == b || !other.runsSince(then) || max(b.cutUntil, other.cutUntil) > then {
			continue
		}
		known, ok := other.learner.requestKnown[name]
		if ok && known.requestedAt == b.cluster.store.evacuations[name] && known.since <= then {
			return true
		}
	}
	return false
}

// document returns what items or events of the store say, with the newest of their revisions.
func (l *learner) document(items []metadata.Item) configuration.Document {
	d := configuration.Document{Revision: l.revision(0)}
	for _, item := range items {
		d.Revision.Number = max(d.Revision.Number, item.Revision)
		if item.Key == configurationKey && !item.Removed {
			d.Content = []byte(item.Value)
		}
		if name, ok := strings.CutPrefix(item.Key, evacuationPrefix); ok {
			d.Evacuations = append(d.Evacuations, evacuation.Record{
				DataCentre: name, Evacuated: !item.Removed, Revision: l.revision(item.Revision),
			})
		}
	}
	return d
}

// untold reports whether a process with the given incarnation ignores evacuations because of
// a mutant.
func (c *Cluster) untold(incarnation int) bool {
	return c.config.Mutant == RestartedUntold && incarnation > 1
}

// applyEvacuations puts evacuations from the store into effect.
func (l *learner) applyEvacuations(d configuration.Document, complete bool) {
	c := l.balancer.cluster
	switch {
	case c.untold(l.balancer.incarnation):
	case complete:
		if c.config.Mutant == RestoreEndsEvacuations {
			l.endMissing(d)
		}
		l.evacuationsUpdated(l.evacuations.Read(c.now, d.Revision, d.Evacuations))
	default:
		l.evacuationsUpdated(l.evacuations.Watch(c.now, d.Evacuations))
	}
}

// endMissing ends the evacuations whose keys a read does not have, whatever their epoch.
func (l *learner) endMissing(d configuration.Document) {
	var ended []evacuation.Record
	for _, r := range l.evacuations.Records() {
		r.Evacuated, r.Revision = false, store.Revision{Epoch: d.Revision.Epoch, Number: 1}
		ended = append(ended, r)
	}
	l.evacuationsUpdated(l.evacuations.Merge(l.balancer.cluster.now, ended))
}

// mergeEvacuations merges the records of another process.
func (l *learner) mergeEvacuations(records []evacuation.Record) {
	c := l.balancer.cluster
	if c.config.Mutant != PeersUntold && !c.untold(l.balancer.incarnation) {
		l.evacuationsUpdated(l.evacuations.Merge(c.now, records))
	}
}

// evacuationsUpdated puts changed records into effect and spreads them.
func (l *learner) evacuationsUpdated(u evacuation.Update) {
	if !u.Changed {
		return
	}
	b, c := l.balancer, l.balancer.cluster
	b.logic.SetEvacuated(l.evacuations.DataCentres())
	for _, r := range u.Transitions {
		b.timeline.add(c.now, "evacuation: %+v", r)
		if requestedAt, requested := c.store.evacuations[r.DataCentre]; requested && r.Evacuated {
			l.requestKnown[r.DataCentre] = knownRequest{requestedAt: requestedAt, since: c.now}
		}
	}
	peers := c.random.Perm(len(c.balancers))
	for _, i := range peers[:min(len(peers), spreadPeers)] {
		l.directBalancer(c.balancers[i])
	}
	for _, u := range c.upstreams {
		for rank := range notifierCount {
			if (u.index+rank)%len(c.balancers) == b.index {
				l.directSidecar(u)
			}
		}
	}
}

// transfer returns records as they arrive at another process.
func transfer(records []evacuation.Record) []evacuation.Record {
	m := relay.Message{Kind: relay.KindDirectives, Directives: relay.Directives{Evacuations: records}}
	data, err := m.Append(nil)
	if err == nil {
		m, err = relay.Decode(data)
	}
	if err != nil {
		panic(err) // The records of an evacuation.Set always fit into a message.
	}
	return m.Directives.Evacuations
}

// directBalancer sends another balancer directives.
func (l *learner) directBalancer(other *balancerHost) {
	if other == l.balancer || !l.balancer.reaches(other) || len(l.evacuations.Records()) == 0 {
		return
	}
	records := transfer(l.evacuations.Records())
	from := l.balancer
	other.receive(func() {
		other.learner.mergeEvacuations(records)
		if other.learner.evacuations.KnowsNewer(records) && from.up {
			other.learner.directBalancer(from)
		}
	})
}

// directSidecar sends a sidecar directives, also if they are empty.
func (l *learner) directSidecar(u *upstreamHost) {
	records := transfer(l.evacuations.Records())
	from := l.balancer
	u.receive(func() { u.handleDirectives(from, records) })
}

// announceEvacuations does the periodic work for evacuations.
func (l *learner) announceEvacuations() {
	c := l.balancer.cluster
	l.evacuationsUpdated(l.evacuations.Tick(c.now))
	if !l.evacuations.Announces(c.now) {
		return
	}
	hosts := len(c.balancers) + len(c.upstreams)
	for range min(directivesPerRound, hosts) {
		i := l.directivesTurn % hosts
		l.directivesTurn++
		if i < len(c.balancers) {
			l.directBalancer(c.balancers[i])
		} else if u := c.upstreams[i-len(c.balancers)]; !u.removed {
			l.directSidecar(u)
		}
	}
}

// greetBalancer sends directives to a balancer from which this one hears for the first time.
func (l *learner) greetBalancer(from netip.Addr) {
	if l.heard[from] {
		return
	}
	l.heard[from] = true
	for _, other := range l.balancer.cluster.balancers {
		if other.relayAddress.Addr() == from {
			l.directBalancer(other)
		}
	}
}

// greetSidecar sends directives to a sidecar from which this balancer hears for the first
// time.
func (b *balancerHost) greetSidecar(u *upstreamHost) {
	if b.learner != nil && len(b.learner.evacuations.Records()) > 0 {
		b.learner.directSidecar(u)
	}
}

// compareEvacuations sends directives to a sidecar whose message shows that it or this
// balancer lacks a record.
func (b *balancerHost) compareEvacuations(u *upstreamHost, m relay.Message) {
	l, now := b.learner, b.cluster.now
	if l == nil {
		return
	}
	disagrees := m.Kind == relay.KindReport && m.Report.Evacuated != l.evacuations.Evacuated(m.Report.DataCentre)
	if !disagrees && (m.Kind != relay.KindRefused || m.Reason != relay.ReasonEvacuated) {
		return
	}
	if last, ok := l.directedAt[u]; !ok || now-last >= directivesInterval {
		l.directedAt[u] = now
		l.directSidecar(u)
	}
}

// handleDirectives puts the directives of a balancer into effect, and responds if the
// balancer lacks a record.
func (u *upstreamHost) handleDirectives(from *balancerHost, records []evacuation.Record) {
	c := u.cluster
	if c.config.Mutant == PeersUntold || c.untold(u.sidecarIncarnation) {
		return
	}
	for _, r := range u.evacuations.Merge(c.now, records).Transitions {
		u.timeline.add(c.now, "evacuation: %+v", r)
	}
	if evacuated := u.evacuations.Evacuated(c.dataCentre(u.index)); evacuated != u.logic.Evacuated() {
		u.logic.SetEvacuated(evacuated)
		u.report(c.balancers...)
	}
	if own := u.evacuations.Records(); u.evacuations.KnowsNewer(records) {
		from.receive(func() { from.learner.mergeEvacuations(transfer(own)) })
	}
}
