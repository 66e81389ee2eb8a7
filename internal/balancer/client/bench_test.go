package client

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/balancer/routing"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/wire/quic"
	"github.com/orioledyke/orioledyke/internal/wire/tunnel"
	"golang.org/x/net/ipv4"
)

const benchPayload = 1200

var loopback = netip.MustParseAddr("127.0.0.1")

// bench holds the sockets that the balancer and the baseline relay share.
type bench struct {
	client, entry, sidecar        *net.UDPConn
	send                          []ipv4.Message
	clientPackets, sidecarPackets *ipv4.PacketConn
	discard                       []ipv4.Message
	forwarder                     *Forwarder
	socket                        *serviceSocket
}

func listenLoopback(c *qt.C) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: loopback.AsSlice()})
	c.Assert(err, qt.IsNil)
	enlargeBuffers(conn)
	return conn
}

func newBench(ctx context.Context, c *qt.C, services, members int) *bench {
	ring, err := keyring.New(0, map[keyring.Generation][]byte{0: make([]byte, keyring.SecretSize)})
	c.Assert(err, qt.IsNil)
	b := &bench{client: listenLoopback(c), entry: listenLoopback(c), sidecar: listenLoopback(c)}
	target := b.sidecar.LocalAddr().(*net.UDPAddr).AddrPort()
	all := make([]routing.Member, members)
	for i := range all {
		all[i] = routing.Member{
			Owner: identity.OwnerID(i + 1), Service: identity.NewServiceID("customer", string(rune('a'+i%services))),
			Tunnel: target, Weight: routing.MaxWeight,
		}
	}
	b.forwarder, err = NewForwarder(ctx, Config{
		Entry: loopback, Tunnel: listenLoopback(c), Self: identity.NewOwnerID(),
		Keys: keyring.NewStore(ring), Clock: clock.System(), LogEvent: func(string, error) {},
	})
	c.Assert(err, qt.IsNil)
	b.forwarder.SetTable(routing.NewTable().With(all, nil))
	service := all[0].Service
	b.socket = &serviceSocket{service: service, conn: b.entry, packets: ipv4.NewPacketConn(b.entry)}
	for i := range batchSize {
		m := all[(i*services)%members]
		id := quic.EncodeConnectionID(ring.Active(), service, m.Owner, uint64(i), 0)
		packet := make([]byte, benchPayload)
		packet[0] = 0x40
		copy(packet[1:], id[:])
		b.send = append(b.send, ipv4.Message{Buffers: [][]byte{packet}, Addr: b.entry.LocalAddr()})
		b.discard = append(b.discard, ipv4.Message{Buffers: [][]byte{make([]byte, bufferSize)}})
	}
	b.clientPackets, b.sidecarPackets = ipv4.NewPacketConn(b.client), ipv4.NewPacketConn(b.sidecar)
	return b
}

// fill sends one batch to the entry socket.
func (b *bench) fill() { _, _ = b.clientPackets.WriteBatch(b.send, 0) }

// drain reads n datagrams from the sidecar's socket.
func (b *bench) drain(n int) {
	for n > 0 {
		got, err := b.sidecarPackets.ReadBatch(b.discard, 0)
		if err != nil {
			return
		}
		n -= got
	}
}

// BenchmarkForward compares the balancer with a plain relay that receives and sends
// batches over the same sockets. Only receiving, routing and sending are timed. The
// target is a ratio of at least 0.8.
func BenchmarkForward(b *testing.B) {
	c := qt.New(b)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	bench := newBench(ctx, c, 1, 10)
	relayIn, forwardIn := newBatch(tunnel.HeaderSize, tunnel.MaxPayload), newBatch(tunnel.HeaderSize, tunnel.MaxPayload)
	target := bench.sidecar.LocalAddr().(*net.UDPAddr).AddrPort()
	out := make([]ipv4.Message, 0, batchSize)
	output := bench.forwarder.newOutput()
	router := &routing.Router{}
	relay := func() int {
		n, _ := bench.socket.packets.ReadBatch(relayIn.messages, 0)
		out = out[:0]
		for i := range n {
			out = append(out, relayIn.outgoing(i, relayIn.buffers[i][tunnel.HeaderSize:tunnel.HeaderSize+relayIn.messages[i].N], target))
		}
		bench.forwarder.send(bench.forwarder.tunnelSockets[0].packets, out)
		return n
	}
	forward := func() int {
		n, _ := bench.socket.packets.ReadBatch(forwardIn.messages, 0)
		bench.forwarder.sealBatch(bench.socket, router, forwardIn, n, output)
		bench.forwarder.sendToSidecars(output)
		return n
	}
	var relayTime, forwardTime time.Duration
	datagrams := 0
	measure := func(step func() int) time.Duration {
		bench.fill()
		start := time.Now()
		done := 0
		for done < batchSize {
			done += step()
		}
		elapsed := time.Since(start)
		bench.drain(done)
		return elapsed
	}
	for b.Loop() {
		relayTime += measure(relay)
		forwardTime += measure(forward)
		datagrams += batchSize
	}
	b.ReportMetric(float64(datagrams)/relayTime.Seconds(), "relay-datagrams/s")
	b.ReportMetric(float64(datagrams)/forwardTime.Seconds(), "balancer-datagrams/s")
	b.ReportMetric(relayTime.Seconds()/forwardTime.Seconds(), "ratio")
}
