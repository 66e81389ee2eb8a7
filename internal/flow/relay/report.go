package relay

import (
	"encoding/binary"
	"math"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

// An encoded report consists of the kind, flags, incarnation, service, slots, warm-up,
// interval, load, the number of addresses, the addresses, the work, and the data centre up
// to the end of the datagram. Without flagAddresses, the number of addresses and the
// addresses are missing, and without flagWork the work is. Receivers that do not know a flag
// take its part for a part of the data centre, which is harmless as long as the length is
// valid.
const (
	reportHeaderSize = 2 + identity.OwnerIDSize + identity.ServiceIDSize + 2 + 4 + 2 + 4
	// maxReportTail is the maximum length of what follows the header.
	maxReportTail  = 255
	flagAccepting  = 1
	flagDeparted   = 2
	flagAddresses  = 4
	flagAllListed  = 8
	flagStopping   = 16
	flagEvacuated  = 32
	flagWork       = 64
	maxReportSlots = 1<<16 - 1
	// workSize is the size of the encoded work: the remaining work in ms (4), the time of one
	// more request in ms times serviceTimeScale (2), and the failed and ended requests (1 each).
	workSize         = 8
	serviceTimeScale = 10
	maxServiceTime   = (1<<16 - 1) / serviceTimeScale
	maxRequestCount  = 1<<8 - 1
	// MaxReportAddresses is the maximum number of addresses in a report.
	MaxReportAddresses = 32
)

// Work is what a sidecar has learned of its upstream's work, in a report.
type Work struct {
	// Known is set if the sender states its work.
	Known bool
	// Remaining is the expected remaining work of all requests in progress and expected,
	// summed over the slots.
	Remaining clock.Millis
	// ServiceTime is the expected time of one more request in milliseconds, without waiting.
	ServiceTime float64
	// Failed and Ended count the failed requests and all requests that have ended or failed
	// in the last two seconds, at most 255 and scaled down together.
	Failed, Ended int
}

// append appends the encoded work to b. Values beyond the limits of the format are encoded as
// the limit. More than maxRequestCount requests are scaled down, so that the share of failed
// ones is kept and stays above 0.
func (w Work) append(b []byte) []byte {
	failed, ended := max(w.Failed, 0), max(w.Ended, w.Failed, 0)
	if ended > maxRequestCount {
		failed = (failed*maxRequestCount + ended - 1) / ended
		ended = maxRequestCount
	}
	serviceTime := min(max(w.ServiceTime, 0), maxServiceTime)
	b = binary.BigEndian.AppendUint32(b, uint32(min(max(w.Remaining, 0), 1<<32-1)))
	b = binary.BigEndian.AppendUint16(b, uint16(math.Round(serviceTime*serviceTimeScale)))
	return append(b, byte(failed), byte(ended))
}

// decodeWork decodes the first workSize bytes of b.
func decodeWork(b []byte) Work {
	return Work{
		Known: true, Remaining: clock.Millis(binary.BigEndian.Uint32(b)),
		ServiceTime: float64(binary.BigEndian.Uint16(b[4:])) / serviceTimeScale,
		Failed:      int(b[6]), Ended: max(int(b[6]), int(b[7])),
	}
}

func (r *Report) append(b []byte) []byte {
	flags := byte(flagAddresses)
	if r.AllListed && len(r.Addresses) <= MaxReportAddresses {
		flags |= flagAllListed
	}
	if r.Accepting {
		flags |= flagAccepting
	}
	if r.Departed {
		flags |= flagDeparted
	}
	if r.Stopping {
		flags |= flagStopping
	}
	if r.Work.Known {
		flags |= flagWork
	}
	if r.Evacuated {
		flags |= flagEvacuated
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
	addresses := r.Addresses[:min(len(r.Addresses), MaxReportAddresses)]
	b = append(b, byte(len(addresses)))
	for _, address := range addresses {
		b = appendAddress(b, address)
	}
	rest := maxReportTail - 1 - len(addresses)*addressSize
	if r.Work.Known {
		b = r.Work.append(b)
		rest -= workSize
	}
	return append(b, r.DataCentre[:min(len(r.DataCentre), rest)]...)
}

func decodeReport(data []byte) (Report, error) {
	if len(data) < reportHeaderSize || len(data) > reportHeaderSize+maxReportTail {
		return Report{}, errInvalidMessage
	}
	b := data[2:]
	r := Report{
		Accepting:   data[1]&flagAccepting != 0,
		Departed:    data[1]&flagDeparted != 0,
		Stopping:    data[1]&flagStopping != 0,
		Evacuated:   data[1]&flagEvacuated != 0,
		Legacy:      data[1]&flagAddresses == 0,
		Incarnation: identity.OwnerID(identity.GetUint48(b)),
		Service:     identity.ServiceID(identity.GetUint40(b[identity.OwnerIDSize:])),
	}
	b = b[identity.OwnerIDSize+identity.ServiceIDSize:]
	r.Slots = int(binary.BigEndian.Uint16(b))
	r.Warmup = clock.Millis(binary.BigEndian.Uint32(b[2:]))
	r.Interval = clock.Millis(binary.BigEndian.Uint16(b[6:]))
	r.Load = Load{Active: binary.BigEndian.Uint16(b[8:]), Flows: binary.BigEndian.Uint16(b[10:])}
	tail := b[12:]
	if !r.Legacy {
		if len(tail) == 0 || len(tail)-1 < int(tail[0])*addressSize || tail[0] > MaxReportAddresses {
			return Report{}, errInvalidMessage
		}
		count := int(tail[0])
		tail = tail[1:]
		for range count {
			r.Addresses = append(r.Addresses, getAddress(tail))
			tail = tail[addressSize:]
		}
		r.AllListed = data[1]&flagAllListed != 0
	}
	if data[1]&flagWork != 0 {
		if len(tail) < workSize {
			return Report{}, errInvalidMessage
		}
		r.Work = decodeWork(tail)
		tail = tail[workSize:]
	}
	r.DataCentre = string(tail)
	return r, nil
}
