package client

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// batch holds the buffers of one system call that receives datagrams. Outgoing
// messages reuse its buffers and addresses, so that steady traffic does not allocate.
type batch struct {
	messages  []ipv4.Message
	buffers   [][]byte
	addresses []net.UDPAddr
	vectors   [][1][]byte
}

// newBatch returns a batch that receives datagrams of up to size bytes at the given
// offset in their buffers. The offset leaves room for a header.
func newBatch(offset, size int) *batch {
	b := &batch{
		messages:  make([]ipv4.Message, batchSize),
		buffers:   make([][]byte, batchSize),
		addresses: make([]net.UDPAddr, batchSize),
		vectors:   make([][1][]byte, batchSize),
	}
	for i := range b.messages {
		b.buffers[i] = make([]byte, bufferSize)
		b.messages[i].Buffers = [][]byte{b.buffers[i][offset : offset+min(size, bufferSize-offset)]}
		b.addresses[i].IP = make(net.IP, 0, net.IPv6len)
	}
	return b
}

// outgoing returns a message that sends data, a slice of buffer i, to target.
func (b *batch) outgoing(i int, data []byte, target netip.AddrPort) ipv4.Message {
	address := &b.addresses[i]
	if ip := target.Addr(); ip.Is4() {
		octets := ip.As4()
		address.IP = append(address.IP[:0], octets[:]...)
	} else {
		octets := ip.As16()
		address.IP = append(address.IP[:0], octets[:]...)
	}
	address.Port = int(target.Port())
	b.vectors[i][0] = data
	return ipv4.Message{Buffers: b.vectors[i][:], Addr: address}
}
