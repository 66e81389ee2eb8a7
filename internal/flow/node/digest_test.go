package node

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/configuration"
	"github.com/orioledyke/orioledyke/internal/flow/evacuation"
	"github.com/orioledyke/orioledyke/internal/flow/peerset"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// datagramRecorder receives the messages that a process sends to any loopback address.
type datagramRecorder struct {
	c        *qt.C
	listener *net.UDPConn
	sender   *net.UDPConn
}

func newDatagramRecorder(t *testing.T) *datagramRecorder {
	r := &datagramRecorder{c: qt.New(t)}
	var err error
	r.listener, err = net.ListenUDP("udp4", &net.UDPAddr{})
	r.c.Assert(err, qt.IsNil)
	r.c.Cleanup(func() { _ = r.listener.Close() })
	r.sender, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	r.c.Assert(err, qt.IsNil)
	r.c.Cleanup(func() { _ = r.sender.Close() })
	return r
}

// port returns the port to which the process sends.
func (r *datagramRecorder) port() uint16 {
	return r.listener.LocalAddr().(*net.UDPAddr).AddrPort().Port()
}

// take returns the messages since the last call. Datagrams over loopback stay in order, so a
// datagram of a single byte to the listener marks their end.
func (r *datagramRecorder) take() []relay.Message {
	_, err := r.sender.WriteToUDPAddrPort([]byte{0}, netip.AddrPortFrom(netip.MustParseAddr("127.1.0.1"), r.port()))
	r.c.Assert(err, qt.IsNil)
	var messages []relay.Message
	buffer := make([]byte, relay.MaxMessage)
	for {
		n, _, err := r.listener.ReadFromUDPAddrPort(buffer)
		r.c.Assert(err, qt.IsNil)
		if n == 1 && buffer[0] == 0 {
			return messages
		}
		m, err := relay.Decode(buffer[:n])
		r.c.Assert(err, qt.IsNil)
		messages = append(messages, m)
	}
}

// digestRecorder receives the digests that a balancer sends to any loopback address.
type digestRecorder struct {
	*datagramRecorder
	node *balancerNode
}

func newDigestRecorder(t *testing.T) *digestRecorder {
	r := &digestRecorder{datagramRecorder: newDatagramRecorder(t)}
	self := netip.AddrPortFrom(netip.MustParseAddr("127.1.0.1"), r.port())
	r.node = &balancerNode{
		warmupRate: (*route.Table).WarmupRate,
		base: &base{
			settings: settings.FlowProcess{RelayAddress: self}, relayConn: r.sender, clock: clock.System(),
			balancers: peerset.New(self.Addr()),
		},
		sidecars: peerset.New(self.Addr()),
		machine:  balancer.New(balancer.Config{}),
	}
	r.node.digests = &digests{node: r.node}
	return r
}

// messages returns the messages of one round.
func (r *digestRecorder) messages(now clock.Millis) []relay.Message {
	r.node.digests.sendRound(now)
	return r.take()
}

// round returns the digests of one round.
func (r *digestRecorder) round(now clock.Millis) []relay.Digest {
	var digests []relay.Digest
	for _, m := range r.messages(now) {
		if m.Kind == relay.KindDigest {
			digests = append(digests, m.Digest)
		}
	}
	return digests
}

// markSeen makes the given numbers of balancers and sidecars live.
func (r *digestRecorder) markSeen(balancers, sidecars int) {
	for i := range balancers {
		r.node.balancers.MarkSeen(0, netip.AddrFrom4([4]byte{127, 2, byte(i >> 8), byte(i)}), clock.Minute)
	}
	for i := range sidecars {
		r.node.sidecars.MarkSeen(0, netip.AddrFrom4([4]byte{127, 3, byte(i >> 8), byte(i)}), clock.Minute)
	}
}

// controlBudget is the users' target for the control traffic of one node, in bytes a second.
const controlBudget = 8 << 10

// Guards against control traffic that grows with the number of hosts, also while a restore
// of the store or evacuations are announced, and against digests that state a wrong interval
// to the next digest or report.
func TestDigestsAreBounded(t *testing.T) {
	for name, prepare := range map[string]func(*balancerNode){
		"calm":               func(*balancerNode) {},
		"restore":            func(n *balancerNode) { n.digests.announceUntil = clock.Minute },
		"1 evacuation":       func(n *balancerNode) { evacuateMany(n, 1) },
		"11 evacuations":     func(n *balancerNode) { evacuateMany(n, 11) },
		"restore, evacuated": func(n *balancerNode) { evacuateMany(n, 11); n.digests.announceUntil = clock.Minute },
	} {
		t.Run(name, func(t *testing.T) { checkDigestsAreBounded(t, prepare) })
	}
}

// evacuateMany lets a balancer know a number of evacuated data centres.
func evacuateMany(n *balancerNode, count int) {
	for i := range count {
		n.evacuations.Merge(0, []evacuation.Record{{DataCentre: fmt.Sprintf("fraser-valley-%d", i), Evacuated: true}})
	}
}

func checkDigestsAreBounded(t *testing.T, prepare func(*balancerNode)) {
	r := newDigestRecorder(t)
	prepare(r.node)
	const balancers, sidecars = 500, 4700
	r.markSeen(balancers, sidecars)
	total, bytes := 0, 0
	const rounds = 40
	for i := range rounds {
		now := clock.Millis(i) * digestInterval
		for _, m := range r.messages(now) {
			data, err := m.Append(nil)
			r.c.Assert(err, qt.IsNil)
			bytes += datagramHeaderSize + len(data)
			if m.Kind != relay.KindDigest {
				continue
			}
			total++
			d := m.Digest
			r.c.Assert(d.Interval, qt.Equals, digestInterval*clock.Millis(peerset.Rounds(balancers+sidecars, digestsPerRound)))
			r.c.Assert(d.ReportInterval, qt.Equals, sidecars*reportIntervalPerSidecar)
		}
	}
	r.c.Assert(total >= rounds*digestsPerRound, qt.IsTrue)
	seconds := rounds * int(digestInterval) / int(clock.Second)
	report := relay.Message{Kind: relay.KindReport, Report: relay.Report{DataCentre: "fraser-valley"}}
	data, err := report.Append(nil)
	r.c.Assert(err, qt.IsNil)
	reports := sidecars * seconds * int(clock.Second) / int(sidecars*reportIntervalPerSidecar)
	bytes += reports * (len(data) + datagramHeaderSize)
	t.Logf("%d bytes a second", bytes/seconds)
	r.c.Assert(bytes <= seconds*controlBudget, qt.IsTrue, qt.Commentf("%d bytes in %d s", bytes, seconds))
}

// Guards against hosts of a small system that do not get a digest in each round.
func TestSmallSystemGetsDigestsEachRound(t *testing.T) {
	r := newDigestRecorder(t)
	r.markSeen(7, 10)
	for i := range listRoundInterval - 1 {
		r.c.Assert(r.round(clock.Millis(i)*digestInterval), qt.HasLen, 17)
	}
}

// Guards against digests of further versions that defer the fetch of a version that the
// store does not deliver.
func TestDigestsOfStormLeadToFetch(t *testing.T) {
	r := newDigestRecorder(t)
	n := r.node
	var time clock.Manual
	n.clock, n.logger = time.Clock(), zap.NewNop()
	n.versions, n.fetchDue = configuration.NewPeers(), make(chan struct{}, 1)
	n.machine.SetTable(0, route.NewTable(route.Config{Version: 1}))
	n.versions.Applied(0, 1, false)
	peer := netip.MustParseAddr("127.2.0.1")
	const applyLimit = 4 * clock.Second
	for version := uint64(2); len(n.fetchDue) == 0; version++ {
		time.Advance(100)
		r.c.Assert(time.Now() <= applyLimit, qt.IsTrue)
		n.handleDigest(time.Now(), peer, relay.Digest{Version: version})
		if time.Now()%digestInterval == 0 {
			n.sendDigests(context.Background())
		}
	}
}

// Guards against a balancer with an old configuration whose log does not show it, or shows
// it with each digest.
func TestBehindIsLoggedOnce(t *testing.T) {
	r := newDigestRecorder(t)
	n := r.node
	var time clock.Manual
	core, logs := observer.New(zap.WarnLevel)
	n.clock, n.logger = time.Clock(), zap.New(core)
	n.versions, n.fetchDue = configuration.NewPeers(), make(chan struct{}, 1)
	n.machine.SetTable(0, route.NewTable(route.Config{Version: 3}))
	n.versions.Applied(0, 3, false)
	n.handleDigest(0, netip.MustParseAddr("127.2.0.1"), relay.Digest{Version: 5})
	for range 10 {
		time.Advance(digestInterval)
		n.sendDigests(context.Background())
	}
	behind := logs.FilterMessage("configuration-behind").All()
	r.c.Assert(behind, qt.HasLen, 1)
	r.c.Assert(behind[0].ContextMap(), qt.DeepEquals, map[string]any{
		"version": uint64(3), "newest": uint64(5), "behind-ms": int64(1500), "store-silent-ms": int64(1500),
	})
}
