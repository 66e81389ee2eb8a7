package balancer_test

import (
	"net/netip"
	"testing"

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
)

// BenchmarkForwardKnownFlow measures the decision about a packet of an open flow at
// the size of the target.
func BenchmarkForwardKnownFlow(b *testing.B) {
	sent := 0
	m := balancer.New(balancer.Config{
		Decode:    func(data []byte) (segment.Segment, error) { return platform.DecodeSegment(data, false) },
		Reset:     platform.EncodeReset,
		ToSidecar: func(netip.AddrPort, []byte) { sent++ },
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
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		m.HandleClient(clock.Millis(i/1000), packets[i%targetFlows])
	}
	if sent != b.N {
		b.Fatalf("%d of %d packets were forwarded", sent, b.N)
	}
}
