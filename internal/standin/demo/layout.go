package demo

import (
	"fmt"
	"net"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/standin/upstream"
	"github.com/samber/oops"
)

const (
	customer          = "presa-digital"
	balancerCount     = 3
	growerPortalCount = 7
	weighbridgeCount  = 3
	upstreamCount     = growerPortalCount + weighbridgeCount
	slotsPerUpstream  = 3
	portAttempts      = 50
	flowsPerUpstream  = 2000
	certificateName   = "localhost"
	// A network and a host are the last two bytes of a loopback address.
	balancerNetwork    = 1
	sidecarNetwork     = 2
	fabricHost         = 2
	firstHostOfNetwork = 1
	// reusedIndex is the index of a grower-portal upstream whose sidecar addresses
	// are taken over by a sidecar of weighbridge.
	reusedIndex = 3
)

var dataCentres = []string{"hr-east-a", "hr-east-b", "hr-east-c"}

// host is one host of the demo. Each host has its own loopback address. Outgoing
// connections use 127.0.0.1, so their ephemeral ports never occupy a port on
// which a process is about to listen.
type host struct {
	name       string
	dataCentre string
	address    netip.Addr
	tunnel     netip.AddrPort
	control    netip.AddrPort
	observe    netip.AddrPort
}

// upstreamHost is a host that runs an upstream and its sidecar.
type upstreamHost struct {
	host
	service  string
	upstream netip.AddrPort
}

// upstreamName returns the name of the upstream process, which names its log and
// its trace file.
func (u upstreamHost) upstreamName() string { return u.name + "-upstream" }

// layout holds the addresses of all processes.
type layout struct {
	platform         netip.AddrPort
	fabricAdmin      netip.AddrPort
	entry            netip.Addr
	growerPortalPort uint16
	weighbridgePort  uint16
	balancers        []host
	upstreams        []upstreamHost
	// spares are the addresses of second sidecars for the same upstreams. A
	// replacement uses them while the first sidecar still waits for its streams to
	// end.
	spares []upstreamHost
	// reused has the sidecar addresses of the upstream reusedIndex, but serves
	// another service.
	reused upstreamHost
}

func loopback(network, number byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, network, number})
}

// newLayout finds free ports by binding port 0. It releases them before it
// returns.
func newLayout() (*layout, error) {
	ports := &portAllocator{}
	defer ports.close()
	l := &layout{entry: loopback(0, fabricHost)}
	l.platform = ports.find(l.entry)
	l.fabricAdmin = ports.find(l.entry)
	entries := []netip.Addr{l.entry}
	for i := range balancerCount {
		b := ports.host(fmt.Sprintf("balancer-%d", i+1), i, loopback(balancerNetwork, byte(firstHostOfNetwork+i)))
		l.balancers = append(l.balancers, b)
		entries = append(entries, b.address)
	}
	l.growerPortalPort = ports.find(entries...).Port()
	l.weighbridgePort = ports.find(entries...).Port()
	for i := range upstreamCount {
		service, number := upstream.GrowerPortal, i
		if i >= growerPortalCount {
			service, number = upstream.Weighbridge, i-growerPortalCount
		}
		h := ports.host(fmt.Sprintf("%s-%d", service, number+1), i, loopback(sidecarNetwork, byte(firstHostOfNetwork+i)))
		l.upstreams = append(l.upstreams, upstreamHost{host: h, service: service, upstream: ports.find(h.address)})
	}
	for i, u := range l.upstreams {
		spare := u
		spare.host = ports.host(u.name+"-spare", i, u.address)
		l.spares = append(l.spares, spare)
	}
	l.reused = l.upstreams[reusedIndex]
	l.reused.name, l.reused.service = "reused", upstream.Weighbridge
	l.reused.upstream = ports.find(l.reused.address)
	return l, ports.err
}

// portAllocator finds free ports. Until it is closed, it holds a socket open on
// each port that it has found, so that no port is found twice.
type portAllocator struct {
	sockets []interface{ Close() error }
	err     error
}

func (a *portAllocator) close() {
	for _, socket := range a.sockets {
		_ = socket.Close()
	}
}

func (a *portAllocator) host(name string, index int, address netip.Addr) host {
	return host{
		name: name, dataCentre: dataCentres[index%len(dataCentres)], address: address,
		tunnel: a.find(address), control: a.find(address), observe: a.find(address),
	}
}

// find finds a port that is free for TCP and UDP on all the addresses. It returns
// the port with the first address.
func (a *portAllocator) find(addresses ...netip.Addr) netip.AddrPort {
	if a.err != nil {
		return netip.AddrPort{}
	}
	for range portAttempts {
		var port uint16
		if port, a.err = a.bind(addresses); a.err == nil {
			return netip.AddrPortFrom(addresses[0], port)
		}
	}
	a.err = oops.Code("no-free-port").Wrap(a.err)
	return netip.AddrPort{}
}

func (a *portAllocator) bind(addresses []netip.Addr) (uint16, error) {
	port := uint16(0)
	for _, address := range addresses {
		tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(address, port)))
		if err != nil {
			return 0, err
		}
		a.sockets = append(a.sockets, tcp)
		port = tcp.Addr().(*net.TCPAddr).AddrPort().Port()
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, port)))
		if err != nil {
			return 0, err
		}
		a.sockets = append(a.sockets, udp)
	}
	return port, nil
}
