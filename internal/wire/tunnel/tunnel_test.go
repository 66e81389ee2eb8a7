package tunnel_test

import (
	"bytes"
	"net/netip"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/wire/tunnel"
)

const sender identity.OwnerID = 0xa1b2c3d4e5f6

func newRing(tb testing.TB, active keyring.Generation, generations ...keyring.Generation) *keyring.Ring {
	secrets := map[keyring.Generation][]byte{}
	for _, g := range generations {
		secrets[g] = bytes.Repeat([]byte{byte(g) + 1}, keyring.SecretSize)
	}
	ring, err := keyring.New(active, secrets)
	qt.Assert(tb, err, qt.IsNil)
	return ring
}

func header(client string) tunnel.Header {
	return tunnel.Header{
		Type: tunnel.TypeInbound, Flags: tunnel.FlagRelay, Service: 0x0123456789,
		Owner: 0x0123456789ab, Client: netip.MustParseAddrPort(client),
	}
}

func seal(sealer *tunnel.Sealer, ring *keyring.Ring, h tunnel.Header, payload []byte) []byte {
	buffer := make([]byte, len(payload)+tunnel.Overhead)
	copy(buffer[tunnel.HeaderSize:], payload)
	return sealer.Seal(ring.Active(), h, buffer, len(payload))
}

// TestRoundTrip guards against a header or payload that changes between Seal and Open.
func TestRoundTrip(t *testing.T) {
	c := qt.New(t)
	ring := newRing(c, 2, 0, 2)
	sealer := tunnel.NewSealer(sender)
	for _, client := range []string{"192.0.2.7:443", "[2001:db8::7]:65535", "127.0.0.1:1"} {
		for _, size := range []int{0, 1, 1200, tunnel.MaxPayload} {
			payload := bytes.Repeat([]byte{byte(size)}, size)
			datagram := seal(sealer, ring, header(client), payload)
			c.Check(len(datagram), qt.Equals, size+tunnel.Overhead)
			got, content, err := tunnel.Open(ring, datagram)
			c.Assert(err, qt.IsNil)
			want := header(client)
			want.Sender = sender
			c.Check(got, qt.Equals, want)
			c.Check(content, qt.DeepEquals, payload)
		}
	}
}

// TestEveryBitIsAuthentic guards against a field that an attacker on the path can modify.
func TestEveryBitIsAuthentic(t *testing.T) {
	c := qt.New(t)
	ring := newRing(c, 0, 0, 1, 2, 3, 4, 5, 6)
	datagram := seal(tunnel.NewSealer(sender), ring, header("192.0.2.7:443"), []byte("payload"))
	for bit := range len(datagram) * 8 {
		changed := slices.Clone(datagram)
		changed[bit/8] ^= 1 << (bit % 8)
		_, _, err := tunnel.Open(ring, changed)
		c.Check(err, qt.Equals, tunnel.ErrInvalid, qt.Commentf("bit %d", bit))
	}
	for size := range datagram {
		_, _, err := tunnel.Open(ring, slices.Clone(datagram[:size]))
		c.Check(err, qt.Equals, tunnel.ErrInvalid, qt.Commentf("%d bytes", size))
	}
}

// TestGenerations guards against lost datagrams between two processes that activate a
// key generation at different times, and against accepting an unauthenticated sender.
func TestGenerations(t *testing.T) {
	c := qt.New(t)
	sealer := tunnel.NewSealer(sender)
	datagram := seal(sealer, newRing(c, 0, 0, 1), header("192.0.2.7:443"), nil)
	_, _, err := tunnel.Open(newRing(c, 1, 0, 1), slices.Clone(datagram))
	c.Check(err, qt.IsNil)
	_, _, err = tunnel.Open(newRing(c, 1, 1), slices.Clone(datagram))
	c.Check(err, qt.Equals, tunnel.ErrInvalid)
	otherRing, err := keyring.New(0, map[keyring.Generation][]byte{0: make([]byte, keyring.SecretSize)})
	c.Assert(err, qt.IsNil)
	_, _, err = tunnel.Open(otherRing, slices.Clone(datagram))
	c.Check(err, qt.Equals, tunnel.ErrInvalid)
}

// TestNonceIsUnique guards against a repeated nonce, which would reveal the AES-GCM key
// stream and allow forgeries.
func TestNonceIsUnique(t *testing.T) {
	c := qt.New(t)
	ring := newRing(c, 0, 0)
	seen := map[string]bool{}
	for _, owner := range []identity.OwnerID{sender, sender + 1} {
		sealer := tunnel.NewSealer(owner)
		for range 1000 {
			seen[string(seal(sealer, ring, header("192.0.2.7:443"), nil)[2:14])] = true
		}
	}
	c.Check(seen, qt.HasLen, 2000)
}

// FuzzOpen guards against a panic, an accepted forgery and a payload longer than its
// datagram, in code that unauthenticated senders can reach.
func FuzzOpen(f *testing.F) {
	ring := newRing(f, 1, 1)
	valid := seal(tunnel.NewSealer(sender), ring, header("192.0.2.7:443"), []byte("payload"))
	f.Add(valid)
	f.Add(valid[:tunnel.Overhead])
	f.Add([]byte{})
	f.Add(make([]byte, tunnel.Overhead+tunnel.MaxPayload))
	f.Fuzz(func(t *testing.T, original []byte) {
		// Open decrypts in place, and the fuzzing engine must keep its input unchanged.
		datagram := slices.Clone(original)
		_, payload, err := tunnel.Open(ring, datagram)
		if err == nil && !bytes.Equal(original, valid) {
			t.Fatal("accepted a datagram that was not sealed")
		}
		if err == nil && len(payload) > len(datagram) {
			t.Fatal("payload is longer than its datagram")
		}
	})
}
