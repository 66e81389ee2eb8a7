package membership

import (
	"fmt"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
)

// Role says whether a member is a balancer or a sidecar.
type Role uint8

// Roles of a member, numbered as in the control protocol.
const (
	RoleBalancer Role = Role(controlpb.Role_ROLE_BALANCER)
	RoleSidecar  Role = Role(controlpb.Role_ROLE_SIDECAR)
)

// State is a stage in the lifecycle of a member. Of two records with the same
// version, the one with the higher state wins.
type State uint8

// States of a member, numbered as in the control protocol.
const (
	StateJoining State = State(controlpb.State_STATE_JOINING)
	StateServing State = State(controlpb.State_STATE_SERVING)
	StateLeaving State = State(controlpb.State_STATE_LEAVING)
	StateLeft    State = State(controlpb.State_STATE_LEFT)
	StateDead    State = State(controlpb.State_STATE_DEAD)
)

var stateNames = [...]string{"", "joining", "serving", "leaving", "left", "dead"}

// String returns the name of the state in lower case.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state-%d", s)
}

// Ended reports whether a member in this state has left or was declared dead.
func (s State) Ended() bool { return s >= StateLeft }

// MaxWeight is the weight of a member with warm caches.
const MaxWeight = 16

// RecordConfig holds the fields of a Record.
type RecordConfig struct {
	ID         identity.OwnerID
	Version    uint64
	Role       Role
	State      State
	DataCentre string
	Host       string
	// Tunnel is the UDP address of the tunnel socket.
	Tunnel netip.AddrPort
	// Control is the gRPC address. Sidecars have none.
	Control netip.AddrPort
	// Customer and Service are set for sidecars only.
	Customer string
	Service  string
	// Weight is in the range 0 to MaxWeight.
	Weight int
}

// Record describes a member at one version, as announced by the member. It is
// immutable.
type Record struct {
	config  RecordConfig
	service identity.ServiceID
}

// NewRecord returns the record with the fields of config.
func NewRecord(config RecordConfig) Record {
	r := Record{config: config}
	if config.Role == RoleSidecar {
		r.service = identity.NewServiceID(config.Customer, config.Service)
	}
	return r
}

// ID returns the ID of the member, which identifies one incarnation.
func (r Record) ID() identity.OwnerID { return r.config.ID }

// Version returns the version, which the member increments with each change.
func (r Record) Version() uint64 { return r.config.Version }

// Role returns whether the member is a balancer or a sidecar.
func (r Record) Role() Role { return r.config.Role }

// State returns the stage in the lifecycle of the member.
func (r Record) State() State { return r.config.State }

// DataCentre returns the name of the member's data centre.
func (r Record) DataCentre() string { return r.config.DataCentre }

// Host returns the name of the machine on which the member runs.
func (r Record) Host() string { return r.config.Host }

// Tunnel returns the UDP address of the tunnel socket.
func (r Record) Tunnel() netip.AddrPort { return r.config.Tunnel }

// Control returns the gRPC address, which is invalid for a sidecar.
func (r Record) Control() netip.AddrPort { return r.config.Control }

// Customer returns the customer of a sidecar, and "" for a balancer.
func (r Record) Customer() string { return r.config.Customer }

// Service returns the service name of a sidecar, and "" for a balancer.
func (r Record) Service() string { return r.config.Service }

// ServiceID returns the service of a sidecar, and 0 for a balancer.
func (r Record) ServiceID() identity.ServiceID { return r.service }

// Weight returns the relative weight for new flows, from 0 to MaxWeight.
func (r Record) Weight() int { return r.config.Weight }

// Config returns the fields, from which the caller can build a changed record.
func (r Record) Config() RecordConfig { return r.config }

func (r Record) withState(s State) Record {
	r.config.State = s
	return r
}

func (r Record) withVersion(v uint64) Record {
	r.config.Version = v
	return r
}

func (r Record) withWeight(w int) Record {
	r.config.Weight = w
	return r
}

// Supersedes reports whether r replaces old. The higher version wins, and at
// the same version the higher state.
func (r Record) Supersedes(old Record) bool {
	if r.config.Version != old.config.Version {
		return r.config.Version > old.config.Version
	}
	return r.config.State > old.config.State
}

// Member returns the record as a message of the control protocol.
func (r Record) Member() *controlpb.Member {
	return &controlpb.Member{
		Id: uint64(r.config.ID), Version: r.config.Version,
		Role: controlpb.Role(r.config.Role), State: controlpb.State(r.config.State),
		DataCentre: r.config.DataCentre, Host: r.config.Host,
		Tunnel: formatAddress(r.config.Tunnel), Control: formatAddress(r.config.Control),
		Customer: r.config.Customer, Service: r.config.Service, Weight: uint32(r.config.Weight),
	}
}

// ParseMember returns the record in a message. If a field has a value that no
// member can have, it returns an error that names the field.
func ParseMember(m *controlpb.Member) (Record, error) {
	if m.GetId() == 0 || m.GetId()>>(8*identity.OwnerIDSize) != 0 {
		return Record{}, fmt.Errorf("member id %x: want 1 to 48 bits", m.GetId())
	}
	if m.GetRole() != controlpb.Role_ROLE_BALANCER && m.GetRole() != controlpb.Role_ROLE_SIDECAR {
		return Record{}, fmt.Errorf("member %x: role %d is unknown", m.GetId(), m.GetRole())
	}
	if m.GetState() < controlpb.State_STATE_JOINING || m.GetState() > controlpb.State_STATE_DEAD {
		return Record{}, fmt.Errorf("member %x: state %d is unknown", m.GetId(), m.GetState())
	}
	if m.GetWeight() > MaxWeight {
		return Record{}, fmt.Errorf("member %x: weight %d is not in 0 to %d", m.GetId(), m.GetWeight(), MaxWeight)
	}
	tunnel, err := parseAddress(m.GetTunnel())
	if err != nil {
		return Record{}, fmt.Errorf("member %x: tunnel: %w", m.GetId(), err)
	}
	control, err := parseAddress(m.GetControl())
	if err != nil {
		return Record{}, fmt.Errorf("member %x: control: %w", m.GetId(), err)
	}
	return NewRecord(RecordConfig{
		ID: identity.OwnerID(m.GetId()), Version: m.GetVersion(),
		Role: Role(m.GetRole()), State: State(m.GetState()),
		DataCentre: m.GetDataCentre(), Host: m.GetHost(), Tunnel: tunnel, Control: control,
		Customer: m.GetCustomer(), Service: m.GetService(), Weight: int(m.GetWeight()),
	}), nil
}

func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

func parseAddress(s string) (netip.AddrPort, error) {
	if s == "" {
		return netip.AddrPort{}, nil
	}
	return netip.ParseAddrPort(s)
}

func tombstoneAge(m *controlpb.Member) clock.Millis {
	return clock.Millis(m.GetTombstoneAge()) * clock.Second
}
