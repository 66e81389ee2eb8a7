package client

import (
	"sync"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/wire/quic"
	"github.com/orioledyke/orioledyke/internal/wire/tunnel"
)

// Verdict tells what happens to a datagram from the tunnel.
type Verdict uint8

// Verdicts about a datagram from the tunnel.
const (
	// DropMisdirected means that the datagram was for another process, such as
	// one that had this address before.
	DropMisdirected Verdict = iota
	// Deliver means that the QUIC stack of this sidecar gets the packet.
	Deliver
	// Relay means that the datagram is passed on to the sibling Owner.
	Relay
	// Receive means that the datagram is a message for this sidecar itself.
	Receive
	// ReplyToProbe means that the sender gets a reply to its probe.
	ReplyToProbe
)

// DispatchDecision is the decision about one datagram.
type DispatchDecision struct {
	Verdict Verdict
	Owner   identity.OwnerID
}

// DispatcherConfig configures a Dispatcher.
type DispatcherConfig struct {
	Self    identity.OwnerID
	Service identity.ServiceID
	// Load returns the load of this sidecar.
	Load func() Load
	// Siblings returns the loads of the other sidecars of the service.
	Siblings func() map[identity.OwnerID]Load
}

// Dispatcher decides about datagrams from the tunnel. It is safe for concurrent
// use.
type Dispatcher struct {
	config    DispatcherConfig
	mutex     sync.Mutex
	placement *Placement
}

// NewDispatcher returns a Dispatcher.
func NewDispatcher(config DispatcherConfig) *Dispatcher {
	return &Dispatcher{config: config, placement: NewPlacement(config.Self)}
}

// Dispatch decides about an authentic datagram with the given QUIC packet. A
// datagram is passed on at most once.
func (d *Dispatcher) Dispatch(ring *keyring.Ring, header tunnel.Header, packet []byte, now clock.Millis) DispatchDecision {
	if header.Service != d.config.Service {
		return DispatchDecision{Verdict: DropMisdirected}
	}
	mine := header.Owner == d.config.Self
	switch {
	case header.Type != tunnel.TypeInbound:
		return message(mine, header.Type)
	case header.Flags&tunnel.FlagRelayed != 0:
		if mine {
			return DispatchDecision{Verdict: Deliver}
		}
		return DispatchDecision{Verdict: DropMisdirected}
	case mine:
		return d.place(ring, packet, now)
	case header.Flags&tunnel.FlagRelay != 0:
		return DispatchDecision{Verdict: Relay, Owner: header.Owner}
	default:
		return DispatchDecision{Verdict: DropMisdirected}
	}
}

func message(mine bool, kind tunnel.Type) DispatchDecision {
	switch {
	case mine && kind == tunnel.TypeLoad:
		return DispatchDecision{Verdict: Receive}
	case mine && kind == tunnel.TypeProbe:
		return DispatchDecision{Verdict: ReplyToProbe}
	default:
		return DispatchDecision{Verdict: DropMisdirected}
	}
}

// place finds the owner of a datagram that a balancer sent to this sidecar:
// another sidecar only for the first packets of a new flow.
func (d *Dispatcher) place(ring *keyring.Ring, packet []byte, now clock.Millis) DispatchDecision {
	header, ok := quic.ParseHeader(packet)
	if !ok {
		return DispatchDecision{Verdict: DropMisdirected}
	}
	var decoder quic.Decoder
	id, ok := decoder.Decode(ring, header.Destination())
	if ok && id.Service() == d.config.Service {
		if id.Owner() != d.config.Self {
			return DispatchDecision{Verdict: DropMisdirected}
		}
		return DispatchDecision{Verdict: Deliver}
	}
	if !header.ClientChosenID() {
		return DispatchDecision{Verdict: DropMisdirected}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	owner := d.placement.Decide(header.Destination(), d.config.Load(), d.config.Siblings(), now)
	if owner == d.config.Self {
		return DispatchDecision{Verdict: Deliver}
	}
	return DispatchDecision{Verdict: Relay, Owner: owner}
}
