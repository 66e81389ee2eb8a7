// Package node assembles a sidecar from its parts and runs it.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync/atomic"

	"github.com/orioledyke/orioledyke/internal/common/certificate"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/process"
	"github.com/orioledyke/orioledyke/internal/common/settings"
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
	// announceInterval is the time between two checks for a changed state or weight.
	announceInterval = 100 * clock.Millis(1)
	tracerName       = "github.com/orioledyke/orioledyke/internal/sidecar/node"
)

// node holds the parts of a running sidecar.
type node struct {
	*process.Process

	settings    settings.Sidecar
	service     identity.ServiceID
	certificate *certificate.Certificate
	platform    *platform.Client
	conn        *client.Conn
	// server is nil at first. The handler is created before the server and calls the
	// method flows from then on.
	server        atomic.Pointer[client.Server]
	upstream      *upstream.Client
	exchange      *sibling.LoadExchange
	siblingServer *sibling.Server
	handler       *request.Handler
	contract      *serviceContract
	peer          *peer.Sidecar
}

// Run runs a sidecar until stop ends, and then drains it. The end of ctx stops the
// sidecar at once. If the sidecar cannot start, Run returns an error at once and leaves
// nothing open.
func Run(ctx, stop context.Context, s settings.Sidecar) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := &node{
		settings: s, service: identity.NewServiceID(s.Customer, s.Service),
		contract: newServiceContract(s.Customer, s.Service),
	}
	var err error
	if n.Process, err = process.New(process.Config{Settings: s.Process, Ready: n.notReady}); err != nil {
		return err
	}
	defer n.Close()
	if err := n.start(ctx); err != nil {
		return err
	}
	return n.Run(ctx, cancel, func() { n.drainAfter(ctx, stop) }, func() { n.peer.Wait() })
}

func (n *node) start(ctx context.Context) error {
	var err error
	if n.platform, err = platform.FromSettings(n.settings.Platform, n.Logger()); err != nil {
		return err
	}
	if n.certificate, err = certificate.New(certificate.Config{
		CertificateFile: n.settings.CertificateFile, PrivateKeyFile: n.settings.PrivateKeyFile,
		Interval: n.settings.ReloadInterval, LogEvent: n.LogEvent,
	}); err != nil {
		return err
	}
	n.Tree().Add("certificate", n.certificate.Watcher().Serve)
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

// startConn opens the tunnel. It also creates the load exchange, which sends its
// messages over the tunnel.
func (n *node) startConn(ctx context.Context) error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(n.settings.TunnelAddress))
	if err != nil {
		return oops.Code("tunnel-address-unavailable").Wrapf(err, "open tunnel-address %s", n.settings.TunnelAddress)
	}
	n.exchange = sibling.NewLoadExchange(sibling.LoadExchangeConfig{Self: n.Self(), Send: n.sendLoad})
	n.conn = client.NewConn(ctx, client.ConnConfig{
		Tunnel: socket, Self: n.Self(), Service: n.service, Keys: n.Keys(), Clock: n.Clock(),
		Load: n.load, Siblings: n.siblingLoads, Address: n.siblingAddress,
		OnLoad: func(sender identity.OwnerID, payload []byte) {
			n.exchange.Receive(sender, payload, n.Clock().Now())
		},
	})
	return nil
}

func (n *node) sendLoad(to sibling.Sibling, message []byte) {
	// A lost load message is followed by another one within a second.
	_ = n.conn.Send(tunnel.TypeLoad, to.Owner, to.Tunnel, message)
}

func (n *node) load() client.Load {
	load := n.handler.Load()
	return client.Load{Leaving: load.Leaving, Full: n.full(load.Flows), Flows: load.Flows}
}

// full reports whether a sidecar with this number of flows may accept no more under the
// contract. Siblings have the same contract and thus the same limit.
func (n *node) full(flows int) bool {
	limit := n.contract.service().Flows()
	return limit > 0 && flows >= limit
}

func (n *node) siblingLoads() map[identity.OwnerID]client.Load {
	loads := map[identity.OwnerID]client.Load{}
	now := n.Clock().Now()
	for owner, load := range n.exchange.Loads(now) {
		loads[owner] = client.Load{Leaving: load.Leaving, Full: n.full(load.Flows), Flows: load.Flows}
	}
	for _, owner := range n.exchange.WithoutValidLoad(now) {
		loads[owner] = client.Load{Unknown: true}
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
	n.upstream = upstream.NewClient(ctx, upstream.Config{Address: address.Host, Clock: n.Clock()})
	n.handler = request.NewHandler(ctx, request.Config{
		Self: n.Self(), Service: n.contract.service(), Keys: n.Keys(), Clock: n.Clock(), Random: rand.Float64,
		Upstream: n.upstream, Siblings: n.exchange, SiblingClient: sibling.NewClient(ctx, n.Keys()),
		Flows: n.flows, Logger: n.Logger(), Metrics: n.Registry(),
	})
	listener, err := net.Listen("tcp", n.settings.ControlAddress.String())
	if err != nil {
		return oops.Code("control-address-unavailable").Wrapf(err, "open control-address %s", n.settings.ControlAddress)
	}
	n.siblingServer = sibling.NewServer(sibling.ServerConfig{Self: n.Self(), Keys: n.Keys(), Handler: n.handler})
	n.Tree().Add("siblings", func(ctx context.Context) error { return n.siblingServer.Serve(ctx, listener) })
	return nil
}

func (n *node) startServer() error {
	server, err := client.NewServer(client.ServerConfig{
		Conn: n.conn, Self: n.Self(), Service: n.service, Keys: n.Keys(),
		Certificate: n.certificate.GetCertificate, Handler: telemetry.TraceHop(tracerName, "balancer", n.balancerAttributes, n.handler),
		Full: func() bool { return n.full(n.flows()) },
	})
	if err != nil {
		return err
	}
	n.server.Store(server)
	n.Tree().Add("clients", server.Serve)
	return nil
}

// flows returns the number of open flows. It is zero before the server exists.
func (n *node) flows() int {
	if server := n.server.Load(); server != nil {
		return server.Flows()
	}
	return 0
}

// balancerAttributes returns the span attributes for the balancer through which a
// request came. The balancer cannot record a span itself, because it sees only
// encrypted packets.
func (n *node) balancerAttributes(r *http.Request) []attribute.KeyValue {
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
			ID: n.Self(), Role: membership.RoleSidecar, State: membership.StateJoining,
			DataCentre: n.settings.DataCentre, Host: n.settings.Host,
			Tunnel: n.settings.TunnelAddress, Control: n.settings.ControlAddress,
			Customer: n.settings.Customer, Service: n.settings.Service,
		},
		Keys: n.Keys(), Clock: n.Clock(), Logger: n.Logger(),
		Seeds: func(ctx context.Context) ([]netip.AddrPort, error) {
			return n.platform.SeedAddresses(ctx, n.settings.Seeds)
		},
		OnSiblings: n.applySiblings, OnContract: n.applyContract,
	})
	if err != nil {
		return err
	}
	n.Tree().Add("weight", n.announceChanges)
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
		// A newer version of the program may write a document that this one cannot
		// read. The contract in effect stays.
		n.Logger().Error("contract-unreadable", zap.String("customer", customer), zap.Uint64("revision", revision), zap.Error(err))
		return
	}
	if changed {
		n.handler.SetService(n.contract.service())
		n.Logger().Info("contract-applied", zap.String("customer", customer), zap.Uint64("revision", revision))
	}
}

// notReady returns the reasons why this sidecar does not accept flows yet.
func (n *node) notReady() []string {
	var reasons []string
	if n.peer == nil || !n.peer.Ready() {
		reasons = append(reasons, "no balancer has sent its complete state")
	}
	if !n.contract.namesService() {
		reasons = append(reasons, "no contract names this service")
	}
	return reasons
}

// announceChanges announces state and weight to the balancers whenever they have
// changed. A sidecar without a contract stays in the state joining and gets no flows.
func (n *node) announceChanges(ctx context.Context) error {
	state, weight := membership.StateJoining, 0
	ticks := clock.SystemTicker(ctx, announceInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
		nextState, nextWeight := n.stateAndWeight(n.handler.Load().Leaving)
		if nextState != state || nextWeight != weight {
			state, weight = nextState, nextWeight
			n.peer.Announce(state, weight)
		}
	}
}

func (n *node) stateAndWeight(leaving bool) (membership.State, int) {
	switch {
	case leaving:
		return membership.StateLeaving, 0
	case !n.contract.namesService():
		return membership.StateJoining, 0
	default:
		return membership.StateServing, n.handler.Weight()
	}
}
