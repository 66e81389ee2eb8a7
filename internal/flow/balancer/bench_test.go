package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/platform"
)

// Size of the deployment that the benchmarks model.
const (
	targetRoutes   = 1300
	targetSidecars = 4700
	targetFlows    = 10_000
	// batchSize is the number of packets that the client sends before the timer starts.
	// Socket buffers must hold them.
	batchSize = 32
)

// newTargetBalancer returns a balancer with the target numbers of routes, sidecars and
// open flows, and one packet of each flow. send receives the forwarded datagrams.
func newTargetBalancer(send func([]byte)) (*balancer.Balancer, [][]byte) {
	lb := balancer.New(balancer.Config{
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
	lb.SetTable(0, route.NewTable(route.Config{Version: 1, Routes: routes}))
	var hosts []netip.AddrPort
	for i := range targetSidecars {
		hosts = append(hosts, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 7000))
		lb.HandleSidecar(0, hosts[i], relay.Message{Kind: relay.KindReport, Report: relay.Report{Service: platform.ServiceID("portal")}})
	}
	packets := make([][]byte, targetFlows)
	for i := range packets {
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 40001)
		key := segment.NewKey(from, routes[i%targetRoutes].Address)
		packets[i] = append(platform.EncodeReset(segment.NewKey(key.Service(), key.Client()), 7), make([]byte, 1000)...)
		// Sets the flags, and the length of the data to 1000 bytes.
		packets[i][0], packets[i][24], packets[i][25] = ackFlags, 0xe8, 3
		lb.HandleSidecar(0, hosts[i%targetSidecars], relay.Message{Kind: relay.KindClaimed, Key: key})
	}
	return lb, packets
}

// BenchmarkForwardKnownFlow measures the decision about a packet of an open flow at the
// target size.
func BenchmarkForwardKnownFlow(b *testing.B) {
	sent := 0
	lb, packets := newTargetBalancer(func([]byte) { sent++ })
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		lb.HandleClient(clock.Millis(i/1000), packets[i%targetFlows])
	}
	if sent != b.N {
		b.Fatalf("%d of %d packets were forwarded", sent, b.N)
	}
}

// BenchmarkForwardSockets compares the balancer with a plain relay over the same sockets.
// It times only receiving, deciding and sending.
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
	lb, packets := newTargetBalancer(send)
	buffer := make([]byte, platform.MaxSegmentSize+1)
	discard := make([]byte, relay.MaxMessage)
	measure := func(first int, handle func([]byte)) time.Duration {
		for i := range batchSize {
			_, err := client.WriteToUDPAddrPort(packets[(first+i)%targetFlows], address)
			c.Assert(err, qt.IsNil)
		}
		start := time.Now()
		for range batchSize {
			n, _, err := entry.ReadFromUDPAddrPort(buffer)
			c.Assert(err, qt.IsNil)
			handle(buffer[:n])
		}
		elapsed := time.Since(start)
		for range batchSize {
			_, _, err := sink.ReadFromUDPAddrPort(discard)
			c.Assert(err, qt.IsNil)
		}
		return elapsed
	}
	var relayTime, forwardTime time.Duration
	first := 0
	for b.Loop() {
		relayTime += measure(first, send)
		forwardTime += measure(first, func(packet []byte) { lb.HandleClient(clock.Millis(first/1000), packet) })
		first += batchSize
	}
	b.ReportMetric(float64(first)/relayTime.Seconds(), "relay-datagrams/s")
	b.ReportMetric(float64(first)/forwardTime.Seconds(), "balancer-datagrams/s")
	b.ReportMetric(relayTime.Seconds()/forwardTime.Seconds(), "ratio")
}

// BenchmarkPlaceNewFlow measures the decision about a new flow, with the copy of its packet
// and the response of the sidecar: with all sidecars in one service, and with as many
// services as routes.
func BenchmarkPlaceNewFlow(b *testing.B) {
	for name, services := range map[string]int{"one-service": 1, "service-for-each-route": targetRoutes} {
		b.Run(name, func(b *testing.B) { benchmarkPlacement(b, services) })
	}
}

func benchmarkPlacement(b *testing.B, services int) {
	var to netip.AddrPort
	random := rand.New(rand.NewPCG(1, 1))
	lb := balancer.New(balancer.Config{
		DataCentre: "dc-0",
		Decode:     func(data []byte) (segment.Segment, error) { return platform.DecodeSegment(data, false) },
		Reset:      platform.EncodeReset,
		ToSidecar:  func(recipient netip.AddrPort, _ []byte) { to = recipient },
		ToClient:   func(netip.Addr, []byte) {},
		Random:     random.IntN,
	})
	service := func(i int) identity.ServiceID { return platform.ServiceID(fmt.Sprint("service-", i%services)) }
	var routes []route.Route
	for i := range targetRoutes {
		routes = append(routes, route.Route{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			Targets: []route.Target{{Service: service(i), Weight: 1}}, LatencyGoal: 250,
		})
	}
	lb.SetTable(0, route.NewTable(route.Config{Version: 1, Routes: routes}))
	for i := range targetSidecars {
		host := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 7000)
		lb.HandleSidecar(0, host, relay.Message{Kind: relay.KindReport, Report: relay.Report{
			Service: service(i), DataCentre: fmt.Sprint("dc-", i%11), Accepting: true, Slots: 2, Interval: 5000,
			Load: relay.Load{Active: uint16(i % 4)}, Work: relay.Work{Known: true, ServiceTime: 30},
		}})
	}
	keys, packets := make([]segment.Key, targetFlows), make([][]byte, targetFlows)
	for i := range packets {
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 40001)
		keys[i] = segment.NewKey(from, routes[i%targetRoutes].Address)
		packets[i] = platform.EncodeReset(segment.NewKey(keys[i].Service(), from), 7)
		packets[i][0] = openFlags
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		lb.HandleClient(1, packets[i%targetFlows])
		lb.HandleSidecar(1, to, relay.Message{Kind: relay.KindAccepted, Key: keys[i%targetFlows], Load: relay.Load{Active: 1}})
	}
	if lb.Count(balancer.OutcomeAccepted) != uint64(b.N) {
		b.Fatalf("%d of %d flows were accepted", lb.Count(balancer.OutcomeAccepted), b.N)
	}
}
