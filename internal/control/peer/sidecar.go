package peer

import (
	"context"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/control/membership"
	"github.com/samber/oops"
	"go.uber.org/zap"
)

// SidecarConfig holds what a Sidecar needs. Callbacks run one after the other,
// without locks; nil ones are left out.
type SidecarConfig struct {
	// Self needs ID, data centre, host, tunnel address, customer and service.
	Self  membership.RecordConfig
	Keys  *keyring.Store
	Clock clock.Clock
	// Seeds returns control addresses of balancers. It is called while no
	// watcher is connected.
	Seeds func(context.Context) ([]netip.AddrPort, error)
	// OnSiblings receives all other members of the service whenever they
	// changed.
	OnSiblings func([]membership.Record)
	OnContract func(customer string, revision uint64, document []byte)
	Logger     *zap.Logger
}

// Sidecar announces a sidecar to the balancers that watch it.
type Sidecar struct {
	config  SidecarConfig
	runtime *runtime
	machine *membership.Sidecar
}

// NewSidecar starts a Sidecar. When ctx ends it tells its watchers that it left.
func NewSidecar(ctx context.Context, config SidecarConfig) (*Sidecar, error) {
	config.Self.Role = membership.RoleSidecar
	if config.Self.ID == 0 || !config.Self.Tunnel.IsValid() || config.Self.DataCentre == "" {
		return nil, oops.Code("peer-config-invalid").Errorf("sidecar: want ID, data centre and tunnel address")
	}
	if config.Self.Customer == "" || config.Self.Service == "" || config.Keys == nil {
		return nil, oops.Code("peer-config-invalid").Errorf("sidecar: want customer, service and keys")
	}
	s := &Sidecar{config: config, runtime: newRuntime(ctx, config.Keys, config.Clock, config.Seeds, config.Logger)}
	s.machine = membership.NewSidecar(config.Clock.Now(), newSelf(config.Self))
	r := s.runtime
	r.onSeeds, r.onClosed, r.onAnswer = s.machine.SetSeeds, s.machine.StreamClosed, s.machine.ReceiveResponse
	r.onTick = s.machine.Tick
	r.queueActions = s.queueActions
	r.start(ctx, func() { s.Announce(membership.StateLeft, 0) })
	return s, nil
}

func (s *Sidecar) queueActions(actions membership.Actions) {
	for _, c := range actions.Contracts {
		if s.config.OnContract != nil {
			s.runtime.later(func() { s.config.OnContract(c.Customer, c.Revision, c.Document) })
		}
	}
	if s.config.OnSiblings != nil && actions.SiblingsChanged {
		siblings := s.machine.Siblings()
		s.runtime.later(func() { s.config.OnSiblings(siblings) })
	}
}

// Announce tells the watchers at once about a new state and weight (0 to
// membership.MaxWeight).
func (s *Sidecar) Announce(state membership.State, weight int) {
	s.runtime.step(func(now clock.Millis) membership.Actions { return s.machine.SetSelf(now, state, weight) })
}

// Ready reports whether a watcher has sent its complete state.
func (s *Sidecar) Ready() bool {
	s.runtime.mu.Lock()
	defer s.runtime.mu.Unlock()
	return s.machine.Ready()
}

// Wait returns when everything has ended after the context ended.
func (s *Sidecar) Wait() { s.runtime.tasks.Wait() }
