package node

import (
	"context"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/common/supervisor"
	"github.com/orioledyke/orioledyke/internal/common/telemetry"
	"github.com/orioledyke/orioledyke/internal/control/platform"
	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
)

// TestLoadBeforeServer guards against a sidecar that crashes at its start when
// its load is asked for before the server of the clients exists, which a busy
// host makes likely: the handler asks every 20 ms.
func TestLoadBeforeServer(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	observed, err := telemetry.New(telemetry.Config{Role: settings.RoleSidecar, Host: "host", DataCentre: "hope"})
	c.Assert(err, qt.IsNil)
	ring, err := keyring.New(1, map[keyring.Generation][]byte{1: make([]byte, keyring.SecretSize)})
	c.Assert(err, qt.IsNil)
	n := &node{
		self: 1, clock: clock.System(), keys: keyring.NewStore(ring), telemetry: observed, logger: observed.Logger(),
		platform: platform.New(platform.Config{}), tree: supervisor.New("sidecar", observed.Logger()),
		contract: newServiceContract("ferncliff-willow", "rod-yard"),
		exchange: sibling.NewExchange(sibling.ExchangeConfig{Self: 1}),
		settings: settings.Sidecar{
			Process:     settings.Process{ControlAddress: netip.MustParseAddrPort("127.0.0.1:0")},
			UpstreamURL: "http://127.0.0.1:1",
		},
	}
	c.Assert(n.startRequests(ctx), qt.IsNil)
	c.Check(n.load().Flows, qt.Equals, 0)
}

// TestClientsGetLastResponses guards against a drained sidecar that closes flows
// while the last response is not yet acknowledged, which discards it.
func TestClientsGetLastResponses(t *testing.T) {
	c := qt.New(t)
	ticks := filled(lingerPolls)
	open := 3
	waitForClients(context.Background(), func() int {
		open--
		return open
	}, ticks)
	c.Check(open, qt.Equals, 0)
	c.Check(len(ticks), qt.Equals, lingerPolls-2)
	// A client that keeps its flow open does not hold the process.
	waitForClients(context.Background(), func() int { return 1 }, filled(lingerPolls))
}

func filled(n int) <-chan struct{} {
	ticks := make(chan struct{}, n)
	for range n {
		ticks <- struct{}{}
	}
	return ticks
}
