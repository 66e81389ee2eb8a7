package node

import (
	"encoding/base64"
	"net/http"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/configuration"
	"github.com/orioledyke/orioledyke/internal/flow/evacuation"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"go.uber.org/zap"
)

const (
	// directivesBudget is how many bytes the announced directives of a round of digests take
	// on average, with the headers of their datagrams: one record with a name of 14 bytes goes
	// to four hosts. At 500 balancers and 4,700 sidecars, digests and reports leave 666 bytes
	// a second of the control budget.
	directivesBudget = 330
	// datagramHeaderSize is the size of the IPv4 and UDP headers in bytes.
	datagramHeaderSize = 28
	// directivesInterval is the shortest time between two directives to a host because it
	// seems to know other records. Two hosts whose records differ for good, because one of
	// them has no room for more, must not send each other messages without end.
	directivesInterval = clock.Second
	// maxDirected is the number of hosts in directedAt at which outdated ones are removed.
	maxDirected = 256
	// evacuationsHeader is the header of a peer's response that carries its records, as a
	// directives message in base64.
	evacuationsHeader = "Evacuations"
)

// logEvacuations logs the evacuations that have begun or ended. source names the origin of
// the records. The field data-centre of every line is the process's own data centre.
func (b *base) logEvacuations(source string, u evacuation.Update) {
	for _, r := range u.Transitions {
		event := "evacuation-ended"
		if r.Evacuated {
			event = "evacuation-began"
		}
		b.logger.Info(event, zap.String("evacuated-data-centre", r.DataCentre), zap.Uint64("revision", r.Revision.Number),
			zap.Uint64("epoch", uint64(r.Revision.Epoch)), zap.String("source", source))
	}
}

// mayDirect reports whether directives may be sent to a host that seems to know other
// records, and records that they are.
func (b *base) mayDirect(now clock.Millis, host netip.Addr) bool {
	if last, ok := b.directedAt[host]; ok && now-last < directivesInterval {
		return false
	}
	if len(b.directedAt) >= maxDirected {
		for known, last := range b.directedAt {
			if now-last >= directivesInterval {
				delete(b.directedAt, known)
			}
		}
	}
	if b.directedAt == nil {
		b.directedAt = map[netip.Addr]clock.Millis{}
	}
	b.directedAt[host] = now
	return true
}

// sendDirectives sends directives to a host.
func (b *base) sendDirectives(host netip.Addr, d relay.Directives) {
	m := relay.Message{Kind: relay.KindDirectives, Directives: d}
	data, err := m.Append(nil)
	if err != nil {
		b.logger.Error("directives-failed", zap.Error(err))
		return
	}
	b.relayTo(host, data)
}

// applyEvacuations puts evacuations from the store into effect: all of them if complete is
// set, otherwise changes.
func (n *balancerNode) applyEvacuations(document configuration.Document, complete bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.clock.Now()
	if complete {
		n.evacuationsUpdated(now, sourceStore, n.evacuations.Read(now, document.Revision, document.Evacuations))
		return
	}
	n.evacuationsUpdated(now, sourceStore, n.evacuations.Watch(now, document.Evacuations))
}

// evacuationsUpdated puts changed records into effect and spreads them.
func (n *balancerNode) evacuationsUpdated(now clock.Millis, source string, u evacuation.Update) {
	if !u.Changed {
		return
	}
	n.logEvacuations(source, u)
	n.machine.SetEvacuated(n.evacuations.DataCentres())
	n.digests.sendDirectives(append(n.digests.randomPeers(now), n.digests.notified(now)...))
	n.digests.directivesTurn = n.digests.randomTurn(now)
}

// handleDirectives merges the records of another process. If it lacks one, this balancer
// responds with its own.
func (n *balancerNode) handleDirectives(now clock.Millis, from netip.Addr, d relay.Directives) {
	n.evacuationsUpdated(now, sourcePeer, n.evacuations.Merge(now, d.Evacuations))
	if n.evacuations.KnowsNewer(d.Evacuations) {
		n.exchangeDirectives(now, from)
	}
}

// disagrees reports whether a message of a sidecar shows that the sidecar or this balancer
// lacks a record of the sidecar's data centre.
func (n *balancerNode) disagrees(m relay.Message) bool {
	switch m.Kind {
	case relay.KindReport:
		return !m.Report.Departed && m.Report.Evacuated != n.evacuations.Evacuated(m.Report.DataCentre)
	case relay.KindRefused:
		return m.Reason == relay.ReasonEvacuated
	}
	return false
}

// exchangeDirectives sends a host what this balancer knows, also if that is nothing, so that
// the host responds with what it knows.
func (n *balancerNode) exchangeDirectives(now clock.Millis, host netip.Addr) {
	if !n.stopping && n.mayDirect(now, host) {
		n.sendDirectives(host, n.directivesFor(host))
	}
}

// directivesFor returns what a host is to know. The warm-up rate is that of the service if the
// host is a sidecar.
func (n *balancerNode) directivesFor(host netip.Addr) relay.Directives {
	return relay.Directives{
		Version: n.machine.Table().Version(), WarmupRate: n.warmupRateOf(n.machine.Table(), host), Evacuations: n.evacuations.Records(),
	}
}

// warmupRateOf returns the warm-up rate of a sidecar's service, 0 if there is none.
func (n *balancerNode) warmupRateOf(table *route.Table, host netip.Addr) float64 {
	service, known := n.machine.Service(netip.AddrPortFrom(host, n.settings.RelayAddress.Port()))
	if !known {
		return 0
	}
	return n.warmupRate(table, service)
}

// evacuationsHeader returns the value of the header with the known records, or "" if there
// are none.
func (n *balancerNode) evacuationsHeader() string {
	records := n.evacuations.Records()
	if len(records) == 0 {
		return ""
	}
	m := relay.Message{Kind: relay.KindDirectives, Directives: relay.Directives{Version: n.machine.Table().Version(), Evacuations: records}}
	data, err := m.Append(nil)
	if err != nil {
		n.logger.Error("directives-failed", zap.Error(err))
		return ""
	}
	return base64.StdEncoding.EncodeToString(data)
}

// mergeHeader merges the records in the header of a peer's response, before its configuration
// is in effect.
func (n *balancerNode) mergeHeader(header http.Header) {
	value := header.Get(evacuationsHeader)
	if value == "" {
		return
	}
	data, err := base64.StdEncoding.DecodeString(value)
	var m relay.Message
	if err == nil {
		m, err = relay.Decode(data)
	}
	if err != nil {
		n.logger.Warn("message-invalid", zap.String("header", evacuationsHeader), zap.Error(err))
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.clock.Now()
	n.evacuationsUpdated(now, sourcePeer, n.evacuations.Merge(now, m.Directives.Evacuations))
}

// sendDirectives sends directives to those hosts for which there are any.
func (d *digests) sendDirectives(hosts []netip.Addr) {
	if d.node.stopping {
		return
	}
	for _, host := range hosts {
		if directives := d.node.directivesFor(host); len(directives.Evacuations) > 0 || directives.WarmupRate > 0 {
			d.node.sendDirectives(host, directives)
		}
	}
}

// announceDirectives sends directives to the next hosts while records are announced. It leaves
// out the rounds in which a restore of the store is announced, because both together exceed
// the control budget.
func (d *digests) announceDirectives(now clock.Millis, all []netip.Addr) {
	if !d.node.evacuations.Announces(now) || now < d.announceUntil {
		return
	}
	m := relay.Message{Kind: relay.KindDirectives, Directives: relay.Directives{Evacuations: d.node.evacuations.Records()}}
	data, err := m.Append(nil)
	if err != nil {
		d.node.logger.Error("directives-failed", zap.Error(err))
		return
	}
	size := datagramHeaderSize + len(data)
	d.directivesCredit = min(d.directivesCredit+directivesBudget, max(directivesBudget, size))
	if count := d.directivesCredit / size; count > 0 {
		d.directivesCredit -= count * size
		d.sendDirectives(d.directivesTurn.Next(all, count))
	}
}

// spreadWarmupRates sends directives to the sidecars whose service has a warm-up rate in the
// configuration in effect or had one in the replaced one.
func (d *digests) spreadWarmupRates(now clock.Millis, replaced *route.Table) {
	n := d.node
	if n.stopping {
		return
	}
	for _, host := range d.notified(now) {
		if n.warmupRateOf(replaced, host) > 0 || n.warmupRateOf(n.machine.Table(), host) > 0 {
			n.sendDirectives(host, n.directivesFor(host))
		}
	}
}

// handleDirectives puts a balancer's directives into effect. If the balancer lacks a record,
// this sidecar responds with its own.
func (n *sidecarNode) handleDirectives(now clock.Millis, from netip.Addr, d relay.Directives) {
	n.logEvacuations(sourcePeer, n.evacuations.Merge(now, d.Evacuations))
	n.applyEvacuation(now)
	if d.Version > 0 && d.Version >= n.warmupVersion {
		n.warmupVersion, n.warmupRate = d.Version, d.WarmupRate
		n.applyWarmup(now)
	}
	if n.evacuations.KnowsNewer(d.Evacuations) && n.mayDirect(now, from) {
		n.sendDirectives(from, relay.Directives{Evacuations: n.evacuations.Records()})
	}
}

// applyEvacuation makes the sidecar refuse or accept new flows as the records of its data
// centre say, and reports a change to the live balancers immediately.
func (n *sidecarNode) applyEvacuation(now clock.Millis) {
	evacuated := n.evacuations.Evacuated(n.settings.DataCentre)
	if evacuated == n.machine.Evacuated() {
		return
	}
	n.machine.SetEvacuated(evacuated)
	n.reportTo(n.balancers.Live(now))
}

// applyWarmup puts the warm-up rate into effect for the rest of the upstream's warm-up.
func (n *sidecarNode) applyWarmup(now clock.Millis) {
	n.setWarmup(n.warmupRate, n.registration.Warmup(now))
}
