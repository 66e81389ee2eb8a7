package fleet

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/standin/metadata"
	"github.com/orioledyke/orioledyke/platform"
)

const (
	// awaitTime is how long a balancer waits for the report of a listed sidecar.
	awaitTime clock.Millis = 2500
	// contactInterval is the time between two messages of a balancer to a listed sidecar that
	// has not reported.
	contactInterval clock.Millis = 500
	// balancerSilence is how long a sidecar may hear no balancer before it looks for balancers
	// in the directory.
	balancerSilence = 2 * clock.Second
	sidecarPrefix   = "sidecars/"
	balancerPrefix  = "balancers/"
)

// startDiscovery reads the directory until that succeeds, and contacts the sidecars that are
// listed. Without Config.Store, all processes know each other.
func (b *balancerHost) startDiscovery() {
	incarnation := b.incarnation
	var hosts []netip.Addr
	b.cluster.store.call(b.client, func(state *metadata.Store) {
		for _, u := range b.cluster.upstreams {
			if _, ok := state.Get(sidecarPrefix + strconv.Itoa(u.index)); ok {
				hosts = append(hosts, u.relayAddress.Addr())
			}
		}
	}, func(err error) {
		if err != nil {
			b.cluster.after(callRetryInterval, func() {
				if b.up && b.incarnation == incarnation {
					b.startDiscovery()
				}
			})
			return
		}
		b.timeline.add(b.cluster.now, "directory lists the sidecars %v", hosts)
		b.members.DirectoryRead(b.cluster.now, hosts)
		b.addListed(hosts)
	})
}

// addListed adds sidecars that a source has listed.
func (b *balancerHost) addListed(hosts []netip.Addr) {
	for _, host := range hosts {
		address := netip.AddrPortFrom(host, relayPort)
		if _, known := b.listed[address]; !known {
			b.listed[address] = b.cluster.now
			b.contact(b.incarnation, address)
		}
	}
}

// contact sends a digest to a listed sidecar until it has reported.
func (b *balancerHost) contact(incarnation int, to netip.AddrPort) {
	if !b.up || b.incarnation != incarnation || b.heardFrom[to] || b.cluster.now-b.listed[to] > awaitTime {
		return
	}
	for _, u := range b.cluster.upstreams {
		if u.relayAddress == to && !u.removed {
			u.receive(func() { u.learnBalancer(b) })
		}
	}
	b.cluster.after(contactInterval, func() { b.contact(incarnation, to) })
}

// listedReported reports whether each listed sidecar has reported or does not respond.
func (b *balancerHost) listedReported() bool {
	for address, since := range b.listed {
		if !b.heardFrom[address] && b.cluster.now-since <= awaitTime {
			return false
		}
	}
	return true
}

// learnBalancer makes the sidecar report to a balancer that it did not know, and send its
// roster.
func (u *upstreamHost) learnBalancer(b *balancerHost) {
	if u.balancers[b.relayAddress] {
		return
	}
	u.balancers[b.relayAddress] = true
	u.report(b)
}

// knows reports whether the sidecar has found a balancer.
func (u *upstreamHost) knows(b *balancerHost) bool {
	return u.cluster.store == nil || u.balancers[b.relayAddress]
}

// readBalancers takes over the balancers that a list of the store contains.
func (u *upstreamHost) readBalancers(state *metadata.Store) func() {
	var found []*balancerHost
	for _, item := range state.List(balancerPrefix, "") {
		if index, err := strconv.Atoi(strings.TrimPrefix(item.Key, balancerPrefix)); err == nil {
			found = append(found, u.cluster.balancers[index])
		}
	}
	return func() {
		for _, b := range found {
			if b.up {
				u.learnBalancer(b)
			}
		}
	}
}

// sendRoster sends a balancer the roster of the sidecar if the process of the balancer has
// not got it yet.
func (u *upstreamHost) sendRoster(b *balancerHost) {
	if !b.up || u.rostersSent[b] == b.incarnation || u.cluster.config.Mutant == DirectoryTrusted {
		return
	}
	u.rostersSent[b] = b.incarnation
	m := relay.Message{Kind: relay.KindRoster, Roster: relay.Roster{
		Age: u.cluster.now - u.sidecarStartedAt, EntryFound: u.keeper != nil && u.keeper.found,
		Complete: u.roster.Complete() || u.cluster.config.Mutant == SiblingsForgotten, Hosts: u.roster.Hosts(),
	}}
	u.sendToBalancer(b, m)
}

// updateRoster takes over the lists of the live balancers that the sidecar knows, and probes
// the other siblings. In the real system, balancers send these lists.
func (u *upstreamHost) updateRoster() {
	now := u.cluster.now
	current := map[netip.Addr]bool{}
	for _, b := range u.cluster.balancers {
		current[b.relayAddress.Addr()] = b.up && u.knows(b)
	}
	isCurrent := func(host netip.Addr) bool { return current[host] }
	for _, b := range u.cluster.balancers {
		if hosts, known := b.logic.ServiceHosts(u.relayAddress); known && b.up && u.knows(b) {
			var others []netip.Addr
			for _, host := range hosts {
				if host != u.relayAddress.Addr() {
					others = append(others, host)
				}
			}
			u.roster.Replace(now, b.relayAddress.Addr(), others, isCurrent)
		}
	}
	for _, host := range u.roster.Probes(now, isCurrent) {
		u.probe(host)
	}
}

// probe asks a sibling for a report.
func (u *upstreamHost) probe(host netip.Addr) {
	for _, sibling := range u.cluster.upstreams {
		if sibling.relayAddress.Addr() != host || sibling.removed {
			continue
		}
		sibling.receive(func() {
			r := sibling.currentReport().Report
			u.receive(func() {
				if r.Departed || r.Service != platform.ServiceID(serviceName(u.service)) {
					u.roster.Left(host)
				} else {
					u.roster.Heard(u.cluster.now, host)
				}
			})
		})
	}
}

// findBalancers looks for balancers in the directory if the sidecar hears none.
func (u *upstreamHost) findBalancers() {
	for _, b := range u.cluster.balancers {
		if b.up && u.knows(b) {
			u.lastBalancer = u.cluster.now
		}
	}
	if u.keeper != nil && u.cluster.now-u.lastBalancer >= balancerSilence {
		u.lastBalancer = u.cluster.now
		u.timeline.add(u.cluster.now, "hears no balancer")
		u.keeper.look()
	}
}

// ReplaceBalancers ends all balancers and starts others at other addresses after a delay.
func (c *Cluster) ReplaceBalancers(delay clock.Millis) {
	for _, b := range c.balancers {
		if b.up {
			b.end()
		}
		b.replacements++
		c.after(delay, b.start)
	}
}
