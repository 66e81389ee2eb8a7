// Package relay is the codec of the datagrams between balancers and sidecars that
// carry flows without a connection ID.
package relay

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

// Kind is the kind of a Message.
type Kind byte

// Kinds of messages.
const (
	// KindForward carries a client's packet to a sidecar.
	KindForward Kind = iota + 1
	// KindAccepted tells the balancer that the upstream accepts the flow.
	KindAccepted
	// KindRefused tells the balancer that the upstream has not taken the flow.
	KindRefused
	// KindClaimed tells the balancer that the sidecar's upstream holds the flow.
	KindClaimed
	// KindNotHeld returns a packet of a flow that the upstream does not hold.
	KindNotHeld
	// KindAbsent tells a sidecar that the upstream does not hold a flow, or a balancer
	// that no upstream of the service does.
	KindAbsent
	// KindSearch asks a sidecar to find the owner of a packet's flow.
	KindSearch
	// KindHint tells a sidecar flows that the sender's upstream holds.
	KindHint
	// KindReport carries the state of a sidecar to a balancer.
	KindReport
	// KindDigest carries what a balancer knows to other processes.
	KindDigest
)

// MaxMessage is the length of the longest datagram in bytes.
const MaxMessage = 16 << 10

// Reason tells why a flow was refused.
type Reason byte

// Reasons of KindRefused.
const (
	// ReasonReturned means that the upstream returned the packet.
	ReasonReturned Reason = iota + 1
	// ReasonDraining means that the upstream is leaving.
	ReasonDraining
	// ReasonUnregistered means that no upstream has registered here.
	ReasonUnregistered
	// ReasonService means that the upstream belongs to another service.
	ReasonOtherService
	// ReasonBusy means that the upstream has too much work to meet the latency goal of
	// the flow's request. It may be asked again.
	ReasonBusy
	// ReasonStopping means that the sidecar is stopping.
	ReasonStopping
	// ReasonSilent means that the upstream does not answer.
	ReasonSilent
)

var reasonNames = map[Reason]string{
	ReasonReturned: "returned", ReasonDraining: "draining", ReasonUnregistered: "unregistered",
	ReasonOtherService: "other-service", ReasonBusy: "busy", ReasonStopping: "stopping", ReasonSilent: "silent",
}

// String returns the name of the reason in logs.
func (r Reason) String() string { return reasonNames[r] }

// Load is the work at an upstream.
type Load struct {
	// Active is the number of requests in progress.
	Active uint16
	// Flows is the number of open flows.
	Flows uint16
}

// Report is the state of a sidecar and its upstream.
type Report struct {
	// Incarnation identifies the run of the sidecar.
	Incarnation identity.OwnerID
	Service     identity.ServiceID
	// DataCentre is shortened to 255 bytes.
	DataCentre string
	// Accepting tells that the upstream takes new flows.
	Accepting bool
	// Departed tells that the upstream has ended for good and holds no flow.
	Departed bool
	// Slots is the number of requests that the upstream works on at a time.
	Slots int
	// Warmup is how much longer the upstream is slow after its start.
	Warmup clock.Millis
	// Interval is the time to the next report.
	Interval clock.Millis
	Load     Load
}

// Message is one datagram. Which fields are set follows from Kind.
type Message struct {
	Kind Kind
	// Asker is the balancer that searches the owner of the packet's flow. It is not
	// valid for a packet that is sent to its owner.
	Requester netip.AddrPort
	// Service is the service that the packet may enter.
	Service identity.ServiceID
	// Goal is the latency goal of the request in a new flow; 0 means that the upstream
	// gets the flow however busy it is.
	LatencyGoal clock.Millis
	// Late tells that the client of a new flow has waited longer than the goal.
	PastGoal bool
	Reason   Reason
	Key      segment.Key
	Load     Load
	// Asked is the number of sidecars that an absence stands for.
	Queried uint16
	// Keys are the flows of a hint.
	Keys []segment.Key
	// Packet is the client's packet, a part of the decoded datagram.
	Packet []byte
	Report Report
	Digest Digest
}

const (
	addressSize = 6
	forwardHead = 1 + identity.ServiceIDSize + addressSize + classSize
	// classSize is the size of the goal, whose highest bit tells that it has passed.
	classSize = 2
	lateBit   = 1 << 15
	// maxGoal is the longest goal that is distinguished.
	maxGoal    = lateBit - 1
	answerSize = 2 + 4 + 2 + segment.KeySize
	// MaxHintKeys is the number of flows in one hint.
	MaxHintKeys = 80
)

var errMessage = errors.New("relay: datagram is not a message of this protocol")

// Append appends the encoded message to b.
func (m *Message) Append(b []byte) ([]byte, error) {
	switch m.Kind {
	case KindForward, KindNotHeld, KindSearch:
		var head [forwardHead]byte
		head[0] = byte(m.Kind)
		identity.PutUint40(head[1:], uint64(m.Service))
		putAddress(head[1+identity.ServiceIDSize:], m.Requester)
		binary.BigEndian.PutUint16(head[forwardHead-classSize:], m.class())
		return append(append(b, head[:]...), m.Packet...), nil
	case KindHint:
		b = append(b, byte(m.Kind))
		for _, key := range m.Keys {
			b = key.Append(b)
		}
		return b, nil
	case KindAccepted, KindRefused, KindClaimed, KindAbsent:
		b = append(b, byte(m.Kind), byte(m.Reason))
		b = binary.BigEndian.AppendUint16(b, m.Load.Active)
		b = binary.BigEndian.AppendUint16(b, m.Load.Flows)
		b = binary.BigEndian.AppendUint16(b, m.Queried)
		return m.Key.Append(b), nil
	case KindReport:
		return m.Report.append(b), nil
	case KindDigest:
		return m.Digest.append(b)
	default:
		return b, errMessage
	}
}

// class encodes the goal and whether it has passed.
func (m *Message) class() uint16 {
	class := uint16(min(max(m.LatencyGoal, 0), maxGoal))
	if m.PastGoal {
		class |= lateBit
	}
	return class
}

func (m *Message) setClass(class uint16) {
	m.LatencyGoal, m.PastGoal = clock.Millis(class&^lateBit), class&lateBit != 0
}

// putAddress writes an IPv4 address, or zeros if it is not valid.
func putAddress(b []byte, a netip.AddrPort) {
	if a.IsValid() {
		octets := a.Addr().As4()
		copy(b, octets[:])
		binary.BigEndian.PutUint16(b[4:], a.Port())
	}
}

func getAddress(b []byte) netip.AddrPort {
	port := binary.BigEndian.Uint16(b[4:])
	if port == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), port)
}

// Decode reads a datagram. Packet refers to data.
func Decode(data []byte) (Message, error) {
	if len(data) == 0 {
		return Message{}, errMessage
	}
	m := Message{Kind: Kind(data[0])}
	switch m.Kind {
	case KindForward, KindNotHeld, KindSearch:
		if len(data) < forwardHead {
			return Message{}, errMessage
		}
		m.Service = identity.ServiceID(identity.GetUint40(data[1:]))
		m.Requester = getAddress(data[1+identity.ServiceIDSize:])
		m.setClass(binary.BigEndian.Uint16(data[forwardHead-classSize:]))
		m.Packet = data[forwardHead:]
		return m, nil
	case KindHint:
		if (len(data)-1)%segment.KeySize != 0 || len(data) > 1+MaxHintKeys*segment.KeySize {
			return Message{}, errMessage
		}
		for rest := data[1:]; len(rest) > 0; rest = rest[segment.KeySize:] {
			key, _ := segment.DecodeKey(rest)
			m.Keys = append(m.Keys, key)
		}
		return m, nil
	case KindAccepted, KindRefused, KindClaimed, KindAbsent:
		if len(data) != answerSize {
			return Message{}, errMessage
		}
		m.Reason = Reason(data[1])
		m.Load.Active = binary.BigEndian.Uint16(data[2:])
		m.Load.Flows = binary.BigEndian.Uint16(data[4:])
		m.Queried = binary.BigEndian.Uint16(data[6:])
		m.Key, _ = segment.DecodeKey(data[8:])
		return m, nil
	case KindReport:
		var err error
		m.Report, err = decodeReport(data)
		return m, err
	case KindDigest:
		var err error
		m.Digest, err = decodeDigest(data)
		return m, err
	default:
		return Message{}, errMessage
	}
}
