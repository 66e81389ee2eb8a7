// Package node assembles a sidecar.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"sync/atomic"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/certificate"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/common/supervisor"
	"github.com/orioledyke/orioledyke/internal/common/telemetry"
	"github.com/orioledyke/orioledyke/internal/control/membership"
	"github.com/orioledyke/orioledyke/internal/control/peer"
	"github.com/orioledyke/orioledyke/internal/control/platform"
	"github.com/orioledyke/orioledyke/internal/sidecar/client"
	"github.com/orioledyke/orioledyke/internal/sidecar/request"
	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
	"github.com/orioledyke/orioledyke/internal/sidecar/upstream"
	"github.com/orioledyke/orioledyke/internal/wire/tunnel"
	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"
)

const (
	// weightTick is the time between two looks at the weight.
	weightTick      = 100 * clock.Millis(1)
	shutdownTimeout = 2 * time.Second
	tracerName      = "github.com/orioledyke/orioledyke/internal/sidecar/node"
	// goAwayTime lets clients learn that the sidecar leaves, and siblings take
	// over new flows, before idle flows are closed.
	goAwayTime = 4 * time.Second
	// lingerPolls times lingerPoll is how long the last responses may take to be
	// acknowledged and repeated. Closing a flow discards what is not acknowledged.
	lingerPoll  = 100 * clock.Millis(1)
	lingerPolls = 30
)

// node holds the parts of a running sidecar.
type node struct {
	settings    settings.Sidecar
	self        identity.OwnerID
	service     identity.ServiceID
	logger      *zap.Logger
	telemetry   *telemetry.Telemetry
	keys        *keyring.Store
	certificate *certificate.Certificate
	clock       clock.Clock
	platform    *platform.Client
	conn        *client.Conn
	// server is nil until the handler, which asks for the number of flows from
	// then on, has been made.
	server   atomic.Pointer[client.Server]
	upstream *upstream.Client
	exchange *sibling.Exchange
	handoff  *sibling.Server
	handler  *request.Handler
	contract *serviceContract
	peer     *peer.Sidecar
	tree     *supervisor.Tree
}

// Run runs a sidecar until stop ends, and then lets its requests and streams
// end. It returns at once with an error if the sidecar cannot start, and leaves
// nothing open. Ending ctx ends the sidecar at once.
func Run(ctx, stop context.Context, s settings.Sidecar) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := &node{
		settings: s, self: identity.NewOwnerID(), service: identity.NewServiceID(s.Customer, s.Service),
		clock: clock.System(), contract: newServiceContract(s.Customer, s.Service),
	}
	if err := n.start(ctx); err != nil {
		cancel()
		n.close()
		return err
	}
	n.logger.Info("started", zap.Stringer("id", n.self), zap.String("service", s.Customer+"/"+s.Service))
	served := make(chan error, 1)
	go func() { served <- n.tree.Serve(ctx) }()
	n.drainAfter(ctx, stop)
	cancel()
	err := <-served
	n.peer.Wait()
	n.logger.Info("stopped")
	n.close()
	return err
}

func (n *node) start(ctx context.Context) error {
	var err error
	if n.telemetry, err = telemetry.New(telemetry.Config{
		Role: settings.RoleSidecar, Host: n.settings.Host, DataCentre: n.settings.DataCentre, Output: os.Stderr,
		ObserveAddress: n.settings.ObserveAddress, Traces: n.settings.Traces, Ready: n.notReady,
	}); err != nil {
		return err
	}
	n.logger = n.telemetry.Logger()
	n.tree = supervisor.New("sidecar", n.logger)
	n.tree.Add("observe", n.telemetry.Serve)
	if err := n.loadSecrets(); err != nil {
		return err
	}
	if n.platform, err = platform.FromSettings(n.settings.Platform, n.logger); err != nil {
		return err
	}
	if err := n.startConn(ctx); err != nil {
		return err
	}
	if err := n.startRequests(ctx); err != nil {
		return err
	}
	if err := n.startServer(); err != nil {
		return err
	}
	n.registerMetrics()
	return n.startPeer(ctx)
}

func (n *node) loadSecrets() error {
	keys, watcher, err := keyring.NewReloader(keyring.ReloaderConfig{
		Path: n.settings.KeyRingFile, Interval: n.settings.ReloadInterval, Logged: n.telemetry.Logged,
	})
	if err != nil {
		return err
	}
	n.keys = keys
	n.tree.Add("key-ring", watcher.Serve)
	if n.certificate, err = certificate.New(certificate.Config{
		CertificateFile: n.settings.CertificateFile, PrivateKeyFile: n.settings.PrivateKeyFile,
		Interval: n.settings.ReloadInterval, Logged: n.telemetry.Logged,
	}); err != nil {
		return err
	}
	n.tree.Add("certificate", n.certificate.Watcher().Serve)
	return nil
}

// startConn opens the tunnel. Load messages go out over it, so the exchange of
// loads is made here.
func (n *node) startConn(ctx context.Context) error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(n.settings.TunnelAddress))
	if err != nil {
		return oops.Code("tunnel-address-unavailable").Wrapf(err, "open tunnel-address %s", n.settings.TunnelAddress)
	}
	n.exchange = sibling.NewExchange(sibling.ExchangeConfig{Self: n.self, Send: n.sendLoad})
	n.conn = client.NewConn(ctx, client.ConnConfig{
		Tunnel: socket, Self: n.self, Service: n.service, Keys: n.keys, Clock: n.clock,
		Load: n.load, Siblings: n.siblingLoads, Address: n.siblingAddress,
		Received: func(sender identity.OwnerID, payload []byte) {
			n.exchange.Receive(sender, payload, n.clock.Now())
		},
	})
	return nil
}

func (n *node) sendLoad(to sibling.Sibling, message []byte) {
	// A load message that is lost is followed by another within a second.
	_ = n.conn.Send(tunnel.TypeLoad, to.Owner, to.Tunnel, message)
}

func (n *node) load() client.Load {
	load := n.handler.Load()
	return client.Load{Leaving: load.Leaving, Full: n.full(load.Flows), Flows: load.Flows}
}

// full reports whether the contract allows no flow more. Siblings have the same
// contract and so the same limit.
func (n *node) full(flows int) bool {
	limit := n.contract.service().Flows()
	return limit > 0 && flows >= limit
}

func (n *node) siblingLoads() map[identity.OwnerID]client.Load {
	loads := map[identity.OwnerID]client.Load{}
	now := n.clock.Now()
	for owner, load := range n.exchange.Loads(now) {
		loads[owner] = client.Load{Leaving: load.Leaving, Full: n.full(load.Flows), Flows: load.Flows}
	}
	for _, owner := range n.exchange.Unheard(now) {
		loads[owner] = client.Load{Unheard: true}
	}
	return loads
}

func (n *node) siblingAddress(owner identity.OwnerID) (netip.AddrPort, bool) {
	s, ok := n.exchange.Find(owner)
	return s.Tunnel, ok
}

func (n *node) startRequests(ctx context.Context) error {
	address, err := url.Parse(n.settings.UpstreamURL)
	if err != nil {
		return oops.Code("settings-invalid").Wrapf(err, "upstream-url")
	}
	n.upstream = upstream.NewClient(ctx, upstream.Config{Address: address.Host, Clock: n.clock})
	n.handler = request.NewHandler(ctx, request.Config{
		Self: n.self, Service: n.contract.service(), Keys: n.keys, Clock: n.clock, Random: rand.Float64,
		Upstream: n.upstream, Siblings: n.exchange, Links: sibling.NewClient(ctx, n.keys),
		Flows: n.flows, Logger: n.logger, Metrics: n.telemetry.Registry(),
	})
	listener, err := net.Listen("tcp", n.settings.ControlAddress.String())
	if err != nil {
		return oops.Code("control-address-unavailable").Wrapf(err, "open control-address %s", n.settings.ControlAddress)
	}
	n.handoff = sibling.NewServer(sibling.ServerConfig{Self: n.self, Keys: n.keys, Handler: n.handler})
	n.tree.Add("siblings", func(ctx context.Context) error { return n.handoff.Serve(ctx, listener) })
	return nil
}

func (n *node) startServer() error {
	server, err := client.NewServer(client.ServerConfig{
		Conn: n.conn, Self: n.self, Service: n.service, Keys: n.keys,
		Certificate: n.certificate.GetCertificate, Handler: telemetry.Hop(tracerName, "balancer", n.balancerOf, n.handler),
		Full: func() bool { return n.full(n.flows()) },
	})
	if err != nil {
		return err
	}
	n.server.Store(server)
	n.tree.Add("clients", server.Serve)
	return nil
}

// flows returns the number of open flows, also before there is a server.
func (n *node) flows() int {
	if server := n.server.Load(); server != nil {
		return server.Flows()
	}
	return 0
}

// balancerOf tells which balancer a request came through. The balancer cannot
// record a span itself, because it sees only encrypted packets.
func (n *node) balancerOf(r *http.Request) []attribute.KeyValue {
	client, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return nil
	}
	attributes := []attribute.KeyValue{attribute.String("client.address", client.String())}
	if balancer, ok := n.conn.Balancer(client); ok {
		attributes = append(attributes, attribute.String("balancer.address", balancer.String()))
	}
	return attributes
}

func (n *node) startPeer(ctx context.Context) error {
	var err error
	n.peer, err = peer.NewSidecar(ctx, peer.SidecarConfig{
		Self: membership.RecordConfig{
			ID: n.self, Role: membership.RoleSidecar, State: membership.StateJoining,
			DataCentre: n.settings.DataCentre, Host: n.settings.Host,
			Tunnel: n.settings.TunnelAddress, Control: n.settings.ControlAddress,
			Customer: n.settings.Customer, Service: n.settings.Service,
		},
		Keys: n.keys, Clock: n.clock, Logger: n.logger,
		Seeds: func(ctx context.Context) ([]netip.AddrPort, error) {
			return n.platform.SeedsOr(ctx, n.settings.Seeds)
		},
		OnSiblings: n.applySiblings, OnContract: n.applyContract,
	})
	if err != nil {
		return err
	}
	n.tree.Add("weight", n.announceWeight)
	return nil
}

func (n *node) applySiblings(records []membership.Record) {
	siblings := make([]sibling.Sibling, len(records))
	for i, r := range records {
		siblings[i] = sibling.Sibling{Owner: r.ID(), Tunnel: r.Tunnel(), Control: r.Control(), Leaving: r.State() == membership.StateLeaving}
	}
	n.handler.SetSiblings(siblings)
}

func (n *node) applyContract(customer string, revision uint64, document []byte) {
	changed, err := n.contract.apply(customer, document)
	if err != nil {
		// A newer version of the program may write what this one cannot read. The
		// contract in effect stays.
		n.logger.Error("contract-unreadable", zap.String("customer", customer), zap.Uint64("revision", revision), zap.Error(err))
		return
	}
	if changed {
		n.handler.SetService(n.contract.service())
		n.logger.Info("contract-applied", zap.String("customer", customer), zap.Uint64("revision", revision))
	}
}

// notReady returns the reasons why this sidecar takes no flows yet.
func (n *node) notReady() []string {
	var reasons []string
	if n.peer == nil || !n.peer.Ready() {
		reasons = append(reasons, "no balancer has sent its complete state")
	}
	if !n.contract.inEffect() {
		reasons = append(reasons, "no contract names this service")
	}
	return reasons
}

// announceWeight tells balancers state and weight when they changed. A sidecar
// without a contract stays in the state joining and gets no flows.
func (n *node) announceWeight(ctx context.Context) error {
	state, weight := membership.StateJoining, 0
	ticks := clock.SystemTicker(ctx, weightTick)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
		nextState, nextWeight := n.announced(n.handler.Load().Leaving)
		if nextState != state || nextWeight != weight {
			state, weight = nextState, nextWeight
			n.peer.Announce(state, weight)
		}
	}
}

func (n *node) announced(leaving bool) (membership.State, int) {
	switch {
	case leaving:
		return membership.StateLeaving, 0
	case !n.contract.inEffect():
		return membership.StateJoining, 0
	default:
		return membership.StateServing, n.handler.Weight()
	}
}

// drainAfter waits for stop, turns new flows away and waits until the requests
// and streams in progress have ended. Then it closes the flows that clients keep
// open without a request.
func (n *node) drainAfter(ctx, stop context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-stop.Done():
	}
	n.logger.Info("draining", zap.Int("flows", n.flows()))
	n.handler.Leave()
	// The error tells that clients kept flows without a request, which Close ends.
	go func() { _ = n.server.Load().Shutdown(ctx) }()
	settled := time.NewTimer(goAwayTime)
	defer settled.Stop()
	select {
	case <-ctx.Done():
	case <-settled.C:
	}
	if err := n.handler.Drain(ctx); err != nil {
		n.logger.Warn("drain-incomplete", zap.Error(err))
	}
	waitForClients(ctx, n.flows, clock.SystemTicker(ctx, lingerPoll))
	if err := n.server.Load().Close(); err != nil {
		n.logger.Warn("drain-incomplete", zap.Error(err))
	}
}

// waitForClients returns when clients have closed all flows, as they do after
// GOAWAY and their last response, or after lingerPolls ticks.
func waitForClients(ctx context.Context, flows func() int, ticks <-chan struct{}) {
	for range lingerPolls {
		if flows() == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
	}
}

func (n *node) close() {
	if n.telemetry == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := n.telemetry.Shutdown(ctx); err != nil {
		n.logger.Warn("telemetry-shutdown-failed", zap.Error(err))
	}
}
