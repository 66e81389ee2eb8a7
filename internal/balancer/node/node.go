// Package node assembles and runs a balancer process.
package node

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/orioledyke/orioledyke/internal/balancer/client"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/process"
	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/control/membership"
	"github.com/orioledyke/orioledyke/internal/control/peer"
	"github.com/orioledyke/orioledyke/internal/control/platform"
	"github.com/samber/oops"
	"go.uber.org/zap"
)

const (
	// drainIdleTime is the time without client datagrams after which this balancer
	// assumes that the network fabric has stopped sending to it.
	drainIdleTime = 2 * clock.Second
	// drainTimeout limits the drain if the fabric does not stop sending.
	drainTimeout      = 30 * clock.Second
	drainPollInterval = 200 * time.Millisecond
)

// node holds the parts of a running balancer.
type node struct {
	*process.Process

	settings  settings.Balancer
	forwarder *client.Forwarder
	state     *state
	platform  *platform.Client
	peer      *peer.Balancer
	reader    *reader
}

// Run runs a balancer until stop is cancelled, and then drains it. If the balancer
// cannot start, Run closes what it has opened and returns an error immediately.
// Cancelling ctx stops the balancer without draining.
func Run(ctx, stop context.Context, s settings.Balancer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := &node{settings: s}
	var err error
	if n.Process, err = process.New(process.Config{Settings: s.Process, Ready: n.notReady}); err != nil {
		return err
	}
	defer n.Close()
	if err := n.start(ctx); err != nil {
		return err
	}
	return n.Run(ctx, cancel, func() { n.drainAfter(ctx, stop) }, func() {
		n.peer.Wait()
		n.forwarder.Wait()
	})
}

func (n *node) start(ctx context.Context) error {
	var err error
	if n.platform, err = platform.FromSettings(n.settings.Platform, n.Logger()); err != nil {
		return err
	}
	if err := n.startForwarder(ctx); err != nil {
		return err
	}
	n.registerMetrics()
	n.reader = newReader(ctx, n)
	return n.startPeer(ctx)
}

func (n *node) startForwarder(ctx context.Context) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(n.settings.TunnelAddress))
	if err != nil {
		return oops.Code("tunnel-address-unavailable").Wrapf(err, "open tunnel-address %s", n.settings.TunnelAddress)
	}
	if n.forwarder, err = client.NewForwarder(ctx, client.Config{
		Entry: n.settings.EntryAddress, Tunnel: conn, Self: n.Self(), Keys: n.Keys(), Clock: n.Clock(),
		LogEvent: func(event string, err error) { n.Logger().Debug(event, zap.Error(err)) },
	}); err != nil {
		return err
	}
	n.state = newState(n.forwarder, n.Logger())
	return nil
}

func (n *node) startPeer(ctx context.Context) error {
	listener, err := net.Listen("tcp", n.settings.ControlAddress.String())
	if err != nil {
		return oops.Code("control-address-unavailable").Wrapf(err, "open control-address %s", n.settings.ControlAddress)
	}
	n.peer, err = peer.NewBalancer(ctx, peer.BalancerConfig{
		Self: membership.RecordConfig{
			ID: n.Self(), Role: membership.RoleBalancer, State: membership.StateServing,
			DataCentre: n.settings.DataCentre, Host: n.settings.Host,
			Tunnel: n.settings.TunnelAddress, Control: n.settings.ControlAddress,
		},
		Keys: n.Keys(), Clock: n.Clock(), Listener: listener, Seeds: n.seeds,
		OnMembers: n.state.applyMembers, OnContract: n.state.applyContract, OnReader: n.reader.setActive,
		InEffect: n.state.revision,
		Logger:   n.Logger(),
	})
	if err != nil {
		return err
	}
	n.reader.setPeer(n.peer)
	return nil
}

// seeds returns the control addresses of balancers, from the platform and from the
// settings. The settings alone are sufficient while the platform is unavailable.
func (n *node) seeds(ctx context.Context) ([]netip.AddrPort, error) {
	return n.platform.SeedAddresses(ctx, n.settings.Seeds)
}

// notReady returns the reasons why this balancer must not receive datagrams yet.
func (n *node) notReady() []string {
	var reasons []string
	if n.peer == nil || !n.peer.Ready() {
		reasons = append(reasons, "contracts and members are not complete")
	}
	if n.state != nil && n.state.hasUnopenedAddress() {
		reasons = append(reasons, "a service address cannot be opened")
	}
	return reasons
}

// drainAfter waits for stop, announces that the balancer is leaving and waits until the
// fabric stops sending. The balancer keeps no flows, so there is nothing else to
// finish.
func (n *node) drainAfter(ctx, stop context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-stop.Done():
	}
	n.Logger().Info("draining")
	n.peer.SetState(membership.StateLeaving)
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	drainStart := n.Clock().Now()
	lastCount, lastChange := n.forwarder.Inbound(), drainStart
	for n.Clock().Now()-lastChange < drainIdleTime {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
		if n.Clock().Now()-drainStart >= drainTimeout {
			n.Logger().Warn("drain-limit-reached", zap.Duration("limit", drainTimeout.Duration()))
			return
		}
		if count := n.forwarder.Inbound(); count != lastCount {
			lastCount, lastChange = count, n.Clock().Now()
		}
	}
}
