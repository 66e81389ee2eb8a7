package balancer_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/platform"
)

// Sizes of the target.
const (
	targetRoutes   = 1300
	targetSidecars = 4700
	targetFlows    = 10_000
	// batch is the number of packets that are sent before they are timed. Socket
	// buffers hold them.
	batch = 32
)

// newTargetBalancer returns a balancer of the target's size, and packets of open flows.
func newTargetBalancer(send func([]byte)) (*balancer.Balancer, [][]byte) {
	m := balancer.New(balancer.Config{
		Decode:    func(data []byte) (segment.Segment, error) { return platform.DecodeSegment(data, false) },
		Reset:     platform.EncodeReset,
		ToSidecar: func(_ netip.AddrPort, data []byte) { send(data) },
		ToClient:  func(netip.Addr, []byte) {},
		Random:    func(int) int { return 0 },
	})
	var routes []route.Route
	for i := range targetRoutes {
		routes = append(routes, route.Route{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			Targets: []route.Target{{Service: platform.ServiceID("portal"), Weight: 1}},
		})
	}
	m.SetTable(route.NewTable(route.Config{Version: 1, Routes: routes}))
	var hosts []netip.AddrPort
	for i := range targetSidecars {
		hosts = append(hosts, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 7000))
		m.HandleSidecar(0, hosts[i], relay.Message{Kind: relay.KindReport, Report: relay.Report{Service: platform.ServiceID("portal")}})
	}
	packets := make([][]byte, targetFlows)
	for i := range packets {
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 40001)
		key := segment.NewKey(from, routes[i%targetRoutes].Address)
		packets[i] = append(platform.EncodeReset(segment.NewKey(key.Service(), key.Client()), 7), make([]byte, 1000)...)
		packets[i][0], packets[i][24], packets[i][25] = ackFlags, 0xe8, 3
		m.HandleSidecar(0, hosts[i%targetSidecars], relay.Message{Kind: relay.KindClaimed, Key: key})
	}
	return m, packets
}

// BenchmarkForwardKnownFlow measures the decision about a packet of an open flow at
// the size of the target.
func BenchmarkForwardKnownFlow(b *testing.B) {
	sent := 0
	m, packets := newTargetBalancer(func([]byte) { sent++ })
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		m.HandleClient(clock.Millis(i/1000), packets[i%targetFlows])
	}
	if sent != b.N {
		b.Fatalf("%d of %d packets were forwarded", sent, b.N)
	}
}

// BenchmarkForwardSockets compares the balancer with a bare relay over the same sockets.
// Only receiving, deciding and sending is timed.
func BenchmarkForwardSockets(b *testing.B) {
	c := qt.New(b)
	listen := func() *net.UDPConn {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	client, entry, sink := listen(), listen(), listen()
	target, address := sink.LocalAddr().(*net.UDPAddr).AddrPort(), entry.LocalAddr().(*net.UDPAddr).AddrPort()
	send := func(data []byte) {
		_, err := entry.WriteToUDPAddrPort(data, target)
		c.Assert(err, qt.IsNil)
	}
	m, packets := newTargetBalancer(send)
	buffer := make([]byte, platform.MaxSegmentSize+1)
	discard := make([]byte, relay.MaxMessage)
	measure := func(first int, handle func([]byte)) time.Duration {
		for i := range batch {
			_, err := client.WriteToUDPAddrPort(packets[(first+i)%targetFlows], address)
			c.Assert(err, qt.IsNil)
		}
		began := time.Now()
		for range batch {
			n, _, err := entry.ReadFromUDPAddrPort(buffer)
			c.Assert(err, qt.IsNil)
			handle(buffer[:n])
		}
		elapsed := time.Since(began)
		for range batch {
			_, _, err := sink.ReadFromUDPAddrPort(discard)
			c.Assert(err, qt.IsNil)
		}
		return elapsed
	}
	var relayTime, forwardTime time.Duration
	first := 0
	for b.Loop() {
		relayTime += measure(first, send)
		forwardTime += measure(first, func(packet []byte) { m.HandleClient(clock.Millis(first/1000), packet) })
		first += batch
	}
	b.ReportMetric(float64(first)/relayTime.Seconds(), "relay-datagrams/s")
	b.ReportMetric(float64(first)/forwardTime.Seconds(), "balancer-datagrams/s")
	b.ReportMetric(relayTime.Seconds()/forwardTime.Seconds(), "ratio")
}
