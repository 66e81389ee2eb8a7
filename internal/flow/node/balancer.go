package node

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/flow/absence"
	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/configuration"
	"github.com/orioledyke/orioledyke/internal/flow/outlier"
	"github.com/orioledyke/orioledyke/internal/flow/peerset"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/internal/flow/store"
	"github.com/orioledyke/orioledyke/platform"
	"go.uber.org/zap"
)

const (
	// reportWait is how long after its start a balancer is ready only with a usable sidecar.
	reportWait = clock.Second
	// settleTime is how long a balancer waits after its start for the responses of other
	// processes before it takes any flow for lost.
	settleTime clock.Millis = 300
	// startupTime is how long after the start of this process the others may be starting,
	// such as after all hosts lost power. It covers two heartbeat intervals of upstreams.
	startupTime clock.Millis = 2500
	// If no packet arrives for drainQuietTime, the routers have stopped sending to this
	// balancer.
	drainQuietTime    clock.Millis = 1200
	drainPollInterval clock.Millis = 100
)

// balancerNode is the process of a balancer.
type balancerNode struct {
	*base
	machine *balancer.Balancer
	// outliers derives the weights of upstreams from their failures; nil if the settings
	// switch it off.
	outliers   *outlier.Tracker
	sidecars   *peerset.Set
	members    *absence.Members
	httpClient *http.Client
	// timer fires at timerAt, the next deadline of the machine; 0 means that it is not set.
	timer   *time.Timer
	timerAt clock.Millis
	// versions decides when to fetch the configuration from a peer. fetchDue wakes the part
	// that fetches it.
	versions *configuration.Peers
	fetchDue chan struct{}
	// cancelWatch ends the watch of the configuration that began last; nil before the first.
	// watchEpoch is the epoch of the revision after which it watches.
	cancelWatch context.CancelCauseFunc
	watchEpoch  store.Epoch
	// behindLogged is set from the line of logBehind until the next version is in effect.
	behindLogged bool
	digests      *digests
	// warmupRate returns the warm-up rate of a service in requests a second by a
	// configuration, 0 if there is no limit.
	warmupRate func(*route.Table, identity.ServiceID) float64
	// compressed is the configuration that peers get.
	compressed compressedConfiguration
	// lastPacket is the time of the last packet of a client.
	lastPacket clock.Millis
}

// RunBalancer runs a balancer until options.Stop ends, and drains it then. It
// returns an error immediately if the balancer cannot start.
func RunBalancer(ctx context.Context, options Options, s settings.FlowBalancer) error {
	b, err := newBase(options, s.FlowProcess)
	if err != nil {
		return err
	}
	defer b.close()
	n := &balancerNode{
		base: b, sidecars: peerset.New(s.RelayAddress.Addr()), versions: configuration.NewPeers(), fetchDue: make(chan struct{}, 1),
		httpClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, members: absence.NewMembers(b.startedAt),
	}
	if s.MaxEjectedShare > 0 {
		n.outliers = outlier.New(outlier.Config{MaxEjectedShare: s.MaxEjectedShare, Changed: n.logOutlier})
	}
	n.machine = balancer.New(balancer.Config{
		DataCentre:  s.DataCentre,
		LinkRate:    s.LinkRate,
		Decode:      func(packet []byte) (segment.Segment, error) { return platform.DecodeSegment(packet, false) },
		Reset:       platform.EncodeReset,
		ToSidecar:   func(to netip.AddrPort, data []byte) { b.send(b.relayConn, to, data) },
		ToClient:    b.toClient,
		Random:      random,
		AllReported: n.allReported,
		Balancers:   n.balancerCount,
		Starting:    func() bool { return n.clock.Now()-n.startedAt < startupTime },
		Behind:      func() bool { return n.versions.BehindAny(n.balancers.Live(n.clock.Now())) },
		Members:     n.members,
		LossChanged: n.logLoss,
		Outliers:    n.outliers,
		Observe:     n.observe,
	})
	n.digests, n.warmupRate = &digests{node: n}, (*route.Table).WarmupRate
	n.storeRestored = n.handleRestore
	n.directory = b.newDirectory(platform.Balancers, n.addDirectory)
	n.directory.currentFirst = true
	n.registerMetrics()
	if err := n.start(); err != nil {
		return err
	}
	return b.run(ctx, n.drain)
}

func (n *balancerNode) start() error {
	n.addReader("packets", n.packetConn, platform.MaxSegmentSize+1, n.handlePacket)
	n.addReader("relay", n.relayConn, relay.MaxMessage, n.handleRelay)
	n.addTimer("digest", digestInterval, n.sendDigests)
	n.addStartupTimer(n.sendDigests)
	n.addTimer("siblings", siblingInterval, func(context.Context) {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		now := n.clock.Now()
		n.machine.Tick(now)
		n.digests.sendSiblings(now)
	})
	n.tree.Add("configuration", configuration.New(configuration.Config{
		Read: n.readConfiguration, Watch: n.watchConfiguration, WatchTimeout: n.watchTimeout,
		ApplyEvacuations:    n.applyEvacuations,
		Apply:               func(content []byte) error { return n.applyConfiguration(sourceStore, content) },
		AvailabilityChanged: n.storeAvailabilityChanged,
		Rejected:            func(err error) { n.logger.Warn("configuration-rejected", zap.Error(err)) },
		Sleep:               sleep, Random: random,
	}).Serve)
	n.tree.Add("peer-configuration", n.serveFetches)
	n.tree.Add("directory", n.directory.serve)
	if err := n.addSettings(n.applySettings); err != nil {
		return err
	}
	if err := n.addServer("ready", n.settings.ReadyAddress, platform.NewReadyHandler(n.ready)); err != nil {
		return err
	}
	return n.addServer("relay-server", n.settings.RelayAddress, http.HandlerFunc(n.serveConfiguration))
}

func (n *balancerNode) applySettings(data []byte) error {
	s, err := settings.ParseAs[settings.FlowBalancer](n.options.SettingsPath, data)
	if err != nil {
		return err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.settings.Seeds = s.Seeds
	n.settings.DrainTimeout = s.DrainTimeout
	return nil
}

func (n *balancerNode) handlePacket(_ netip.AddrPort, packet []byte) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.clock.Now()
	n.lastPacket = now
	n.machine.HandleClient(now, packet)
	n.setTimer(now)
}

// setTimer makes the timer fire at the next deadline of the machine, such as that of a
// missing response, unless it fires earlier.
func (n *balancerNode) setTimer(now clock.Millis) {
	next := n.machine.NextDeadline()
	if next == 0 || (n.timerAt != 0 && n.timerAt <= next) {
		return
	}
	n.timerAt = next
	if n.timer == nil {
		n.timer = time.AfterFunc(max(next-now, 1).Duration(), n.handleTimer)
		return
	}
	n.timer.Reset(max(next-now, 1).Duration())
}

func (n *balancerNode) handleTimer() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.timerAt = 0
	now := n.clock.Now()
	n.machine.Tick(now)
	n.setTimer(now)
}

func (n *balancerNode) handleRelay(from netip.AddrPort, data []byte) {
	m, err := relay.Decode(data)
	if err != nil {
		n.logger.Warn("message-invalid", zap.Stringer("from", from), zap.Error(err))
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.clock.Now()
	switch m.Kind {
	case relay.KindDigest:
		n.handleDigest(now, from.Addr(), m.Digest)
		return
	case relay.KindEpoch:
		n.handleEpoch(m.Epoch)
		return
	case relay.KindDirectives:
		n.handleDirectives(now, from.Addr(), m.Directives)
	case relay.KindVerify:
		n.handleVerify(now, m.Outage)
		return
	}
	// Only a report tells what the sidecar's upstream may hold. Until the first one, its
	// host stays one of those that allReported waits for.
	if m.Kind == relay.KindRoster {
		n.addHosts(now, platform.Hosts{platform.Sidecars: m.Roster.Hosts})
	}
	departed := m.Kind == relay.KindReport && m.Report.Departed
	appeared := false
	switch {
	case departed:
		n.sidecars.MarkDeparted(now, from.Addr())
	case m.Kind == relay.KindReport:
		appeared = n.sidecars.MarkSeen(now, from.Addr(), m.Report.Interval)
	}
	if appeared {
		n.logger.Info("sidecar-appeared", zap.Stringer("sidecar", from))
	}
	n.machine.HandleSidecar(now, from, m)
	if appeared {
		n.digests.greet(now, []netip.Addr{from.Addr()})
	}
	if n.disagrees(m) {
		n.exchangeDirectives(now, from.Addr())
	}
	n.setTimer(now)
}

// logLoss logs that a sidecar begins or ceases to count as lost.
func (n *balancerNode) logLoss(sidecar netip.AddrPort, lost bool, silence clock.Millis) {
	if lost {
		n.logger.Warn("sidecar-lost", zap.Stringer("sidecar", sidecar), zap.Int64("silent-ms", int64(silence)))
		return
	}
	n.logger.Info("sidecar-regained", zap.Stringer("sidecar", sidecar))
}

// allReported reports whether every sidecar that any source has listed has reported or does
// not respond.
func (n *balancerNode) allReported() bool {
	now := n.clock.Now()
	return now-n.startedAt >= settleTime && len(n.sidecars.Awaited(now)) == 0
}

// addDirectory adds the hosts that the directory lists. The first list is not stale.
func (n *balancerNode) addDirectory(now clock.Millis, hosts platform.Hosts) {
	n.members.DirectoryRead(now, hosts[platform.Sidecars])
	n.addHosts(now, hosts)
}

// balancerCount returns the number of live balancers and of listed ones whose first message
// is expected, including this one.
func (n *balancerNode) balancerCount() int {
	now := n.clock.Now()
	return 1 + len(n.balancers.Live(now)) + len(n.balancers.Awaited(now))
}

// handleRestore handles a restore of the store that this process has noticed.
func (n *balancerNode) handleRestore() {
	n.endOutdatedWatch()
	n.digests.startAnnouncing(n.clock.Now())
}

func (n *balancerNode) storeAvailabilityChanged(err error) {
	if err != nil {
		n.logger.Warn("store-lost", zap.Error(err))
		return
	}
	n.logger.Info("store-regained")
	n.directory.readSoon()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.digests.startAnnouncingOutage(n.clock.Now())
}

// ready reports whether routers may send packets here. This always requires a
// configuration. Until reportWait after the start, it also requires a usable sidecar.
// Later, the configuration suffices, even if sidecars were usable before and none is now.
func (n *balancerNode) ready() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.clock.Now()
	if n.stopping || n.machine.Table() == nil {
		return false
	}
	return n.machine.UsableSidecars(now) > 0 || now-n.startedAt > reportWait
}

// drain forwards packets until the routers have stopped sending them here, or until the
// drain timeout. The balancer holds no flow itself, so there is nothing else to wait for.
func (n *balancerNode) drain(ctx context.Context) {
	startedAt := n.clock.Now()
	for sleep(ctx, drainPollInterval) == nil {
		n.mutex.Lock()
		now := n.clock.Now()
		quiet := now - max(n.lastPacket, startedAt)
		n.mutex.Unlock()
		if quiet >= drainQuietTime || now-startedAt >= n.maxDrainTime() {
			n.directory.leave()
			return
		}
	}
}
