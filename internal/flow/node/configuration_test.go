package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/configuration"
	"github.com/orioledyke/orioledyke/internal/flow/store"
	"github.com/orioledyke/orioledyke/internal/standin/metadata"
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
	n.store = platform.NewStore(netip.MustParseAddrPort(server.Listener.Addr().String()), func(store.Epoch) {})
	ended := make(chan error, 1)
	go func() {
		_, _, err := n.watchConfiguration(context.Background(), store.Revision{Number: 1}, configuration.FollowerWatch)
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

// Guards against a watch that goes on for 20 s from a revision that the store, restored
// meanwhile, has given to another change.
func TestRestoreEndsWatch(t *testing.T) {
	r := newDigestRecorder(t)
	n := r.node
	n.logger, n.versions = zap.NewNop(), configuration.NewPeers()
	n.storeRestored = n.handleRestore
	n.directory = n.newDirectory(platform.Balancers, nil)
	var older *metadata.Store
	model := metadata.NewServer()
	model.Update(func(state *metadata.Store) { older = state.Copy(); state.Put("op/config", "") })
	watching := make(chan struct{}, 2)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if strings.HasSuffix(request.URL.Path, "kv-watch") {
			watching <- struct{}{}
		}
		model.Handler().ServeHTTP(w, request)
	}))
	r.c.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	n.store = platform.NewStore(netip.MustParseAddrPort(server.Listener.Addr().String()), n.observeStoreEpoch)
	document, err := n.readConfiguration(context.Background())
	r.c.Assert(err, qt.IsNil)
	ended := make(chan error, 1)
	watch := func() {
		_, _, err := n.watchConfiguration(context.Background(), document.Revision, configuration.FollowerWatch)
		ended <- err
	}
	go watch()
	<-watching
	model.Update(func(state *metadata.Store) {
		state.Restore(older)
		state.Put("op/config", "")
	})
	_, err = n.store.ListHosts(context.Background())
	r.c.Assert(err, qt.IsNil)
	r.c.Assert(<-ended, qt.ErrorIs, configuration.ErrRestored)
	watch()
	r.c.Assert(<-ended, qt.ErrorIs, configuration.ErrRestored)
}

// Guards against an older or invalid configuration that replaces the one in effect, and
// against an added route that is not served, whatever the source.
func TestNoSourceReverts(t *testing.T) {
	r := newDigestRecorder(t)
	n := r.node
	var time clock.Manual
	n.clock, n.logger, n.versions = time.Clock(), zap.NewNop(), configuration.NewPeers()
	document := func(version int, hosts ...string) []byte {
		var routes []string
		for _, host := range hosts {
			routes = append(routes, fmt.Sprintf(`{"name":"r","host":%q,"prefix":"/443/","service":"portal"}`, host))
		}
		return fmt.Appendf(nil, `{"version":%d,"routes":[%s]}`, version, strings.Join(routes, ","))
	}
	served := func() (hosts []string) {
		for known := range n.machine.Table().Routes() {
			hosts = append(hosts, known.Address.Addr().String())
		}
		slices.Sort(hosts)
		return hosts
	}
	for _, sources := range [][]string{{sourceStore, sourcePeer}, {sourcePeer, sourceStore}, {sourcePeer, sourcePeer}} {
		n.machine = balancer.New(balancer.Config{})
		first, second := sources[0], sources[1]
		r.c.Assert(n.applyConfiguration(first, document(5, "198.18.0.1")), qt.IsNil)
		r.c.Assert(n.applyConfiguration(second, document(4, "198.18.0.9")), qt.IsNil)
		r.c.Assert(n.applyConfiguration(second, document(5, "198.18.0.9")), qt.IsNil)
		r.c.Assert(n.applyConfiguration(second, document(9, "198.18.0.1", "no address")), qt.IsNotNil)
		r.c.Assert(n.applyConfiguration(second, document(9, "198.18.0.1")[:20]), qt.IsNotNil)
		r.c.Assert(n.machine.Table().Version(), qt.Equals, uint64(5))
		r.c.Assert(served(), qt.DeepEquals, []string{"198.18.0.1"})
		r.c.Assert(n.applyConfiguration(second, document(7, "198.18.0.1", "198.18.0.2")), qt.IsNil)
		r.c.Assert(served(), qt.DeepEquals, []string{"198.18.0.1", "198.18.0.2"})
	}
}
