package bulk

import (
	"bytes"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// maxBacklog is how long the packets may queue on the link itself. Links drop packets
	// after a few tens of milliseconds, which stops a client for 200 ms and longer. All
	// other packets are delayed by up to this time.
	maxBacklog clock.Millis = 25
	// releaseInterval is the time between two releases of packets that are kept back.
	releaseInterval clock.Millis = 8
	// headerBytes is what a datagram takes on the link in addition to its data.
	headerBytes = 40
	// rateShare is the share of the link's rate that is used. The rest is for traffic that
	// the Pacer does not see.
	rateShare = 0.95
	// maxHeld bounds the memory for packets that are kept back.
	maxHeld = 1024
)

// Packet is a datagram to a sidecar.
type Packet struct {
	To   netip.AddrPort
	Data []byte
}

// Pacer keeps packets of bulk flows back while the link is busy, so that the link drops
// none and packets of other flows overtake them. It answers uploads on links so slow that
// the window of a single client fills the queue of the link. It is not safe for concurrent
// use.
type Pacer struct {
	// bytesPerMillis is 0 if the rate is unknown. No packet is kept back then.
	bytesPerMillis float64
	// backlog is the number of bytes that queued on the link at the time measuredAt.
	backlog    float64
	measuredAt clock.Millis
	held       []Packet
}

// NewPacer returns a Pacer for a link of the given rate in megabits per second. 0 means
// that the rate is unknown.
func NewPacer(rateMbps float64) *Pacer {
	return &Pacer{bytesPerMillis: max(rateMbps, 0) * rateShare * bitsPerMillis / bitsPerByte}
}

// Sent records that a datagram with the given number of bytes was sent.
func (p *Pacer) Sent(now clock.Millis, size int) {
	if p.bytesPerMillis > 0 {
		p.backlog = p.currentBacklog(now) + float64(size+headerBytes)
		p.measuredAt = now
	}
}

// Hold keeps a packet of a bulk flow back if the link is busy, or if earlier packets are
// kept back. If it returns false, the caller sends the packet at once. Beyond a limit,
// packets are dropped, as the link would do. Hold copies the packet's data.
func (p *Pacer) Hold(now clock.Millis, packet Packet) bool {
	if len(p.held) == 0 && p.hasRoom(now) {
		return false
	}
	if len(p.held) < maxHeld {
		packet.Data = bytes.Clone(packet.Data)
		p.held = append(p.held, packet)
	}
	return true
}

// Release removes and returns the next packet that is kept back, if the link has room for
// it. The caller sends the packet and records this before the next call.
func (p *Pacer) Release(now clock.Millis) (Packet, bool) {
	if len(p.held) == 0 || !p.hasRoom(now) {
		return Packet{}, false
	}
	next := p.held[0]
	p.held[0] = Packet{}
	p.held = p.held[1:]
	return next, true
}

// NextRelease returns when Release is to be called next, or 0 if no packet is kept back.
func (p *Pacer) NextRelease() clock.Millis {
	if len(p.held) == 0 {
		return 0
	}
	return p.measuredAt + releaseInterval
}

func (p *Pacer) hasRoom(now clock.Millis) bool {
	return p.currentBacklog(now) <= p.bytesPerMillis*float64(maxBacklog)
}

func (p *Pacer) currentBacklog(now clock.Millis) float64 {
	return max(p.backlog-float64(now-p.measuredAt)*p.bytesPerMillis, 0)
}
