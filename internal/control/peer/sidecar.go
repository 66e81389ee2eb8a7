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

// SidecarConfig configures a Sidecar. Callbacks run one after the other,
// without locks. A callback may be nil.
type SidecarConfig struct {
	// Self needs an ID, data centre, host, tunnel address, customer and
	// service.
	Self  membership.RecordConfig
	Keys  *keyring.Store
	Clock clock.Clock
	// Seeds returns control addresses of balancers. It is called while no
	// watcher is connected.
	Seeds func(context.Context) ([]netip.AddrPort, error)
	// OnSiblings receives all other members of the service whenever they
	// change.
	OnSiblings func([]membership.Record)
	// OnContract receives each newer revision of the customer's contract.
	OnContract func(customer string, revision uint64, document []byte)
	Logger     *zap.Logger
}

// Sidecar announces a sidecar to the balancers that watch it.
type Sidecar struct {
	config  SidecarConfig
	runtime *runtime
	machine *membership.Sidecar
}

// NewSidecar starts a Sidecar. When ctx ends, the sidecar notifies its watchers
// that it left.
func NewSidecar(ctx context.Context, config SidecarConfig) (*Sidecar, error) {
	config.Self.Role = membership.RoleSidecar
	if config.Self.ID == 0 || !config.Self.Tunnel.IsValid() || config.Self.DataCentre == "" {
		return nil, oops.Code("peer-config-invalid").Errorf("sidecar: ID, data centre and tunnel address are required")
	}
	if config.Self.Customer == "" || config.Self.Service == "" || config.Keys == nil {
		return nil, oops.Code("peer-config-invalid").Errorf("sidecar: customer, service and keys are required")
	}
	s := &Sidecar{config: config, runtime: newRuntime(ctx, config.Keys, config.Clock, config.Seeds, config.Logger)}
	s.machine = membership.NewSidecar(config.Clock.Now(), newSelf(config.Self))
	r := s.runtime
	r.onSeeds, r.onClosed, r.onResponse = s.machine.SetSeeds, s.machine.StreamClosed, s.machine.ReceiveResponse
	r.onTick = s.machine.Tick
	r.enqueueCallbacks, r.machineReady = s.enqueueCallbacks, s.machine.Ready
	r.start(ctx, func() { s.Announce(membership.StateLeft, 0) })
	return s, nil
}

func (s *Sidecar) enqueueCallbacks(actions membership.Actions) {
	for _, c := range actions.Contracts {
		if s.config.OnContract != nil {
			s.runtime.enqueueCallback(func() { s.config.OnContract(c.Customer, c.Revision, c.Document) })
		}
	}
	if s.config.OnSiblings != nil && actions.SiblingsChanged {
		siblings := s.machine.Siblings()
		s.runtime.enqueueCallback(func() { s.config.OnSiblings(siblings) })
	}
}

// Announce sends a new state and weight (0 to membership.MaxWeight) to the
// watchers at once.
func (s *Sidecar) Announce(state membership.State, weight int) {
	s.runtime.step(func(now clock.Millis) membership.Actions { return s.machine.SetSelf(now, state, weight) })
}

// Ready reports whether a watcher has sent its complete state and the callbacks with that
// state have returned.
func (s *Sidecar) Ready() bool { return s.runtime.ready.Load() }

// Wait blocks until the sidecar has shut down after its context ended.
func (s *Sidecar) Wait() { s.runtime.tasks.Wait() }
