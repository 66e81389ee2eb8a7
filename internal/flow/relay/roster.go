package relay

import (
	"encoding/binary"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

// An encoded roster consists of the kind, incarnation, age, flags, and four bytes for each
// host.
const (
	rosterHeaderSize = 1 + identity.OwnerIDSize + 4 + 1
	flagEntryFound   = 1
	flagComplete     = 2
	// MaxRosterHosts is the maximum number of hosts in a roster.
	MaxRosterHosts = (MaxMessage - rosterHeaderSize) / hostSize
)

// Roster is what a sidecar knows about the other sidecars of its service.
type Roster struct {
	// Incarnation identifies one run of the sidecar process, and Age is the time since its
	// start.
	Incarnation identity.OwnerID
	Age         clock.Millis
	// EntryFound is set if the sidecar's own entry was in the directory when the process
	// started.
	EntryFound bool
	// Complete is set if a balancer that knows all sidecars of the service has listed them to
	// this process, and Hosts contains all of them that may still run.
	Complete bool
	// Hosts are hosts of sidecars of the service without the sender, at most MaxRosterHosts.
	Hosts []netip.Addr
}

func (r *Roster) append(b []byte) ([]byte, error) {
	if len(r.Hosts) > MaxRosterHosts {
		return b, errInvalidMessage
	}
	var incarnation [identity.OwnerIDSize]byte
	identity.PutUint48(incarnation[:], uint64(r.Incarnation))
	b = append(append(b, byte(KindRoster)), incarnation[:]...)
	b = binary.BigEndian.AppendUint32(b, uint32(min(max(r.Age, 0), 1<<32-1)))
	var flags byte
	if r.EntryFound {
		flags |= flagEntryFound
	}
	if r.Complete {
		flags |= flagComplete
	}
	return appendHosts(append(b, flags), r.Hosts), nil
}

func decodeRoster(data []byte) (Roster, error) {
	if len(data) < rosterHeaderSize || (len(data)-rosterHeaderSize)%hostSize != 0 {
		return Roster{}, errInvalidMessage
	}
	flags := data[rosterHeaderSize-1]
	return Roster{
		Incarnation: identity.OwnerID(identity.GetUint48(data[1:])),
		Age:         clock.Millis(binary.BigEndian.Uint32(data[1+identity.OwnerIDSize:])),
		EntryFound:  flags&flagEntryFound != 0,
		Complete:    flags&flagComplete != 0,
		Hosts:       decodeHosts(data[rosterHeaderSize:]),
	}, nil
}
