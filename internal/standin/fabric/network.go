package fabric

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"sync"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/samber/oops"
)

// NetworkConfig configures a Network.
type NetworkConfig struct {
	// Entry is the IP address at which clients reach every service.
	Entry netip.Addr
	// Ports are the UDP ports of the services. A service has the same port at Entry
	// and at the balancers.
	Ports []uint16
	// Balancers are the entry addresses of the initial balancers.
	Balancers []netip.Addr
	Faults    Faults
	// Seed determines the faults of the first service. The seed of each further
	// service is higher by 1.
	Seed uint64
	// IdleLimit is the IdleLimit in the Config of each Fabric.
	IdleLimit clock.Millis
}

// Network is a group of Fabrics over the same balancers, with one Fabric for each
// service port. After the start, balancers are added and removed only through Add
// and Remove, which the admin handler calls.
type Network struct {
	mutex     sync.Mutex
	balancers []netip.Addr
	services  []*Fabric
}

// NewNetwork starts a Network, which stops when ctx ends. Wait waits until it has
// stopped.
func NewNetwork(ctx context.Context, config NetworkConfig) (*Network, error) {
	n := &Network{balancers: slices.Clone(config.Balancers)}
	ctx, cancel := context.WithCancel(ctx)
	for i, port := range config.Ports {
		f, err := New(ctx, Config{
			Listen: netip.AddrPortFrom(config.Entry, port), Balancers: addresses(config.Balancers, port),
			Faults: config.Faults, Seed: config.Seed + uint64(i), IdleLimit: config.IdleLimit,
		})
		if err != nil {
			cancel()
			n.Wait()
			return nil, oops.Wrapf(err, "service port %d", port)
		}
		n.services = append(n.services, f)
	}
	// The derived context exists only to stop the first Fabrics when a later one
	// fails to start. Otherwise it ends with the context of the caller, and calling
	// cancel then has no further effect.
	context.AfterFunc(ctx, cancel)
	return n, nil
}

func addresses(balancers []netip.Addr, port uint16) []netip.AddrPort {
	out := make([]netip.AddrPort, len(balancers))
	for i, b := range balancers {
		out[i] = netip.AddrPortFrom(b, port)
	}
	return out
}

// Wait returns when every goroutine of the Network has ended.
func (n *Network) Wait() {
	for _, f := range n.services {
		f.Wait()
	}
}

// Add makes a balancer receive its share of the datagrams. Adding one twice has no
// effect.
func (n *Network) Add(balancer netip.Addr) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !slices.Contains(n.balancers, balancer) {
		n.setBalancers(append(n.balancers, balancer))
	}
}

// Remove stops sending datagrams to a balancer. It returns false if the Network does
// not have the balancer.
func (n *Network) Remove(balancer netip.Addr) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	i := slices.Index(n.balancers, balancer)
	if i < 0 {
		return false
	}
	n.setBalancers(slices.Delete(slices.Clone(n.balancers), i, i+1))
	return true
}

// setBalancers replaces the balancers of all Fabrics. The caller holds mutex.
func (n *Network) setBalancers(balancers []netip.Addr) {
	n.balancers = balancers
	for _, f := range n.services {
		f.SetBalancers(addresses(balancers, f.Address().Port()))
	}
}

// Handler returns the admin handler. It serves GET /ready, GET /balancers, and PUT
// and DELETE /balancers/ADDRESS.
func (n *Network) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /balancers", func(w http.ResponseWriter, _ *http.Request) {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.balancers)
	})
	mux.HandleFunc("PUT /balancers/{address}", withAddress(func(w http.ResponseWriter, address netip.Addr) {
		n.Add(address)
		w.WriteHeader(http.StatusNoContent)
	}))
	mux.HandleFunc("DELETE /balancers/{address}", withAddress(func(w http.ResponseWriter, address netip.Addr) {
		if !n.Remove(address) {
			http.Error(w, "no balancer "+address.String(), http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	return mux
}

// withAddress parses the address in the request path and passes it to handle. A
// request with an invalid address gets status 400.
func withAddress(handle func(http.ResponseWriter, netip.Addr)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		address, err := netip.ParseAddr(r.PathValue("address"))
		if err != nil {
			http.Error(w, "address: want an IP address", http.StatusBadRequest)
			return
		}
		handle(w, address)
	}
}
