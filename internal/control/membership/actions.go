package membership

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
)

const (
	// SilenceTimeout is how long a stream or a watched member may stay silent
	// before it counts as failed.
	SilenceTimeout clock.Millis = 3500
	// TickInterval is the interval at which the caller should call Tick. It
	// bounds the delay that each hop of the overlay adds to a change, unless
	// the rate limit of a link delays the change longer.
	TickInterval clock.Millis = 100
	// pauseThreshold is the longest gap between two ticks that does not count
	// as a pause of this process. A pause does not count towards the silence of
	// peers.
	pauseThreshold = clock.Second
)

// StreamID identifies a stream. It is unique for the lifetime of the state
// machine.
type StreamID uint64

// Open requests a new stream to Address.
type Open struct {
	Stream  StreamID
	Address netip.AddrPort
}

// SyncSend is a message to a neighbour on a Sync stream.
type SyncSend struct {
	Stream  StreamID
	Message *controlpb.SyncMessage
}

// AnnounceSend is a heartbeat to a watcher on an Announce stream.
type AnnounceSend struct {
	Stream  StreamID
	Message *controlpb.AnnounceRequest
}

// Actions lists what the runtime must do, in the order of the fields.
type Actions struct {
	// Close lists streams to end at once.
	Close []StreamID
	// Release lists streams to end after their queued messages, so that the
	// peer can distinguish the end from a failure.
	Release      []StreamID
	OpenSync     []Open
	OpenAnnounce []Open
	Sync         []SyncSend
	Announce     []AnnounceSend
	// Changed lists sidecars that were added or changed. The weight of a record
	// is 0 if the member should get no new flows.
	Changed []Record
	// Removed lists sidecars that ended or whose data centre was retired.
	Removed []identity.OwnerID
	// Contracts lists revisions that are newer than those held before.
	Contracts []Contract
	// SiblingsChanged is true if the result of Sidecar.Siblings has changed.
	SiblingsChanged bool
	// Reader is true if this balancer became a reader of the platform, false if
	// it stopped being one, and nil if nothing changed.
	Reader *bool
	// WantSeeds requests addresses of balancers, to be passed to SetSeeds.
	WantSeeds bool
}
