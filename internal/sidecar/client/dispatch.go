package client

import (
	"sync"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/wire/quic"
	"github.com/orioledyke/orioledyke/internal/wire/tunnel"
)

// Verdict says what is done with a datagram from the tunnel.
type Verdict uint8

// Verdicts on a datagram from the tunnel.
const (
	// DropMisdirected means that the datagram was meant for another process, such as
	// one that had this address before.
	DropMisdirected Verdict = iota
	// Deliver means that the packet goes to the QUIC stack of this sidecar.
	Deliver
	// Relay means that the datagram is forwarded to the sibling that the Owner of the
	// decision names.
	Relay
	// Receive means that the datagram is a load message for this sidecar.
	Receive
	// ReplyToProbe means that the datagram is a probe, which gets a reply.
	ReplyToProbe
)

// DispatchDecision is the decision about one datagram. Owner is set for Relay only.
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

// Dispatcher decides what is done with datagrams from the tunnel. It is safe for
// concurrent use.
type Dispatcher struct {
	config    DispatcherConfig
	mutex     sync.Mutex
	placement *Placement
}

// NewDispatcher returns a Dispatcher that has not placed any flow.
func NewDispatcher(config DispatcherConfig) *Dispatcher {
	return &Dispatcher{config: config, placement: NewPlacement(config.Self)}
}

// Dispatch decides about an authentic datagram that carries the given QUIC packet. A
// datagram is relayed at most once.
func (d *Dispatcher) Dispatch(ring *keyring.Ring, header tunnel.Header, packet []byte, now clock.Millis) DispatchDecision {
	if header.Service != d.config.Service {
		return DispatchDecision{Verdict: DropMisdirected}
	}
	forSelf := header.Owner == d.config.Self
	switch {
	case header.Type != tunnel.TypeInbound:
		return dispatchMessage(forSelf, header.Type)
	case header.Flags&tunnel.FlagRelayed != 0:
		if forSelf {
			return DispatchDecision{Verdict: Deliver}
		}
		return DispatchDecision{Verdict: DropMisdirected}
	case forSelf:
		return d.dispatchPacket(ring, packet, now)
	case header.Flags&tunnel.FlagRelay != 0:
		return DispatchDecision{Verdict: Relay, Owner: header.Owner}
	default:
		return DispatchDecision{Verdict: DropMisdirected}
	}
}

func dispatchMessage(forSelf bool, datagramType tunnel.Type) DispatchDecision {
	switch {
	case forSelf && datagramType == tunnel.TypeLoad:
		return DispatchDecision{Verdict: Receive}
	case forSelf && datagramType == tunnel.TypeProbe:
		return DispatchDecision{Verdict: ReplyToProbe}
	default:
		return DispatchDecision{Verdict: DropMisdirected}
	}
}

// dispatchPacket decides about a QUIC packet that a balancer sent to this sidecar.
// Only the first packets of a new flow can go to another sidecar.
func (d *Dispatcher) dispatchPacket(ring *keyring.Ring, packet []byte, now clock.Millis) DispatchDecision {
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
