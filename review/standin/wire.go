package main

import (
	"encoding/binary"
	"errors"
	"net/netip"
)

// Layout and flags of a packet, as PROTOCOL.md gives them.
const (
	headSize    = 34
	maxData     = 1200
	flagRST     = 1
	flagBounced = 4
	flagFIN     = 16
	flagSYN     = 32
	flagACK     = 128
	// resetReach is how far the position of a reset may be from the client's last
	// acknowledgement on an open flow.
	resetReach = 76_800
	// senderSum stands for the keyed sum, whose key is not disclosed. It only has to differ
	// from the 0 of a reset by the system.
	senderSum = 0xa1b2c3d4
)

var errPacket = errors.New("not a packet")

// packet is a decoded packet. raw holds its bytes as received.
type packet struct {
	flags    byte
	seq, ack uint32
	src, dst netip.AddrPort
	sum      uint32
	data     []byte
	raw      []byte
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

func address(ip uint32, port uint16) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], ip)
	return netip.AddrPortFrom(netip.AddrFrom4(b), port)
}

func number(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func decode(raw []byte) (packet, error) {
	if len(raw) < headSize || len(raw) != headSize+int(binary.LittleEndian.Uint16(raw[24:])) {
		return packet{}, errPacket
	}
	le := binary.LittleEndian
	return packet{
		flags: raw[0], seq: le.Uint32(raw[4:]), ack: le.Uint32(raw[8:]),
		dst: address(le.Uint32(raw[12:]), le.Uint16(raw[22:])), src: address(le.Uint32(raw[18:]), le.Uint16(raw[16:])),
		sum: le.Uint32(raw[30:]), data: raw[headSize:], raw: raw,
	}, nil
}

func (p packet) encode() []byte {
	raw := make([]byte, headSize+len(p.data))
	le := binary.LittleEndian
	raw[0] = p.flags
	le.PutUint32(raw[4:], p.seq)
	le.PutUint32(raw[8:], p.ack)
	le.PutUint32(raw[12:], number(p.dst.Addr()))
	le.PutUint16(raw[16:], p.src.Port())
	le.PutUint32(raw[18:], number(p.src.Addr()))
	le.PutUint16(raw[22:], p.dst.Port())
	le.PutUint16(raw[24:], uint16(len(p.data)))
	le.PutUint32(raw[30:], senderSum)
	copy(raw[headSize:], p.data)
	return raw
}
