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
	// digestInterval is the time between two rounds of digests, and roundDigests how
	// many hosts get one in a round: 64 of 51 bytes in a second with the heads of
	// datagrams, of the 8 KB that control may take in a large system.
	digestInterval clock.Millis = 500
	roundDigests                = 32
	// listRounds is the number of rounds of which one has lists of hosts, which go to
	// the sidecars that this balancer informs and to listPeers balancers.
	listRounds = 10
	listPeers  = 4
	// maxNamed is how many balancers and how many sidecars one digest names.
	maxNamed = 32
	// spreadPeers is how many balancers hear at once of a new configuration. Each of
	// them tells as many, so that three steps reach 500.
	spreadPeers = 16
	// reportShare is the time between reports for each sidecar that a balancer hears:
	// it gets 45 reports of 73 bytes in a second at most.
	reportShare clock.Millis = 22
	// siblingInterval is the time between two looks for changed services.
	siblingInterval clock.Millis = 100
)

// digests sends other hosts what a balancer knows. How much is sent in a second does
// not depend on the number of hosts.
type digests struct {
	node *balancerNode
	// hosts is the turn of all hosts, peers that of balancers which get lists.
	hosts, peers peerset.Rotation
	// balancers and sidecars are the windows of the lists that digests name.
	balancers, sidecars peerset.Rotation
	round               int
	// interval is the time between two digests to one host, and reportInterval that
	// between two reports of a sidecar.
	interval, reportInterval clock.Millis
	// informed tells for each sidecar whether this balancer is one of its informers,
	// while the live balancers are the same.
	informed map[netip.Addr]bool
	live     []netip.Addr
}

// handleDigest learns what another balancer knows.
func (n *balancerNode) handleDigest(now clock.Millis, from netip.Addr, d relay.Digest) {
	if n.balancers.MarkSeen(now, from, d.Interval) {
		n.logger.Info("balancer-appeared", zap.Stringer("balancer", from))
		n.digests.send(now, []netip.Addr{from}, true)
	}
	n.learn(now, platform.Hosts{platform.Balancers: d.Balancers, platform.Sidecars: d.Sidecars})
	if d.Version > n.newer {
		n.newer, n.newerAt, n.newerSince = d.Version, from, now
	}
	if d.Version > 0 && n.machine.Table() == nil {
		n.requestFetch(from)
	}
}

// learn contacts hosts that are new here.
func (n *balancerNode) learn(now clock.Millis, hosts platform.Hosts) {
	added := n.balancers.MarkListed(now, hosts[platform.Balancers])
	n.digests.send(now, append(added, n.sidecars.MarkListed(now, hosts[platform.Sidecars])...), true)
}

// sendDigests tells others what this balancer knows, and asks a peer for a
// configuration that the store has not delivered.
func (n *balancerNode) sendDigests(context.Context) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.clock.Now()
	n.machine.Tick(now)
	n.balancers.MarkListed(now, n.seedHosts())
	n.balancers.Expire(now)
	n.sidecars.Expire(now)
	n.digests.sendRound(now)
	if n.newer > n.machine.Table().Version() && now-n.newerSince >= peerDelay {
		n.requestFetch(n.newerAt)
	}
}

// sendRound sends digests to the hosts whose turn it is.
func (d *digests) sendRound(now clock.Millis) {
	n := d.node
	d.round++
	balancers, sidecars := n.balancers.Live(now), n.sidecars.Live(now)
	// Hosts that are worth a try get digests although they are not live.
	all := slices.Concat(balancers, sidecars, n.balancers.Silent(now), n.sidecars.Silent(now))
	slices.SortFunc(all, netip.Addr.Compare)
	all = slices.Compact(all)
	d.interval = digestInterval * clock.Millis(peerset.Rounds(len(all), roundDigests))
	d.reportInterval = reportShare * clock.Millis(len(sidecars))
	if d.round%listRounds == 0 {
		listed := d.peers.Next(balancers, listPeers)
		d.refresh(balancers)
		for _, sidecar := range sidecars {
			if d.informs(sidecar) {
				listed = append(listed, sidecar)
			}
		}
		d.send(now, listed, true)
	}
	d.send(now, d.hosts.Next(all, roundDigests), false)
}

// spread tells some balancers at once that a configuration is in effect.
func (d *digests) spread(now clock.Millis) {
	peers := d.node.balancers.Live(now)
	for i := range peers {
		j := i + random(len(peers)-i)
		peers[i], peers[j] = peers[j], peers[i]
	}
	d.send(now, peers[:min(len(peers), spreadPeers)], false)
}

// send sends hosts what this balancer knows, with or without lists of hosts.
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
		balancers = d.balancers.Next(live, maxNamed)
		sidecars = d.sidecars.Next(n.machine.Sidecars(), maxNamed)
	}
	for _, host := range hosts {
		m := relay.Message{Kind: relay.KindDigest, Digest: common}
		if lists {
			m.Digest.Balancers = balancers
			siblings, known := n.machine.Siblings(netip.AddrPortFrom(host, n.settings.RelayAddress.Port()))
			switch {
			case !known:
				m.Digest.Sidecars = sidecars
			case d.informs(host):
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

// refresh forgets which sidecars this balancer informs when the live balancers have
// changed.
func (d *digests) refresh(live []netip.Addr) {
	if d.informed == nil || !slices.Equal(live, d.live) {
		d.live, d.informed = live, map[netip.Addr]bool{}
	}
}

// informs reports whether this balancer is one of those that tell a sidecar its
// siblings, as of the last refresh.
func (d *digests) informs(host netip.Addr) bool {
	informs, known := d.informed[host]
	if !known {
		informs = isInformer(d.node.settings.RelayAddress.Addr(), host, d.live)
		d.informed[host] = informs
	}
	return informs
}

// sendSiblings tells sidecars of services whose members have changed their siblings.
func (d *digests) sendSiblings(now clock.Millis) {
	if changed := d.node.machine.TakeChanged(); len(changed) > 0 {
		d.refresh(d.node.balancers.Live(now))
		hosts := slices.DeleteFunc(changed, func(host netip.Addr) bool { return !d.informs(host) })
		d.send(now, hosts, true)
	}
}
