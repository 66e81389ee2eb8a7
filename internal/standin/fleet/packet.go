package fleet

import (
	"encoding/binary"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

// Packet header as published by the platform. The simulation has a codec of its own, so
// that it does not share mistakes with the codec of the product.
const (
	headerSize = 34

	flagReset    = 1
	flagReturned = 4
	flagFinal    = 16
	flagOpen     = 32
	flagAck      = 128

	// senderChecksum marks packets of clients and upstreams. Resets that the load balancer
	// itself sends have the checksum 0.
	senderChecksum = 0x5eed
)

// header is the header of a packet, with the request that its data identifies. The data of a
// request or response is the request ID in 8 bytes. Other packets have no data.
type header struct {
	from, to      netip.AddrPort
	flags         byte
	sequence, ack uint32
	checksum      uint32
	// requestID is 0 if the packet has no data.
	requestID uint64
}

func (h header) has(flag byte) bool { return h.flags&flag != 0 }

func putAddress(a netip.AddrPort, ip, port []byte) {
	octets := a.Addr().As4()
	binary.LittleEndian.PutUint32(ip, binary.BigEndian.Uint32(octets[:]))
	binary.LittleEndian.PutUint16(port, a.Port())
}

func getAddress(ip, port []byte) netip.AddrPort {
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], binary.LittleEndian.Uint32(ip))
	return netip.AddrPortFrom(netip.AddrFrom4(octets), binary.LittleEndian.Uint16(port))
}

func (h header) encode() []byte {
	b := make([]byte, headerSize, headerSize+8)
	b[0] = h.flags
	binary.LittleEndian.PutUint32(b[4:], h.sequence)
	binary.LittleEndian.PutUint32(b[8:], h.ack)
	putAddress(h.to, b[12:], b[22:])
	putAddress(h.from, b[18:], b[16:])
	binary.LittleEndian.PutUint32(b[30:], h.checksum)
	if h.requestID != 0 {
		binary.LittleEndian.PutUint16(b[24:], 8)
		b = binary.LittleEndian.AppendUint64(b, h.requestID)
	}
	return b
}

func decode(b []byte) header {
	h := header{
		from: getAddress(b[18:], b[16:]), to: getAddress(b[12:], b[22:]), flags: b[0],
		sequence: binary.LittleEndian.Uint32(b[4:]), ack: binary.LittleEndian.Uint32(b[8:]),
		checksum: binary.LittleEndian.Uint32(b[30:]),
	}
	if len(b) >= headerSize+8 {
		h.requestID = binary.LittleEndian.Uint64(b[headerSize:])
	}
	return h
}

func flowKey(client, service netip.AddrPort) segment.Key { return segment.NewKey(client, service) }
