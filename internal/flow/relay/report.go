package relay

import (
	"encoding/binary"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

// An encoded report consists of the kind, flags, incarnation, service, slots, warm-up,
// interval, load, and the data centre up to the end of the datagram.
const (
	reportHeaderSize   = 2 + identity.OwnerIDSize + identity.ServiceIDSize + 2 + 4 + 2 + 4
	maxDataCentreBytes = 255
	flagAccepting      = 1
	flagDeparted       = 2
	maxReportSlots     = 1<<16 - 1
)

func (r *Report) append(b []byte) []byte {
	var flags byte
	if r.Accepting {
		flags |= flagAccepting
	}
	if r.Departed {
		flags |= flagDeparted
	}
	var ids [identity.OwnerIDSize + identity.ServiceIDSize]byte
	identity.PutUint48(ids[:], uint64(r.Incarnation))
	identity.PutUint40(ids[identity.OwnerIDSize:], uint64(r.Service))
	b = append(b, byte(KindReport), flags)
	b = append(b, ids[:]...)
	b = binary.BigEndian.AppendUint16(b, uint16(min(max(r.Slots, 0), maxReportSlots)))
	b = binary.BigEndian.AppendUint32(b, uint32(max(r.Warmup, 0)))
	b = binary.BigEndian.AppendUint16(b, uint16(max(r.Interval, 0)))
	b = binary.BigEndian.AppendUint16(b, r.Load.Active)
	b = binary.BigEndian.AppendUint16(b, r.Load.Flows)
	return append(b, r.DataCentre[:min(len(r.DataCentre), maxDataCentreBytes)]...)
}

func decodeReport(data []byte) (Report, error) {
	if len(data) < reportHeaderSize || len(data) > reportHeaderSize+maxDataCentreBytes {
		return Report{}, errInvalidMessage
	}
	b := data[2:]
	r := Report{
		Accepting:   data[1]&flagAccepting != 0,
		Departed:    data[1]&flagDeparted != 0,
		Incarnation: identity.OwnerID(identity.GetUint48(b)),
		Service:     identity.ServiceID(identity.GetUint40(b[identity.OwnerIDSize:])),
	}
	b = b[identity.OwnerIDSize+identity.ServiceIDSize:]
	r.Slots = int(binary.BigEndian.Uint16(b))
	r.Warmup = clock.Millis(binary.BigEndian.Uint32(b[2:]))
	r.Interval = clock.Millis(binary.BigEndian.Uint16(b[6:]))
	r.Load = Load{Active: binary.BigEndian.Uint16(b[8:]), Flows: binary.BigEndian.Uint16(b[10:])}
	r.DataCentre = string(b[12:])
	return r, nil
}
