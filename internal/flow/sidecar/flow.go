package sidecar

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/locator"
	"github.com/orioledyke/orioledyke/internal/flow/worktime"
)

// flow is a flow that the upstream holds or may hold, or one that was offered to it.
type flow struct {
	state state
	// requester is the balancer that gets the response to the last packet.
	requester netip.AddrPort
	// searcher is the sidecar that searches for the flow's owner on behalf of the
	// requester. It is not valid if the requester sent the last packet here itself.
	searcher netip.AddrPort
	// firstSeen is the time of the first packet.
	firstSeen clock.Millis
	// locators is the selection of locators at the last publication. The others in it have
	// been notified that this sidecar is the owner.
	locators locator.Selection
	// firstPosition is the position of the upstream's first byte.
	firstPosition uint32
	lastSeen      clock.Millis
	// lastRequestPacket is the time of the client's last data packet that was not full.
	lastRequestPacket clock.Millis
	// work is the request in progress, nil if there is none.
	work *worktime.Request
	// dataEnd is the position behind the client's last data byte. hasData is set if the
	// client has sent data.
	dataEnd uint32
	hasData bool
	// awaitingRequest is set while the first request of a new flow is expected.
	// offerSettled is set when the upstream has responded to the offer.
	awaitingRequest, offerSettled bool
	request                       request
	clientFinished                bool
	upstreamFinished              bool
}

// finished reports whether both ends have closed the flow.
func (f *flow) finished() bool { return f.clientFinished && f.upstreamFinished }

// state is the progress of a flow.
type state int

const (
	// stateOffered means that the upstream has not responded to the offer yet.
	stateOffered state = iota
	// stateProbed means that the upstream got a packet of a flow that this process
	// does not know, and has not responded to it yet.
	stateProbed
	// stateAccepted means that the upstream has accepted the flow and that the client has
	// not acknowledged the acceptance yet.
	stateAccepted
	// stateOpen means that the client has acknowledged the upstream's acceptance, or that
	// the upstream has sent a packet of a flow that this process did not know.
	stateOpen
)
