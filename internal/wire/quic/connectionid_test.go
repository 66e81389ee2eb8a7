package quic_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/wire/quic"
	quicgo "github.com/quic-go/quic-go"
)

const (
	service identity.ServiceID = 0x0123456789
	owner   identity.OwnerID   = 0xa1b2c3d4e5f6
)

func newRing(tb testing.TB, active keyring.Generation, generations ...keyring.Generation) *keyring.Ring {
	secrets := map[keyring.Generation][]byte{}
	for _, g := range generations {
		secrets[g] = bytes.Repeat([]byte{byte(g) + 1}, keyring.SecretSize)
	}
	ring, err := keyring.New(active, secrets)
	qt.Assert(tb, err, qt.IsNil)
	return ring
}

// TestConnectionID guards against flows that lose their owner during a key
// rotation.
func TestConnectionID(t *testing.T) {
	c := qt.New(t)
	ring := newRing(c, 1, 0, 1, 6)
	decoder := &quic.Decoder{}
	for _, g := range []keyring.Generation{0, 1, 6} {
		seen := map[[quic.ConnectionIDSize]byte]bool{}
		for nonce := range uint64(100) {
			id := quic.EncodeConnectionID(ring.Keys(g), service, owner, nonce, byte(nonce*37))
			seen[id] = true
			c.Check(id[0]>>5, qt.Equals, byte(g))
			decoded, ok := decoder.Decode(ring, id[:])
			c.Assert(ok, qt.IsTrue)
			c.Check(decoded.Service(), qt.Equals, service)
			c.Check(decoded.Owner(), qt.Equals, owner)
		}
		c.Check(seen, qt.HasLen, 100)
	}
	id := quic.EncodeConnectionID(ring.Keys(0), service, owner, 1, 0)
	_, ok := decoder.Decode(newRing(c, 1, 1), id[:])
	c.Check(ok, qt.IsFalse)
	_, ok = decoder.Decode(ring, id[:quic.ConnectionIDSize-1])
	c.Check(ok, qt.IsFalse)
	// There is no key for generation 7.
	id[0] |= 0xe0
	_, ok = decoder.Decode(ring, id[:])
	c.Check(ok, qt.IsFalse)
}

// TestForgedConnectionID guards against a modified connection ID, or one encrypted with
// another key, that decodes to the original service.
func TestForgedConnectionID(t *testing.T) {
	c := qt.New(t)
	ring := newRing(c, 0, 0, 1)
	decoder := &quic.Decoder{}
	id := quic.EncodeConnectionID(ring.Keys(0), service, owner, 1, 0)
	for bit := 8; bit < len(id)*8; bit++ {
		forged := id
		forged[bit/8] ^= 1 << (bit % 8)
		decoded, ok := decoder.Decode(ring, forged[:])
		c.Assert(ok, qt.IsTrue)
		c.Check(decoded.Service(), qt.Not(qt.Equals), service, qt.Commentf("bit %d", bit))
	}
	otherRing := newRing(c, 1, 1)
	id = quic.EncodeConnectionID(otherRing.Active(), service, owner, 1, 0)
	id[0] &= 0x1f
	decoded, _ := decoder.Decode(ring, id[:])
	c.Check(decoded.Service(), qt.Not(qt.Equals), service)
}

// TestParseHeader guards against a wrong decision on whether the client may have chosen
// the connection ID, and against accepting a packet that is too short or whose connection
// ID is too long. RFC 9000 section 17.2 and RFC 9369 section 3.2 define the packet types.
func TestParseHeader(t *testing.T) {
	c := qt.New(t)
	destination := bytes.Repeat([]byte{0xd0}, 20)
	long := func(first byte, version uint32, size int) []byte {
		packet := []byte{first, byte(version >> 24), byte(version >> 16), byte(version >> 8), byte(version), byte(size)}
		return append(append(packet, destination[:min(size, len(destination))]...), make([]byte, 40)...)
	}
	const v1, v2 = 0x00000001, 0x6b3343cf
	for _, test := range []struct {
		name    string
		first   byte
		version uint32
		want    bool
	}{
		{"v1 Initial", 0xc0, v1, true},
		{"v1 0-RTT", 0xd0, v1, true},
		{"v1 Handshake", 0xe0, v1, false},
		{"v1 Retry", 0xf0, v1, false},
		{"v2 Retry", 0xc0, v2, false},
		{"v2 Initial", 0xd0, v2, true},
		{"v2 0-RTT", 0xe0, v2, true},
		{"v2 Handshake", 0xf0, v2, false},
		{"unknown version", 0xf0, 0x0a0a0a0a, true},
	} {
		for _, size := range []int{0, 8, 17, 20} {
			h, ok := quic.ParseHeader(long(test.first, test.version, size))
			c.Assert(ok, qt.IsTrue, qt.Commentf(test.name))
			c.Check(h.Long(), qt.IsTrue)
			c.Check(h.ClientChosenID(), qt.Equals, test.want, qt.Commentf(test.name))
			c.Check(h.Destination(), qt.HasLen, size)
		}
	}
	_, ok := quic.ParseHeader(long(0xc0, v1, 21))
	c.Check(ok, qt.IsFalse)
	_, ok = quic.ParseHeader(long(0xc0, v1, 20)[:25])
	c.Check(ok, qt.IsFalse)
	h, ok := quic.ParseHeader(append([]byte{0x40}, destination...))
	c.Assert(ok, qt.IsTrue)
	c.Check(h.Long(), qt.IsFalse)
	c.Check(h.ClientChosenID(), qt.IsFalse)
	c.Check(h.Destination(), qt.DeepEquals, destination[:quic.ConnectionIDSize])
	_, ok = quic.ParseHeader(append([]byte{0x40}, destination[:quic.ConnectionIDSize-1]...))
	c.Check(ok, qt.IsFalse)
}

// TestClientHelloOfTwoDatagrams guards against a handshake whose datagrams reach
// different sidecars because their connection IDs differ.
func TestClientHelloOfTwoDatagrams(t *testing.T) {
	c := qt.New(t)
	server, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// Twenty protocol names of 100 bytes exceed one datagram of 1,200 bytes.
		var protocols []string
		for i := range 20 {
			protocols = append(protocols, string(bytes.Repeat([]byte{byte('a' + i)}, 100)))
		}
		_, _ = quicgo.DialAddr(ctx, server.LocalAddr().String(), &tls.Config{InsecureSkipVerify: true, NextProtos: protocols},
			&quicgo.Config{InitialPacketSize: 1200})
	}()
	var destinations [][]byte
	for range 2 {
		buffer := make([]byte, 1500)
		n, err := server.Read(buffer)
		c.Assert(err, qt.IsNil)
		h, ok := quic.ParseHeader(buffer[:n])
		c.Assert(ok, qt.IsTrue)
		c.Check(h.ClientChosenID(), qt.IsTrue)
		destinations = append(destinations, h.Destination())
	}
	c.Check(destinations[0], qt.DeepEquals, destinations[1])
	cancel()
	<-ended
}

// FuzzParseHeader guards against a panic, an allocation and a connection ID outside the
// datagram.
func FuzzParseHeader(f *testing.F) {
	f.Add([]byte{})
	f.Add(append([]byte{0xc0, 0, 0, 0, 1, 255}, make([]byte, 60)...))
	f.Add(append([]byte{0xd0, 0x6b, 0x33, 0x43, 0xcf, 20}, make([]byte, 20)...))
	f.Add(append([]byte{0x40}, make([]byte, quic.ConnectionIDSize)...))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		h, ok := quic.ParseHeader(datagram)
		if ok && !bytes.Contains(datagram, h.Destination()) {
			t.Fatal("connection ID is not a part of the datagram")
		}
		if allocations := testing.AllocsPerRun(1, func() { quic.ParseHeader(datagram) }); allocations > 0 {
			t.Fatalf("%v allocations", allocations)
		}
	})
}

// FuzzDecode guards against a panic and against a forged connection ID that decodes to
// the service.
func FuzzDecode(f *testing.F) {
	ring := newRing(f, 0, 0, 3)
	valid := quic.EncodeConnectionID(ring.Active(), service, owner, 1, 0)
	f.Add(valid[:])
	f.Add([]byte{})
	f.Add(bytes.Repeat([]byte{0xff}, 2*quic.ConnectionIDSize))
	f.Fuzz(func(t *testing.T, id []byte) {
		decoder := &quic.Decoder{}
		decoded, ok := decoder.Decode(ring, id)
		if ok && decoded.Service() == service && !bytes.Equal(id[1:quic.ConnectionIDSize], valid[1:]) {
			t.Fatal("a forged connection ID decodes to the service")
		}
	})
}
