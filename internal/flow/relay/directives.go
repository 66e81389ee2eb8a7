package relay

import (
	"encoding/binary"
	"math"

	"github.com/orioledyke/orioledyke/internal/flow/evacuation"
	"github.com/orioledyke/orioledyke/internal/flow/store"
)

// Encoded directives consist of the kind, version, warm-up rate, number of records, and the
// records. Each record consists of flags, epoch, number, the length of the name, and the
// name. Receivers ignore further bytes, so that later versions can add fields.
const (
	directivesHeaderSize = 1 + 8 + 2 + 1
	recordHeaderSize     = 1 + 8 + 8 + 1
	flagRecordEvacuated  = 1
	// rateUnit is the number of units of the encoded warm-up rate in one request a second.
	rateUnit       = 10
	maxEncodedRate = 1<<16 - 1
)

// Directives is what a process knows of the operator's decisions about upstreams.
type Directives struct {
	// Version is the version of the configuration that WarmupRate comes from; 0 if the
	// sender has none.
	Version uint64
	// WarmupRate is the number of requests a second that a cold upstream of the receiver's
	// service may get; 0 means that it is not limited. It is encoded in tenths.
	WarmupRate float64
	// Evacuations holds at most evacuation.MaxRecords records.
	Evacuations []evacuation.Record
}

func (d *Directives) append(b []byte) ([]byte, error) {
	if len(d.Evacuations) > evacuation.MaxRecords {
		return b, errInvalidMessage
	}
	b = append(b, byte(KindDirectives))
	b = binary.BigEndian.AppendUint64(b, d.Version)
	b = binary.BigEndian.AppendUint16(b, encodeRate(d.WarmupRate))
	b = append(b, byte(len(d.Evacuations)))
	for _, r := range d.Evacuations {
		if len(r.DataCentre) > evacuation.MaxNameLength {
			return b, errInvalidMessage
		}
		flags := byte(0)
		if r.Evacuated {
			flags |= flagRecordEvacuated
		}
		b = append(b, flags)
		b = binary.BigEndian.AppendUint64(b, uint64(r.Revision.Epoch))
		b = binary.BigEndian.AppendUint64(b, r.Revision.Number)
		b = append(append(b, byte(len(r.DataCentre))), r.DataCentre...)
	}
	return b, nil
}

// encodeRate returns a rate in units of 1/rateUnit. A limit so low that it would be encoded as
// no limit is encoded as the lowest one.
func encodeRate(rate float64) uint16 {
	if rate <= 0 {
		return 0
	}
	return uint16(min(max(math.Round(rate*rateUnit), 1), maxEncodedRate))
}

func decodeDirectives(data []byte) (Directives, error) {
	if len(data) < directivesHeaderSize {
		return Directives{}, errInvalidMessage
	}
	d := Directives{
		Version:    binary.BigEndian.Uint64(data[1:]),
		WarmupRate: float64(binary.BigEndian.Uint16(data[9:])) / rateUnit,
	}
	count, rest := int(data[directivesHeaderSize-1]), data[directivesHeaderSize:]
	if count > evacuation.MaxRecords {
		return Directives{}, errInvalidMessage
	}
	for range count {
		if len(rest) < recordHeaderSize || len(rest) < recordHeaderSize+int(rest[recordHeaderSize-1]) {
			return Directives{}, errInvalidMessage
		}
		size := recordHeaderSize + int(rest[recordHeaderSize-1])
		d.Evacuations = append(d.Evacuations, evacuation.Record{
			DataCentre: string(rest[recordHeaderSize:size]), Evacuated: rest[0]&flagRecordEvacuated != 0,
			Revision: store.Revision{Epoch: store.Epoch(binary.BigEndian.Uint64(rest[1:])), Number: binary.BigEndian.Uint64(rest[9:])},
		})
		rest = rest[size:]
	}
	return d, nil
}
