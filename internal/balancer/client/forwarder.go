// Package client forwards datagrams between the clients of a balancer and the
// sidecars behind it.
package client

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/orioledyke/orioledyke/internal/balancer/routing"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/wire/tunnel"
	"github.com/samber/oops"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

const (
	// batchSize is the number of datagrams for one system call.
	batchSize = 64
	// spareLinks is the number of sockets to which silent paths move in turn.
	spareLinks  = 2
	bufferSize  = tunnel.HeaderSize + tunnel.MaxPayload + tunnel.Overhead
	socketBytes = 4 << 20
)

// Config configures a Forwarder.
type Config struct {
	// Entry is the address at which clients reach every service, by its port.
	Entry netip.Addr
	// Tunnel is the socket towards sidecars. The Forwarder closes it.
	Tunnel *net.UDPConn
	// Self names this run of the balancer.
	Self  identity.OwnerID
	Keys  *keyring.Store
	Clock clock.Clock
	// LogEvent receives errors of the sockets that do not end the Forwarder.
	LogEvent func(event string, err error)
}

// Forwarder owns the sockets of a balancer's data path.
type Forwarder struct {
	config Config
	sealer *tunnel.Sealer
	// links are the sockets towards sidecars: Config.Tunnel first, then spares
	// for paths on which the first one is silent.
	links    []*tunnelSocket
	table    atomic.Pointer[routing.Table]
	reasons  [routing.ReasonCount]atomic.Uint64
	invalid  atomic.Uint64
	inbound  atomic.Uint64
	outward  atomic.Uint64
	replaced atomic.Uint64

	mutex   sync.RWMutex
	sockets map[identity.ServiceID]*socket
	workers sync.Pool
	ctx     context.Context
	done    sync.WaitGroup
}

type tunnelSocket struct {
	conn    *net.UDPConn
	packets *ipv4.PacketConn
}

// Service tells how a service is reached.
type Service struct {
	// Port is the UDP port at the entry address.
	Port uint16
	// MaxFlows is how many flows each sidecar holds at most; 0 means no limit.
	MaxFlows int
}

type socket struct {
	service identity.ServiceID
	port    uint16
	flows   atomic.Int64
	limiter routing.Limiter
	conn    *net.UDPConn
	packets *ipv4.PacketConn
}

// NewForwarder starts to receive from sidecars. Clients are served after
// SetServices. The Forwarder ends with ctx; Wait returns when it has.
func NewForwarder(ctx context.Context, config Config) (*Forwarder, error) {
	f := &Forwarder{
		config:  config,
		sealer:  tunnel.NewSealer(config.Self),
		sockets: map[identity.ServiceID]*socket{},
		ctx:     ctx,
	}
	f.table.Store(routing.NewTable())
	f.addLink(config.Tunnel)
	local := config.Tunnel.LocalAddr().(*net.UDPAddr)
	for range spareLinks {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: local.IP, Zone: local.Zone})
		if err != nil {
			f.closeLinks()
			return nil, oops.Code("tunnel-address-unavailable").Wrapf(err, "open a spare tunnel socket")
		}
		f.addLink(conn)
	}
	f.workers.New = func() any {
		return &worker{in: newBatch(tunnel.HeaderSize, tunnel.MaxPayload), out: f.newOutput()}
	}
	for _, link := range f.links {
		f.done.Go(func() { f.receiveFromSidecars(link) })
	}
	f.done.Go(func() {
		<-ctx.Done()
		f.close()
	})
	return f, nil
}

func (f *Forwarder) addLink(conn *net.UDPConn) {
	enlargeBuffers(conn)
	f.links = append(f.links, &tunnelSocket{conn: conn, packets: ipv4.NewPacketConn(conn)})
}

func (f *Forwarder) closeLinks() {
	for _, link := range f.links {
		_ = link.conn.Close()
	}
}

// Wait returns when every goroutine of the Forwarder has ended.
func (f *Forwarder) Wait() { f.done.Wait() }

// SetTable replaces the table of members.
func (f *Forwarder) SetTable(table *routing.Table) { f.table.Store(table) }

// Table returns the current table of members.
func (f *Forwarder) Table() *routing.Table { return f.table.Load() }

// Decisions returns how many datagrams of clients were decided for reason.
func (f *Forwarder) Decisions(reason routing.Reason) uint64 { return f.reasons[reason].Load() }

// InvalidDatagrams returns how many tunnel datagrams were not authentic.
func (f *Forwarder) InvalidDatagrams() uint64 { return f.invalid.Load() }

// Inbound returns how many datagrams of clients were received.
func (f *Forwarder) Inbound() uint64 { return f.inbound.Load() }

// Outbound returns how many datagrams were sent to clients.
func (f *Forwarder) Outbound() uint64 { return f.outward.Load() }

// LinksReplaced returns how many silent paths to sidecars were replaced.
func (f *Forwarder) LinksReplaced() uint64 { return f.replaced.Load() }

// SetServices opens sockets for new services and closes those of services that
// are gone or have another port. A port that cannot be opened is reported and
// leaves the other services as they are.
func (f *Forwarder) SetServices(services map[identity.ServiceID]Service) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for id, s := range f.sockets {
		if service, ok := services[id]; !ok || service.Port != s.port {
			_ = s.conn.Close()
			delete(f.sockets, id)
		}
	}
	var failed []error
	for id, service := range services {
		if s, ok := f.sockets[id]; ok {
			s.flows.Store(int64(service.MaxFlows))
			continue
		}
		if err := f.open(id, service); err != nil {
			failed = append(failed, err)
		}
	}
	return errors.Join(failed...)
}

func (f *Forwarder) open(id identity.ServiceID, service Service) error {
	address := netip.AddrPortFrom(f.config.Entry, service.Port)
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return oops.Code("entry-address-unavailable").Wrapf(err, "open %s", address)
	}
	enlargeBuffers(conn)
	s := &socket{service: id, port: service.Port, conn: conn, packets: ipv4.NewPacketConn(conn)}
	s.flows.Store(int64(service.MaxFlows))
	f.sockets[id] = s
	f.done.Go(func() { f.receiveFromClients(s) })
	return nil
}

func (f *Forwarder) close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closeLinks()
	for _, s := range f.sockets {
		_ = s.conn.Close()
	}
}

func enlargeBuffers(conn *net.UDPConn) {
	// The kernel limits the size silently; a smaller buffer is not an error.
	_ = conn.SetReadBuffer(socketBytes)
	_ = conn.SetWriteBuffer(socketBytes)
}

// receiveFromClients holds buffers only while there is something to receive: a
// thousand idle services with buffers of their own would take 150 MB.
func (f *Forwarder) receiveFromClients(s *socket) {
	for {
		if err := waitReadable(s.conn); err != nil {
			if f.ended(err) {
				return
			}
			continue
		}
		w := f.workers.Get().(*worker)
		err := f.forwardAll(s, w)
		f.workers.Put(w)
		if err != nil && f.ended(err) {
			return
		}
	}
}

// worker holds what one goroutine needs to forward datagrams of any service.
type worker struct {
	in     *batch
	out    [][]ipv4.Message
	router routing.Router
}

// forwardAll forwards datagrams until the socket is empty.
func (f *Forwarder) forwardAll(s *socket, w *worker) error {
	for {
		n, err := s.packets.ReadBatch(w.in.messages, unix.MSG_DONTWAIT)
		if err != nil {
			if errors.Is(err, unix.EAGAIN) {
				return nil
			}
			return err
		}
		f.inbound.Add(uint64(n))
		f.sealBatch(s, &w.router, w.in, n, w.out)
		f.sendToSidecars(w.out)
	}
}

// waitReadable returns when a datagram or an error waits at the socket.
func waitReadable(conn *net.UDPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), nil, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return !errors.Is(err, unix.EAGAIN)
	})
}

// newOutput returns a list of messages for each tunnel socket.
func (f *Forwarder) newOutput() [][]ipv4.Message {
	out := make([][]ipv4.Message, len(f.links))
	for i := range out {
		out[i] = make([]ipv4.Message, 0, batchSize)
	}
	return out
}

func (f *Forwarder) sendToSidecars(out [][]ipv4.Message) {
	for i, messages := range out {
		if len(messages) > 0 {
			f.send(f.links[i].packets, messages)
			out[i] = messages[:0]
		}
	}
}

func (f *Forwarder) sealBatch(s *socket, router *routing.Router, in *batch, n int, out [][]ipv4.Message) {
	table, ring, now := f.table.Load(), f.config.Keys.Ring(), f.config.Clock.Now()
	keys := ring.Active()
	flows, members := int(s.flows.Load()), len(table.Members(s.service))
	for i := range n {
		size := in.messages[i].N
		buffer := in.buffers[i]
		decision := router.Route(table, ring, s.service, buffer[tunnel.HeaderSize:tunnel.HeaderSize+size])
		if decision.Reason == routing.ToPlaced && !s.limiter.Allow(flows, members, now) {
			decision = routing.Decision{Reason: routing.DropOverload}
		}
		f.reasons[decision.Reason].Add(1)
		if !decision.Forward() {
			continue
		}
		source, ok := in.messages[i].Addr.(*net.UDPAddr)
		if !ok {
			continue
		}
		header := tunnel.Header{
			Type: tunnel.TypeInbound, Flags: decision.Flags, Service: s.service,
			Owner: decision.Owner, Client: source.AddrPort(),
		}
		f.watchLink(decision, s.service, now)
		link := decision.Link.Socket() % uint32(len(f.links))
		out[link] = append(out[link], in.reply(i, f.sealer.Seal(keys, header, buffer, size), decision.Target))
	}
}

// watchLink records a sent datagram. A relayed one is answered by its owner and
// not over the link that carried it, so it tells nothing about that link.
func (f *Forwarder) watchLink(decision routing.Decision, service identity.ServiceID, now clock.Millis) {
	if decision.Reason == routing.ToRelay {
		return
	}
	switch decision.Link.Sent(now) {
	case routing.LinkProbe:
		f.probe(decision, service)
	case routing.LinkReplaced:
		f.replaced.Add(1)
	}
}

// probe asks the sidecar for a reply on its link.
func (f *Forwarder) probe(decision routing.Decision, service identity.ServiceID) {
	header := tunnel.Header{Type: tunnel.TypeProbe, Service: service, Owner: decision.Owner, Client: decision.Target}
	datagram := f.sealer.Seal(f.config.Keys.Ring().Active(), header, make([]byte, tunnel.Overhead), 0)
	link := f.links[decision.Link.Socket()%uint32(len(f.links))]
	// A probe that is lost is repeated with the traffic.
	_, _ = link.conn.WriteToUDPAddrPort(datagram, decision.Target)
}

func (f *Forwarder) receiveFromSidecars(link *tunnelSocket) {
	in := newBatch(0, bufferSize)
	var run []ipv4.Message
	for {
		n, err := link.packets.ReadBatch(in.messages, 0)
		if err != nil {
			if f.ended(err) {
				return
			}
			continue
		}
		run = f.openBatch(in, n, run[:0])
	}
}

// openBatch sends the datagrams of a batch to their clients, with one system
// call for each run of datagrams of the same service.
func (f *Forwarder) openBatch(in *batch, n int, run []ipv4.Message) []ipv4.Message {
	ring, table := f.config.Keys.Ring(), f.table.Load()
	var current *socket
	for i := range n {
		header, payload, err := tunnel.Open(ring, in.buffers[i][:in.messages[i].N])
		if err != nil {
			f.invalid.Add(1)
			continue
		}
		if m, ok := table.Member(header.Owner); ok {
			m.Link().Received()
		}
		if header.Type != tunnel.TypeOutbound {
			continue
		}
		s := f.socket(header.Service)
		if s == nil {
			continue
		}
		if s != current {
			f.sendToClients(current, run)
			current, run = s, run[:0]
		}
		run = append(run, in.reply(i, payload, header.Client))
	}
	f.sendToClients(current, run)
	return run
}

func (f *Forwarder) sendToClients(s *socket, run []ipv4.Message) {
	if s == nil || len(run) == 0 {
		return
	}
	f.outward.Add(uint64(len(run)))
	f.send(s.packets, run)
}

func (f *Forwarder) socket(id identity.ServiceID) *socket {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	return f.sockets[id]
}

// send writes all messages. A message that the kernel refuses is left out, as
// the network could have lost it.
func (f *Forwarder) send(conn *ipv4.PacketConn, messages []ipv4.Message) {
	for len(messages) > 0 {
		n, err := conn.WriteBatch(messages, 0)
		if err != nil {
			if f.ended(err) {
				return
			}
			n = max(n, 0) + 1
		}
		messages = messages[min(n, len(messages)):]
	}
}

func (f *Forwarder) ended(err error) bool {
	if f.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return true
	}
	// A client or sidecar that closed its port causes an ICMP error, which the
	// kernel reports at the next call.
	f.config.LogEvent("socket-error", err)
	return false
}
