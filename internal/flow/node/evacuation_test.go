package node

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/flow/configuration"
	"github.com/orioledyke/orioledyke/internal/flow/evacuation"
	"github.com/orioledyke/orioledyke/internal/flow/registration"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/internal/flow/sidecar"
	"github.com/orioledyke/orioledyke/internal/flow/store"
	"github.com/orioledyke/orioledyke/internal/standin/metadata"
	"github.com/orioledyke/orioledyke/platform"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

func evacuated(number uint64) []evacuation.Record {
	return []evacuation.Record{{DataCentre: "hope", Evacuated: true, Revision: store.Revision{Epoch: 2, Number: number}}}
}

func withdrawn(number uint64) []evacuation.Record {
	return []evacuation.Record{{DataCentre: "hope", Revision: store.Revision{Epoch: 2, Number: number}}}
}

// directives returns the directives that were sent since the last call.
func (r *digestRecorder) directives() (sent []relay.Directives) {
	for _, m := range r.take() {
		if m.Kind == relay.KindDirectives {
			sent = append(sent, m.Directives)
		}
	}
	return sent
}

// newEvacuationRecorder returns a recorder with a manual clock.
func newEvacuationRecorder(t *testing.T) (*digestRecorder, *clock.Manual) {
	r := newDigestRecorder(t)
	var time clock.Manual
	r.node.clock, r.node.logger, r.node.versions = time.Clock(), zap.NewNop(), configuration.NewPeers()
	return r, &time
}

func report(dataCentre string, evacuated bool) relay.Message {
	return relay.Message{Kind: relay.KindReport, Report: relay.Report{
		Service: platform.ServiceID("portal"), DataCentre: dataCentre, Accepting: !evacuated, Evacuated: evacuated, Interval: clock.Minute,
	}}
}

// receive gives the balancer a message as a datagram of a host.
func (r *digestRecorder) receive(from netip.Addr, m relay.Message) {
	data, err := m.Append(nil)
	r.c.Assert(err, qt.IsNil)
	r.node.handleRelay(netip.AddrPortFrom(from, r.node.settings.RelayAddress.Port()), data)
}

// Guards against additional messages in a deployment without evacuations and warm-up rates.
func TestNoDirectivesWithoutEvacuations(t *testing.T) {
	r, time := newEvacuationRecorder(t)
	r.markSeen(7, 10)
	r.node.applyEvacuations(configuration.Document{Revision: store.Revision{Epoch: 1, Number: 9}}, true)
	r.c.Assert(r.node.applyConfiguration(sourceStore, []byte(`{"version":5}`)), qt.IsNil)
	r.receive(netip.MustParseAddr("127.3.9.9"), report("hope", false))
	r.receive(netip.MustParseAddr("127.2.9.9"), relay.Message{Kind: relay.KindDigest})
	for range 2 * listRoundInterval {
		r.c.Assert(r.directives(), qt.HasLen, 0)
		time.Advance(digestInterval)
		r.node.digests.sendRound(time.Now())
	}
}

// Guards against an evacuation that reaches few of many hosts at once, or is not repeated
// for hosts that have missed it, and against one that is repeated without end.
func TestEvacuationSpreads(t *testing.T) {
	r, time := newEvacuationRecorder(t)
	const balancers, sidecars = 40, 30
	r.markSeen(balancers, sidecars)
	r.node.applyEvacuations(configuration.Document{Evacuations: evacuated(7)}, false)
	sent := r.directives()
	r.c.Assert(len(sent) > spreadPeers && len(sent) <= spreadPeers+sidecars, qt.IsTrue, qt.Commentf("%d", len(sent)))
	r.c.Assert(sent[0].Evacuations, qt.DeepEquals, evacuated(7))
	r.node.applyEvacuations(configuration.Document{Evacuations: evacuated(7)}, false)
	r.c.Assert(r.directives(), qt.HasLen, 0)
	round := func() int {
		time.Advance(digestInterval)
		r.node.digests.sendRound(time.Now())
		return len(r.directives())
	}
	const size = datagramHeaderSize + 12 + 18 + len("hope")
	r.c.Assert(round(), qt.Equals, directivesBudget/size)
	r.node.applyEvacuations(configuration.Document{Evacuations: withdrawn(8)}, false)
	r.c.Assert(r.directives()[0].Evacuations, qt.DeepEquals, withdrawn(8))
	const rounds = int(clock.Minute/digestInterval) - 1
	for range rounds {
		r.c.Assert(round(), qt.Equals, directivesBudget/size)
	}
	r.c.Assert(round(), qt.Equals, 0)
}

// Guards against a balancer that does not learn from peers while the store turns it away,
// that does not tell those that know less, and whose log does not name the source.
func TestBalancerLearnsFromPeers(t *testing.T) {
	r, time := newEvacuationRecorder(t)
	core, logs := observer.New(zap.InfoLevel)
	r.node.logger = zap.New(core)
	peer := netip.MustParseAddr("127.2.0.1")
	r.receive(netip.MustParseAddr("127.3.0.1"), report("hope", false))
	r.c.Assert(r.node.machine.UsableSidecars(time.Now()), qt.Equals, 1)
	r.receive(peer, relay.Message{Kind: relay.KindDirectives, Directives: relay.Directives{Evacuations: evacuated(7)}})
	r.c.Assert(r.node.evacuations.Evacuated("hope"), qt.IsTrue)
	r.c.Assert(r.node.machine.UsableSidecars(time.Now()), qt.Equals, 0)
	r.directives() // The peer and the sidecar are live and are told.
	r.receive(peer, relay.Message{Kind: relay.KindDirectives, Directives: relay.Directives{Evacuations: withdrawn(6)}})
	r.c.Assert(r.directives(), qt.DeepEquals, []relay.Directives{{Evacuations: evacuated(7)}})
	r.receive(peer, relay.Message{Kind: relay.KindDirectives, Directives: relay.Directives{Evacuations: withdrawn(6)}})
	r.c.Assert(r.directives(), qt.HasLen, 0)
	time.Advance(directivesInterval)
	r.receive(peer, relay.Message{Kind: relay.KindDirectives})
	r.c.Assert(r.directives(), qt.HasLen, 1)
	r.receive(peer, relay.Message{Kind: relay.KindDirectives, Directives: relay.Directives{Evacuations: withdrawn(8)}})
	r.c.Assert(r.node.machine.UsableSidecars(time.Now()), qt.Equals, 1)
	var events []string
	for _, entry := range logs.All() {
		if strings.HasPrefix(entry.Message, "evacuation-") {
			fields := entry.ContextMap()
			events = append(events, fmt.Sprint(entry.Message, " ", fields["evacuated-data-centre"], " ", fields["revision"], " ", fields["epoch"], " ", fields["source"]))
		}
	}
	r.c.Assert(events, qt.DeepEquals, []string{"evacuation-began hope 7 2 peer", "evacuation-ended hope 8 2 peer"})
}

// Guards against a restarted sidecar that is not told of the evacuation at its first report,
// against one that knows more than the balancer and is not asked, and against a message for
// every report.
func TestReportThatDisagreesIsAnswered(t *testing.T) {
	r, time := newEvacuationRecorder(t)
	host := netip.MustParseAddr("127.3.0.1")
	r.node.applyEvacuations(configuration.Document{Evacuations: evacuated(7)}, false)
	r.directives()
	r.receive(host, report("hope", false))
	r.c.Assert(r.directives(), qt.HasLen, 2) // It has appeared, and it disagrees.
	r.receive(host, report("hope", false))
	r.c.Assert(r.directives(), qt.HasLen, 0)
	time.Advance(directivesInterval)
	r.receive(host, report("hope", false))
	r.c.Assert(r.directives(), qt.HasLen, 1)
	time.Advance(directivesInterval)
	r.receive(host, report("hope", true))
	r.receive(host, report("surrey", false))
	r.c.Assert(r.directives(), qt.HasLen, 0)
	r.receive(host, relay.Message{Kind: relay.KindRefused, Reason: relay.ReasonEvacuated})
	r.c.Assert(r.directives(), qt.HasLen, 1)
	other := netip.MustParseAddr("127.3.0.2")
	r.node.evacuations = evacuation.Set{}
	r.receive(other, report("hope", true))
	r.c.Assert(r.directives(), qt.DeepEquals, []relay.Directives{{}})
}

// Guards against a balancer that starts while the store is away, gets the configuration of a
// peer, and places flows in a data centre that this peer knows to be evacuated.
func TestPeerConfigurationCarriesEvacuations(t *testing.T) {
	c := qt.New(t)
	first, _ := newEvacuationRecorder(t)
	first.node.evacuations.Merge(0, evacuated(7))
	first.node.machine.SetTable(0, route.NewTable(route.Config{Version: 3, Document: []byte(`{"version":3}`)}))
	invalid := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if invalid != "" {
			w.Header().Set(evacuationsHeader, invalid)
			_, _ = io.WriteString(w, `{"version":4}`)
			return
		}
		first.node.serveConfiguration(w, request)
	}))
	c.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	second, _ := newEvacuationRecorder(t)
	second.node.httpClient = server.Client()
	second.node.settings.RelayAddress = netip.AddrPortFrom(second.node.settings.RelayAddress.Addr(), address.Port())
	second.node.fetchConfiguration(context.Background(), configuration.Fetch{Peer: address.Addr(), Version: 3})
	c.Assert(second.node.machine.Table().Version(), qt.Equals, uint64(3))
	c.Assert(second.node.evacuations.Records(), qt.DeepEquals, evacuated(7))
	for _, invalid = range []string{"?", base64.StdEncoding.EncodeToString([]byte{byte(relay.KindDirectives)})} {
		second.node.fetchConfiguration(context.Background(), configuration.Fetch{Peer: address.Addr(), Version: 4})
	}
	c.Assert(second.node.machine.Table().Version(), qt.Equals, uint64(4))
	c.Assert(second.node.evacuations.Records(), qt.DeepEquals, evacuated(7))
}

// newEvacuatedSidecar returns a recorder whose messages come from a sidecar in the data centre
// hope with a live balancer.
func newEvacuatedSidecar(t *testing.T) (*digestRecorder, *sidecarNode) {
	r, time := newEvacuationRecorder(t)
	b := r.node.base
	b.settings.DataCentre = "hope"
	n := &sidecarNode{
		setWarmup: func(float64, clock.Millis) {},
		base:      b, machine: sidecar.New(sidecar.Config{}), registration: registration.New(registration.Config{}), drainRestored: true,
	}
	n.machine.Accept()
	n.balancers.MarkSeen(time.Now(), netip.MustParseAddr("127.2.0.1"), clock.Minute)
	return r, n
}

// Guards against a sidecar that goes on accepting new flows after it was told of the
// evacuation of its data centre, that does not tell balancers at once, that takes another
// data centre for its own, or that is kept closed by an older record.
func TestSidecarFollowsDirectives(t *testing.T) {
	r, n := newEvacuatedSidecar(t)
	from := netip.MustParseAddr("127.2.0.1")
	other := []evacuation.Record{{DataCentre: "surrey", Evacuated: true, Revision: store.Revision{Epoch: 2, Number: 3}}}
	for _, step := range []struct {
		records   []evacuation.Record
		evacuated bool
		replies   int
	}{
		{other, false, 0},
		{append(evacuated(7), other...), true, 0},
		{append(withdrawn(6), other...), true, 1},
		{append(withdrawn(8), other...), false, 0},
		{append(evacuated(7), other...), false, 1},
	} {
		n.directedAt = nil
		before := n.machine.Evacuated()
		n.handleDirectives(0, from, relay.Directives{Version: 1, Evacuations: step.records})
		r.c.Assert(n.machine.Accepting(), qt.Equals, !step.evacuated)
		r.c.Assert(n.ready(), qt.IsTrue)
		var reports, replies int
		for _, m := range r.take() {
			switch m.Kind {
			case relay.KindReport:
				reports++
				r.c.Assert(m.Report.Evacuated, qt.Equals, step.evacuated)
				r.c.Assert(m.Report.Accepting, qt.Equals, !step.evacuated)
			case relay.KindDirectives:
				replies++
			}
		}
		r.c.Assert(reports, qt.Equals, map[bool]int{true: 1}[before != step.evacuated])
		r.c.Assert(replies, qt.Equals, step.replies)
	}
}

// Guards against a warm-up rate of an older configuration, or of a sender without one, and
// against a rate that does not reach the machine.
func TestWarmupRateFollowsNewestVersion(t *testing.T) {
	r, n := newEvacuatedSidecar(t)
	var rates []float64
	n.setWarmup = func(rate float64, _ clock.Millis) { rates = append(rates, rate) }
	for _, d := range []relay.Directives{{Version: 3, WarmupRate: 20}, {Version: 2, WarmupRate: 9}, {WarmupRate: 9}, {Version: 3, WarmupRate: 20}, {Version: 4}} {
		n.handleDirectives(0, netip.MustParseAddr("127.2.0.1"), d)
	}
	r.c.Assert(rates, qt.DeepEquals, []float64{20, 20, 0})
}

// Guards against sidecars that do not learn of a warm-up rate or of its end.
func TestWarmupRatesSpread(t *testing.T) {
	r, _ := newEvacuationRecorder(t)
	r.node.warmupRate = func(table *route.Table, _ identity.ServiceID) float64 {
		return map[uint64]float64{2: 12.5}[table.Version()]
	}
	r.receive(netip.MustParseAddr("127.3.0.1"), report("hope", false))
	var sent []relay.Directives
	for version := range 4 {
		r.c.Assert(r.node.applyConfiguration(sourceStore, fmt.Appendf(nil, `{"version":%d}`, version+1)), qt.IsNil)
		sent = append(sent, r.directives()...)
	}
	r.c.Assert(sent, qt.DeepEquals, []relay.Directives{{Version: 2, WarmupRate: 12.5}, {Version: 3}})
}

// awaitEvacuated reads the metrics of a process until it knows the given number of evacuated
// data centres.
func (s *system) awaitEvacuated(host netip.Addr, count int) {
	expected := fmt.Sprintf("\norioledyke_flow_evacuated_data_centres %d\n", count)
	for s.ctx.Err() == nil {
		response, err := http.Get("http://" + s.at(host, 3).String() + "/metrics")
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		s.c.Assert(err, qt.IsNil)
		_ = response.Body.Close()
		if strings.Contains(string(body), expected) {
			return
		}
	}
	s.c.Fatalf("%s does not know %d evacuated data centres", host, count)
}

// openRequest returns the first packet of a flow from a port of the client.
func (s *system) openRequest(port uint16) []byte {
	request := platform.EncodeReset(segment.NewKey(netip.MustParseAddrPort("198.18.0.1:443"), netip.AddrPortFrom(s.client, port)), 7)
	request[0] = 32
	return request
}

// Guards against parts that work alone but not together: the operator's key goes from the
// store through a balancer to another balancer, which the store turns away and which starts
// later, and to the sidecar. New flows are refused until the key is removed.
func TestEvacuationThroughProcesses(t *testing.T) {
	s := newSystem(t)
	model := metadata.NewServer()
	model.Update(func(state *metadata.Store) {
		state.Put("op/config", base64.StdEncoding.EncodeToString([]byte(
			`{"version":4,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/","kind":"idempotent","service":"portal"}]}`)))
	})
	serve := func(handler http.Handler) netip.AddrPort {
		server := httptest.NewServer(handler)
		s.c.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		return netip.MustParseAddrPort(server.Listener.Addr().String())
	}
	working := serve(model.Handler())
	refusing := serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	upstream, client := s.listen(s.at(s.sidecar, 5)), s.listen(s.at(s.client, 1))
	listener, err := net.Listen("tcp4", s.at(s.sidecar, 5).String())
	s.c.Assert(err, qt.IsNil)
	defer listener.Close()
	second := netip.MustParseAddr("127.0.0.14")
	s.store = working
	stopFirst := start(s, s.settingsFile(settings.RoleFlowBalancer, s.balancer, ""), RunBalancer)
	stopSidecar := start(s, s.settingsFile(settings.RoleFlowSidecar, s.sidecar, fmt.Sprintf(
		"service: portal\nupstream-address: %s\noutbound-address: %s\ncontrol-address: %s\nheartbeat-interval: 60s\n",
		s.at(s.sidecar, 5), s.at(s.sidecar, 6), s.at(s.sidecar, 7))), RunSidecar)
	s.await(s.at(s.sidecar, 2), http.StatusServiceUnavailable)
	s.heartbeat("ready")
	s.await(s.at(s.balancer, 2), http.StatusOK)

	model.Update(func(state *metadata.Store) { state.Put("op/evacuate/hope", "e30=") })
	s.awaitEvacuated(s.balancer, 1)
	s.awaitEvacuated(s.sidecar, 1)
	s.store = refusing
	stopSecond := start(s, s.settingsFile(settings.RoleFlowBalancer, second, ""), RunBalancer)
	s.awaitEvacuated(second, 1)
	s.await(s.at(second, 2), http.StatusOK)
	for i, host := range []netip.Addr{s.balancer, second} {
		s.send(client, s.openRequest(uint16(4000+i)), s.at(host, 1))
		s.c.Assert(s.read(client)[0]&1, qt.Equals, byte(1))
	}

	model.Update(func(state *metadata.Store) {
		s.c.Assert(state.Transact(metadata.Transaction{Remove: []string{"op/evacuate/hope"}}), qt.Equals, metadata.Done)
	})
	for i, host := range []netip.Addr{s.balancer, second} {
		s.awaitEvacuated(host, 0)
		s.awaitEvacuated(s.sidecar, 0)
		request := s.openRequest(uint16(4002 + i))
		s.send(client, request, s.at(host, 1))
		s.c.Assert(s.read(upstream), qt.DeepEquals, request)
	}
	s.heartbeat("draining")
	stopSidecar()
	stopSecond()
	stopFirst()
}

// Guards against a balancer that has missed the end or the beginning of an evacuation with
// the history of the store, and against an evacuation that ends because the store was
// restored from a copy without its key.
func TestEvacuationIsReadAgain(t *testing.T) {
	r, time := newEvacuationRecorder(t)
	model := metadata.NewServer()
	server := httptest.NewServer(model.Handler())
	r.c.Cleanup(server.Close)
	r.node.store = platform.NewStore(netip.MustParseAddrPort(server.Listener.Addr().String()), func(store.Epoch) {})
	follower := configuration.New(configuration.Config{
		Read: r.node.readConfiguration, Watch: r.node.watchConfiguration, ApplyEvacuations: r.node.applyEvacuations,
		WatchTimeout: func() clock.Millis { return 1 }, Apply: func([]byte) error { return nil },
	})
	var older *metadata.Store
	model.Update(func(state *metadata.Store) {
		state.Put("op/config", "")
		older = state.Copy()
	})
	put := func(state *metadata.Store) { state.Put("op/evacuate/hope", "e30=") }
	remove := func(state *metadata.Store) {
		state.Transact(metadata.Transaction{Remove: []string{"op/evacuate/hope"}})
	}
	for _, step := range []struct {
		change    func(*metadata.Store)
		after     clock.Millis
		evacuated bool
	}{
		{func(*metadata.Store) {}, 0, false},
		{func(state *metadata.Store) { put(state); state.Compact() }, 0, true},
		{func(state *metadata.Store) { remove(state); state.Compact() }, 0, false},
		{put, 0, true},
		{func(state *metadata.Store) { state.Restore(older); state.Put("op/other", "") }, 0, true},
		{func(state *metadata.Store) { put(state); remove(state) }, 0, false},
		{put, 0, true},
		{func(state *metadata.Store) { state.Restore(older) }, 59 * clock.Second, true},
		{func(*metadata.Store) {}, clock.Second, false},
	} {
		model.Update(step.change)
		for range 3 {
			r.c.Assert(follower.Step(context.Background()), qt.IsNil)
		}
		time.Advance(step.after)
		r.node.evacuationsUpdated(time.Now(), sourceStore, r.node.evacuations.Tick(time.Now()))
		r.c.Assert(r.node.evacuations.Evacuated("hope"), qt.Equals, step.evacuated)
	}
}
