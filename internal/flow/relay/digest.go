package relay

import (
	"encoding/binary"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// An encoded digest consists of the kind, version, interval, report interval, the lengths
// of the three lists, and the lists with four bytes for each host.
const (
	digestHeaderSize = 1 + 8 + 4 + 4 + digestListCount*2
	digestListCount  = 3
	hostSize         = 4
	// MaxHosts is the maximum number of hosts in all lists of one digest together.
	MaxHosts = (MaxMessage - digestHeaderSize) / hostSize
)

// Digest is what a balancer knows about the configuration and about other hosts.
type Digest struct {
	// Version is the version of the configuration in effect at the sender; 0 means none.
	Version uint64
	// Interval is the time until the sender's next digest to the same receiver.
	Interval clock.Millis
	// ReportInterval is the minimum time that the sender requires between two reports of
	// the same sidecar, so that it can handle the reports of all sidecars.
	ReportInterval clock.Millis
	// Balancers are the hosts of the balancers from which the sender gets messages.
	// Sidecars are the hosts of the sidecars whose upstreams may hold flows. Siblings are
	// the hosts of all sidecars of the receiver's service. All addresses are IPv4.
	Balancers, Sidecars, Siblings []netip.Addr
}

// lists returns the host lists in the order of their encoding.
func (d *Digest) lists() [digestListCount]*[]netip.Addr {
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
		return b, errInvalidMessage
	}
	for _, list := range d.lists() {
		b = appendHosts(b, *list)
	}
	return b, nil
}

func decodeDigest(data []byte) (Digest, error) {
	if len(data) < digestHeaderSize {
		return Digest{}, errInvalidMessage
	}
	d := Digest{
		Version:        binary.BigEndian.Uint64(data[1:]),
		Interval:       clock.Millis(binary.BigEndian.Uint32(data[9:])),
		ReportInterval: clock.Millis(binary.BigEndian.Uint32(data[13:])),
	}
	rest := data[digestHeaderSize:]
	for i, list := range d.lists() {
		length := int(binary.BigEndian.Uint16(data[17+2*i:]))
		if len(rest) < length*hostSize {
			return Digest{}, errInvalidMessage
		}
		*list = decodeHosts(rest[:length*hostSize])
		rest = rest[length*hostSize:]
	}
	if len(rest) > 0 {
		return Digest{}, errInvalidMessage
	}
	return d, nil
}
