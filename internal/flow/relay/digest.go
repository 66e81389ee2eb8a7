package relay

import (
	"encoding/binary"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// Layout of an encoded digest: kind, version, interval, report interval, the lengths of
// the three lists, and the lists with four bytes for each host.
const (
	digestHead = 1 + 8 + 4 + 4 + digestLists*2
	// digestLists is the number of lists.
	digestLists = 3
	hostSize    = 4
	// MaxHosts is the number of hosts in all lists of one digest.
	MaxHosts = (MaxMessage - digestHead) / hostSize
)

// Digest is what a balancer knows.
type Digest struct {
	// Version is that of the configuration in effect; 0 means none.
	Version uint64
	// Interval is the time to the sender's next digest to the same receiver.
	Interval clock.Millis
	// ReportInterval is the time between two reports of a sidecar that the sender can
	// take.
	ReportInterval clock.Millis
	// Balancers are hosts that the sender hears, Sidecars those whose upstreams may
	// hold flows, and Siblings those of the receiver's service. Addresses are IPv4.
	Balancers, Sidecars, Siblings []netip.Addr
}

func (d *Digest) lists() [digestLists]*[]netip.Addr {
	return [...]*[]netip.Addr{&d.Balancers, &d.Sidecars, &d.Siblings}
}

func (d *Digest) append(b []byte) ([]byte, error) {
	b = append(b, byte(KindDigest))
	b = binary.BigEndian.AppendUint64(b, d.Version)
	b = binary.BigEndian.AppendUint32(b, uint32(max(d.Interval, 0)))
	b = binary.BigEndian.AppendUint32(b, uint32(max(d.ReportInterval, 0)))
	hosts := 0
	for _, list := range d.lists() {
		hosts += len(*list)
		b = binary.BigEndian.AppendUint16(b, uint16(len(*list)))
	}
	if hosts > MaxHosts {
		return b, errMessage
	}
	for _, list := range d.lists() {
		for _, host := range *list {
			octets := host.As4()
			b = append(b, octets[:]...)
		}
	}
	return b, nil
}

func decodeDigest(data []byte) (Digest, error) {
	if len(data) < digestHead {
		return Digest{}, errMessage
	}
	d := Digest{
		Version:        binary.BigEndian.Uint64(data[1:]),
		Interval:       clock.Millis(binary.BigEndian.Uint32(data[9:])),
		ReportInterval: clock.Millis(binary.BigEndian.Uint32(data[13:])),
	}
	rest := data[digestHead:]
	for i, list := range d.lists() {
		length := int(binary.BigEndian.Uint16(data[17+2*i:]))
		if len(rest) < length*hostSize {
			return Digest{}, errMessage
		}
		for range length {
			*list = append(*list, netip.AddrFrom4([hostSize]byte(rest)))
			rest = rest[hostSize:]
		}
	}
	if len(rest) > 0 {
		return Digest{}, errMessage
	}
	return d, nil
}
