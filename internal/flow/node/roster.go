package node

import (
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/platform"
	"go.uber.org/zap"
)

// rosterSenders is the number of sidecars of a service that name their siblings to a balancer
// that appears. The rosters of a service with thousands of sidecars would otherwise take
// megabytes.
const rosterSenders = 8

// handleSiblingReport handles the response of a sibling to a probe.
func (n *sidecarNode) handleSiblingReport(now clock.Millis, from netip.Addr, r relay.Report) {
	if r.Departed || r.Service != platform.ServiceID(n.sidecarSettings.Service) {
		n.roster.Left(from)
	} else {
		n.roster.Heard(now, from)
	}
	n.setSiblings(now)
}

// updateSiblings records the sidecars of the service that a balancer lists. Balancers may
// know different sidecars, so the roster combines the lists of all sibling notifiers.
func (n *sidecarNode) updateSiblings(now clock.Millis, from netip.Addr, hosts []netip.Addr) {
	if len(hosts) == 0 {
		return
	}
	others := slices.DeleteFunc(slices.Clone(hosts), func(host netip.Addr) bool { return host == n.settings.RelayAddress.Addr() })
	n.roster.Replace(now, from, others, n.isCurrentNotifier(now))
	n.probeSiblings(now)
}

// isCurrentNotifier returns a function that reports whether a balancer is live and a sibling
// notifier of this sidecar.
func (n *sidecarNode) isCurrentNotifier(now clock.Millis) func(netip.Addr) bool {
	live := n.balancers.Live(now)
	return func(balancer netip.Addr) bool {
		return slices.Contains(live, balancer) && isNotifier(balancer, n.settings.RelayAddress.Addr(), live)
	}
}

// probeSiblings asks siblings for a sign of life that no sibling notifier lists, and removes
// those that have not responded.
func (n *sidecarNode) probeSiblings(now clock.Millis) {
	ping := relay.Message{Kind: relay.KindPing}
	if data, err := ping.Append(nil); err == nil {
		for _, host := range n.roster.Probes(now, n.isCurrentNotifier(now)) {
			n.relayTo(host, data)
		}
	}
	n.setSiblings(now)
}

// setSiblings lets searches query the siblings in the roster.
func (n *sidecarNode) setSiblings(now clock.Millis) {
	hosts := n.roster.Hosts()
	siblings := make([]netip.AddrPort, 0, len(hosts))
	for _, host := range hosts {
		siblings = append(siblings, netip.AddrPortFrom(host, n.settings.RelayAddress.Port()))
	}
	n.machine.SetSiblings(now, siblings)
}

// sendRoster sends balancers the roster of this sidecar. Of a service with many sidecars, only
// rosterSenders name their siblings to the same balancer.
func (n *sidecarNode) sendRoster(balancers []netip.Addr) {
	if len(balancers) == 0 {
		return
	}
	hosts := n.roster.Hosts()
	for _, balancer := range balancers {
		m := relay.Message{Kind: relay.KindRoster, Roster: relay.Roster{
			Incarnation: n.incarnation, Age: n.clock.Now() - n.startedAt, EntryFound: n.directory.foundEntry(),
		}}
		names := isAmongHighest(n.settings.RelayAddress.Addr(), balancer, hosts, rosterSenders)
		if names && len(hosts) <= relay.MaxRosterHosts {
			m.Roster.Complete, m.Roster.Hosts = n.roster.Complete(), hosts
		}
		data, err := m.Append(nil)
		if err != nil {
			n.logger.Error("roster-failed", zap.Error(err))
			return
		}
		n.relayTo(balancer, data)
	}
}
