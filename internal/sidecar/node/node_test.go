package node

import (
	"context"
	"encoding/base64"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/common/process"
	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/control/platform"
	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
)

// TestLoadBeforeServer guards against a sidecar that crashes at its start because its
// load is requested before the server for clients exists. The handler requests the load
// every 20 ms, so a slow start on a busy host is enough to cause the crash.
func TestLoadBeforeServer(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	keyRing := filepath.Join(c.TempDir(), "key-ring.yaml")
	secret := base64.StdEncoding.EncodeToString(make([]byte, keyring.SecretSize))
	content := "active: 0\ngenerations:\n  - {number: 0, secret: " + secret + "}\n"
	c.Assert(os.WriteFile(keyRing, []byte(content), 0o600), qt.IsNil)
	common := settings.Process{
		Role: settings.RoleSidecar, Host: "host", DataCentre: "hope", KeyRingFile: keyRing,
		ControlAddress: netip.MustParseAddrPort("127.0.0.1:0"),
	}
	p, err := process.New(process.Config{Settings: common})
	c.Assert(err, qt.IsNil)
	defer p.Close()
	n := &node{
		Process: p, platform: platform.New(platform.Config{}),
		contract: newServiceContract("ferncliff-willow", "rod-yard"),
		exchange: sibling.NewLoadExchange(sibling.LoadExchangeConfig{Self: p.Self()}),
		settings: settings.Sidecar{Process: common, UpstreamURL: "http://127.0.0.1:1"},
	}
	c.Assert(n.startRequests(ctx), qt.IsNil)
	c.Check(n.load().Flows, qt.Equals, 0)
}

// TestClientsGetLastResponses guards against a drained sidecar that closes a flow
// before the last response is acknowledged, which discards the response.
func TestClientsGetLastResponses(t *testing.T) {
	c := qt.New(t)
	ticks := bufferedTicks(maxLingerPolls)
	open := 3
	waitForClients(context.Background(), func() int {
		open--
		return open
	}, ticks)
	c.Check(open, qt.Equals, 0)
	c.Check(len(ticks), qt.Equals, maxLingerPolls-2)
	// A client that keeps its flow open does not stop the process from exiting.
	waitForClients(context.Background(), func() int { return 1 }, bufferedTicks(maxLingerPolls))
}

func bufferedTicks(n int) <-chan struct{} {
	ticks := make(chan struct{}, n)
	for range n {
		ticks <- struct{}{}
	}
	return ticks
}
