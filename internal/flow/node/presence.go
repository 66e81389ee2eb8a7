package node

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"go.uber.org/zap"
)

const (
	// presenceTimeout limits the attempt to connect to the upstream on this host.
	presenceTimeout clock.Millis = 300
	// presenceInterval is the time between two checks whether the upstream has become
	// unresponsive.
	presenceInterval clock.Millis = 300
)

// watchPresence checks whether an upstream runs, at the start of this process and
// whenever the upstream does not respond to packets. An upstream whose port is closed
// holds no flow, so clients need not wait for it.
func (n *sidecarNode) watchPresence(ctx context.Context) error {
	n.checkPresence(ctx)
	for sleep(ctx, presenceInterval) == nil {
		n.mutex.Lock()
		unresponsive := n.machine.UpstreamUnresponsive(n.clock.Now())
		n.mutex.Unlock()
		if unresponsive {
			n.checkPresence(ctx)
		}
	}
	return nil
}

// checkPresence drops all flows and refuses new ones if the upstream's port is closed.
func (n *sidecarNode) checkPresence(ctx context.Context) {
	n.mutex.Lock()
	address := n.sidecarSettings.UpstreamAddress
	n.mutex.Unlock()
	dialer := net.Dialer{Timeout: presenceTimeout.Duration()}
	conn, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err == nil {
		if err := conn.Close(); err != nil {
			n.logger.Warn("socket-error", zap.String("socket", "presence"), zap.Error(err))
		}
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.logger.Warn("upstream-absent", zap.String("upstream", n.upstreamID), zap.Error(err))
	n.machine.DropFlows()
	n.machine.SetLearning(false)
	// A host without an upstream may be switched off at any time. If it stayed a member of
	// its service, searches would then wait for it.
	n.absent = n.upstreamID == ""
	if n.machine.UpstreamAccepting() {
		n.machine.Refuse(relay.ReasonSilent)
	} else if !n.absent {
		return
	}
	n.reportTo(n.balancers.Live(n.clock.Now()))
}
