package node

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/configuration"
	"github.com/orioledyke/orioledyke/internal/flow/peerset"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/platform"
	"github.com/samber/oops"
	"go.uber.org/zap"
)

const (
	// settleTime is how long a balancer waits for reports after its start before it
	// relies on having heard all sidecars. With the directory, which names them, the
	// answers of peers are all that it waits for.
	settleTime                   = clock.Second
	settleDirectory clock.Millis = 300
	// quietTime without a packet shows that the routers have stopped sending here.
	quietTime clock.Millis = 1200
	drainPoll clock.Millis = 100
	// peerDelay is how long the store may take to deliver a version that a peer
	// has, before the peer is asked for it.
	peerDelay clock.Millis = 250
	// peerTimeout limits a call to a peer.
	peerTimeout = 500 * time.Millisecond
	// maxConfiguration limits what a peer may send.
	maxConfiguration = 4 << 20

	configurationPath = "/configuration"
)

// balancerNode is a running balancer.
type balancerNode struct {
	*base
	machine   *balancer.Balancer
	sidecars  *peerset.Set
	directory *directory
	peers     *http.Client
	// armed tells that a timer waits for the next late answer.
	armed bool
	// fetches are the peers to be asked for their configuration.
	fetches chan netip.Addr
	digests *digests
	// packet is the time of the last packet of a client.
	packet clock.Millis
	// newer is the highest version that a peer has, heard from newerAt at
	// newerSince.
	newer      uint64
	newerAt    netip.Addr
	newerSince clock.Millis
}

// RunBalancer runs a balancer until options.Stop ends, and drains it then. It
// returns at once with an error if the balancer cannot start.
func RunBalancer(ctx context.Context, options Options, s settings.FlowBalancer) error {
	b, err := newBase(options, s.FlowProcess)
	if err != nil {
		return err
	}
	defer b.close()
	n := &balancerNode{
		base: b, sidecars: peerset.New(s.RelayAddress.Addr()), fetches: make(chan netip.Addr, 1),
		peers: &http.Client{Timeout: peerTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	n.machine = balancer.New(balancer.Config{
		DataCentre:  s.DataCentre,
		LinkRate:    s.LinkRate,
		Decode:      func(packet []byte) (segment.Segment, error) { return platform.DecodeSegment(packet, false) },
		Reset:       platform.EncodeReset,
		ToSidecar:   func(to netip.AddrPort, data []byte) { b.send(b.relay, to, data) },
		ToClient:    b.toClient,
		Random:      random,
		AllReported: n.complete,
		Observe:     n.observe,
	})
	n.digests = &digests{node: n}
	n.directory = b.newDirectory(platform.Balancers, n.learn)
	n.registerMetrics()
	if err := n.start(); err != nil {
		return err
	}
	return b.run(ctx, n.drain)
}

func (n *balancerNode) start() error {
	n.addReader("packets", n.packets, platform.MaxSegmentSize+1, n.handlePacket)
	n.addReader("relay", n.relay, relay.MaxMessage, n.handleRelay)
	n.addTimer("digest", digestInterval, n.sendDigests)
	n.addStartTimer(n.sendDigests)
	n.addTimer("siblings", siblingInterval, func(context.Context) {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.digests.sendSiblings(n.clock.Now())
	})
	n.tree.Add("configuration", configuration.New(configuration.Config{
		Read: n.store.Configuration, Watch: n.store.WatchConfiguration,
		Apply:               func(content []byte) error { return n.applyConfiguration("store", content) },
		AvailabilityChanged: n.storeChanged,
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
	n.packet = now
	n.machine.HandleClient(now, packet)
	n.arm(now)
}

// arm starts a timer for the next late answer.
func (n *balancerNode) arm(now clock.Millis) {
	next := n.machine.NextDeadline()
	if n.armed || next == 0 {
		return
	}
	n.armed = true
	time.AfterFunc(max(next-now, 1).Duration(), func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.armed = false
		now := n.clock.Now()
		n.machine.Tick(now)
		n.arm(now)
	})
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
	if m.Kind == relay.KindDigest {
		n.handleDigest(now, from.Addr(), m.Digest)
		return
	}
	appeared := n.sidecars.MarkSeen(now, from.Addr(), m.Report.Interval)
	if appeared {
		n.logger.Info("sidecar-appeared", zap.Stringer("sidecar", from))
	}
	n.machine.HandleSidecar(now, from, m)
	if m.Kind == relay.KindReport && m.Report.Departed {
		n.sidecars.Remove(from.Addr())
	} else if appeared {
		n.digests.send(now, []netip.Addr{from.Addr()}, true)
	}
	n.arm(now)
}

// complete reports whether every sidecar that may hold flows has reported.
func (n *balancerNode) complete() bool {
	now := n.clock.Now()
	settle := settleTime
	if n.directory.read.Load() {
		settle = settleDirectory
	}
	return now-n.started >= settle && len(n.sidecars.NeverSeen(now)) == 0
}

// requestFetch asks a peer for its configuration in the background, unless one is being
// asked.
func (n *balancerNode) requestFetch(peer netip.Addr) {
	select {
	case n.fetches <- peer:
	default:
	}
}

// serveFetches asks peers for their configuration.
func (n *balancerNode) serveFetches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case peer := <-n.fetches:
			n.fetch(ctx, peer)
		}
	}
}

// fetch asks a peer for its configuration.
func (n *balancerNode) fetch(ctx context.Context, peer netip.Addr) {
	address := netip.AddrPortFrom(peer, n.settings.RelayAddress.Port())
	content, err := n.read(ctx, "http://"+address.String()+configurationPath)
	if err == nil {
		err = n.applyConfiguration("peer", content)
	}
	if err != nil {
		n.logger.Warn("peer-configuration-failed", zap.Stringer("balancer", peer), zap.Error(err))
		n.mutex.Lock()
		// The next digest names a peer that has the version.
		n.newer = n.machine.Table().Version()
		n.mutex.Unlock()
	}
}

func (n *balancerNode) read(ctx context.Context, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := n.peers.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, oops.Errorf("status %d", response.StatusCode)
	}
	return io.ReadAll(io.LimitReader(response.Body, maxConfiguration))
}

// serveConfiguration answers peers.
func (n *balancerNode) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	n.mutex.Lock()
	content := n.machine.Table().Document()
	n.mutex.Unlock()
	if r.URL.Path != configurationPath || content == nil {
		http.NotFound(w, r)
		return
	}
	// The peer sees a failed write as a missing answer and calls again.
	_, _ = w.Write(content)
}

// applyConfiguration puts a newer configuration into effect.
func (n *balancerNode) applyConfiguration(source string, content []byte) error {
	config, err := platform.DecodeConfiguration(content)
	if err != nil {
		return err
	}
	table := route.NewTable(config)
	n.mutex.Lock()
	applied := n.machine.SetTable(table)
	if applied {
		n.digests.spread(n.clock.Now())
	}
	n.mutex.Unlock()
	if applied {
		n.logger.Info("configuration-applied", zap.Uint64("version", table.Version()),
			zap.Int("routes", table.Len()), zap.String("source", source))
	}
	return nil
}

func (n *balancerNode) storeChanged(err error) {
	if err != nil {
		n.logger.Warn("store-lost", zap.Error(err))
		return
	}
	n.logger.Info("store-regained")
	n.directory.check()
}

// ready reports whether routers may send packets here: with a configuration, and
// with sidecars unless none has reported for a while.
func (n *balancerNode) ready() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.clock.Now()
	if n.stopping || n.machine.Table() == nil {
		return false
	}
	return n.machine.UsableSidecars(now) > 0 || now-n.started > settleTime
}

// drain forwards packets until the routers have stopped sending them here. The
// balancer holds no flow, so nothing else has to end.
func (n *balancerNode) drain(ctx context.Context) {
	began := n.clock.Now()
	for sleep(ctx, drainPoll) == nil {
		n.mutex.Lock()
		now := n.clock.Now()
		quiet := now - max(n.packet, began)
		n.mutex.Unlock()
		if quiet >= quietTime || now-began >= n.drainLimit() {
			n.directory.leave()
			return
		}
	}
}
