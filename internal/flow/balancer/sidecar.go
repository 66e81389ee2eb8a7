package balancer

import (
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/placement"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
)

const (
	// maxMissedReports is how many consecutive reports may be missing before a sidecar
	// gets no new flows.
	maxMissedReports = 4
	// defaultReportInterval is assumed for a sidecar whose reports state no interval.
	defaultReportInterval clock.Millis = 200
	// sidecarTTL is how long a silent sidecar is kept as a member of its service, because
	// its upstream may still hold flows.
	sidecarTTL = 60 * clock.Second
	// suspectTimeout is the minimum time without a message after which a sidecar is asked
	// for a report, every lossCheckInterval. It counts as lost if it then stays silent for
	// lostTimeout and has not announced that it stops.
	suspectTimeout    clock.Millis = 500
	lostTimeout       clock.Millis = 700
	lossCheckInterval clock.Millis = 200
	// returnTimeout is how long a lost sidecar is expected back for flows whose requests
	// must not be repeated: their responses are worth waiting for. Killed processes and
	// hosts without power are usually back earlier.
	returnTimeout = 5 * clock.Second
	// openFlowCost is the load that each open flow adds, as a fraction of a request.
	// Requests in progress count in addition, each as a whole one.
	openFlowCost = 0.03
	// warmupFactor multiplies the cost of an upstream that has just started.
	warmupFactor = 1.6
	// remoteCost is added to the cost of a sidecar in another data centre, to reduce
	// traffic between data centres. Like unresponsiveCost, it is a multiple of the time of
	// one request.
	remoteCost = 0.1
	// unresponsiveCost is added for a sidecar that did not respond, so that it is
	// selected last.
	unresponsiveCost = 100
	// roomMargin is how far the estimated requests must be below the limit of a flow. With
	// half a request, a slot is at least as likely idle as not when it is offered a flow.
	roomMargin = 0.5
	// busyBackoff is how long no new flow is placed on a sidecar that refused one as busy.
	// If the refused flow was past its latency goal, this applies only to flows past their
	// goals. busyBackoff is about the time in which a slot of the sidecar becomes free.
	busyBackoff clock.Millis = 20
	// unresponsiveBackoff is the minimum time for which a sidecar that did not respond is
	// selected last, even if it reports. Without a report, it is selected last for longer.
	// The time ends early when the sidecar responds or has a new incarnation.
	unresponsiveBackoff = clock.Second
)

// sidecar is what a balancer knows about one sidecar.
type sidecar struct {
	address  netip.AddrPort
	report   relay.Report
	lastSeen clock.Millis
	// backlog estimates the requests at the upstream.
	backlog placement.Backlog
	// unresponsiveAt is when a response of the sidecar was last found overdue.
	unresponsiveAt clock.Millis
	// unresponsive is set from then until the sidecar responds or has a new incarnation.
	unresponsive bool
	// lost is set while the sidecar has been silent for too long. Its upstream cannot be
	// reached, so no search waits for it.
	lost bool
	// pingedAt is when the sidecar was first asked for a report because it was silent or
	// had not responded to a search; 0 if it has sent a message since.
	pingedAt clock.Millis
	// evacuated is set while the sidecar's data centre is evacuated, as far as this balancer
	// or the sidecar knows.
	evacuated bool
	// unlisted is set if the sidecar may hold flows to addresses that it does not list.
	unlisted bool
	// weight is the weight from Config.Weight as of the last report. nextTrial is when the
	// next trial flow may go to the sidecar while its weight is 0.
	weight    float64
	nextTrial clock.Millis
	// busyUntil is the time until which no new flow at all is placed on the sidecar.
	// pastGoalBusyUntil is the time until which no flow past its latency goal is placed
	// on the sidecar.
	busyUntil, pastGoalBusyUntil clock.Millis
	// incarnationSince is when the first report of the current incarnation arrived.
	incarnationSince clock.Millis
	// pace limits the new flows while the upstream is cold.
	pace pace
}

// markUnresponsive records that the sidecar has not responded in time.
func (sc *sidecar) markUnresponsive(now clock.Millis) {
	sc.unresponsiveAt, sc.unresponsive = now, true
}

// usable reports whether the sidecar may get new flows.
func (sc *sidecar) usable(now clock.Millis) bool {
	return sc.report.Accepting && !sc.evacuated && sc.live(now)
}

// live reports whether the last message with the sidecar's load is recent: at most
// maxMissedReports reports are missing.
func (sc *sidecar) live(now clock.Millis) bool { return now-sc.lastSeen <= sc.liveTimeout() }

func (sc *sidecar) liveTimeout() clock.Millis {
	interval := sc.report.Interval
	if interval == 0 {
		interval = defaultReportInterval
	}
	return maxMissedReports * interval
}

// awaitsHeartbeat reports whether the sidecar has started a short time ago and not got a
// heartbeat yet. It learns the number of slots by the first one.
func (sc *sidecar) awaitsHeartbeat(now clock.Millis) bool {
	return sc.report.Slots == 0 && !sc.report.Stopping && now-sc.incarnationSince < firstHeartbeatTime
}

// suspect reports whether the sidecar is silent for longer than usual, so that it may have
// failed. A sidecar that stops for a restart is expected back.
func (sc *sidecar) suspect(now clock.Millis) bool {
	return !sc.report.Stopping && !sc.report.Legacy && now-sc.lastSeen > max(suspectTimeout, sc.liveTimeout()/2)
}

// roomAt returns when a flow may be offered to the sidecar, now or later. limit is the
// number of requests below which its upstream has room for the flow. pastGoal is set if the
// flow has passed its latency goal.
func (sc *sidecar) roomAt(now clock.Millis, limit float64, pastGoal bool) clock.Millis {
	at := sc.backlog.BelowAt(now, limit-roomMargin)
	if pastGoal {
		at = max(at, sc.pastGoalBusyUntil)
	}
	return max(at, sc.busyUntil)
}

// markBusy records that the sidecar was too busy for a flow. One that is too busy for a
// flow within its latency goal is too busy for one past its goal as well.
func (sc *sidecar) markBusy(now clock.Millis, pastGoal bool) {
	sc.pastGoalBusyUntil = now + busyBackoff
	if !pastGoal {
		sc.busyUntil = now + busyBackoff
	}
}

// cost ranks sidecars for a new flow; the lowest is best. It is the expected time to the
// response in milliseconds, raised by warmupFactor during warm-up if the sidecar states no
// work, by remoteCost for a sidecar in another data centre and by unresponsiveCost for one
// that did not respond, and divided by the weight.
func (sc *sidecar) cost(now clock.Millis, dataCentre string) float64 {
	cost := sc.backlog.Completion(now, openFlowCost*float64(sc.report.Load.Flows))
	if sc.report.Warmup > 0 && !sc.backlog.Learned() {
		cost *= warmupFactor
	}
	if sc.report.DataCentre != dataCentre {
		cost += remoteCost * sc.backlog.ServiceTime()
	}
	if sc.unresponsive && (now-sc.unresponsiveAt < unresponsiveBackoff || sc.lastSeen <= sc.unresponsiveAt) {
		cost += unresponsiveCost * sc.backlog.ServiceTime()
	}
	if sc.weight > 0 {
		cost /= sc.weight
	}
	return cost
}

// applyReport records a sidecar's report. It removes a sidecar that has departed, and
// tries to place the waiting flows if the upstream accepts new flows.
func (b *Balancer) applyReport(now clock.Millis, from netip.AddrPort, r relay.Report) {
	sc := b.sidecars[from]
	if sc == nil && r.Departed {
		return
	}
	if sc == nil {
		sc = &sidecar{address: from, weight: 1}
		b.sidecars[from] = sc
		b.addToService(sc, r.Service)
	} else if sc.report.Service != r.Service {
		b.removeFromService(sc)
		b.addToService(sc, r.Service)
	}
	newIncarnation := sc.report.Incarnation != r.Incarnation
	if newIncarnation {
		sc.unresponsive, sc.incarnationSince = false, now
	}
	b.setLost(sc, false)
	sc.report, sc.lastSeen = r, now
	sc.backlog.ApplyReport(now, r, b.placementOf(r.Service), b.goals[r.Service])
	b.observeFailures(now, from, r)
	b.setWeight(now, sc, b.config.Weight(from))
	sc.evacuated = r.Evacuated || b.evacuated[r.DataCentre]
	sc.pace.report(now, r.Warmup, newIncarnation)
	if r.Departed {
		b.removeFromService(sc)
		delete(b.sidecars, from)
		return
	}
	b.holders.addReport(now, r)
	b.setUnlisted(sc, !r.AllListed)
	if q := b.queues[r.Service]; q != nil && q.queue.Len() > 0 && float64(r.Load.Active) < float64(max(r.Slots, 1)) {
		q.queue.Reported(now)
	}
	b.offerRoom(now, sc)
}

// TakeHostsOfChangedServices returns the hosts of the sidecars of those services that
// sidecars have joined or left since the last call, in order of address. Lost sidecars
// have left.
func (b *Balancer) TakeHostsOfChangedServices() []netip.Addr {
	var hosts []netip.Addr
	for service := range b.changedServices {
		hosts = appendHosts(hosts, b.services[service])
	}
	clear(b.changedServices)
	slices.SortFunc(hosts, netip.Addr.Compare)
	return hosts
}

// appendHosts appends the hosts of those sidecars that are not lost.
func appendHosts(hosts []netip.Addr, sidecars []*sidecar) []netip.Addr {
	for _, sc := range sidecars {
		if !sc.lost {
			hosts = append(hosts, sc.address.Addr())
		}
	}
	return hosts
}

// ServiceHosts returns the hosts of the sidecars of the service that a sidecar belongs to,
// including its own, without lost ones. It returns false if the sidecar is unknown.
func (b *Balancer) ServiceHosts(sidecarAddress netip.AddrPort) ([]netip.Addr, bool) {
	sc := b.sidecars[sidecarAddress]
	if sc == nil {
		return nil, false
	}
	return appendHosts(nil, b.services[sc.report.Service]), true
}

// Sidecars returns the hosts of the sidecars whose upstreams may hold flows, in order
// of address.
func (b *Balancer) Sidecars() []netip.Addr {
	hosts := make([]netip.Addr, 0, len(b.sidecars))
	for address := range b.sidecars {
		hosts = append(hosts, address.Addr())
	}
	slices.SortFunc(hosts, netip.Addr.Compare)
	return hosts
}

func (b *Balancer) applyLoad(now clock.Millis, from netip.AddrPort, load relay.Load) {
	if sc := b.sidecars[from]; sc != nil {
		sc.report.Load, sc.lastSeen, sc.unresponsive = load, now, false
		b.setLost(sc, false)
		sc.backlog.ApplyLoad(now, load)
	}
}

func (b *Balancer) addToService(sc *sidecar, service identity.ServiceID) {
	sc.report.Service = service
	b.changedServices[service] = true
	b.joins[service]++
	b.services[service] = append(b.services[service], sc)
}

// setLost records whether a sidecar has been silent for too long.
func (b *Balancer) setLost(sc *sidecar, lost bool) {
	if !lost {
		sc.pingedAt = 0
	}
	if sc.lost != lost {
		sc.lost = lost
		b.config.LossChanged(sc.address, lost, b.now-sc.lastSeen)
		b.changedServices[sc.report.Service] = true
		b.joins[sc.report.Service]++
	}
}

// possibleOwners returns the hosts of the sidecars of a service that may own a flow and
// serve it.
func (b *Balancer) possibleOwners(now clock.Millis, f *flow, service identity.ServiceID) []netip.Addr {
	var hosts []netip.Addr
	for _, sc := range b.services[service] {
		if sc.possibleOwner(now, f) {
			hosts = append(hosts, sc.address.Addr())
		}
	}
	return hosts
}

func (b *Balancer) hasPossibleOwner(now clock.Millis, f *flow, service identity.ServiceID) bool {
	return slices.ContainsFunc(b.services[service], func(sc *sidecar) bool { return sc.possibleOwner(now, f) })
}

// possibleOwner reports whether the sidecar may own a flow and serve it. A lost sidecar may,
// for some time, if the requests of the flow must not be repeated.
func (sc *sidecar) possibleOwner(now clock.Millis, f *flow) bool {
	return !sc.lost || (!f.repeatable && now-sc.lastSeen < returnTimeout)
}

// setUnlisted records whether a sidecar may hold flows to addresses that it does not list.
func (b *Balancer) setUnlisted(sc *sidecar, unlisted bool) {
	if sc.unlisted == unlisted {
		return
	}
	sc.unlisted = unlisted
	change := 1
	if !unlisted {
		change = -1
	}
	b.holders.countUnlisted(sc.report.Service, change)
}

func (b *Balancer) removeFromService(sc *sidecar) {
	b.setUnlisted(sc, false)
	members := b.services[sc.report.Service]
	b.changedServices[sc.report.Service] = true
	members = slices.DeleteFunc(slices.Clone(members), func(m *sidecar) bool { return m == sc })
	if len(members) == 0 {
		delete(b.services, sc.report.Service)
		delete(b.placements, sc.report.Service)
		return
	}
	b.services[sc.report.Service] = members
}

// expireSidecars removes the sidecars that have been silent for sidecarTTL.
func (b *Balancer) expireSidecars(now clock.Millis) {
	for address, sc := range b.sidecars {
		if now-sc.lastSeen > sidecarTTL {
			b.removeFromService(sc)
			delete(b.sidecars, address)
		}
	}
}

// findLostSidecars asks silent sidecars for a report, and marks those as lost that do not
// send one. While no sidecar at all is heard, this host is probably the one that is cut
// off, and none is marked.
func (b *Balancer) findLostSidecars(now clock.Millis) {
	isolated := now-b.lastSidecarMessage > suspectTimeout
	for _, sc := range b.sidecars {
		switch {
		case sc.lost || (sc.pingedAt == 0 && !sc.suspect(now)):
		case sc.pingedAt == 0 || isolated:
			sc.pingedAt = now
			b.ping(sc)
		case now-sc.pingedAt >= lostTimeout && !sc.report.Stopping:
			b.setLost(sc, true)
		default:
			b.ping(sc)
		}
	}
}

// handleUnanswered asks sidecars that have not responded to a search for a report. In a
// large system, reports come too rarely to tell soon which sidecars have failed.
func (b *Balancer) handleUnanswered(now clock.Millis, m relay.Message) {
	for _, address := range m.Sidecars {
		if sc := b.sidecars[address]; sc != nil && sc.pingedAt == 0 && !sc.lost && !sc.report.Stopping && !sc.report.Legacy {
			sc.pingedAt = now
			b.ping(sc)
		}
	}
}

func (b *Balancer) ping(sc *sidecar) { b.sendTo(sc.address, relay.Message{Kind: relay.KindPing}) }

// UsableSidecars returns the number of sidecars that may get new flows.
func (b *Balancer) UsableSidecars(now clock.Millis) int {
	count := 0
	for _, sc := range b.sidecars {
		if sc.usable(now) {
			count++
		}
	}
	return count
}
