package client_test

import (
	"encoding/binary"
	"flag"
	"net/netip"
	"os"
	"testing"

	"github.com/orioledyke/orioledyke/internal/balancer/routing"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/sidecar/client"
	"github.com/orioledyke/orioledyke/internal/wire/quic"
	"github.com/orioledyke/orioledyke/internal/wire/tunnel"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the stateful tests, so that every run checks the same
// sequences. A seed on the command line takes precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	seedGiven := false
	flag.Visit(func(f *flag.Flag) { seedGiven = seedGiven || f.Name == "rapid.seed" })
	if !seedGiven {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// simulatedSidecar is a real Dispatcher at a simulated address.
type simulatedSidecar struct {
	owner      identity.OwnerID
	service    identity.ServiceID
	address    netip.AddrPort
	dispatcher *client.Dispatcher
	leaving    bool
	flows      int
	nonce      uint64
}

type flow struct {
	service identity.ServiceID
	// chosen is the connection ID that the client chose.
	chosen []byte
	owner  *simulatedSidecar
	// assigned is the connection ID that the owner assigned, or nil before that.
	assigned []byte
}

// simulation is a simulated network around the real routing and dispatch decisions.
// Each balancer is a routing table.
type simulation struct {
	ring      *keyring.Ring
	manual    clock.Manual
	services  []identity.ServiceID
	sidecarAt map[netip.AddrPort]*simulatedSidecar
	sidecars  []*simulatedSidecar
	tables    []*routing.Table
	router    routing.Router
	flows     []*flow
	nextOwner identity.OwnerID
	nextID    uint64
}

func newSimulation(t *rapid.T) *simulation {
	ring, err := keyring.New(0, map[keyring.Generation][]byte{0: make([]byte, keyring.SecretSize)})
	if err != nil {
		t.Fatal(err)
	}
	sim := &simulation{
		ring: ring, sidecarAt: map[netip.AddrPort]*simulatedSidecar{}, nextOwner: 1,
		services: []identity.ServiceID{identity.NewServiceID("a", "x"), identity.NewServiceID("a", "y")},
		tables:   []*routing.Table{routing.NewTable(), routing.NewTable(), routing.NewTable()},
	}
	for i := range 4 {
		sim.start(sim.services[i%2], address(i))
	}
	for i := range sim.tables {
		sim.tables[i] = sim.currentTable(sim.tables[i])
	}
	return sim
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 4000)
}

func (sim *simulation) start(service identity.ServiceID, at netip.AddrPort) {
	p := &simulatedSidecar{owner: sim.nextOwner, service: service, address: at}
	sim.nextOwner++
	p.dispatcher = client.NewDispatcher(client.DispatcherConfig{
		Self: p.owner, Service: service,
		Load:     func() client.Load { return client.Load{Leaving: p.leaving, Flows: p.flows} },
		Siblings: func() map[identity.OwnerID]client.Load { return sim.siblings(p) },
	})
	sim.sidecarAt[at] = p
	sim.sidecars = append(sim.sidecars, p)
}

func (sim *simulation) alive(p *simulatedSidecar) bool { return sim.sidecarAt[p.address] == p }

func (sim *simulation) siblings(self *simulatedSidecar) map[identity.OwnerID]client.Load {
	loads := map[identity.OwnerID]client.Load{}
	for _, p := range sim.sidecars {
		if p != self && p.service == self.service && sim.alive(p) {
			loads[p.owner] = client.Load{Leaving: p.leaving, Flows: p.flows}
		}
	}
	return loads
}

// currentTable returns table updated with the state of every sidecar.
func (sim *simulation) currentTable(table *routing.Table) *routing.Table {
	var changed []routing.Member
	var removed []identity.OwnerID
	for _, p := range sim.sidecars {
		if !sim.alive(p) {
			removed = append(removed, p.owner)
			continue
		}
		changed = append(changed, sim.member(p))
	}
	return table.With(changed, removed)
}

func (sim *simulation) member(p *simulatedSidecar) routing.Member {
	weight := routing.MaxWeight
	if p.leaving {
		weight = 0
	}
	return routing.Member{Owner: p.owner, Service: p.service, Tunnel: p.address, Weight: weight}
}

// send sends a packet through one balancer. It returns the sidecar whose QUIC stack
// receives the packet, or nil if the packet is dropped.
func (sim *simulation) send(t *rapid.T, balancer int, service identity.ServiceID, packet []byte) *simulatedSidecar {
	decision := sim.router.Route(sim.tables[balancer], sim.ring, service, packet)
	if !decision.Forward() {
		return nil
	}
	header := tunnel.Header{Type: tunnel.TypeInbound, Flags: decision.Flags, Service: service, Owner: decision.Owner}
	target := decision.Target
	for hop := 0; ; hop++ {
		if hop > 1 {
			t.Fatalf("packet was relayed twice")
		}
		p := sim.sidecarAt[target]
		if p == nil {
			return nil
		}
		d := p.dispatcher.Dispatch(sim.ring, header, packet, sim.manual.Now())
		switch d.Verdict {
		case client.Deliver:
			if p.service != service {
				t.Fatalf("packet of service %v was delivered to service %v", service, p.service)
			}
			return p
		case client.Relay:
			header.Owner, header.Flags = d.Owner, tunnel.FlagRelayed
			target = sim.addressOf(d.Owner)
		default:
			return nil
		}
	}
}

func (sim *simulation) addressOf(owner identity.OwnerID) netip.AddrPort {
	for _, p := range sim.sidecars {
		if p.owner == owner {
			return p.address
		}
	}
	return netip.AddrPort{}
}

func (sim *simulation) packet(f *flow) []byte {
	if f.assigned == nil {
		packet := append([]byte{0xc0, 0, 0, 0, 1, byte(len(f.chosen))}, f.chosen...)
		return append(packet, make([]byte, 40)...)
	}
	return append(append([]byte{0x40}, f.assigned...), make([]byte, 40)...)
}

func (sim *simulation) openFlow(t *rapid.T, balancer int) {
	sim.nextID++
	f := &flow{
		service: rapid.SampledFrom(sim.services).Draw(t, "service"),
		chosen:  binary.BigEndian.AppendUint64(nil, sim.nextID*0x9e3779b97f4a7c15),
	}
	// Clients choose 8 to 20 bytes. An ID of 17 bytes or more looks like an assigned
	// one.
	f.chosen = append(f.chosen, make([]byte, rapid.SampledFrom([]int{0, 9, 12}).Draw(t, "extra"))...)
	p := sim.send(t, balancer, f.service, sim.packet(f))
	if p == nil {
		return
	}
	if p.leaving && len(sim.acceptingSiblings(p)) > 0 {
		t.Fatalf("leaving sidecar kept a new flow")
	}
	// The second datagram of the client hello goes through another balancer with the
	// same table.
	for other := range sim.tables {
		if sim.tables[other] == sim.tables[balancer] && sim.send(t, other, f.service, sim.packet(f)) != p {
			t.Fatalf("the datagrams of one client hello reached different sidecars")
		}
	}
	f.owner = p
	p.flows++
	p.nonce++
	id := quic.EncodeConnectionID(sim.ring.Active(), p.service, p.owner, p.nonce, 0)
	f.assigned = id[:]
	sim.flows = append(sim.flows, f)
}

func (sim *simulation) acceptingSiblings(self *simulatedSidecar) []identity.OwnerID {
	var accepting []identity.OwnerID
	for owner, load := range sim.siblings(self) {
		if !load.Leaving {
			accepting = append(accepting, owner)
		}
	}
	return accepting
}

// checkFlow sends a packet of an established flow. The packet must reach its owner or
// be dropped. A live owner must receive it in two cases: the balancer knows the owner,
// or the balancer knows at least one sidecar of the service and all that it knows are
// alive.
func (sim *simulation) checkFlow(t *rapid.T, f *flow, balancer int) {
	got := sim.send(t, balancer, f.service, sim.packet(f))
	if got != nil && got != f.owner {
		t.Fatalf("packet reached sidecar %v, its owner is %v", got.owner, f.owner.owner)
	}
	if !sim.alive(f.owner) || got != nil {
		return
	}
	if _, known := sim.tables[balancer].Member(f.owner.owner); known {
		t.Fatalf("packet lost although the balancer knows its owner")
	}
	living := 0
	members := sim.tables[balancer].Members(f.service)
	for _, m := range members {
		if p := sim.sidecarAt[m.Tunnel]; p != nil && p.owner == m.Owner {
			living++
		}
	}
	if living > 0 && living == len(members) {
		t.Fatalf("packet lost although every sidecar that the balancer knows is alive")
	}
}

// TestFlowsUnderChange guards against flows that break or reach another service while
// sidecars join, leave, fail and reuse addresses. Balancers learn of these changes at
// different times, and new balancers start with the table of another one.
func TestFlowsUnderChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		balancer := rapid.IntRange(0, len(sim.tables)-1)
		addressIndex := rapid.IntRange(0, 7)
		t.Repeat(map[string]func(*rapid.T){
			"open-flow": func(t *rapid.T) { sim.openFlow(t, balancer.Draw(t, "balancer")) },
			"packet": func(t *rapid.T) {
				if len(sim.flows) > 0 {
					sim.checkFlow(t, rapid.SampledFrom(sim.flows).Draw(t, "flow"), balancer.Draw(t, "balancer"))
				}
			},
			"packet-to-foreign-service": func(t *rapid.T) {
				if len(sim.flows) == 0 {
					return
				}
				f := rapid.SampledFrom(sim.flows).Draw(t, "flow")
				for _, service := range sim.services {
					if service != f.service && sim.send(t, balancer.Draw(t, "balancer"), service, sim.packet(f)) != nil {
						t.Fatalf("packet of service %v was delivered at the address of %v", f.service, service)
					}
				}
			},
			"start-or-replace": func(t *rapid.T) {
				sim.start(rapid.SampledFrom(sim.services).Draw(t, "service"), address(addressIndex.Draw(t, "slot")))
			},
			"leave": func(t *rapid.T) {
				if p := sim.sidecarAt[address(addressIndex.Draw(t, "slot"))]; p != nil {
					p.leaving = true
				}
			},
			"die": func(t *rapid.T) { delete(sim.sidecarAt, address(addressIndex.Draw(t, "slot"))) },
			"balancer-learns-all": func(t *rapid.T) {
				i := balancer.Draw(t, "balancer")
				sim.tables[i] = sim.currentTable(sim.tables[i])
			},
			"balancer-learns-one": func(t *rapid.T) {
				i := balancer.Draw(t, "balancer")
				p := rapid.SampledFrom(sim.sidecars).Draw(t, "process")
				if sim.alive(p) {
					sim.tables[i] = sim.tables[i].With([]routing.Member{sim.member(p)}, nil)
				} else {
					sim.tables[i] = sim.tables[i].With(nil, []identity.OwnerID{p.owner})
				}
			},
			"balancer-replaced": func(t *rapid.T) {
				sim.tables[balancer.Draw(t, "balancer")] = sim.tables[balancer.Draw(t, "source")]
			},
			"time": func(t *rapid.T) { sim.manual.Advance(clock.Millis(rapid.IntRange(1, 20_000).Draw(t, "ms"))) },
		})
	})
}
