package node

import (
	"context"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"go.uber.org/zap"
)

const (
	// goAwayTime lets clients learn that the sidecar leaves, and siblings take
	// over new flows, before idle flows are closed.
	goAwayTime = 4 * time.Second
	// lingerPolls times lingerPoll is how long the last responses may take to be
	// acknowledged and repeated. Closing a flow discards what is not acknowledged.
	lingerPoll  = 100 * clock.Millis(1)
	lingerPolls = 30
)

// drainAfter waits for stop, turns new flows away and waits until the requests
// and streams in progress have ended. Then it closes the flows that clients keep
// open without a request.
func (n *node) drainAfter(ctx, stop context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-stop.Done():
	}
	n.Logger().Info("draining", zap.Int("flows", n.flows()))
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
		n.Logger().Warn("drain-incomplete", zap.Error(err))
	}
	waitForClients(ctx, n.flows, clock.SystemTicker(ctx, lingerPoll))
	if err := n.server.Load().Close(); err != nil {
		n.Logger().Warn("drain-incomplete", zap.Error(err))
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
