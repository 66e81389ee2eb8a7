package balancer_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/platform"
)

// Guards against a sidecar of weight 0 that gets more than trial flows or none at all, and
// against refusing flows while only such sidecars are usable.
func TestSidecarOfWeightZeroGetsTrialFlowsOnly(t *testing.T) {
	c := qt.New(t)
	ejected := sidecars[0]
	var to netip.AddrPort
	b := balancer.New(balancer.Config{
		Decode:    func(data []byte) (segment.Segment, error) { return platform.DecodeSegment(data, false) },
		Reset:     platform.EncodeReset,
		ToSidecar: func(recipient netip.AddrPort, _ []byte) { to = recipient },
		ToClient:  func(netip.Addr, []byte) {},
		Random:    func(int) int { return 0 },
		Weight: func(sidecar netip.AddrPort) float64 {
			if sidecar == ejected {
				return 0
			}
			return 1
		},
	})
	b.SetTable(0, route.NewTable(route.Config{Version: 1, Routes: []route.Route{
		{Address: serviceAddress, Targets: []route.Target{{Service: portal, Weight: 1}}, Repeatable: true, LatencyGoal: 120},
	}}))
	counts := map[netip.AddrPort]int{}
	play := func(from, until clock.Millis, members ...netip.AddrPort) {
		for now := from; now < until; now += 20 {
			for _, sidecar := range members {
				b.HandleSidecar(now, sidecar, relay.Message{Kind: relay.KindReport, Report: relay.Report{Service: portal, Accepting: true, Slots: 3}})
			}
			b.HandleClient(now, packetFrom(uint16(now+1), openFlags, 0, 0))
			counts[to]++
			b.HandleSidecar(now, to, relay.Message{Kind: relay.KindAccepted, Key: keyFrom(uint16(now + 1))})
		}
	}
	play(20, 20_000, sidecars...)
	// One trial flow every 4 s, 20 intervals of 200 ms.
	c.Assert(counts[ejected], qt.Equals, 5)
	c.Assert(counts[sidecars[1]]+counts[sidecars[2]], qt.Equals, 999-5)
	for _, sidecar := range sidecars[1:] {
		b.HandleSidecar(20_000, sidecar, relay.Message{Kind: relay.KindReport, Report: relay.Report{Service: portal}})
	}
	clear(counts)
	play(20_020, 21_020, ejected)
	c.Assert(counts[ejected], qt.Equals, 50)
}
