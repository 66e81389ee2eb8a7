package routing

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/wire/quic"
	"github.com/orioledyke/orioledyke/internal/wire/tunnel"
)

// Reason is the outcome of a routing decision, as counted in metrics.
type Reason uint8

// Reasons for a decision. The first four drop the datagram; Decision.Forward relies
// on this order.
const (
	DropNotQUIC Reason = iota
	DropForeignConnectionID
	DropNoMember
	DropOverload
	ToOwner
	ToPlaced
	ToRelay
)

var reasonNames = [...]string{
	DropNotQUIC:             "drop-not-quic",
	DropForeignConnectionID: "drop-foreign-connection-id",
	DropNoMember:            "drop-no-member",
	DropOverload:            "drop-overload",
	ToOwner:                 "to-owner",
	ToPlaced:                "to-placed",
	ToRelay:                 "to-relay",
}

// ReasonCount is the number of reasons. Reasons count from 0.
const ReasonCount = len(reasonNames)

// String returns the reason in kebab case, the form used as a metric label.
func (r Reason) String() string { return reasonNames[r] }

// Decision is the routing of one datagram.
type Decision struct {
	Reason Reason
	Owner  identity.OwnerID
	Target netip.AddrPort
	Flags  tunnel.Flags
	// Link is the path to Target; nil if the datagram is dropped.
	Link *Link
}

// Forward reports whether the datagram is sent to Target.
func (d Decision) Forward() bool { return d.Reason >= ToOwner }

// Router routes datagrams without allocating. It is not safe for concurrent use.
type Router struct {
	decoder quic.Decoder
}

// Route returns the decision for a datagram that arrived at the address of the
// service id.
func (r *Router) Route(table *Table, ring *keyring.Ring, id identity.ServiceID, datagram []byte) Decision {
	header, ok := quic.ParseHeader(datagram)
	if !ok {
		return Decision{Reason: DropNotQUIC}
	}
	if connection, ok := r.decoder.Decode(ring, header.Destination()); ok && connection.Service() == id {
		return toOwner(table, id, connection.Owner(), header.Destination())
	}
	if !header.ClientChosenID() {
		return Decision{Reason: DropForeignConnectionID}
	}
	s, ok := table.services[id]
	if !ok {
		return Decision{Reason: DropNoMember}
	}
	m := s.place(header.Destination())
	return Decision{Reason: ToPlaced, Owner: m.Owner, Target: m.Tunnel, Link: m.link}
}

func toOwner(table *Table, id identity.ServiceID, owner identity.OwnerID, connectionID []byte) Decision {
	if m, ok := table.members[owner]; ok {
		// An owner belongs to one service for its whole lifetime. A connection ID with
		// another service is therefore forged.
		if m.Service != id {
			return Decision{Reason: DropForeignConnectionID}
		}
		return Decision{Reason: ToOwner, Owner: owner, Target: m.Tunnel, Link: m.link}
	}
	s, ok := table.services[id]
	if !ok {
		return Decision{Reason: DropNoMember}
	}
	m := s.place(connectionID)
	return Decision{Reason: ToRelay, Owner: owner, Target: m.Tunnel, Flags: tunnel.FlagRelay, Link: m.link}
}
