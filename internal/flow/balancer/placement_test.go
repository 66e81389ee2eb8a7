package balancer_test

import (
	"fmt"
	"math/rand/v2"
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

const (
	dataCentres   = 3
	perDataCentre = 10
	testSlots     = 3
	flowTime      = 30
)

// placements plays new flows through one balancer in each data centre and counts where
// they go. An upstream works on a flow for flowTime.
type placements struct {
	now       clock.Millis
	balancers []*balancer.Balancer
	active    map[netip.AddrPort]int
	ends      map[clock.Millis][]netip.AddrPort
	// chosen is the sidecar of the last placed flow.
	chosen netip.AddrPort
	flows  uint16
}

func placementAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i / perDataCentre), 0, byte(i%perDataCentre + 1)}), 7000)
}

func newPlacements() *placements {
	p := &placements{now: clock.Second, active: map[netip.AddrPort]int{}, ends: map[clock.Millis][]netip.AddrPort{}}
	random := rand.New(rand.NewPCG(3, 3))
	for d := range dataCentres {
		b := balancer.New(balancer.Config{
			DataCentre: fmt.Sprint("dc-", d),
			Decode:     func(data []byte) (segment.Segment, error) { return platform.DecodeSegment(data, false) },
			Reset:      platform.EncodeReset,
			ToSidecar:  func(to netip.AddrPort, _ []byte) { p.chosen = to },
			ToClient:   func(netip.Addr, []byte) {},
			Random:     random.IntN,
		})
		b.SetTable(p.now, route.NewTable(route.Config{Version: 1, Routes: []route.Route{
			{Address: serviceAddress, Targets: []route.Target{{Service: portal, Weight: 1}}, LatencyGoal: 500, Timeout: 4000},
		}}))
		p.balancers = append(p.balancers, b)
	}
	return p
}

// step lets a millisecond pass. Sidecars report every 200 ms.
func (p *placements) step() {
	p.now++
	for _, address := range p.ends[p.now] {
		p.active[address]--
	}
	delete(p.ends, p.now)
	if p.now%200 != 1 {
		return
	}
	for i := range dataCentres * perDataCentre {
		for _, b := range p.balancers {
			b.HandleSidecar(p.now, placementAddress(i), relay.Message{Kind: relay.KindReport, Report: relay.Report{
				Service: portal, DataCentre: fmt.Sprint("dc-", i/perDataCentre), Accepting: true, Slots: testSlots, AllListed: true,
				Load: relay.Load{Active: uint16(p.active[placementAddress(i)])},
			}})
		}
	}
}

// place opens a flow through the balancer of a data centre. It reports whether the sidecar
// is in the same one and whether it had a free slot.
func (p *placements) place(dataCentre int) (local, free bool) {
	p.flows++
	b := p.balancers[dataCentre]
	b.HandleClient(p.now, packetFrom(p.flows, openFlags, 0, 0))
	b.HandleSidecar(p.now, p.chosen, relay.Message{
		Kind: relay.KindAccepted, Key: keyFrom(p.flows), Load: relay.Load{Active: uint16(p.active[p.chosen] + 1)},
	})
	free = p.active[p.chosen] < testSlots
	p.active[p.chosen]++
	p.ends[p.now+flowTime] = append(p.ends[p.now+flowTime], p.chosen)
	return p.chosen.Addr().As4()[1] == byte(dataCentre), free
}

// play places flows that take half of the slots, with the given shares of the data centres
// in tenths. It returns how many were placed, stayed local, and found a free slot.
func (p *placements) play(tenths [dataCentres]int) (placed, local, free int) {
	random := rand.New(rand.NewPCG(5, 5))
	const flowsPerMilli = dataCentres * perDataCentre * testSlots / 2. / flowTime
	for range 4000 {
		p.step()
		for d, share := range tenths {
			for rate := flowsPerMilli * float64(share) / 10; rate > random.Float64(); rate-- {
				isLocal, hasSlot := p.place(d)
				placed++
				if isLocal {
					local++
				}
				if hasSlot {
					free++
				}
			}
		}
	}
	return placed, local, free
}

// Guards against traffic between data centres that the load does not need, and against
// balancers that keep to their own data centre while its upstreams have no free slot.
// Answers an even load and one of which most comes from a single data centre.
func TestPlacementPrefersOwnDataCentre(t *testing.T) {
	c := qt.New(t)
	placed, local, free := newPlacements().play([dataCentres]int{3, 4, 3})
	c.Assert(local*2 > placed, qt.IsTrue, qt.Commentf("%d of %d stayed local", local, placed))
	c.Assert(free*5 > placed*4, qt.IsTrue, qt.Commentf("%d of %d found a free slot", free, placed))
	unevenPlaced, unevenLocal, unevenFree := newPlacements().play([dataCentres]int{8, 1, 1})
	c.Assert(unevenLocal*placed < local*unevenPlaced, qt.IsTrue, qt.Commentf("%d of %d stayed local", unevenLocal, unevenPlaced))
	c.Assert(unevenFree*5 > unevenPlaced*4, qt.IsTrue, qt.Commentf("%d of %d found a free slot", unevenFree, unevenPlaced))
}
