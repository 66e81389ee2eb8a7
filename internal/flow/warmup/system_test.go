package warmup_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/internal/flow/sidecar"
	"github.com/orioledyke/orioledyke/platform"
)

const (
	flagOpens, flagAcknowledges = 32, 128
	warmupRate                  = 20
	// oneWay is the time that a message takes between two hosts.
	oneWay clock.Millis = 2
	// coldFor is how long the upstreams are cold.
	coldFor = clock.Minute
)

var (
	portal         = platform.ServiceID("portal")
	serviceAddress = netip.MustParseAddrPort("198.18.0.1:443")
)

// packet returns the packet that opens a flow, or the upstream's response to it.
func packet(key segment.Key, fromUpstream bool) []byte {
	if fromUpstream {
		raw := platform.EncodeReset(key, 500)
		raw[0] = flagOpens | flagAcknowledges
		binary.LittleEndian.PutUint32(raw[8:], 2)
		return raw
	}
	raw := platform.EncodeReset(segment.NewKey(key.Service(), key.Client()), 1)
	raw[0] = flagOpens
	return raw
}

// system runs balancers and sidecars of one service on a virtual clock.
type system struct {
	c      *qt.C
	now    clock.Millis
	due    map[clock.Millis][]func()
	random *rand.Rand
	// flows, accepted and reset count the new flows and those with an answer.
	balancers []*balancer.Balancer
	sidecars  []*member
	flows     int
	accepted  int
	reset     int
}

// member is a sidecar with its upstream.
type member struct {
	logic       *sidecar.Sidecar
	address     netip.AddrPort
	dataCentre  string
	incarnation identity.OwnerID
	// coldUntil is the end of the upstream's warm-up.
	coldUntil clock.Millis
	// openedAt holds the times at which the upstream got new flows.
	openedAt []clock.Millis
}

func newSystem(t *testing.T, balancers, sidecars int, configuredRate float64) *system {
	s := &system{c: qt.New(t), now: clock.Second, due: map[clock.Millis][]func(){}, random: rand.New(rand.NewPCG(1, uint64(balancers)))}
	for i := range balancers {
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000)
		b := balancer.New(balancer.Config{
			DataCentre: "agassiz", Random: s.random.IntN, Reset: platform.EncodeReset,
			Decode:    func(data []byte) (segment.Segment, error) { return platform.DecodeSegment(data, false) },
			Balancers: func() int { return balancers },
			ToSidecar: func(to netip.AddrPort, data []byte) {
				data = append([]byte(nil), data...)
				s.after(oneWay, func() {
					m, err := relay.Decode(data)
					s.c.Assert(err, qt.IsNil)
					s.sidecars[to.Addr().As4()[3]].logic.HandleMessage(s.now, from, m)
				})
			},
			ToClient: func(netip.Addr, []byte) { s.reset++ },
			Observe: func(e balancer.Event) {
				if e.Outcome == balancer.OutcomeAccepted {
					s.accepted++
				}
			},
		})
		b.SetTable(s.now, route.NewTable(route.Config{
			Version: 1, Services: []route.Service{{ID: portal, WarmupRate: configuredRate}},
			Routes: []route.Route{{Address: serviceAddress, Targets: []route.Target{{Service: portal, Weight: 1}}}},
		}))
		s.balancers = append(s.balancers, b)
	}
	for i := range sidecars {
		m := &member{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}), 7000), dataCentre: fmt.Sprint("dc-", i%2)}
		s.sidecars = append(s.sidecars, m)
		s.startSidecar(m)
		m.logic.Accept()
	}
	return s
}

// startSidecar starts a process that does not know the rate yet.
func (s *system) startSidecar(m *member) {
	var logic *sidecar.Sidecar
	logic = sidecar.New(sidecar.Config{
		Self: m.address, ClearReturned: platform.ClearReturned, Decode: platform.DecodeSegment,
		ToUpstream: func(raw []byte) {
			p, err := platform.DecodeSegment(raw, false)
			s.c.Assert(err, qt.IsNil)
			m.openedAt = append(m.openedAt, s.now)
			s.after(1, func() { logic.HandleUpstream(s.now, packet(p.Key, true)) })
		},
		ToClient: func(netip.Addr, []byte) {},
		ToPeer: func(to netip.AddrPort, data []byte) {
			response, err := relay.Decode(append([]byte(nil), data...))
			s.c.Assert(err, qt.IsNil)
			ip := to.Addr().As4()
			s.after(oneWay, func() {
				s.balancers[int(ip[2])<<8|int(ip[3])].HandleSidecar(s.now, m.address, response)
			})
		},
	})
	logic.SetService(portal)
	m.logic = logic
	m.incarnation++
}

// becomeCold begins the warm-up of an upstream. The sidecar reports it at once, and learns
// the rate after a delay, as by directives that its report triggers.
func (s *system) becomeCold(m *member, delay clock.Millis) {
	m.coldUntil = s.now + coldFor
	s.learnRate(m, delay)
}

func (s *system) learnRate(m *member, delay clock.Millis) {
	s.report(m)
	logic := m.logic
	s.after(delay, func() { logic.SetWarmup(warmupRate, m.coldUntil-s.now) })
}

func (s *system) after(delay clock.Millis, do func()) {
	s.due[s.now+delay] = append(s.due[s.now+delay], do)
}

func (s *system) report(m *member) {
	for _, b := range s.balancers {
		b.HandleSidecar(s.now, m.address, relay.Message{Kind: relay.KindReport, Report: relay.Report{
			Incarnation: m.incarnation,
			Service:     portal, DataCentre: m.dataCentre, Accepting: m.logic.Accepting(), Slots: 1000, AllListed: true,
			Warmup: max(m.coldUntil-s.now, 0), Load: m.logic.Load(),
		}})
	}
}

// run lets time pass. In each period, every balancer gets a new flow, all at once.
func (s *system) run(duration, period clock.Millis) {
	for end := s.now + duration; s.now < end; s.now++ {
		if s.now%period == 0 {
			for i, b := range s.balancers {
				s.flows++
				port := uint16(1024 + s.flows/len(s.balancers))
				client := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), port)
				b.HandleClient(s.now, packet(segment.NewKey(client, serviceAddress), false))
			}
		}
		if s.now%200 == 0 {
			for _, m := range s.sidecars {
				s.report(m)
				m.logic.Tick(s.now)
			}
		}
		for _, do := range s.due[s.now] {
			do()
		}
		delete(s.due, s.now)
		for _, b := range s.balancers {
			if next := b.NextDeadline(); (next > 0 && next <= s.now) || s.now%200 == 0 {
				b.Tick(s.now)
			}
		}
	}
}

// limit is the number of flows that a cold upstream may get in a second by the operator's
// bounds.
const limit = warmupRate*1.5 + 5

// Guards against balancers that together exceed the rate of a cold upstream when all of
// them have flows for it at once, also before its sidecar knows the rate, and against most
// of the rate being unused or most flows being sent in vain.
func TestManyBalancersShareRate(t *testing.T) {
	for _, balancers := range []int{1, 23, 60, 500} {
		t.Run(fmt.Sprint(balancers), func(t *testing.T) {
			s := newSystem(t, balancers, 2, warmupRate)
			for _, m := range s.sidecars {
				s.becomeCold(m, 3*oneWay)
			}
			s.run(4*clock.Second, 100)
			for _, m := range s.sidecars {
				refused := m.logic.Refusals(relay.ReasonWarmingUp)
				t.Logf("%d balancers: %d flows in 4 s, at most %d in a second, %d refused", balancers, len(m.openedAt), maxWindow(m.openedAt), refused)
				s.c.Check(maxWindow(m.openedAt) <= warmupRate, qt.IsTrue)
				s.c.Check(len(m.openedAt) >= min(4*warmupRate*6/10, s.flows/2), qt.IsTrue)
				s.c.Check(int(refused) <= 4*warmupRate+3*balancers/2, qt.IsTrue)
			}
		})
	}
}

// Guards against a restarted sidecar that lets too many flows through because it does not
// know the rate at first, and against a rate that balancers alone do not keep.
func TestRestartDuringWarmup(t *testing.T) {
	for _, balancers := range []int{23, 500} {
		t.Run(fmt.Sprint(balancers), func(t *testing.T) {
			s := newSystem(t, balancers, 2, warmupRate)
			for _, m := range s.sidecars {
				s.becomeCold(m, 400)
			}
			s.run(2300, 100)
			for _, m := range s.sidecars {
				s.startSidecar(m)
				s.report(m)
			}
			s.run(300, 100)
			for _, m := range s.sidecars {
				m.logic.Accept()
				s.learnRate(m, 400)
			}
			s.run(3*clock.Second, 100)
			for _, m := range s.sidecars {
				t.Logf("%d balancers: %d flows, at most %d in a second", balancers, len(m.openedAt), maxWindow(m.openedAt))
				s.c.Check(maxWindow(m.openedAt) <= limit, qt.IsTrue)
				s.c.Check(s.now-m.openedAt[len(m.openedAt)-1] < clock.Second, qt.IsTrue)
			}
		})
	}
}

// Guards against the end of an evacuation that sends a data centre's cold upstreams more
// than their rate, or that makes flows wait although other data centres have room.
func TestEvacuatedDataCentreReturnsCold(t *testing.T) {
	for _, balancers := range []int{23, 60, 500} {
		t.Run(fmt.Sprint(balancers), func(t *testing.T) {
			s := newSystem(t, balancers, 8, warmupRate)
			period := clock.Millis(balancers)
			returning := func(do func(m *member)) {
				for _, m := range s.sidecars {
					if m.dataCentre == "dc-0" {
						do(m)
					}
				}
			}
			returning(func(m *member) { m.logic.Refuse(relay.ReasonDraining) })
			s.run(clock.Second, period)
			returning(func(m *member) { s.becomeCold(m, 3*oneWay) })
			s.run(clock.Second, period)
			returning(func(m *member) { m.logic.Accept(); s.report(m) })
			s.run(3*clock.Second, period)
			returning(func(m *member) {
				t.Logf("%d balancers: %d flows, at most %d in a second", balancers, len(m.openedAt), maxWindow(m.openedAt))
				s.c.Check(maxWindow(m.openedAt) <= warmupRate, qt.IsTrue)
				s.c.Check(len(m.openedAt) > 0, qt.IsTrue)
			})
			s.c.Check(s.reset, qt.Equals, 0)
			s.c.Check(s.accepted >= s.flows-2*balancers, qt.IsTrue, qt.Commentf("%d of %d accepted", s.accepted, s.flows))
		})
	}
}

// Guards against pacing where the configuration has no rate.
func TestNoRateNoLimit(t *testing.T) {
	s := newSystem(t, 60, 2, 0)
	for _, m := range s.sidecars {
		m.coldUntil = s.now + coldFor
		s.report(m)
		m.logic.SetWarmup(0, coldFor)
	}
	s.run(clock.Second, 100)
	s.c.Assert(s.accepted, qt.Equals, 600)
	s.c.Assert(s.sidecars[0].logic.WarmupRate(s.now), qt.Equals, 0.)
}
