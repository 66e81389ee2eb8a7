package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/configuration"
	"github.com/orioledyke/orioledyke/platform"
	"go.uber.org/zap"
)

// Guards against a watch of 20 s that the store no longer serves, although peers have
// delivered a newer version.
func TestOverdueWatchEnds(t *testing.T) {
	r := newDigestRecorder(t)
	n := r.node
	var time clock.Manual
	n.clock, n.logger = time.Clock(), zap.NewNop()
	n.versions, n.fetchDue = configuration.NewPeers(), make(chan struct{}, 1)
	watching := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		close(watching)
		<-request.Context().Done()
	}))
	r.c.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	n.store = platform.NewStore(netip.MustParseAddrPort(server.Listener.Addr().String()))
	ended := make(chan error, 1)
	go func() {
		_, _, err := n.watchConfiguration(context.Background(), 1, configuration.FollowerWatch)
		ended <- err
	}()
	<-watching
	r.c.Assert(n.applyConfiguration(sourcePeer, []byte(`{"version":5}`)), qt.IsNil)
	const applyLimit = 4 * clock.Second
	for time.Now() < applyLimit {
		time.Advance(digestInterval)
		n.sendDigests(context.Background())
	}
	r.c.Assert(<-ended, qt.ErrorIs, errWatchOverdue)
}
