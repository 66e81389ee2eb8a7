package membership

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
)

const (
	// SilenceTimeout is how long a stream or a watched member may be silent.
	SilenceTimeout clock.Millis = 3500
	// TickInterval is how often Tick should be called. It bounds the delay of
	// a change on each hop of the overlay.
	TickInterval clock.Millis = 100
	// pauseThreshold is the gap between ticks from which the process counts as
	// paused itself, so that it does not blame its peers for the silence.
	pauseThreshold = clock.Second
)

// StreamID identifies a stream for as long as the state machine lives.
type StreamID uint64

// Open asks the runtime to open a stream to an address.
type Open struct {
	Stream  StreamID
	Address netip.AddrPort
}

// SyncSend is a message to a neighbour.
type SyncSend struct {
	Stream  StreamID
	Message *controlpb.SyncMessage
}

// AnnounceSend is a heartbeat to a watcher.
type AnnounceSend struct {
	Stream  StreamID
	Message *controlpb.AnnounceRequest
}

// Actions is what the runtime must do, in the order of the fields.
type Actions struct {
	Close []StreamID
	// Release ends streams after the messages sent on them, so that the peer
	// can tell it from a failure.
	Release      []StreamID
	OpenSync     []Open
	OpenAnnounce []Open
	Sync         []SyncSend
	Announce     []AnnounceSend
	// Changed and Removed are sidecars. The weight of a changed record is 0 if
	// the member should get no new flows.
	Changed   []Record
	Removed   []identity.OwnerID
	Contracts []Contract
	// SiblingsChanged is set when Sidecar.Siblings differs.
	SiblingsChanged bool
	// Reader is set when this balancer became (true) or stopped being (false)
	// a reader of the platform.
	Reader *bool
	// WantSeeds asks for addresses, to be passed to Seeds.
	WantSeeds bool
}
