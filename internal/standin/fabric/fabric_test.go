package fabric

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const datagramCount = 10_000

// withFaults sends numbered datagrams through a faultInjector and returns its
// output.
func withFaults(faults Faults, seed uint64) []int {
	injector := newFaultInjector[int](faults, seed, outboundStream)
	var out []int
	for i := range datagramCount {
		out = append(out, injector.apply(i)...)
	}
	return out
}

// TestFaultsFollowSeedAndRates guards against faults that differ between two runs
// with the same seed, and against faults that are more or less frequent than the
// configured rates.
func TestFaultsFollowSeedAndRates(t *testing.T) {
	c := qt.New(t)
	faults := Faults{Loss: 0.1, Duplication: 0.05, Reordering: 0.2}
	first := withFaults(faults, 1)
	c.Check(withFaults(faults, 1), qt.DeepEquals, first)
	c.Check(withFaults(faults, 2), qt.Not(qt.DeepEquals), first)
	seen := map[int]int{}
	reordered := 0
	for i, d := range first {
		seen[d]++
		if i > 0 && d < first[i-1] {
			reordered++
		}
	}
	duplicated := len(first) - len(seen)
	c.Check(len(seen) > 8900 && len(seen) < 9100, qt.IsTrue, qt.Commentf("%d delivered", len(seen)))
	c.Check(duplicated > 300 && duplicated < 500, qt.IsTrue, qt.Commentf("%d duplicated", duplicated))
	c.Check(reordered > 1000 && reordered < 2000, qt.IsTrue, qt.Commentf("%d reordered", reordered))
}

// TestNoFaultsKeepOrder guards against datagrams that are lost, duplicated or
// reordered although every rate is zero.
func TestNoFaultsKeepOrder(t *testing.T) {
	c := qt.New(t)
	out := withFaults(Faults{}, 1)
	c.Assert(out, qt.HasLen, datagramCount)
	for i, d := range out {
		c.Assert(d, qt.Equals, i)
	}
}

// TestIdleClientLosesItsSocket guards against sockets of idle clients that are
// never closed, and against sockets that are closed while in use.
func TestIdleClientLosesItsSocket(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var manual clock.Manual
	virtual := manual.Clock()
	f, err := New(ctx, Config{
		Listen:    netip.MustParseAddrPort("127.0.0.1:0"),
		Balancers: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, Clock: &virtual,
	})
	c.Assert(err, qt.IsNil)
	// New starts no periodic sweep without a limit. The limit is set afterwards, so
	// that no sweep runs concurrently with the test.
	f.idleLimit = 10 * clock.Second
	idle, active := netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:3")
	f.routeToBalancer(idle, nil)
	f.routeToBalancer(active, nil)
	manual.Advance(9 * clock.Second)
	f.routeToBalancer(active, nil)
	manual.Advance(clock.Second)
	f.sweep()
	c.Check(f.Clients(), qt.Equals, 1)
	_, ok := f.clients[active]
	c.Check(ok, qt.IsTrue)
	cancel()
	f.Wait()
}

// TestAdminChangesBalancers guards against a fabric that continues to send to a
// removed balancer or never sends to an added one.
func TestAdminChangesBalancers(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n, err := NewNetwork(ctx, NetworkConfig{
		Entry: netip.MustParseAddr("127.0.0.1"), Ports: []uint16{0, 0},
		Balancers: []netip.Addr{netip.MustParseAddr("127.0.0.11")},
	})
	c.Assert(err, qt.IsNil)
	request := func(method, path string) (int, string) {
		recorder := httptest.NewRecorder()
		n.Handler().ServeHTTP(recorder, httptest.NewRequest(method, path, nil))
		return recorder.Code, recorder.Body.String()
	}
	targets := func() map[netip.AddrPort]bool {
		seen := map[netip.AddrPort]bool{}
		for _, f := range n.services {
			for range 4 {
				for _, p := range f.routeToBalancer(netip.MustParseAddrPort("127.0.0.1:2"), []byte("x")) {
					seen[p.to] = true
				}
			}
		}
		return seen
	}
	code, _ := request(http.MethodPut, "/balancers/127.0.0.12")
	c.Check(code, qt.Equals, http.StatusNoContent)
	c.Check(targets(), qt.HasLen, 4)
	code, _ = request(http.MethodDelete, "/balancers/127.0.0.11")
	c.Check(code, qt.Equals, http.StatusNoContent)
	for target := range targets() {
		c.Check(target.Addr(), qt.Equals, netip.MustParseAddr("127.0.0.12"))
	}
	code, _ = request(http.MethodDelete, "/balancers/127.0.0.11")
	c.Check(code, qt.Equals, http.StatusNotFound)
	code, _ = request(http.MethodPut, "/balancers/nowhere")
	c.Check(code, qt.Equals, http.StatusBadRequest)
	_, body := request(http.MethodGet, "/balancers")
	c.Check(body, qt.Equals, "[\"127.0.0.12\"]\n")
	cancel()
	n.Wait()
}

// TestDatagramsPassBothWays guards against datagrams that do not reach the balancer
// and against responses that reach a client other than the sender.
func TestDatagramsPassBothWays(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	balancer, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	defer balancer.Close()
	f, err := New(ctx, Config{
		Listen:    netip.MustParseAddrPort("127.0.0.1:0"),
		Balancers: []netip.AddrPort{balancer.LocalAddr().(*net.UDPAddr).AddrPort()},
	})
	c.Assert(err, qt.IsNil)
	buffer := make([]byte, receiveBufferSize)
	for _, text := range []string{"first", "second"} {
		client, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(f.Address()))
		c.Assert(err, qt.IsNil)
		defer client.Close()
		_, err = client.Write([]byte(text))
		c.Assert(err, qt.IsNil)
		size, from, err := balancer.ReadFromUDPAddrPort(buffer)
		c.Assert(err, qt.IsNil)
		_, err = balancer.WriteToUDPAddrPort(buffer[:size], from)
		c.Assert(err, qt.IsNil)
		size, err = client.Read(buffer)
		c.Assert(err, qt.IsNil)
		c.Check(string(buffer[:size]), qt.Equals, text)
	}
}
