package node

import (
	"context"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"go.uber.org/zap"
)

const (
	// goAwayGrace is the minimum time before idle flows are closed. In this time,
	// clients learn that the sidecar is leaving, and new flows start to go to siblings.
	goAwayGrace = 4 * time.Second
	// maxLingerPolls times lingerPollInterval is how long clients have to acknowledge
	// the last responses, including retransmissions. Closing a flow discards the data
	// that is not acknowledged.
	lingerPollInterval = 100 * clock.Millis(1)
	maxLingerPolls     = 30
)

// drainAfter waits until stop ends. Then it lets new flows go to siblings and waits
// until the requests and streams in progress have ended. Finally, it closes the flows
// that clients keep open without a request.
func (n *node) drainAfter(ctx, stop context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-stop.Done():
	}
	n.Logger().Info("draining", zap.Int("flows", n.flows()))
	n.handler.Leave()
	// An error only means that clients keep flows open without a request. The call of
	// Close below closes these flows.
	go func() { _ = n.server.Load().Shutdown(ctx) }()
	graceTimer := time.NewTimer(goAwayGrace)
	defer graceTimer.Stop()
	select {
	case <-ctx.Done():
	case <-graceTimer.C:
	}
	if err := n.handler.Drain(ctx); err != nil {
		n.Logger().Warn("drain-incomplete", zap.Error(err))
	}
	waitForClients(ctx, n.flows, clock.SystemTicker(ctx, lingerPollInterval))
	if err := n.server.Load().Close(); err != nil {
		n.Logger().Warn("drain-incomplete", zap.Error(err))
	}
}

// waitForClients returns when the clients have closed all flows, as they do after
// GOAWAY and their last response. It waits for maxLingerPolls ticks at most.
func waitForClients(ctx context.Context, flows func() int, ticks <-chan struct{}) {
	for range maxLingerPolls {
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
