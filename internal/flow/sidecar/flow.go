package sidecar

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/locator"
)

// flow is one flow of the upstream, or one that was offered to it.
type flow struct {
	state state
	// asker is the balancer that gets the answer to the last packet.
	asker netip.AddrPort
	// agent is the sidecar that searches the owner of the flow for the asker. It is
	// not valid for a packet that the asker sent here itself.
	agent netip.AddrPort
	// opened is the time of the first packet, and agents know this owner.
	opened clock.Millis
	agents locator.Selection
	// first is the position of the upstream's first byte.
	first uint32
	seen  clock.Millis
	// busySince is the time of the last packet of the request in progress, and began
	// that of the first one from which it counts as work.
	busySince, began clock.Millis
	busy             bool
	// expected tells that the first request of a new flow has not arrived yet, and
	// queued that the last request had to wait for a slot.
	expected, queued bool
	request          request
	clientFinished   bool
	serverFinished   bool
}

// finished reports whether both ends have sent all their data.
func (f *flow) finished() bool { return f.clientFinished && f.serverFinished }

// state is the progress of a flow.
type state int

const (
	// stateOffered means that the upstream has not answered yet.
	stateOffered state = iota
	// stateProbed means that the upstream got a packet of a flow that this process
	// does not know.
	stateProbed
	// stateAccepted means that the upstream has accepted the flow.
	stateAccepted
	// stateOpen means that the client has acknowledged the upstream's answer.
	stateOpen
)
