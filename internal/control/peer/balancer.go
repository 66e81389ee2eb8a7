package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/control/membership"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
	"github.com/samber/oops"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/protobuf/proto"
)

const (
	// The state machine closes silent streams. These pings only detect failed
	// connections that have no streams left.
	pingInterval = 2 * time.Second
	pingTimeout  = 1500 * time.Millisecond
)

// BalancerConfig configures a Balancer. Callbacks run one after the other,
// without locks. A callback may be nil.
type BalancerConfig struct {
	// Self needs an ID, data centre, host, tunnel address and control address.
	Self  membership.RecordConfig
	Keys  *keyring.Store
	Clock clock.Clock
	// Listener accepts the gRPC connections. The balancer closes it.
	Listener net.Listener
	// Seeds returns control addresses of balancers. It is called at the start,
	// while no neighbour is connected, and every minute by readers.
	Seeds func(context.Context) ([]netip.AddrPort, error)
	// OnMembers receives the sidecars that were added or changed, and those
	// that ended. The weight of a member that should get no new flows is 0.
	OnMembers func(changed []membership.Record, removed []identity.OwnerID)
	// OnContract receives each revision that is newer than the one held before.
	OnContract func(customer string, revision uint64, document []byte)
	// OnReader is called when the balancer becomes or stops being a reader of
	// the platform.
	OnReader func(bool)
	// InEffect returns the revision of a customer's contract that this process
	// has in effect, which Status reports. If it is nil, Status reports the
	// revision held.
	InEffect func(customer string) uint64
	Logger   *zap.Logger
}

// Balancer runs the membership state machine of a balancer over gRPC. It
// watches members and distributes contracts.
type Balancer struct {
	controlpb.UnimplementedControlServer

	config  BalancerConfig
	runtime *runtime
	machine *membership.Balancer
	server  *grpc.Server
}

// NewBalancer starts a Balancer, which serves on the listener until ctx ends.
// The balancer then notifies its peers that it left, and closes the listener.
func NewBalancer(ctx context.Context, config BalancerConfig) (*Balancer, error) {
	config.Self.Role = membership.RoleBalancer
	if config.Self.ID == 0 || !config.Self.Control.IsValid() || config.Self.DataCentre == "" {
		return nil, oops.Code("peer-config-invalid").Errorf("balancer: ID, data centre and control address are required")
	}
	if config.Keys == nil || config.Listener == nil {
		return nil, oops.Code("peer-config-invalid").Errorf("balancer: keys and listener are required")
	}
	b := &Balancer{config: config, runtime: newRuntime(ctx, config.Keys, config.Clock, config.Seeds, config.Logger)}
	b.machine = membership.NewBalancer(config.Clock.Now(), newSelf(config.Self))
	r := b.runtime
	r.onSeeds, r.onClosed, r.onResponse = b.machine.SetSeeds, b.machine.StreamClosed, b.machine.ReceiveResponse
	r.onReleased = b.machine.StreamReleased
	r.onSync, r.onTick = b.machine.Receive, b.machine.Tick
	r.enqueueCallbacks, r.machineReady = b.enqueueCallbacks, b.machine.Ready
	b.server = grpc.NewServer(
		grpc.Creds(credentials.NewTLS(config.Keys.TLS(protocolName))),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
	)
	controlpb.RegisterControlServer(b.server, b)
	r.tasks.Go(func() {
		if err := b.server.Serve(config.Listener); err != nil && r.ctx.Err() == nil {
			r.logger.Error("control-server-stopped", zap.Error(err))
		}
	})
	r.tasks.Go(func() {
		<-r.ctx.Done()
		b.server.Stop()
	})
	r.start(ctx, func() { b.SetState(membership.StateLeft) })
	return b, nil
}

func newSelf(config membership.RecordConfig) membership.Record {
	config.Version = max(config.Version, 1)
	if config.State == 0 {
		config.State = membership.StateJoining
	}
	return membership.NewRecord(config)
}

func (b *Balancer) enqueueCallbacks(actions membership.Actions) {
	if b.config.OnMembers != nil && len(actions.Changed)+len(actions.Removed) > 0 {
		b.runtime.enqueueCallback(func() { b.config.OnMembers(actions.Changed, actions.Removed) })
	}
	for _, c := range actions.Contracts {
		if b.config.OnContract != nil {
			b.runtime.enqueueCallback(func() { b.config.OnContract(c.Customer, c.Revision, c.Document) })
		}
	}
	if b.config.OnReader != nil && actions.Reader != nil {
		b.runtime.enqueueCallback(func() { b.config.OnReader(*actions.Reader) })
	}
}

// PublishContract distributes a contract that was read from the platform. It
// ignores a revision that is not higher than the one held.
func (b *Balancer) PublishContract(customer string, revision uint64, document []byte) {
	c := membership.Contract{Customer: customer, Revision: revision, Document: document}
	b.runtime.step(func(now clock.Millis) membership.Actions { return b.machine.Publish(now, c) })
}

// MarkComplete reports that all contracts of the platform have been published,
// even if there are none.
func (b *Balancer) MarkComplete() { b.runtime.step(b.machine.MarkComplete) }

// SetState announces a new state of this balancer.
func (b *Balancer) SetState(state membership.State) {
	b.runtime.step(func(now clock.Millis) membership.Actions { return b.machine.SetState(now, state) })
}

// Ready reports whether the balancer holds the complete state and the callbacks with
// that state have returned. The state is complete when a neighbour has sent its complete
// state. If no neighbour is ready, it is complete when the seeds are known and contracts
// have been published.
func (b *Balancer) Ready() bool { return b.runtime.ready.Load() }

// Contracts returns the revisions held, in alphabetical order of customers.
func (b *Balancer) Contracts() []*controlpb.ContractStatus {
	b.runtime.mu.Lock()
	defer b.runtime.mu.Unlock()
	return b.machine.Contracts().Status()
}

// Wait blocks until the balancer has shut down after its context ended.
func (b *Balancer) Wait() { b.runtime.tasks.Wait() }

// Announce serves the stream of a watched member. gRPC calls it.
func (b *Balancer) Announce(s controlpb.Control_AnnounceServer) error {
	return b.serve(s.Context(), nil, transport{
		send:    func(m proto.Message) error { return s.Send(m.(*controlpb.AnnounceResponse)) },
		receive: func() (proto.Message, error) { return s.Recv() },
		end:     func() error { return io.EOF },
	}, b.handleHeartbeat)
}

// Sync serves the stream of a neighbour. gRPC calls it.
func (b *Balancer) Sync(s controlpb.Control_SyncServer) error {
	return b.serve(s.Context(), b.machine.SyncAccepted, transport{
		send:    func(m proto.Message) error { return s.Send(m.(*controlpb.SyncMessage)) },
		receive: func() (proto.Message, error) { return s.Recv() },
		end:     func() error { return io.EOF },
	}, func(now clock.Millis, id membership.StreamID, m proto.Message) membership.Actions {
		return b.machine.Receive(now, id, m.(*controlpb.SyncMessage))
	})
}

// Status returns the members and contracts that this balancer holds. Members
// are left out if the request names a customer.
func (b *Balancer) Status(_ context.Context, request *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	b.runtime.mu.Lock()
	defer b.runtime.mu.Unlock()
	response := b.machine.Status(request.GetCustomer())
	response.Ready = b.runtime.ready.Load()
	if b.config.InEffect != nil {
		for _, c := range response.GetContracts() {
			c.Revision = b.config.InEffect(c.GetCustomer())
		}
	}
	return response, nil
}

func (b *Balancer) handleHeartbeat(now clock.Millis, id membership.StreamID, m proto.Message) membership.Actions {
	response, actions, err := b.machine.ReceiveHeartbeat(now, id, m.(*controlpb.AnnounceRequest))
	if err != nil {
		b.runtime.logger.Warn("heartbeat-invalid", zap.Error(err))
		actions.Close = append(actions.Close, id)
		return actions
	}
	b.runtime.enqueueMessage(id, response)
	return actions
}

type messageHandler func(now clock.Millis, id membership.StreamID, m proto.Message) membership.Actions

// serve runs a stream that a peer opened. It returns when the state machine
// closes the stream, even while the sending of a message blocks.
func (b *Balancer) serve(ctx context.Context, accepted func(clock.Millis, membership.StreamID) membership.Actions, t transport, handle messageHandler) error {
	r := b.runtime
	r.mu.Lock()
	if r.stopping {
		r.mu.Unlock()
		return context.Canceled
	}
	id := b.machine.NextStream()
	ctx, s := r.add(ctx, id)
	if accepted != nil {
		r.apply(accepted(r.clock.Now(), id))
	}
	r.mu.Unlock()
	err := pump(ctx, s, t, func(m proto.Message) {
		r.step(func(now clock.Millis) membership.Actions { return handle(now, id, m) })
	})
	r.remove(id, s, err)
	return nil
}

// Status requests all members and contracts that a balancer holds.
func Status(ctx context.Context, keys *keyring.Store, address netip.AddrPort) (*controlpb.StatusResponse, error) {
	return status(ctx, keys, address, &controlpb.StatusRequest{})
}

// ContractStatus requests the revision of a customer's contract that a balancer
// reports in its status. The response contains no members.
func ContractStatus(ctx context.Context, keys *keyring.Store, address netip.AddrPort, customer string) (*controlpb.StatusResponse, error) {
	return status(ctx, keys, address, &controlpb.StatusRequest{Customer: customer})
}

func status(ctx context.Context, keys *keyring.Store, address netip.AddrPort, request *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	conn, err := dial(keys, address)
	if err != nil {
		return nil, oops.Code("status-unavailable").Wrapf(err, "%s", address)
	}
	defer conn.Close()
	response, err := controlpb.NewControlClient(conn).Status(ctx, request)
	if err != nil {
		return nil, oops.Code("status-unavailable").Wrapf(err, "%s", address)
	}
	return response, nil
}
