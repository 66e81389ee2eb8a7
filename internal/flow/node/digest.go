package node

import (
	"context"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/peerset"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/platform"
	"go.uber.org/zap"
)

const (
	// digestInterval is the time between two rounds of digests, and digestsPerRound is
	// the number of hosts that get a digest in a round. This makes 64 digests a second,
	// each of 51 bytes with the headers of the datagram. Control traffic may take 8 KB a
	// second in a large system.
	digestInterval  clock.Millis = 500
	digestsPerRound              = 32
	// In one of every listRoundInterval rounds, digests with lists of hosts also go to
	// listPeers balancers and to the sidecars of which this balancer is a sibling notifier.
	listRoundInterval = 10
	listPeers         = 4
	// maxListed is the maximum number of balancers, and of sidecars, in one digest.
	maxListed = 32
	// spreadPeers is the number of balancers that are immediately notified of a new
	// configuration. Each of them notifies as many, so that three steps reach 500
	// balancers.
	spreadPeers = 16
	// epochAnnounceTime is how long a balancer announces a restore of the store, to
	// announcedPerRound hosts in each round. Sidecars have no watch, and would notice a
	// restore only at their next call. With 500 balancers, a host gets eight announcements
	// on average, and a node stays below 8 KB a second.
	epochAnnounceTime = 5 * clock.Second
	announcedPerRound = 8
	// reportIntervalPerSidecar is the time that each live sidecar adds to the interval
	// between the reports of one sidecar. A balancer thus gets at most 45 reports of 80
	// bytes a second.
	reportIntervalPerSidecar clock.Millis = 22
	// siblingInterval is the time between two checks for services whose sidecars have
	// changed.
	siblingInterval clock.Millis = 100
)

// digests sends what a balancer knows to other hosts. The traffic per second does not
// depend on the number of hosts.
type digests struct {
	node *balancerNode
	// hostTurn rotates through all hosts. peerTurn rotates through the balancers that get
	// digests with lists.
	hostTurn, peerTurn peerset.Rotation
	// balancerTurn and sidecarTurn rotate through the hosts that digests list.
	balancerTurn, sidecarTurn peerset.Rotation
	round                     int
	// interval is the time between two digests to the same host. reportInterval is the
	// time that digests request between two reports of one sidecar.
	interval, reportInterval clock.Millis
	// announceUntil is the end of epochAnnounceTime after the last restore of the store, and
	// outageUntil after the last outage, which outage identifies. announceTurn rotates
	// through all hosts from a random one, so that the balancers together reach all of them.
	announceUntil clock.Millis
	outageUntil   clock.Millis
	outage        uint64
	announceTurn  peerset.Rotation
	// directivesTurn rotates through all hosts from a random one; they get directives.
	// directivesCredit is the number of bytes that remain for announced directives.
	directivesTurn   peerset.Rotation
	directivesCredit int
	// notifies caches whether this balancer is a sibling notifier of each sidecar. It is
	// valid while the live balancers are liveBalancers.
	notifies      map[netip.Addr]bool
	liveBalancers []netip.Addr
}

// handleDigest adds what another balancer knows: its configuration version and the hosts
// that it lists.
func (n *balancerNode) handleDigest(now clock.Millis, from netip.Addr, d relay.Digest) {
	if n.balancers.MarkSeen(now, from, d.Interval) {
		n.logger.Info("balancer-appeared", zap.Stringer("balancer", from))
		n.digests.greet(now, []netip.Addr{from})
	}
	n.addHosts(now, platform.Hosts{platform.Balancers: d.Balancers, platform.Sidecars: d.Sidecars})
	n.versions.Report(now, from, d.Version)
	n.requestFetch(now)
}

// addHosts adds listed hosts to the peer sets, and sends a digest to those that are new.
func (n *balancerNode) addHosts(now clock.Millis, hosts platform.Hosts) {
	added := n.balancers.MarkListed(now, hosts[platform.Balancers])
	n.digests.greet(now, append(added, n.sidecars.MarkListed(now, hosts[platform.Sidecars])...))
}

// sendDigests does the periodic work of the balancer. It sends the digests of a round,
// and requests a newer configuration from a peer if that is due.
func (n *balancerNode) sendDigests(context.Context) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.clock.Now()
	n.machine.Tick(now)
	n.evacuationsUpdated(now, sourceStore, n.evacuations.Tick(now))
	n.balancers.MarkListed(now, n.seedHosts())
	n.balancers.Expire(now)
	n.sidecars.Expire(now)
	n.digests.sendRound(now)
	n.requestFetch(now)
	n.logBehind(now)
	n.endOverdueWatch(now)
}

// sendRound sends the digests of one round.
func (d *digests) sendRound(now clock.Millis) {
	n := d.node
	d.round++
	balancers, sidecars := n.balancers.Live(now), n.sidecars.Live(now)
	// Silent hosts get digests too, because they may still respond.
	all := slices.Concat(balancers, sidecars, n.balancers.Silent(now), n.sidecars.Silent(now))
	slices.SortFunc(all, netip.Addr.Compare)
	all = slices.Compact(all)
	d.interval = digestInterval * clock.Millis(peerset.Rounds(len(all), digestsPerRound))
	d.reportInterval = reportIntervalPerSidecar * clock.Millis(len(sidecars))
	if d.round%listRoundInterval == 0 {
		listed := d.peerTurn.Next(balancers, listPeers)
		d.refresh(balancers)
		for _, sidecar := range sidecars {
			if d.isNotifierOf(sidecar) {
				listed = append(listed, sidecar)
			}
		}
		d.send(now, listed, true)
	}
	d.send(now, d.hostTurn.Next(all, digestsPerRound), false)
	d.announceDirectives(now, all)
	if m, due := d.announcement(now); due && !n.stopping {
		d.announce(m, d.announceTurn.Next(all, announcedPerRound))
	}
}

// startAnnouncing begins to announce a restore of the store.
func (d *digests) startAnnouncing(now clock.Millis) {
	d.announceUntil = now + epochAnnounceTime
	d.announceTurn = d.randomTurn(now)
}

// randomTurn returns a rotation through all hosts from a random one, so that many balancers
// that start at the same time do not all begin with the same hosts.
func (d *digests) randomTurn(now clock.Millis) peerset.Rotation {
	known := slices.Concat(d.node.balancers.Live(now), d.node.sidecars.Live(now))
	if len(known) == 0 {
		return peerset.Rotation{}
	}
	return peerset.StartAfter(known[random(len(known))])
}

// announce sends hosts an announcement about the store.
func (d *digests) announce(m relay.Message, hosts []netip.Addr) {
	data, err := m.Append(nil)
	if err != nil {
		d.node.logger.Error("announcement-failed", zap.Error(err))
		return
	}
	for _, host := range hosts {
		d.node.relayTo(host, data)
	}
}

// spread immediately notifies some balancers, chosen at random, of the configuration in
// effect.
func (d *digests) spread(now clock.Millis) { d.send(now, d.randomPeers(now), false) }

// randomPeers returns up to spreadPeers live balancers, chosen at random.
func (d *digests) randomPeers(now clock.Millis) []netip.Addr {
	peers := d.node.balancers.Live(now)
	for i := range peers {
		j := i + random(len(peers)-i)
		peers[i], peers[j] = peers[j], peers[i]
	}
	return peers[:min(len(peers), spreadPeers)]
}

// notified returns the live sidecars of which this balancer is a sibling notifier.
func (d *digests) notified(now clock.Millis) []netip.Addr {
	d.refresh(d.node.balancers.Live(now))
	return slices.DeleteFunc(d.node.sidecars.Live(now), func(host netip.Addr) bool { return !d.isNotifierOf(host) })
}

// greet sends hosts that have appeared what this balancer knows.
func (d *digests) greet(now clock.Millis, hosts []netip.Addr) {
	d.send(now, hosts, true)
	d.sendDirectives(hosts)
}

// send sends a digest to each of the given hosts, with or without lists of hosts. For a
// sidecar that has reported to this balancer, the lists name its siblings instead of the
// sidecars of all services, or no sidecars if this balancer is not its sibling notifier.
func (d *digests) send(now clock.Millis, hosts []netip.Addr, lists bool) {
	n := d.node
	if n.stopping || len(hosts) == 0 {
		return
	}
	common := relay.Digest{
		Version: n.machine.Table().Version(), Interval: d.interval, ReportInterval: d.reportInterval,
	}
	var balancers, sidecars []netip.Addr
	if lists {
		live := n.balancers.Live(now)
		d.refresh(live)
		balancers = d.balancerTurn.Next(live, maxListed)
		sidecars = d.sidecarTurn.Next(n.machine.Sidecars(), maxListed)
	}
	for _, host := range hosts {
		m := relay.Message{Kind: relay.KindDigest, Digest: common}
		if lists {
			m.Digest.Balancers = balancers
			siblings, known := n.machine.ServiceHosts(netip.AddrPortFrom(host, n.settings.RelayAddress.Port()))
			switch {
			case !known:
				m.Digest.Sidecars = sidecars
			case d.isNotifierOf(host):
				m.Digest.Siblings = siblings[:min(len(siblings), relay.MaxHosts-len(balancers))]
			}
		}
		data, err := m.Append(nil)
		if err != nil {
			n.logger.Error("digest-failed", zap.Error(err))
			return
		}
		n.relayTo(host, data)
	}
}

// refresh clears the cache of isNotifierOf if the live balancers have changed.
func (d *digests) refresh(live []netip.Addr) {
	if d.notifies == nil || !slices.Equal(live, d.liveBalancers) {
		d.liveBalancers, d.notifies = live, map[netip.Addr]bool{}
	}
}

// isNotifierOf reports whether this balancer is a sibling notifier of a sidecar, as of
// the last refresh.
func (d *digests) isNotifierOf(host netip.Addr) bool {
	notifies, known := d.notifies[host]
	if !known {
		notifies = isNotifier(d.node.settings.RelayAddress.Addr(), host, d.liveBalancers)
		d.notifies[host] = notifies
	}
	return notifies
}

// sendSiblings sends sidecars the list of their siblings if the sidecars of their
// service have changed and this balancer is one of their notifiers.
func (d *digests) sendSiblings(now clock.Millis) {
	if changed := d.node.machine.TakeHostsOfChangedServices(); len(changed) > 0 {
		d.refresh(d.node.balancers.Live(now))
		hosts := slices.DeleteFunc(changed, func(host netip.Addr) bool { return !d.isNotifierOf(host) })
		d.send(now, hosts, true)
	}
}
