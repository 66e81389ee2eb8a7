// Package segment describes a packet of a client flow: to which flow the packet belongs
// and how it changes the flow's state. Only the codec in package platform reads and writes
// the bytes of packets.
package segment

import (
	"cmp"
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// KeySize is the length of an encoded Key in bytes.
const KeySize = 12

// Key identifies a flow by the IPv4 addresses and ports of its two ends. It is
// comparable. It holds no pointers, so that in large maps of flows the garbage collector
// follows only the pointers in the values.
type Key struct {
	clientIP, serviceIP     uint32
	clientPort, servicePort uint16
}

// NewKey returns the key of the flow between a client and a service address. Both must
// be IPv4.
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

func addrPort(ip uint32, port uint16) netip.AddrPort {
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], ip)
	return netip.AddrPortFrom(netip.AddrFrom4(octets), port)
}

// Client returns the address and port of the client.
func (k Key) Client() netip.AddrPort { return addrPort(k.clientIP, k.clientPort) }

// Service returns the address and port that the client connected to.
func (k Key) Service() netip.AddrPort { return addrPort(k.serviceIP, k.servicePort) }

// Hash returns a hash of the key, which is the same in every process.
func (k Key) Hash() uint64 {
	var buffer [KeySize]byte
	return xxhash.Sum64(k.Append(buffer[:0]))
}

// Compare returns an integer that orders keys by client and then by service.
func (k Key) Compare(other Key) int {
	return cmp.Or(k.Client().Compare(other.Client()), k.Service().Compare(other.Service()))
}

// Append appends the KeySize bytes of the encoded key to b.
func (k Key) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, k.clientIP)
	b = binary.BigEndian.AppendUint16(b, k.clientPort)
	b = binary.BigEndian.AppendUint32(b, k.serviceIP)
	return binary.BigEndian.AppendUint16(b, k.servicePort)
}

// DecodeKey decodes a key from the first KeySize bytes of b. It returns false if b is
// shorter.
func DecodeKey(b []byte) (Key, bool) {
	if len(b) < KeySize {
		return Key{}, false
	}
	return Key{
		clientIP: binary.BigEndian.Uint32(b), clientPort: binary.BigEndian.Uint16(b[4:]),
		serviceIP: binary.BigEndian.Uint32(b[6:]), servicePort: binary.BigEndian.Uint16(b[10:]),
	}, true
}

// String returns the addresses and ports in the form client>service.
func (k Key) String() string { return k.Client().String() + ">" + k.Service().String() }

// Segment is the decoded header of one packet of a flow.
type Segment struct {
	// Key identifies the flow of the packet.
	Key Key
	// Opens is set if the packet requests a new flow or, from an upstream, accepts one.
	Opens bool
	// Acknowledges is set if Acknowledged holds an acknowledgement.
	Acknowledges bool
	// Ends is set if the sender sends no more data.
	Ends bool
	// Resets is set if the sender has aborted the flow.
	Resets bool
	// Returned is set if an upstream has not accepted a client's packet and has sent it
	// back. The packet then differs only in this mark from the one that the client sent.
	Returned bool
	// Sequence is the position of the packet's first data byte in the sender's stream.
	Sequence uint32
	// Acknowledged is the position up to which the sender has received the other end's
	// stream. In a client's request for a new flow it is the number of earlier
	// transmissions of the same request.
	Acknowledged uint32
	// Length is the number of data bytes.
	Length int
}

// IsRequest reports whether the packet is a client's request for a new flow.
func (s Segment) IsRequest() bool { return s.Opens && !s.Acknowledges }

// IsAcceptance reports whether the packet is an upstream's acceptance of a new flow.
func (s Segment) IsAcceptance() bool { return s.Opens && s.Acknowledges }
