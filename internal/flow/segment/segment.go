// Package segment holds the product's view of a packet of a client flow: which
// flow it belongs to and what it does to the flow. The bytes of a packet are
// opaque, and the platform's codec reads and writes them.
package segment

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// KeySize is the length of an encoded Key in bytes.
const KeySize = 12

// Key identifies a flow by the addresses of its ends. IPv4 only. It is
// comparable and holds no pointer, so that large maps cost the garbage collector
// nothing.
type Key struct {
	clientIP, serviceIP     uint32
	clientPort, servicePort uint16
}

// NewKey returns the key of the flow between a client and a service address.
func NewKey(client, service netip.AddrPort) Key {
	return Key{
		clientIP: ipv4(client.Addr()), clientPort: client.Port(),
		serviceIP: ipv4(service.Addr()), servicePort: service.Port(),
	}
}

func ipv4(a netip.Addr) uint32 {
	octets := a.As4()
	return binary.BigEndian.Uint32(octets[:])
}

func address(ip uint32, port uint16) netip.AddrPort {
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], ip)
	return netip.AddrPortFrom(netip.AddrFrom4(octets), port)
}

// Client returns the client's end of the flow.
func (k Key) Client() netip.AddrPort { return address(k.clientIP, k.clientPort) }

// Service returns the address that the client called.
func (k Key) Service() netip.AddrPort { return address(k.serviceIP, k.servicePort) }

// Hash returns a hash of the key.
func (k Key) Hash() uint64 {
	var buffer [KeySize]byte
	return xxhash.Sum64(k.Append(buffer[:0]))
}

// Append appends the encoded key, KeySize bytes.
func (k Key) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, k.clientIP)
	b = binary.BigEndian.AppendUint16(b, k.clientPort)
	b = binary.BigEndian.AppendUint32(b, k.serviceIP)
	return binary.BigEndian.AppendUint16(b, k.servicePort)
}

// DecodeKey decodes a key from the first KeySize bytes of b, and reports false if
// b is shorter.
func DecodeKey(b []byte) (Key, bool) {
	if len(b) < KeySize {
		return Key{}, false
	}
	return Key{
		clientIP: binary.BigEndian.Uint32(b), clientPort: binary.BigEndian.Uint16(b[4:]),
		serviceIP: binary.BigEndian.Uint32(b[6:]), servicePort: binary.BigEndian.Uint16(b[10:]),
	}, true
}

// String returns client>service.
func (k Key) String() string { return k.Client().String() + ">" + k.Service().String() }

// Segment is one packet of a flow.
type Segment struct {
	// Key is the flow of the packet.
	Key Key
	// Opens tells that the packet asks for a new flow or, from an upstream,
	// accepts one.
	Opens bool
	// Acknowledges tells that Acknowledged is set.
	Acknowledges bool
	// Ends tells that the sender sends no more data.
	Ends bool
	// Resets tells that the sender has given the flow up.
	Resets bool
	// Returned tells that an upstream has not accepted the packet and that it
	// holds the bytes of the client.
	Returned bool
	// Sequence is the position of the packet's first byte.
	Sequence uint32
	// Acknowledged is the position up to which the sender has received. In the
	// first packet of a client it counts the copies sent before.
	Acknowledged uint32
	// Length of the data in bytes.
	Length int
}

// Requests reports whether the packet is a client's request for a new flow.
func (s Segment) Requests() bool { return s.Opens && !s.Acknowledges }

// Accepts reports whether the packet is an upstream's answer to such a request.
func (s Segment) Accepts() bool { return s.Opens && s.Acknowledges }
