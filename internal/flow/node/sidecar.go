package node

import (
	"context"
	"net"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/flow/registration"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/sidecar"
	"github.com/orioledyke/orioledyke/platform"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

const (
	// reportInterval is the shortest time between two reports to each balancer, and
	// reportCost what each balancer adds to it, so that a sidecar sends at most a
	// hundred reports in a second. maxReportInterval is the longest.
	reportInterval    clock.Millis = 200
	reportCost        clock.Millis = 10
	maxReportInterval              = clock.Minute
	// contactInterval is the time between two reports to hosts that may run a
	// balancer but are not known to.
	contactInterval = clock.Second
	// freshSequence is the highest number of a first heartbeat that shows that the
	// upstream has started with this process, so that it holds no unknown flow.
	freshSequence = 2
	// heartbeatsMissed is how many heartbeats may be missing before the upstream gets
	// no new flows. They come from the same host, so that few are lost.
	heartbeatsMissed = 3
	// firstHeartbeats is in how many intervals the first heartbeat must arrive.
	firstHeartbeats = 2
	// finishTime is how long a stopping sidecar stays without a request in
	// progress.
	finishTime clock.Millis = 300
)

// sidecarNode is a running sidecar.
type sidecarNode struct {
	*base
	own          settings.FlowSidecar
	machine      *sidecar.Sidecar
	registration *registration.Registration
	outbound     *net.UDPConn
	directory    *directory
	latency      prometheus.Histogram
	// named are the sidecars of the service that each balancer has named.
	named       map[netip.Addr][]netip.Addr
	incarnation identity.OwnerID
	contacted   clock.Millis
	reported    clock.Millis
	interval    clock.Millis
	// wanted is the time between two reports that a balancer has asked for.
	wanted clock.Millis
	// learnUntil is when every flow that the upstream could hold unseen has ended.
	learnUntil clock.Millis
	// born is the start of the upstream whose flows the machine holds.
	born int64
	id   string
	// restored tells that a drain before the start of this process would be known.
	restored bool
	// departed tells that the upstream has ended for good.
	departed bool
}

// RunSidecar runs a sidecar until options.Stop ends, and drains it then. It returns
// at once with an error if the sidecar cannot start.
func RunSidecar(ctx context.Context, options Options, s settings.FlowSidecar) error {
	b, err := newBase(options, s.FlowProcess)
	if err != nil {
		return err
	}
	defer b.close()
	n := &sidecarNode{
		base: b, own: s, incarnation: identity.NewOwnerID(), named: map[netip.Addr][]netip.Addr{},
		registration: registration.New(registration.Config{Address: s.UpstreamAddress, Service: s.Service}),
	}
	if n.outbound, err = listenUDP("outbound-address", s.OutboundAddress); err != nil {
		return err
	}
	defer n.outbound.Close()
	n.machine = sidecar.New(sidecar.Config{
		Decode: platform.DecodeSegment, ClearReturned: platform.ClearReturned,
		ToUpstream: func(packet []byte) { b.send(n.outbound, n.own.UpstreamAddress, packet) },
		ToClient:   b.toClient,
		Self:       s.RelayAddress,
		ToPeer:     func(to netip.AddrPort, data []byte) { b.send(b.relay, to, data) },
		RequestID:  platform.RequestID, ResponseStatus: platform.ResponseStatus, MaxDataSize: platform.MaxDataSize,
		Observe: n.observe,
	})
	n.machine.SetService(platform.ServiceID(s.Service))
	n.machine.SetLearning(true)
	n.directory = b.newDirectory(platform.Sidecars, n.learn)
	n.registerMetrics()
	if err := n.start(); err != nil {
		return err
	}
	return b.run(ctx, n.drain)
}

func (n *sidecarNode) start() error {
	n.addReader("relay", n.relay, relay.MaxMessage, n.handleRelay)
	n.addReader("outbound", n.outbound, platform.MaxSegmentSize+1, n.handleOutbound)
	n.addTimer("report", reportInterval, n.sendReports)
	n.addStartTimer(func(context.Context) { n.contact() })
	n.tree.Add("directory", n.directory.serve)
	n.tree.Add("presence", n.watchPresence)
	n.tree.Add("restore", func(ctx context.Context) error {
		born := n.directory.restore(ctx)
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.restored = true
		n.registration.RestoreDrain(born)
		n.applyRegistration(n.clock.Now())
		return nil
	})
	if err := n.addSettings(n.applySettings); err != nil {
		return err
	}
	if err := n.addServer("ready", n.settings.ReadyAddress, platform.NewReadyHandler(n.ready)); err != nil {
		return err
	}
	return n.addServer("control", n.own.ControlAddress, platform.NewUpstreamHandler(platform.UpstreamConfig{
		Heartbeat: n.heartbeat, Deregister: n.leave,
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
	n.own.Service, n.own.UpstreamAddress = s.Service, s.UpstreamAddress
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
	case relay.KindDigest:
		appeared := n.balancers.MarkSeen(now, from.Addr(), m.Digest.Interval)
		n.wanted = m.Digest.ReportInterval
		if appeared {
			n.logger.Info("balancer-appeared", zap.Stringer("balancer", from))
			n.reportTo([]netip.Addr{from.Addr()})
		}
		n.learn(now, platform.Hosts{platform.Balancers: m.Digest.Balancers})
		n.learnSiblings(now, from.Addr(), m.Digest.Siblings)
	}
}

func (n *sidecarNode) handleOutbound(_ netip.AddrPort, packet []byte) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.machine.HandleUpstream(n.clock.Now(), packet)
}

// heartbeat applies a heartbeat of the upstream. When it returns, the state is in
// effect for new flows, and the next run of this process will know of a drain unless
// the store does not answer.
func (n *sidecarNode) heartbeat(h registration.Heartbeat) registration.Result {
	verdict := n.applyHeartbeat(h)
	if verdict == registration.Applied && h.Draining && n.directory.drained.Load() != h.StartedAt {
		n.directory.setDrained(h.StartedAt)
	}
	return verdict
}

func (n *sidecarNode) applyHeartbeat(h registration.Heartbeat) registration.Result {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.clock.Now()
	verdict := n.registration.Heartbeat(now, h)
	if verdict != registration.Applied {
		n.logger.Info("heartbeat-ignored", zap.String("upstream", h.ID), zap.Int64("born", h.StartedAt),
			zap.Uint64("sequence", h.Sequence), zap.Stringer("reason", verdict))
		return verdict
	}
	if n.id != h.ID || n.born != h.StartedAt {
		n.replaceUpstream(h)
	}
	n.applyRegistration(now)
	return verdict
}

// replaceUpstream starts with the flows of another incarnation.
func (n *sidecarNode) replaceUpstream(h registration.Heartbeat) {
	first := n.id == ""
	if first {
		n.learnUntil = n.clock.Now() + clock.FromDuration(n.settings.FlowLifetime)
	}
	n.logger.Info("upstream-registered", zap.String("upstream", h.ID), zap.Int64("born", h.StartedAt),
		zap.Uint64("sequence", h.Sequence), zap.String("service", h.Service))
	if !first {
		n.machine.DropFlows()
		n.learnUntil = n.clock.Now() + clock.FromDuration(n.settings.FlowLifetime)
	}
	if first && h.Sequence <= freshSequence {
		n.machine.SetLearning(false)
	}
	n.id, n.born = h.ID, h.StartedAt
}

// applyRegistration puts the state of the upstream into effect, and tells balancers
// at once when it changed.
func (n *sidecarNode) applyRegistration(now clock.Millis) {
	before := n.machine.Accepting()
	current, known := n.registration.Current()
	n.machine.SetSlots(current.Slots)
	switch {
	case n.stopping:
		n.machine.Refuse(relay.ReasonStopping)
	case !known || !n.restored:
		n.machine.Refuse(relay.ReasonUnregistered)
	case !n.registration.Accepting():
		n.machine.Refuse(relay.ReasonDraining)
	default:
		n.machine.Accept()
	}
	if n.machine.Accepting() != before {
		n.logger.Info("upstream-changed", zap.Bool("accepting", n.machine.Accepting()))
		n.reportTo(n.balancers.Live(now))
	}
}

func (n *sidecarNode) leave(id string, born int64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	verdict := n.registration.Deregister(id, born)
	n.logger.Info("upstream-left", zap.String("upstream", id), zap.Stringer("outcome", verdict))
	n.applyRegistration(n.clock.Now())
}

// learn reports to balancers that are new here.
func (n *sidecarNode) learn(now clock.Millis, hosts platform.Hosts) {
	n.reportTo(n.balancers.MarkListed(now, hosts[platform.Balancers]))
}

// learnSiblings records the sidecars of the service that a balancer names. Balancers
// may know different ones, so that those named by any informer count.
func (n *sidecarNode) learnSiblings(now clock.Millis, from netip.Addr, hosts []netip.Addr) {
	if len(hosts) == 0 {
		return
	}
	n.named[from] = hosts
	var siblings []netip.AddrPort
	live := n.balancers.Live(now)
	for balancer, hosts := range n.named {
		if !slices.Contains(live, balancer) || !isInformer(balancer, n.settings.RelayAddress.Addr(), live) {
			delete(n.named, balancer)
			continue
		}
		for _, host := range hosts {
			siblings = append(siblings, netip.AddrPortFrom(host, n.settings.RelayAddress.Port()))
		}
	}
	n.machine.SetSiblings(siblings)
}

// sendReports tells balancers the state of the upstream.
func (n *sidecarNode) sendReports(context.Context) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.clock.Now()
	n.machine.Tick(now)
	if n.id != "" && now > n.learnUntil {
		n.machine.SetLearning(false)
	}
	n.checkSilence(now)
	if now-n.contacted >= contactInterval {
		n.contactSilent(now)
	}
	live := n.balancers.Live(now)
	n.interval = min(max(reportInterval, reportCost*clock.Millis(len(live)), n.wanted), maxReportInterval)
	if now-n.reported >= n.interval {
		n.reported = now
		n.reportTo(live)
	}
}

// checkSilence stops new flows for an upstream whose heartbeats are missing. One that
// has sent none since the start of this process holds no flow.
func (n *sidecarNode) checkSilence(now clock.Millis) {
	if n.alone(now) {
		n.machine.SetLearning(false)
		return
	}
	_, known := n.registration.Current()
	limit := heartbeatsMissed * clock.FromDuration(n.own.HeartbeatInterval)
	if known && n.registration.HeartbeatAge(now) > limit && n.machine.Accepting() {
		n.logger.Warn("upstream-silent", zap.String("upstream", n.id),
			zap.Int64("silent-ms", int64(n.registration.HeartbeatAge(now))))
		n.machine.Refuse(relay.ReasonSilent)
		n.reportTo(n.balancers.Live(now))
	}
}

// alone reports whether no upstream has sent a heartbeat since the start of this
// process, although one that runs would have.
func (n *sidecarNode) alone(now clock.Millis) bool {
	_, known := n.registration.Current()
	return !known && now-n.started > firstHeartbeats*clock.FromDuration(n.own.HeartbeatInterval)
}

// contact reports to hosts that have not answered, which happens often after the
// start.
func (n *sidecarNode) contact() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.contactSilent(n.clock.Now())
}

func (n *sidecarNode) contactSilent(now clock.Millis) {
	n.contacted = now
	n.balancers.MarkListed(now, n.seedHosts())
	n.balancers.Expire(now)
	n.reportTo(n.balancers.Silent(now))
}

// reportTo sends a report to hosts of balancers.
func (n *sidecarNode) reportTo(hosts []netip.Addr) {
	current, _ := n.registration.Current()
	m := relay.Message{Kind: relay.KindReport, Report: relay.Report{
		Incarnation: n.incarnation, Service: platform.ServiceID(n.own.Service), DataCentre: n.settings.DataCentre,
		Accepting: n.machine.Accepting(), Departed: n.departed, Slots: current.Slots,
		Warmup: n.registration.Warmup(n.clock.Now()), Interval: n.interval, Load: n.machine.Load(),
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

// ready reports whether the sidecar serves its upstream.
func (n *sidecarNode) ready() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return !n.stopping && n.machine.Accepting()
}

// drain refuses new flows and forwards packets until no request is in progress.
func (n *sidecarNode) drain(ctx context.Context) {
	began := n.clock.Now()
	n.mutex.Lock()
	n.applyRegistration(began)
	n.mutex.Unlock()
	idleSince := began
	for sleep(ctx, drainPoll) == nil {
		n.mutex.Lock()
		now := n.clock.Now()
		_, known := n.registration.Current()
		if n.machine.Load().Active > 0 || (!known && !n.alone(now)) {
			idleSince = now
		}
		n.mutex.Unlock()
		if now-idleSince >= finishTime || now-began >= n.drainLimit() {
			n.depart(now)
			return
		}
	}
}

// depart tells balancers that the upstream holds no flow any more, if it has ended
// before its sidecar.
func (n *sidecarNode) depart(now clock.Millis) {
	n.mutex.Lock()
	n.departed = n.registration.Deregistered() || n.alone(now)
	if n.departed {
		n.reportTo(n.balancers.Live(now))
	}
	departed := n.departed
	n.mutex.Unlock()
	if departed {
		n.directory.leave()
	}
}
