package node

import (
	"context"
	"net"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/flow/absence"
	"github.com/orioledyke/orioledyke/internal/flow/registration"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/sidecar"
	"github.com/orioledyke/orioledyke/platform"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

const (
	// minReportInterval is the shortest time between two reports to each balancer, and
	// maxReportInterval is the longest. The interval is at least
	// reportIntervalPerBalancer for each live balancer, so that a sidecar sends at most
	// 100 reports a second.
	minReportInterval         clock.Millis = 200
	reportIntervalPerBalancer clock.Millis = 10
	maxReportInterval                      = clock.Minute
	// contactInterval is the time between two reports to hosts on which a balancer may
	// run, but from which no recent message has arrived.
	contactInterval = clock.Second
	// initialSequence is the sequence number of an upstream's first heartbeat. If this process
	// receives it, the upstream has not registered with an earlier incarnation of the sidecar
	// and holds no flow that this process has not seen.
	initialSequence = 1
	// maxMissedHeartbeats is how many heartbeats may be missing before the upstream
	// gets no new flows. Heartbeats come from the same host, so few are lost.
	maxMissedHeartbeats = 3
	// firstHeartbeatIntervals is the number of heartbeat intervals within which the
	// first heartbeat must arrive.
	firstHeartbeatIntervals = 2
	// idleDrainTime is how long a draining sidecar continues to run without a request
	// in progress.
	idleDrainTime clock.Millis = 300
)

// sidecarNode is the process of a sidecar.
type sidecarNode struct {
	*base
	sidecarSettings settings.FlowSidecar
	machine         *sidecar.Sidecar
	registration    *registration.Registration
	outbound        *net.UDPConn
	responseTimes   prometheus.Histogram
	roster          *absence.Roster
	silence         silence
	// rosterReceivers are the balancers that get the roster with the next report again,
	// because a datagram may be lost.
	rosterReceivers       []netip.Addr
	incarnation           identity.OwnerID
	lastContact           clock.Millis
	lastReport            clock.Millis
	currentReportInterval clock.Millis
	// requestedInterval is the time between two reports that the last digest has requested.
	requestedInterval clock.Millis
	// By learnUntil, every flow has ended that the upstream opened before it registered
	// with this process.
	learnUntil clock.Millis
	// upstreamStartedAt is the start time of the upstream whose flows the machine
	// holds, in Unix milliseconds.
	upstreamStartedAt int64
	// upstreamID is the ID of that upstream, or "" before the first heartbeat.
	upstreamID string
	// drainRestored is set when the store has been read for a drain that the upstream
	// began before the start of this process, also if the read has failed or timed out. The
	// upstream then gets new flows until a later read finds its drain.
	drainRestored bool
	// warmupRate is the warm-up rate of the service in requests a second, 0 if there is no
	// limit, by version warmupVersion of the configuration. setWarmup puts it into effect with
	// the time for which the upstream is still cold.
	warmupRate    float64
	warmupVersion uint64
	setWarmup     func(rate float64, left clock.Millis)
	// departed is set at the end of this process if the upstream has ended before it. absent
	// is set while no upstream has registered with this process and its port is closed.
	departed, absent bool
}

// RunSidecar runs a sidecar until options.Stop ends, and drains it then. It returns
// an error immediately if the sidecar cannot start.
func RunSidecar(ctx context.Context, options Options, s settings.FlowSidecar) error {
	b, err := newBase(options, s.FlowProcess)
	if err != nil {
		return err
	}
	defer b.close()
	n := &sidecarNode{
		base: b, sidecarSettings: s, incarnation: identity.NewOwnerID(), roster: absence.NewRoster(),
		registration: registration.New(registration.Config{Address: s.UpstreamAddress, Service: s.Service}),
	}
	if n.outbound, err = listenUDP("outbound-address", s.OutboundAddress); err != nil {
		return err
	}
	defer n.outbound.Close()
	n.silence.lastHeard = b.startedAt
	n.machine = sidecar.New(sidecar.Config{
		Decode: platform.DecodeSegment, ClearReturned: platform.ClearReturned,
		ToUpstream: func(packet []byte) { b.send(n.outbound, n.sidecarSettings.UpstreamAddress, packet) },
		ToClient:   b.toClient,
		Self:       s.RelayAddress,
		ToPeer:     func(to netip.AddrPort, data []byte) { b.send(b.relayConn, to, data) },
		RequestID:  platform.RequestID, ResponseStatus: platform.ResponseStatus, NotExecuted: platform.NotExecuted, MaxDataSize: platform.MaxDataSize,
		Observe: n.observe,
	})
	n.setWarmup = n.machine.SetWarmup
	n.machine.SetService(platform.ServiceID(s.Service))
	n.machine.SetLearning(true)
	n.directory = b.newDirectory(platform.Sidecars, n.addBalancers)
	n.directory.onDrain = n.restoreDrain
	n.registerMetrics()
	if err := n.start(); err != nil {
		return err
	}
	return b.run(ctx, n.drain)
}

func (n *sidecarNode) start() error {
	n.addReader("relay", n.relayConn, relay.MaxMessage, n.handleRelay)
	n.addReader("outbound", n.outbound, platform.MaxSegmentSize+1, n.handleOutbound)
	n.addTimer("report", minReportInterval, n.sendReports)
	n.addStartupTimer(func(context.Context) { n.contactNow() })
	n.tree.Add("directory", n.directory.serve)
	n.tree.Add("presence", n.watchPresence)
	n.tree.Add("restore", func(ctx context.Context) error {
		n.directory.restoreDrain(ctx)
		n.mutex.Lock()
		defer n.mutex.Unlock()
		now := n.clock.Now()
		n.drainRestored = true
		n.applyRegistration(now)
		n.sendRoster(n.balancers.Live(now))
		return nil
	})
	if err := n.addSettings(n.applySettings); err != nil {
		return err
	}
	if err := n.addServer("ready", n.settings.ReadyAddress, platform.NewReadyHandler(n.ready)); err != nil {
		return err
	}
	return n.addServer("control", n.sidecarSettings.ControlAddress, platform.NewUpstreamHandler(platform.UpstreamHandlerConfig{
		Heartbeat: n.heartbeat, Deregister: n.deregister,
		Rejected: func(id string, err error) {
			n.logger.Warn("heartbeat-invalid", zap.String("upstream", id), zap.Error(err))
		},
	}))
}

func (n *sidecarNode) applySettings(data []byte) error {
	s, err := settings.ParseAs[settings.FlowSidecar](n.options.SettingsPath, data)
	if err != nil {
		return err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.settings.Seeds = s.Seeds
	n.settings.DrainTimeout = s.DrainTimeout
	n.sidecarSettings.Service, n.sidecarSettings.UpstreamAddress = s.Service, s.UpstreamAddress
	n.machine.SetService(platform.ServiceID(s.Service))
	n.registration.Configure(registration.Config{Address: s.UpstreamAddress, Service: s.Service})
	return nil
}

func (n *sidecarNode) handleRelay(from netip.AddrPort, data []byte) {
	m, err := relay.Decode(data)
	if err != nil {
		n.logger.Warn("message-invalid", zap.Stringer("from", from), zap.Error(err))
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.clock.Now()
	switch m.Kind {
	default:
		n.machine.HandleMessage(now, from, m)
		n.reportFurtherAddress(now)
		if m.Kind == relay.KindHint || m.Kind == relay.KindAbsent {
			n.roster.Heard(now, from.Addr())
		}
	case relay.KindPing:
		n.reportTo([]netip.Addr{from.Addr()})
	case relay.KindReport:
		n.handleSiblingReport(now, from.Addr(), m.Report)
	case relay.KindEpoch:
		n.handleEpoch(m.Epoch)
		n.doubtDrains(now)
	case relay.KindDirectives:
		n.handleDirectives(now, from.Addr(), m.Directives)
	case relay.KindVerify:
		n.handleVerify(now, m.Outage)
	case relay.KindDigest:
		appeared := n.balancers.MarkSeen(now, from.Addr(), m.Digest.Interval)
		n.requestedInterval = m.Digest.ReportInterval
		n.silence.heard(now, m.Digest.Interval, len(n.balancers.Live(now)))
		if appeared {
			n.logger.Info("balancer-appeared", zap.Stringer("balancer", from))
			n.reportTo([]netip.Addr{from.Addr()})
			n.sendRoster([]netip.Addr{from.Addr()})
			n.rosterReceivers = append(n.rosterReceivers, from.Addr())
		}
		n.addBalancers(now, platform.Hosts{platform.Balancers: m.Digest.Balancers})
		n.updateSiblings(now, from.Addr(), m.Digest.Siblings)
	}
}

func (n *sidecarNode) handleOutbound(_ netip.AddrPort, packet []byte) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.clock.Now()
	n.machine.HandleUpstream(now, packet)
	n.reportFurtherAddress(now)
}

// reportFurtherAddress reports to the live balancers immediately if the upstream has got the
// first flow to an address.
func (n *sidecarNode) reportFurtherAddress(now clock.Millis) {
	if n.machine.TakeAddressesChanged() {
		n.reportTo(n.balancers.Live(now))
	}
}

// heartbeat applies a heartbeat of the upstream. When it returns, the state is in
// effect for new flows, and a drain is recorded for the next incarnation of this
// process unless the store does not respond in time.
func (n *sidecarNode) heartbeat(h registration.Heartbeat) registration.Result {
	result := n.applyHeartbeat(h)
	if result == registration.Applied && h.Draining && n.directory.drainingUpstreamStart() < h.StartedAt {
		n.directory.recordDrain(h.StartedAt)
	}
	return result
}

// restoreDrain refuses new flows for the upstream with the given start time in Unix
// milliseconds and for older ones, as an earlier incarnation of this process has recorded.
func (n *sidecarNode) restoreDrain(upstreamStart int64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.registration.RestoreDrain(upstreamStart)
	n.applyRegistration(n.clock.Now())
}

func (n *sidecarNode) applyHeartbeat(h registration.Heartbeat) registration.Result {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.clock.Now()
	result := n.registration.Heartbeat(now, h)
	if result != registration.Applied {
		n.logger.Info("heartbeat-ignored", zap.String("upstream", h.ID), zap.Int64("born", h.StartedAt),
			zap.Uint64("sequence", h.Sequence), zap.Stringer("reason", result))
		return result
	}
	n.absent = false
	if n.upstreamID != h.ID || n.upstreamStartedAt != h.StartedAt {
		n.replaceUpstream(h)
	}
	n.applyRegistration(now)
	return result
}

// replaceUpstream prepares for the flows of another incarnation of the upstream. The
// flows of the previous one, if any, are dropped.
func (n *sidecarNode) replaceUpstream(h registration.Heartbeat) {
	first := n.upstreamID == ""
	if first {
		n.learnUntil = n.clock.Now() + clock.FromDuration(n.settings.FlowLifetime)
	}
	n.logger.Info("upstream-registered", zap.String("upstream", h.ID), zap.Int64("born", h.StartedAt),
		zap.Uint64("sequence", h.Sequence), zap.String("service", h.Service),
		zap.Int64("warmup-ms", int64(h.Warmup)))
	if !first {
		n.machine.DropFlows()
		n.learnUntil = n.clock.Now() + clock.FromDuration(n.settings.FlowLifetime)
	}
	if first && h.Sequence <= initialSequence {
		n.machine.SetLearning(false)
	}
	n.upstreamID, n.upstreamStartedAt = h.ID, h.StartedAt
}

// applyRegistration puts the state of the upstream into effect, and reports to the live
// balancers immediately if the sidecar starts or stops accepting new flows.
func (n *sidecarNode) applyRegistration(now clock.Millis) {
	before := n.machine.UpstreamAccepting()
	current, known := n.registration.Current()
	n.machine.SetSlots(current.Slots)
	n.applyWarmup(now)
	switch {
	case n.stopping:
		n.machine.Refuse(relay.ReasonStopping)
	case !known || !n.drainRestored || n.registration.AwaitsSecond():
		n.machine.Refuse(relay.ReasonUnregistered)
	case !n.registration.Accepting():
		n.machine.Refuse(relay.ReasonDraining)
	default:
		n.machine.Accept()
	}
	if n.machine.UpstreamAccepting() != before {
		n.logger.Info("upstream-changed", zap.Bool("accepting", n.machine.UpstreamAccepting()))
		n.reportTo(n.balancers.Live(now))
	}
}

func (n *sidecarNode) deregister(id string, startedAt int64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	result := n.registration.Deregister(id, startedAt)
	n.logger.Info("upstream-left", zap.String("upstream", id), zap.Stringer("outcome", result))
	n.applyRegistration(n.clock.Now())
}

// addBalancers adds listed hosts of balancers to the peer set, and reports to those that
// are new.
func (n *sidecarNode) addBalancers(now clock.Millis, hosts platform.Hosts) {
	n.reportTo(n.balancers.MarkListed(now, hosts[platform.Balancers]))
}

// sendReports does the periodic work of the sidecar, and reports the state of the
// upstream to the live balancers when their report interval has passed.
func (n *sidecarNode) sendReports(context.Context) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.clock.Now()
	n.machine.Tick(now)
	n.logSpeedChange(now)
	n.findBalancers(now)
	n.probeSiblings(now)
	n.sendRoster(n.rosterReceivers)
	n.rosterReceivers = nil
	if n.upstreamID != "" && now > n.learnUntil {
		n.machine.SetLearning(false)
	}
	n.checkHeartbeats(now)
	if now-n.lastContact >= contactInterval {
		n.contactSilent(now)
	}
	live := n.balancers.Live(now)
	n.currentReportInterval = min(max(minReportInterval, reportIntervalPerBalancer*clock.Millis(len(live)), n.requestedInterval), maxReportInterval)
	if now-n.lastReport >= n.currentReportInterval {
		n.lastReport = now
		n.reportTo(live)
	}
}

// checkHeartbeats refuses new flows for an upstream whose heartbeats are missing. If no
// upstream has sent one since the start of this process, no upstream runs that could hold
// flows, and learning ends.
func (n *sidecarNode) checkHeartbeats(now clock.Millis) {
	if n.upstreamAbsent(now) {
		n.machine.SetLearning(false)
		return
	}
	_, known := n.registration.Current()
	limit := maxMissedHeartbeats * clock.FromDuration(n.sidecarSettings.HeartbeatInterval)
	if known && n.registration.HeartbeatAge(now) > limit && n.machine.UpstreamAccepting() {
		n.logger.Warn("upstream-silent", zap.String("upstream", n.upstreamID),
			zap.Int64("silent-ms", int64(n.registration.HeartbeatAge(now))))
		n.machine.Refuse(relay.ReasonSilent)
		n.reportTo(n.balancers.Live(now))
	}
}

// upstreamAbsent reports whether no upstream has sent a heartbeat since the start of
// this process, although a running one would have done so.
func (n *sidecarNode) upstreamAbsent(now clock.Millis) bool {
	_, known := n.registration.Current()
	return !known && now-n.startedAt > firstHeartbeatIntervals*clock.FromDuration(n.sidecarSettings.HeartbeatInterval)
}

// contactNow reports to the silent hosts of balancers. It is called often for a while
// after the start.
func (n *sidecarNode) contactNow() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.contactSilent(n.clock.Now())
}

func (n *sidecarNode) contactSilent(now clock.Millis) {
	n.lastContact = now
	n.balancers.MarkListed(now, n.seedHosts())
	n.balancers.Expire(now)
	n.reportTo(n.balancers.Silent(now))
}

// reportTo sends a report to the given hosts of balancers.
func (n *sidecarNode) reportTo(hosts []netip.Addr) {
	current, _ := n.registration.Current()
	addresses, all := n.machine.Addresses()
	m := relay.Message{Kind: relay.KindReport, Report: relay.Report{
		Incarnation: n.incarnation, Service: platform.ServiceID(n.sidecarSettings.Service), DataCentre: n.settings.DataCentre,
		Accepting: n.machine.Accepting(), Evacuated: n.machine.Evacuated(), Departed: n.departed || n.absent, Stopping: n.stopping, Slots: current.Slots,
		Warmup: n.registration.Warmup(n.clock.Now()), Interval: n.currentReportInterval, Load: n.machine.Load(),
		Addresses: addresses, AllListed: all, Work: n.machine.Work(n.clock.Now()),
	}}
	data, err := m.Append(nil)
	if err != nil {
		n.logger.Error("report-failed", zap.Error(err))
		return
	}
	for _, host := range hosts {
		n.relayTo(host, data)
	}
}

// ready reports whether the sidecar offers new flows to its upstream, or would if the data
// centre were not evacuated. An evacuation does not make a host unfit.
func (n *sidecarNode) ready() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return !n.stopping && n.machine.UpstreamAccepting()
}

// drain refuses new flows and forwards packets until no request has been in progress for
// idleDrainTime, or until the drain timeout. The idle time does not begin while it is
// unknown whether an upstream runs.
func (n *sidecarNode) drain(ctx context.Context) {
	startedAt := n.clock.Now()
	n.mutex.Lock()
	n.applyRegistration(startedAt)
	n.reportTo(n.balancers.Live(startedAt))
	n.mutex.Unlock()
	idleSince := startedAt
	for sleep(ctx, drainPollInterval) == nil {
		n.mutex.Lock()
		now := n.clock.Now()
		_, known := n.registration.Current()
		if n.machine.Load().Active > 0 || (!known && !n.upstreamAbsent(now)) {
			idleSince = now
		}
		n.mutex.Unlock()
		if now-idleSince >= idleDrainTime || now-startedAt >= n.maxDrainTime() {
			n.depart(now)
			return
		}
	}
}

// depart sends the last report to the live balancers. If the upstream has ended before its
// sidecar, depart also removes the host from the directory.
func (n *sidecarNode) depart(now clock.Millis) {
	n.mutex.Lock()
	n.departed = n.registration.Deregistered() || n.upstreamAbsent(now)
	n.reportTo(n.balancers.Live(now))
	departed := n.departed
	n.mutex.Unlock()
	if departed {
		n.directory.leave()
	}
}
