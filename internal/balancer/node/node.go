// Package node assembles a balancer.
package node

import (
	"context"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/orioledyke/orioledyke/internal/balancer/client"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/common/supervisor"
	"github.com/orioledyke/orioledyke/internal/common/telemetry"
	"github.com/orioledyke/orioledyke/internal/control/membership"
	"github.com/orioledyke/orioledyke/internal/control/peer"
	"github.com/orioledyke/orioledyke/internal/control/platform"
	"github.com/samber/oops"
	"go.uber.org/zap"
)

const (
	// quietTime without a datagram of a client shows that the fabric has stopped
	// to send here.
	quietTime = 2 * clock.Second
	// drainLimit ends the wait for a fabric that does not stop.
	drainLimit      = 30 * clock.Second
	drainPoll       = 200 * time.Millisecond
	shutdownTimeout = 2 * time.Second
)

// node holds the parts of a running balancer.
type node struct {
	settings  settings.Balancer
	self      identity.OwnerID
	logger    *zap.Logger
	telemetry *telemetry.Telemetry
	keys      *keyring.Store
	clock     clock.Clock
	forwarder *client.Forwarder
	state     *state
	platform  *platform.Client
	peer      *peer.Balancer
	reader    *reader
	tree      *supervisor.Tree
}

// Run runs a balancer until stop ends, and then drains it. It returns at once
// with an error if the balancer cannot start, and leaves nothing open. Ending
// ctx ends the balancer without draining.
func Run(ctx, stop context.Context, s settings.Balancer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := &node{settings: s, self: identity.NewOwnerID(), clock: clock.System()}
	if err := n.start(ctx); err != nil {
		cancel()
		n.close()
		return err
	}
	n.logger.Info("started", zap.Stringer("id", n.self), zap.Stringer("entry-address", s.EntryAddress))
	served := make(chan error, 1)
	go func() { served <- n.tree.Serve(ctx) }()
	n.drainAfter(ctx, stop)
	cancel()
	err := <-served
	n.peer.Wait()
	n.forwarder.Wait()
	n.logger.Info("stopped")
	n.close()
	return err
}

func (n *node) start(ctx context.Context) error {
	var err error
	if n.telemetry, err = telemetry.New(telemetry.Config{
		Role: settings.RoleBalancer, Host: n.settings.Host, DataCentre: n.settings.DataCentre, Output: os.Stderr,
		ObserveAddress: n.settings.ObserveAddress, Traces: n.settings.Traces, Ready: n.notReady,
	}); err != nil {
		return err
	}
	n.logger = n.telemetry.Logger()
	keys, watcher, err := keyring.NewReloader(keyring.ReloaderConfig{
		Path: n.settings.KeyRingFile, Interval: n.settings.ReloadInterval, Logged: n.telemetry.Logged,
	})
	if err != nil {
		return err
	}
	n.keys = keys
	if n.platform, err = platform.FromSettings(n.settings.Platform, n.logger); err != nil {
		return err
	}
	if err := n.startForwarder(ctx); err != nil {
		return err
	}
	n.registerMetrics()
	n.tree = supervisor.New("balancer", n.logger)
	n.tree.Add("observe", n.telemetry.Serve)
	n.tree.Add("key-ring", watcher.Serve)
	n.reader = newReader(ctx, n)
	return n.startPeer(ctx)
}

func (n *node) startForwarder(ctx context.Context) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(n.settings.TunnelAddress))
	if err != nil {
		return oops.Code("tunnel-address-unavailable").Wrapf(err, "open tunnel-address %s", n.settings.TunnelAddress)
	}
	if n.forwarder, err = client.NewForwarder(ctx, client.Config{
		Entry: n.settings.EntryAddress, Tunnel: conn, Self: n.self, Keys: n.keys, Clock: n.clock,
		Logged: func(event string, err error) { n.logger.Debug(event, zap.Error(err)) },
	}); err != nil {
		return err
	}
	n.state = newState(n.forwarder, n.logger)
	return nil
}

func (n *node) startPeer(ctx context.Context) error {
	listener, err := net.Listen("tcp", n.settings.ControlAddress.String())
	if err != nil {
		return oops.Code("control-address-unavailable").Wrapf(err, "open control-address %s", n.settings.ControlAddress)
	}
	n.peer, err = peer.NewBalancer(ctx, peer.BalancerConfig{
		Self: membership.RecordConfig{
			ID: n.self, Role: membership.RoleBalancer, State: membership.StateServing,
			DataCentre: n.settings.DataCentre, Host: n.settings.Host,
			Tunnel: n.settings.TunnelAddress, Control: n.settings.ControlAddress,
		},
		Keys: n.keys, Clock: n.clock, Listener: listener, Seeds: n.seeds,
		OnMembers: n.state.applyMembers, OnContract: n.state.applyContract, OnReader: n.reader.set,
		InEffect: n.state.revision,
		Logger:   n.logger,
	})
	if err != nil {
		return err
	}
	n.reader.bind(n.peer)
	return nil
}

// seeds returns balancers from the platform and from the settings. The settings
// alone are enough while the platform is down.
func (n *node) seeds(ctx context.Context) ([]netip.AddrPort, error) {
	return n.platform.SeedsOr(ctx, n.settings.Seeds)
}

// notReady returns the reasons why this balancer must not get datagrams yet.
func (n *node) notReady() []string {
	var reasons []string
	if n.peer == nil || !n.peer.Ready() {
		reasons = append(reasons, "contracts and members are not complete")
	}
	if n.state != nil && n.state.failed() {
		reasons = append(reasons, "a service address cannot be opened")
	}
	return reasons
}

// drainAfter waits for stop, announces the departure and waits until the fabric
// sends nothing more. The balancer holds no flow, so nothing else has to end.
func (n *node) drainAfter(ctx, stop context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-stop.Done():
	}
	n.logger.Info("draining")
	n.peer.SetState(membership.StateLeaving)
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	began := n.clock.Now()
	seen, since := n.forwarder.Inbound(), began
	for n.clock.Now()-since < quietTime {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
		if n.clock.Now()-began >= drainLimit {
			n.logger.Warn("drain-limit-reached", zap.Duration("limit", drainLimit.Duration()))
			return
		}
		if count := n.forwarder.Inbound(); count != seen {
			seen, since = count, n.clock.Now()
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
