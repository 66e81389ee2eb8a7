// Package relay encodes and decodes the datagrams that balancers and sidecars exchange
// about flows without a connection ID. Numbers are big-endian, addresses IPv4.
package relay

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/internal/flow/store"
)

// Kind is the kind of a Message, the first byte of its datagram.
type Kind byte

// Kinds of messages.
const (
	// KindForward carries a client's packet to a sidecar. A balancer sends it to place a
	// new flow or to reach the owner of an open one. A searching sidecar sends it to its
	// siblings, which may or may not own the flow.
	KindForward Kind = iota + 1
	// KindAccepted notifies the balancer that the upstream has accepted the new flow.
	KindAccepted
	// KindRefused notifies the balancer that the new flow was refused.
	KindRefused
	// KindClaimed notifies the balancer that the sender's upstream holds the flow.
	KindClaimed
	// KindNotHeld returns a packet to the balancer, because the sender's upstream does not
	// hold its flow.
	KindNotHeld
	// KindAbsent reports that a flow was not found. From a sibling, it means that its
	// upstream does not hold the flow. To a balancer, it means that no queried upstream
	// does.
	KindAbsent
	// KindSearch asks a sidecar to find the owner of a packet's flow.
	KindSearch
	// KindHint lists flows that the sender's upstream holds. It goes to a sidecar that
	// searches for the flows or is their locator.
	KindHint
	// KindReport carries the state of a sidecar and its upstream to a balancer.
	KindReport
	// KindDigest carries a balancer's Digest to other balancers and to sidecars.
	KindDigest
	// KindPing asks a sidecar for a report.
	KindPing
	// KindUnanswered notifies the balancer that some sidecars have not responded to a
	// search.
	KindUnanswered
	// KindEpoch announces that the metadata store has been restored and is in a later
	// epoch. It goes from balancers to all hosts.
	KindEpoch
	// KindDirectives carries the Directives that a process knows.
	KindDirectives
	// KindRoster carries the Roster of a sidecar to a balancer that has appeared.
	KindRoster
	// KindVerify announces that the metadata store works again after an outage, in which
	// entries of hosts may have lapsed. It goes from balancers to all hosts.
	KindVerify
)

// MaxMessage is the maximum length of a datagram in bytes.
const MaxMessage = 16 << 10

// Reason is why a sidecar refused a flow. 0 means that there is no reason.
type Reason byte

// Reasons of KindRefused.
const (
	// ReasonReturned means that the upstream returned the client's packet.
	ReasonReturned Reason = iota + 1
	// ReasonDraining means that the upstream is draining.
	ReasonDraining
	// ReasonUnregistered means that no upstream has registered with the sidecar.
	ReasonUnregistered
	// ReasonOtherService means that the upstream belongs to another service.
	ReasonOtherService
	// ReasonBusy means that the upstream has too much work to meet the latency goal of
	// the flow's request or, if the flow is past its goal, that no slot is free. The flow
	// may be placed on the same sidecar again later.
	ReasonBusy
	// ReasonStopping means that the sidecar is stopping.
	ReasonStopping
	// ReasonSilent means that the upstream does not respond.
	ReasonSilent
	// ReasonEvacuated means that the operator has evacuated the sidecar's data centre.
	ReasonEvacuated
	// ReasonWarmingUp means that the upstream is cold and has got as many new flows as its
	// service's warm-up rate allows. The flow may be placed on the same sidecar again later.
	ReasonWarmingUp
	// ReasonCount is higher than every reason.
	ReasonCount = ReasonWarmingUp + 1
)

var reasonNames = map[Reason]string{
	ReasonReturned: "returned", ReasonDraining: "draining", ReasonUnregistered: "unregistered",
	ReasonOtherService: "other-service", ReasonBusy: "busy", ReasonStopping: "stopping", ReasonSilent: "silent",
	ReasonEvacuated: "evacuated",
	ReasonWarmingUp: "warming-up",
}

// String returns the reason's name in logs, or "" for an unknown one.
func (r Reason) String() string { return reasonNames[r] }

// Load is the current work of an upstream.
type Load struct {
	// Active is the number of requests in progress. It includes the first requests that
	// are still expected in new flows.
	Active uint16
	// Flows is the number of open flows.
	Flows uint16
}

// Report is the state of a sidecar and its upstream.
type Report struct {
	// Incarnation identifies one run of the sidecar process.
	Incarnation identity.OwnerID
	Service     identity.ServiceID
	// DataCentre is truncated to the space that the addresses leave of 254 bytes.
	DataCentre string
	// Accepting is set while the upstream takes new flows.
	Accepting bool
	// Evacuated is set while the sidecar knows that its data centre is evacuated. Accepting
	// is clear then.
	Evacuated bool
	// Departed is set when the upstream has ended for good and holds no flow.
	Departed bool
	// Stopping is set when the sidecar stops and its upstream may go on. Another process
	// takes over the upstream's flows soon.
	Stopping bool
	// Slots is the number of requests that the upstream works on concurrently.
	Slots int
	// Warmup is how much longer the upstream is slow after its start.
	Warmup clock.Millis
	// Interval is the time until the sender's next report.
	Interval clock.Millis
	Load     Load
	// Work is what the sidecar has learned of the upstream's work.
	Work Work
	// Addresses are addresses of routes to which the upstream may hold flows, at most
	// MaxReportAddresses. They may belong to routes that now have other targets.
	Addresses []netip.AddrPort
	// AllListed is set if Addresses contains the addresses of all these flows. It is
	// clear while the sidecar learns the flows of its upstream after a restart, and if
	// there are too many addresses.
	AllListed bool
	// Legacy is set after Decode if the sender is of an older version. It neither lists
	// addresses nor announces that it stops.
	Legacy bool
}

// Message is one datagram. Kind determines which other fields are set.
type Message struct {
	Kind Kind
	// Requester is the balancer that wants to know the owner of the packet's flow. It is
	// valid only if a searching sidecar sends the packet.
	Requester netip.AddrPort
	// Service is the service of the flow. A sidecar of another service refuses a new flow,
	// and does not search for the owner of an open one.
	Service identity.ServiceID
	// LatencyGoal is the latency goal of a new flow's request. 0 means that the upstream
	// gets the flow no matter how busy it is.
	LatencyGoal clock.Millis
	// PastGoal is set if the client of a new flow has waited longer than LatencyGoal.
	PastGoal bool
	Reason   Reason
	Key      segment.Key
	Load     Load
	// Queried is the number of sidecars that a search has queried, and QueriedHosts are their
	// hosts, at most MaxQueriedHosts. Both are set only in the KindAbsent message to a balancer.
	// Older versions send no hosts.
	Queried      uint16
	QueriedHosts []netip.Addr
	// Keys are the flows of a hint, at most MaxHintKeys.
	Keys []segment.Key
	// Sidecars are those that have not responded to a search, at most MaxUnanswered.
	Sidecars []netip.AddrPort
	// Packet is the client's packet. After Decode it is a part of the datagram.
	Packet []byte
	Report Report
	Digest Digest
	Roster Roster
	// Epoch is the epoch of the store that a KindEpoch message announces.
	Epoch      store.Epoch
	Directives Directives
	// Outage is a random number that identifies the outage of a KindVerify message.
	Outage uint64
}

const (
	addressSize      = 6
	packetHeaderSize = 1 + identity.ServiceIDSize + addressSize + goalSize
	// goalSize is the size of the latency goal in bytes.
	goalSize = 2
	// pastGoalBit is the highest bit of the encoded latency goal. It is set if the flow is
	// past its goal.
	pastGoalBit = 1 << 15
	// maxLatencyGoal is the longest goal in milliseconds that a message can carry. A longer
	// goal is encoded as this one.
	maxLatencyGoal = pastGoalBit - 1
	// responseSize is the size of the messages without packet that concern one flow. They
	// consist of the kind, reason, load, number of queried sidecars, and key. In KindAbsent, the
	// hosts of the queried sidecars follow.
	responseSize = 2 + 4 + 2 + segment.KeySize
	// announcementSize is the size of an announcement, the kind and the epoch or outage.
	announcementSize = 1 + 8
	// MaxHintKeys is the maximum number of flows in one hint.
	MaxHintKeys = 80
	// MaxUnanswered is the maximum number of sidecars in a KindUnanswered message.
	MaxUnanswered = 16
	// MaxQueriedHosts is the maximum number of hosts in a KindAbsent message.
	MaxQueriedHosts = (MaxMessage - responseSize) / hostSize
)

var errInvalidMessage = errors.New("relay: datagram is not a message of this protocol")

// Append appends the encoded message to b. It returns an error for an unknown kind, for a
// digest with more than MaxHosts hosts, and for directives with too many records.
func (m *Message) Append(b []byte) ([]byte, error) {
	switch m.Kind {
	case KindForward, KindNotHeld, KindSearch:
		var header [packetHeaderSize]byte
		header[0] = byte(m.Kind)
		identity.PutUint40(header[1:], uint64(m.Service))
		putAddress(header[1+identity.ServiceIDSize:], m.Requester)
		binary.BigEndian.PutUint16(header[packetHeaderSize-goalSize:], m.encodeGoal())
		return append(append(b, header[:]...), m.Packet...), nil
	case KindHint:
		b = append(b, byte(m.Kind))
		for _, key := range m.Keys {
			b = key.Append(b)
		}
		return b, nil
	case KindPing:
		return append(b, byte(m.Kind)), nil
	case KindEpoch:
		return binary.BigEndian.AppendUint64(append(b, byte(m.Kind)), uint64(m.Epoch)), nil
	case KindVerify:
		return binary.BigEndian.AppendUint64(append(b, byte(m.Kind)), m.Outage), nil
	case KindUnanswered:
		b = m.Key.Append(append(b, byte(m.Kind)))
		for _, sidecar := range m.Sidecars {
			b = appendAddress(b, sidecar)
		}
		return b, nil
	case KindAccepted, KindRefused, KindClaimed, KindAbsent:
		b = append(b, byte(m.Kind), byte(m.Reason))
		b = binary.BigEndian.AppendUint16(b, m.Load.Active)
		b = binary.BigEndian.AppendUint16(b, m.Load.Flows)
		b = binary.BigEndian.AppendUint16(b, m.Queried)
		return m.appendQueriedHosts(m.Key.Append(b))
	case KindReport:
		return m.Report.append(b), nil
	case KindDigest:
		return m.Digest.append(b)
	case KindDirectives:
		return m.Directives.append(b)
	case KindRoster:
		return m.Roster.append(b)
	default:
		return b, errInvalidMessage
	}
}

// appendQueriedHosts appends the hosts that only KindAbsent carries.
func (m *Message) appendQueriedHosts(b []byte) ([]byte, error) {
	if m.Kind != KindAbsent {
		return b, nil
	}
	if len(m.QueriedHosts) > MaxQueriedHosts {
		return b, errInvalidMessage
	}
	return appendHosts(b, m.QueriedHosts), nil
}

func appendHosts(b []byte, hosts []netip.Addr) []byte {
	for _, host := range hosts {
		octets := host.As4()
		b = append(b, octets[:]...)
	}
	return b
}

// decodeHosts parses hosts of hostSize bytes each.
func decodeHosts(data []byte) []netip.Addr {
	var hosts []netip.Addr
	for ; len(data) >= hostSize; data = data[hostSize:] {
		hosts = append(hosts, netip.AddrFrom4([hostSize]byte(data)))
	}
	return hosts
}

// encodeGoal returns LatencyGoal and PastGoal as one encoded field.
func (m *Message) encodeGoal() uint16 {
	field := uint16(min(max(m.LatencyGoal, 0), maxLatencyGoal))
	if m.PastGoal {
		field |= pastGoalBit
	}
	return field
}

func (m *Message) decodeGoal(field uint16) {
	m.LatencyGoal, m.PastGoal = clock.Millis(field&^pastGoalBit), field&pastGoalBit != 0
}

// putAddress writes an IPv4 address and port to b, which must be zero before. It writes
// nothing if the address is not valid.
func putAddress(b []byte, a netip.AddrPort) {
	if a.IsValid() {
		octets := a.Addr().As4()
		copy(b, octets[:])
		binary.BigEndian.PutUint16(b[4:], a.Port())
	}
}

func appendAddress(b []byte, a netip.AddrPort) []byte {
	var encoded [addressSize]byte
	putAddress(encoded[:], a)
	return append(b, encoded[:]...)
}

// getAddress reads an address that putAddress wrote. The result is not valid if the port
// is 0.
func getAddress(b []byte) netip.AddrPort {
	port := binary.BigEndian.Uint16(b[4:])
	if port == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), port)
}

// Decode parses a datagram. Packet in the result is a part of data.
func Decode(data []byte) (Message, error) {
	if len(data) == 0 {
		return Message{}, errInvalidMessage
	}
	m := Message{Kind: Kind(data[0])}
	switch m.Kind {
	case KindForward, KindNotHeld, KindSearch:
		if len(data) < packetHeaderSize {
			return Message{}, errInvalidMessage
		}
		m.Service = identity.ServiceID(identity.GetUint40(data[1:]))
		m.Requester = getAddress(data[1+identity.ServiceIDSize:])
		m.decodeGoal(binary.BigEndian.Uint16(data[packetHeaderSize-goalSize:]))
		m.Packet = data[packetHeaderSize:]
		return m, nil
	case KindHint:
		if (len(data)-1)%segment.KeySize != 0 || len(data) > 1+MaxHintKeys*segment.KeySize {
			return Message{}, errInvalidMessage
		}
		for rest := data[1:]; len(rest) > 0; rest = rest[segment.KeySize:] {
			key, _ := segment.DecodeKey(rest)
			m.Keys = append(m.Keys, key)
		}
		return m, nil
	case KindPing:
		return m, nil
	case KindEpoch:
		if len(data) != announcementSize {
			return Message{}, errInvalidMessage
		}
		m.Epoch = store.Epoch(binary.BigEndian.Uint64(data[1:]))
		return m, nil
	case KindVerify:
		if len(data) != announcementSize {
			return Message{}, errInvalidMessage
		}
		m.Outage = binary.BigEndian.Uint64(data[1:])
		return m, nil
	case KindUnanswered:
		list := data[min(len(data), 1+segment.KeySize):]
		if len(data) < 1+segment.KeySize || len(list)%addressSize != 0 || len(list) > MaxUnanswered*addressSize {
			return Message{}, errInvalidMessage
		}
		m.Key, _ = segment.DecodeKey(data[1:])
		for ; len(list) > 0; list = list[addressSize:] {
			m.Sidecars = append(m.Sidecars, getAddress(list))
		}
		return m, nil
	case KindAccepted, KindRefused, KindClaimed, KindAbsent:
		hosts := data[min(len(data), responseSize):]
		if len(data) < responseSize || (m.Kind != KindAbsent && len(hosts) > 0) || len(hosts)%hostSize != 0 {
			return Message{}, errInvalidMessage
		}
		m.Reason = Reason(data[1])
		m.Load.Active = binary.BigEndian.Uint16(data[2:])
		m.Load.Flows = binary.BigEndian.Uint16(data[4:])
		m.Queried = binary.BigEndian.Uint16(data[6:])
		m.Key, _ = segment.DecodeKey(data[8:])
		m.QueriedHosts = decodeHosts(hosts)
		return m, nil
	case KindReport:
		var err error
		m.Report, err = decodeReport(data)
		return m, err
	case KindDigest:
		var err error
		m.Digest, err = decodeDigest(data)
		return m, err
	case KindDirectives:
		var err error
		m.Directives, err = decodeDirectives(data)
		return m, err
	case KindRoster:
		var err error
		m.Roster, err = decodeRoster(data)
		return m, err
	default:
		return Message{}, errInvalidMessage
	}
}
