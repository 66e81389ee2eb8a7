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
	// batchSize is the maximum number of datagrams per system call.
	batchSize = 64
	// spareSockets is the number of tunnel sockets in addition to Config.Tunnel. A
	// silent path moves to the next socket in turn.
	spareSockets     = 2
	bufferSize       = tunnel.HeaderSize + tunnel.MaxPayload + tunnel.Overhead
	socketBufferSize = 4 << 20
)

// Config configures a Forwarder.
type Config struct {
	// Entry is the address at which clients reach all services. Each service has its
	// own port.
	Entry netip.Addr
	// Tunnel is the first socket to the sidecars. The Forwarder closes it.
	Tunnel *net.UDPConn
	// Self identifies this incarnation of the balancer.
	Self  identity.OwnerID
	Keys  *keyring.Store
	Clock clock.Clock
	// LogEvent receives socket errors that do not stop the Forwarder.
	LogEvent func(event string, err error)
}

// Forwarder owns the sockets of a balancer's data path. It keeps no state per flow.
type Forwarder struct {
	config Config
	sealer *tunnel.Sealer
	// tunnelSockets are the sockets to the sidecars. The first is Config.Tunnel. The
	// others are spares for paths that are silent.
	tunnelSockets       []*tunnelSocket
	table               atomic.Pointer[routing.Table]
	decisions           [routing.ReasonCount]atomic.Uint64
	invalid             atomic.Uint64
	inbound             atomic.Uint64
	outbound            atomic.Uint64
	linkSocketsReplaced atomic.Uint64

	mutex          sync.RWMutex
	serviceSockets map[identity.ServiceID]*serviceSocket
	workers        sync.Pool
	ctx            context.Context
	goroutines     sync.WaitGroup
}

type tunnelSocket struct {
	conn    *net.UDPConn
	packets *ipv4.PacketConn
}

// Service describes the entry of a service on this balancer.
type Service struct {
	// Port is the UDP port at the entry address.
	Port uint16
	// MaxFlows is the number of flows that the contract allows each sidecar. It determines
	// the rate at which first packets of new flows may pass. 0 means no limit.
	MaxFlows int
}

type serviceSocket struct {
	service  identity.ServiceID
	port     uint16
	maxFlows atomic.Int64
	limiter  routing.Limiter
	conn     *net.UDPConn
	packets  *ipv4.PacketConn
}

// NewForwarder returns a Forwarder that already receives from sidecars. It serves
// clients after SetServices. It stops when ctx ends; Wait returns once it has
// stopped.
func NewForwarder(ctx context.Context, config Config) (*Forwarder, error) {
	f := &Forwarder{
		config:         config,
		sealer:         tunnel.NewSealer(config.Self),
		serviceSockets: map[identity.ServiceID]*serviceSocket{},
		ctx:            ctx,
	}
	f.table.Store(routing.NewTable())
	f.addTunnelSocket(config.Tunnel)
	local := config.Tunnel.LocalAddr().(*net.UDPAddr)
	for range spareSockets {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: local.IP, Zone: local.Zone})
		if err != nil {
			f.closeTunnelSockets()
			return nil, oops.Code("tunnel-address-unavailable").Wrapf(err, "open spare tunnel socket")
		}
		f.addTunnelSocket(conn)
	}
	f.workers.New = func() any {
		return &worker{in: newBatch(tunnel.HeaderSize, tunnel.MaxPayload), out: f.newOutput()}
	}
	for _, s := range f.tunnelSockets {
		f.goroutines.Go(func() { f.receiveFromSidecars(s) })
	}
	f.goroutines.Go(func() {
		<-ctx.Done()
		f.close()
	})
	return f, nil
}

func (f *Forwarder) addTunnelSocket(conn *net.UDPConn) {
	enlargeBuffers(conn)
	f.tunnelSockets = append(f.tunnelSockets, &tunnelSocket{conn: conn, packets: ipv4.NewPacketConn(conn)})
}

func (f *Forwarder) closeTunnelSockets() {
	for _, s := range f.tunnelSockets {
		_ = s.conn.Close()
	}
}

// Wait blocks until all goroutines of the Forwarder have ended.
func (f *Forwarder) Wait() { f.goroutines.Wait() }

// SetTable replaces the table of members.
func (f *Forwarder) SetTable(table *routing.Table) { f.table.Store(table) }

// Table returns the current table of members.
func (f *Forwarder) Table() *routing.Table { return f.table.Load() }

// Decisions returns the number of client datagrams that were forwarded or
// dropped for reason.
func (f *Forwarder) Decisions(reason routing.Reason) uint64 { return f.decisions[reason].Load() }

// InvalidDatagrams returns the number of tunnel datagrams that were malformed or not
// authentic.
func (f *Forwarder) InvalidDatagrams() uint64 { return f.invalid.Load() }

// Inbound returns the number of datagrams received from clients.
func (f *Forwarder) Inbound() uint64 { return f.inbound.Load() }

// Outbound returns the number of datagrams sent to clients.
func (f *Forwarder) Outbound() uint64 { return f.outbound.Load() }

// LinkSocketsReplaced returns how often a silent path to a sidecar moved to another
// socket.
func (f *Forwarder) LinkSocketsReplaced() uint64 { return f.linkSocketsReplaced.Load() }

// SetServices opens sockets for new services and closes those of services that were
// removed or have a different port. The error joins the errors of all ports that cannot
// be opened. The other services work nevertheless.
func (f *Forwarder) SetServices(services map[identity.ServiceID]Service) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for id, s := range f.serviceSockets {
		if service, ok := services[id]; !ok || service.Port != s.port {
			_ = s.conn.Close()
			delete(f.serviceSockets, id)
		}
	}
	var errs []error
	for id, service := range services {
		if s, ok := f.serviceSockets[id]; ok {
			s.maxFlows.Store(int64(service.MaxFlows))
			continue
		}
		if err := f.open(id, service); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

func (f *Forwarder) open(id identity.ServiceID, service Service) error {
	address := netip.AddrPortFrom(f.config.Entry, service.Port)
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return oops.Code("entry-address-unavailable").Wrapf(err, "open %s", address)
	}
	enlargeBuffers(conn)
	s := &serviceSocket{service: id, port: service.Port, conn: conn, packets: ipv4.NewPacketConn(conn)}
	s.maxFlows.Store(int64(service.MaxFlows))
	f.serviceSockets[id] = s
	f.goroutines.Go(func() { f.receiveFromClients(s) })
	return nil
}

func (f *Forwarder) close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closeTunnelSockets()
	for _, s := range f.serviceSockets {
		_ = s.conn.Close()
	}
}

func enlargeBuffers(conn *net.UDPConn) {
	// The kernel silently limits the size. A smaller buffer is not an error.
	_ = conn.SetReadBuffer(socketBufferSize)
	_ = conn.SetWriteBuffer(socketBufferSize)
}

// receiveFromClients holds buffers only while there are datagrams to receive. If each
// service kept buffers of its own, a thousand idle services would take 150 MB.
func (f *Forwarder) receiveFromClients(s *serviceSocket) {
	for {
		if err := waitReadable(s.conn); err != nil {
			if f.stopOnError(err) {
				return
			}
			continue
		}
		w := f.workers.Get().(*worker)
		err := f.forwardAll(s, w)
		f.workers.Put(w)
		if err != nil && f.stopOnError(err) {
			return
		}
	}
}

// worker holds the buffers and the router with which one goroutine forwards datagrams
// of any service.
type worker struct {
	in     *batch
	out    [][]ipv4.Message
	router routing.Router
}

// forwardAll forwards datagrams until the socket is empty.
func (f *Forwarder) forwardAll(s *serviceSocket, w *worker) error {
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

// waitReadable blocks until the socket has a datagram or an error to read.
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

// newOutput returns an empty list of messages for each tunnel socket.
func (f *Forwarder) newOutput() [][]ipv4.Message {
	out := make([][]ipv4.Message, len(f.tunnelSockets))
	for i := range out {
		out[i] = make([]ipv4.Message, 0, batchSize)
	}
	return out
}

func (f *Forwarder) sendToSidecars(out [][]ipv4.Message) {
	for i, messages := range out {
		if len(messages) > 0 {
			f.send(f.tunnelSockets[i].packets, messages)
			out[i] = messages[:0]
		}
	}
}

func (f *Forwarder) sealBatch(s *serviceSocket, router *routing.Router, in *batch, n int, out [][]ipv4.Message) {
	table, ring, now := f.table.Load(), f.config.Keys.Ring(), f.config.Clock.Now()
	keys := ring.Active()
	flows, members := int(s.maxFlows.Load()), len(table.Members(s.service))
	for i := range n {
		size := in.messages[i].N
		buffer := in.buffers[i]
		decision := router.Route(table, ring, s.service, buffer[tunnel.HeaderSize:tunnel.HeaderSize+size])
		if decision.Reason == routing.ToPlaced && !s.limiter.Allow(flows, members, now) {
			decision = routing.Decision{Reason: routing.DropOverload}
		}
		f.decisions[decision.Reason].Add(1)
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
		f.recordSent(decision, s.service, now)
		index := decision.Link.Socket() % uint32(len(f.tunnelSockets))
		out[index] = append(out[index], in.outgoing(i, f.sealer.Seal(keys, header, buffer, size), decision.Target))
	}
}

// recordSent records a datagram sent over the link of decision, and probes the link if
// necessary. It ignores a datagram that is to be relayed, because the owner responds to
// it over another link.
func (f *Forwarder) recordSent(decision routing.Decision, service identity.ServiceID, now clock.Millis) {
	if decision.Reason == routing.ToRelay {
		return
	}
	switch decision.Link.Sent(now) {
	case routing.LinkProbe:
		f.probe(decision, service)
	case routing.LinkSocketReplaced:
		f.linkSocketsReplaced.Add(1)
	}
}

// probe sends a probe to the sidecar, which responds on the same link.
func (f *Forwarder) probe(decision routing.Decision, service identity.ServiceID) {
	header := tunnel.Header{Type: tunnel.TypeProbe, Service: service, Owner: decision.Owner, Client: decision.Target}
	datagram := f.sealer.Seal(f.config.Keys.Ring().Active(), header, make([]byte, tunnel.Overhead), 0)
	s := f.tunnelSockets[decision.Link.Socket()%uint32(len(f.tunnelSockets))]
	// A lost probe needs no retransmission, because later traffic triggers another.
	_, _ = s.conn.WriteToUDPAddrPort(datagram, decision.Target)
}

func (f *Forwarder) receiveFromSidecars(s *tunnelSocket) {
	in := newBatch(0, bufferSize)
	var replies []ipv4.Message
	for {
		n, err := s.packets.ReadBatch(in.messages, 0)
		if err != nil {
			if f.stopOnError(err) {
				return
			}
			continue
		}
		replies = f.openBatch(in, n, replies[:0])
	}
}

// openBatch decrypts a batch, records that the links of the senders respond, and sends
// the outbound datagrams to their clients. Consecutive datagrams of the same service
// share one system call. It returns replies for reuse.
func (f *Forwarder) openBatch(in *batch, n int, replies []ipv4.Message) []ipv4.Message {
	ring, table := f.config.Keys.Ring(), f.table.Load()
	var current *serviceSocket
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
		s := f.serviceSocket(header.Service)
		if s == nil {
			continue
		}
		if s != current {
			f.sendToClients(current, replies)
			current, replies = s, replies[:0]
		}
		replies = append(replies, in.outgoing(i, payload, header.Client))
	}
	f.sendToClients(current, replies)
	return replies
}

func (f *Forwarder) sendToClients(s *serviceSocket, replies []ipv4.Message) {
	if s == nil || len(replies) == 0 {
		return
	}
	f.outbound.Add(uint64(len(replies)))
	f.send(s.packets, replies)
}

func (f *Forwarder) serviceSocket(id identity.ServiceID) *serviceSocket {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	return f.serviceSockets[id]
}

// send writes all messages. It skips a message that the kernel refuses. The message is
// lost, as it could have been in the network.
func (f *Forwarder) send(conn *ipv4.PacketConn, messages []ipv4.Message) {
	for len(messages) > 0 {
		n, err := conn.WriteBatch(messages, 0)
		if err != nil {
			if f.stopOnError(err) {
				return
			}
			n = max(n, 0) + 1
		}
		messages = messages[min(n, len(messages)):]
	}
}

// stopOnError reports whether the Forwarder or the socket is closed. It logs any other
// error.
func (f *Forwarder) stopOnError(err error) bool {
	if f.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return true
	}
	// A client or sidecar that has closed its port causes an ICMP error, which the
	// kernel reports on the next call.
	f.config.LogEvent("socket-error", err)
	return false
}
