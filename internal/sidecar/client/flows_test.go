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

// TestMain fixes the seed of the stateful tests, so that every run checks the
// same sequences. A seed on the command line takes precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// process is a fake sidecar: the real dispatcher at a fake address.
type process struct {
	owner      identity.OwnerID
	service    identity.ServiceID
	address    netip.AddrPort
	dispatcher *client.Dispatcher
	leaving    bool
	flows      int
	nonce      uint64
}

type flow struct {
	service  identity.ServiceID
	chosen   []byte
	owner    *process
	assigned []byte
}

// world is a small fake network around the real routing and dispatch decisions.
type world struct {
	ring      *keyring.Ring
	manual    clock.Manual
	services  []identity.ServiceID
	at        map[netip.AddrPort]*process
	all       []*process
	tables    []*routing.Table
	router    routing.Router
	flows     []*flow
	nextOwner identity.OwnerID
	nextID    uint64
}

func newWorld(t *rapid.T) *world {
	ring, err := keyring.New(0, map[keyring.Generation][]byte{0: make([]byte, keyring.SecretSize)})
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		ring: ring, at: map[netip.AddrPort]*process{}, nextOwner: 1,
		services: []identity.ServiceID{identity.NewServiceID("a", "x"), identity.NewServiceID("a", "y")},
		tables:   []*routing.Table{routing.NewTable(), routing.NewTable(), routing.NewTable()},
	}
	for i := range 4 {
		w.start(w.services[i%2], address(i))
	}
	for i := range w.tables {
		w.tables[i] = w.current(w.tables[i])
	}
	return w
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 4000)
}

func (w *world) start(service identity.ServiceID, at netip.AddrPort) {
	p := &process{owner: w.nextOwner, service: service, address: at}
	w.nextOwner++
	p.dispatcher = client.NewDispatcher(client.DispatcherConfig{
		Self: p.owner, Service: service,
		Load:     func() client.Load { return client.Load{Leaving: p.leaving, Flows: p.flows} },
		Siblings: func() map[identity.OwnerID]client.Load { return w.siblings(p) },
	})
	w.at[at] = p
	w.all = append(w.all, p)
}

func (w *world) alive(p *process) bool { return w.at[p.address] == p }

func (w *world) siblings(self *process) map[identity.OwnerID]client.Load {
	loads := map[identity.OwnerID]client.Load{}
	for _, p := range w.all {
		if p != self && p.service == self.service && w.alive(p) {
			loads[p.owner] = client.Load{Leaving: p.leaving, Flows: p.flows}
		}
	}
	return loads
}

// current returns the table of a balancer that knows every process.
func (w *world) current(table *routing.Table) *routing.Table {
	var changed []routing.Member
	var removed []identity.OwnerID
	for _, p := range w.all {
		if !w.alive(p) {
			removed = append(removed, p.owner)
			continue
		}
		changed = append(changed, w.member(p))
	}
	return table.With(changed, removed)
}

func (w *world) member(p *process) routing.Member {
	weight := routing.MaxWeight
	if p.leaving {
		weight = 0
	}
	return routing.Member{Owner: p.owner, Service: p.service, Tunnel: p.address, Weight: weight}
}

// send carries a packet through one balancer and returns the process whose QUIC
// stack receives it, or nil.
func (w *world) send(t *rapid.T, balancer int, service identity.ServiceID, packet []byte) *process {
	decision := w.router.Route(w.tables[balancer], w.ring, service, packet)
	if !decision.Forward() {
		return nil
	}
	header := tunnel.Header{Type: tunnel.TypeInbound, Flags: decision.Flags, Service: service, Owner: decision.Owner}
	target := decision.Target
	for hop := 0; ; hop++ {
		if hop > 1 {
			t.Fatalf("packet was passed on twice")
		}
		p := w.at[target]
		if p == nil {
			return nil
		}
		d := p.dispatcher.Dispatch(w.ring, header, packet, w.manual.Now())
		switch d.Verdict {
		case client.Deliver:
			if p.service != service {
				t.Fatalf("packet of service %v entered service %v", service, p.service)
			}
			return p
		case client.Relay:
			header.Owner, header.Flags = d.Owner, tunnel.FlagRelayed
			target = w.addressOf(d.Owner)
		default:
			return nil
		}
	}
}

func (w *world) addressOf(owner identity.OwnerID) netip.AddrPort {
	for _, p := range w.all {
		if p.owner == owner {
			return p.address
		}
	}
	return netip.AddrPort{}
}

func (w *world) packet(f *flow) []byte {
	if f.assigned == nil {
		packet := append([]byte{0xc0, 0, 0, 0, 1, byte(len(f.chosen))}, f.chosen...)
		return append(packet, make([]byte, 40)...)
	}
	return append(append([]byte{0x40}, f.assigned...), make([]byte, 40)...)
}

func (w *world) openFlow(t *rapid.T, balancer int) {
	w.nextID++
	f := &flow{
		service: rapid.SampledFrom(w.services).Draw(t, "service"),
		chosen:  binary.BigEndian.AppendUint64(nil, w.nextID*0x9e3779b97f4a7c15),
	}
	// Clients choose 8 to 20 bytes; 17 and more look like an assigned ID.
	f.chosen = append(f.chosen, make([]byte, rapid.SampledFrom([]int{0, 9, 12}).Draw(t, "extra"))...)
	p := w.send(t, balancer, f.service, w.packet(f))
	if p == nil {
		return
	}
	if p.leaving && len(w.openSiblings(p)) > 0 {
		t.Fatalf("leaving sidecar kept a new flow")
	}
	// The second datagram of the client hello takes another balancer with the
	// same table.
	for other := range w.tables {
		if w.tables[other] == w.tables[balancer] && w.send(t, other, f.service, w.packet(f)) != p {
			t.Fatalf("the datagrams of one client hello reached different sidecars")
		}
	}
	f.owner = p
	p.flows++
	p.nonce++
	id := quic.EncodeConnectionID(w.ring.Active(), p.service, p.owner, p.nonce, 0)
	f.assigned = id[:]
	w.flows = append(w.flows, f)
}

func (w *world) openSiblings(self *process) []identity.OwnerID {
	var open []identity.OwnerID
	for owner, load := range w.siblings(self) {
		if !load.Leaving {
			open = append(open, owner)
		}
	}
	return open
}

// checkFlow sends a packet of an established flow and compares with the oracle:
// it reaches its owner or nobody, and it does reach an owner that lives if the
// balancer knows it, or knows any living sidecar of the service.
func (w *world) checkFlow(t *rapid.T, f *flow, balancer int) {
	got := w.send(t, balancer, f.service, w.packet(f))
	if got != nil && got != f.owner {
		t.Fatalf("packet reached sidecar %v, its owner is %v", got.owner, f.owner.owner)
	}
	if !w.alive(f.owner) || got != nil {
		return
	}
	if _, known := w.tables[balancer].Member(f.owner.owner); known {
		t.Fatalf("packet lost although the balancer knows its owner")
	}
	living := 0
	members := w.tables[balancer].Members(f.service)
	for _, m := range members {
		if p := w.at[m.Tunnel]; p != nil && p.owner == m.Owner {
			living++
		}
	}
	if living > 0 && living == len(members) {
		t.Fatalf("packet lost although every sidecar that the balancer knows lives")
	}
}

// TestFlowsUnderChange guards against flows that break or enter another service
// while sidecars join, leave, die and reuse addresses, balancers hear of it at
// different times, and new balancers start with what one of the others knows.
func TestFlowsUnderChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		balancer := rapid.IntRange(0, len(w.tables)-1)
		slot := rapid.IntRange(0, 7)
		t.Repeat(map[string]func(*rapid.T){
			"open-flow": func(t *rapid.T) { w.openFlow(t, balancer.Draw(t, "balancer")) },
			"packet": func(t *rapid.T) {
				if len(w.flows) > 0 {
					w.checkFlow(t, rapid.SampledFrom(w.flows).Draw(t, "flow"), balancer.Draw(t, "balancer"))
				}
			},
			"packet-to-foreign-service": func(t *rapid.T) {
				if len(w.flows) == 0 {
					return
				}
				f := rapid.SampledFrom(w.flows).Draw(t, "flow")
				for _, service := range w.services {
					if service != f.service && w.send(t, balancer.Draw(t, "balancer"), service, w.packet(f)) != nil {
						t.Fatalf("packet of service %v was delivered at the address of %v", f.service, service)
					}
				}
			},
			"start-or-replace": func(t *rapid.T) {
				w.start(rapid.SampledFrom(w.services).Draw(t, "service"), address(slot.Draw(t, "slot")))
			},
			"leave": func(t *rapid.T) {
				if p := w.at[address(slot.Draw(t, "slot"))]; p != nil {
					p.leaving = true
				}
			},
			"die": func(t *rapid.T) { delete(w.at, address(slot.Draw(t, "slot"))) },
			"balancer-learns-all": func(t *rapid.T) {
				i := balancer.Draw(t, "balancer")
				w.tables[i] = w.current(w.tables[i])
			},
			"balancer-learns-one": func(t *rapid.T) {
				i := balancer.Draw(t, "balancer")
				p := rapid.SampledFrom(w.all).Draw(t, "process")
				if w.alive(p) {
					w.tables[i] = w.tables[i].With([]routing.Member{w.member(p)}, nil)
				} else {
					w.tables[i] = w.tables[i].With(nil, []identity.OwnerID{p.owner})
				}
			},
			"balancer-replaced": func(t *rapid.T) {
				w.tables[balancer.Draw(t, "balancer")] = w.tables[balancer.Draw(t, "source")]
			},
			"time": func(t *rapid.T) { w.manual.Advance(clock.Millis(rapid.IntRange(1, 20_000).Draw(t, "ms"))) },
		})
	})
}
