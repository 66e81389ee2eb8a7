// Package sibling exchanges loads with the other sidecars of a service, which are the
// siblings of this one, and sends requests to them over HTTPS.
package sibling

import (
	"encoding/binary"
	"errors"
	"math"
)

// Layout of a load message, with sizes in bytes: version (1), flags (1), open flows
// (4), slots in use (2), slots (2), queue length (4).
const (
	loadVersion = 1
	loadSize    = 14
	flagLeaving = 1
)

// ErrInvalidLoad is returned for a message that is not a valid load message.
var ErrInvalidLoad = errors.New("load message is malformed")

// Load is the load that a sidecar reports to its siblings.
type Load struct {
	Leaving bool
	// Flows is the number of open flows.
	Flows int
	// InUse is the number of slots in use.
	InUse int
	Slots int
	// Queued is the number of requests that wait for a slot.
	Queued int
}

// Encode returns the load message. A number outside the range of its field is
// replaced by the nearest number within the range.
func (l Load) Encode() []byte {
	b := make([]byte, 0, loadSize)
	var flags byte
	if l.Leaving {
		flags = flagLeaving
	}
	b = append(b, loadVersion, flags)
	b = binary.BigEndian.AppendUint32(b, uint32(clamp(l.Flows, math.MaxUint32)))
	b = binary.BigEndian.AppendUint16(b, uint16(clamp(l.InUse, math.MaxUint16)))
	b = binary.BigEndian.AppendUint16(b, uint16(clamp(l.Slots, math.MaxUint16)))
	return binary.BigEndian.AppendUint32(b, uint32(clamp(l.Queued, math.MaxUint32)))
}

// ParseLoad decodes a load message. The error is ErrInvalidLoad.
func ParseLoad(b []byte) (Load, error) {
	if len(b) != loadSize || b[0] != loadVersion || b[1]&^flagLeaving != 0 {
		return Load{}, ErrInvalidLoad
	}
	return Load{
		Leaving: b[1] == flagLeaving,
		Flows:   int(binary.BigEndian.Uint32(b[2:])),
		InUse:   int(binary.BigEndian.Uint16(b[6:])),
		Slots:   int(binary.BigEndian.Uint16(b[8:])),
		Queued:  int(binary.BigEndian.Uint32(b[10:])),
	}, nil
}

func clamp(n, limit int) int { return min(max(n, 0), limit) }
