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

// TestLoadBeforeServer guards against a sidecar that crashes at its start when
// its load is asked for before the server of the clients exists, which a busy
// host makes likely: the handler asks every 20 ms.
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
