package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Layout and flag bits of the platform's packets.
const (
	headerSize = 34
	maxData    = 1200

	flagReset   = 1
	flagBounced = 4
	flagFinal   = 16
	flagSyn     = 32
	flagAck     = 128

	// resetWindow is how far the seq of a reset of the system's own may be from the client's
	// last ack while the flow is open.
	resetWindow = 76_800
)

// packet is one packet of a flow. src is the end that wrote it.
type packet struct {
	flags    byte
	seq, ack uint32
	src, dst netip.AddrPort
	data     []byte
	// sum is set by decode.
	sum uint32
}

func putIP(b []byte, a netip.Addr) {
	octets := a.As4()
	b[0], b[1], b[2], b[3] = octets[3], octets[2], octets[1], octets[0]
}

func getIP(b []byte) netip.Addr { return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}) }

// encode returns the bytes of a packet with its keyed sum.
func (p packet) encode(key string) []byte {
	b := make([]byte, headerSize+len(p.data))
	b[0] = p.flags
	binary.LittleEndian.PutUint32(b[4:], p.seq)
	binary.LittleEndian.PutUint32(b[8:], p.ack)
	putIP(b[12:], p.dst.Addr())
	binary.LittleEndian.PutUint16(b[16:], p.src.Port())
	putIP(b[18:], p.src.Addr())
	binary.LittleEndian.PutUint16(b[22:], p.dst.Port())
	binary.LittleEndian.PutUint16(b[24:], uint16(len(p.data)))
	copy(b[headerSize:], p.data)
	binary.LittleEndian.PutUint32(b[30:], sumOf(b, key))
	return b
}

// sumOf returns the keyed sum of an encoded packet, which is never 0.
func sumOf(b []byte, key string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(key))
	h.Write([]byte{b[0] &^ flagBounced})
	h.Write(b[4:26])
	h.Write(b[headerSize:])
	return h.Sum32() | 1
}

// decode parses a packet. ok is false if it is not one.
func decode(b []byte) (p packet, ok bool) {
	if len(b) < headerSize || int(binary.LittleEndian.Uint16(b[24:])) != len(b)-headerSize {
		return packet{}, false
	}
	return packet{
		flags: b[0], seq: binary.LittleEndian.Uint32(b[4:]), ack: binary.LittleEndian.Uint32(b[8:]),
		dst: netip.AddrPortFrom(getIP(b[12:]), binary.LittleEndian.Uint16(b[22:])),
		src: netip.AddrPortFrom(getIP(b[18:]), binary.LittleEndian.Uint16(b[16:])),
		sum: binary.LittleEndian.Uint32(b[30:]), data: append([]byte(nil), b[headerSize:]...),
	}, true
}

// genuine reports whether an end of the flow wrote the packet as it is.
func genuine(b []byte, key string) bool {
	return binary.LittleEndian.Uint32(b[30:]) == sumOf(b, key)
}
