// Package peer runs the membership state machines over gRPC with mutually
// authenticated TLS.
package peer

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/control/membership"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/protobuf/proto"
)

const (
	// outboxSize is the number of messages that may be queued for a slow peer.
	// A stream sends at most 11 messages per second, so the queue takes longer
	// to fill than SilenceTimeout.
	outboxSize = 64
	// closeTimeout is how long the release of a stream and a shutdown wait
	// until the peers have received the last messages.
	closeTimeout = time.Second
	seedsTimeout = 5 * time.Second
	// protocolName is the TLS application protocol of HTTP/2.
	protocolName = "h2"
)

// runtime is the common part of Balancer and Sidecar. Its mutex also guards the
// state machine.
type runtime struct {
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	keys   *keyring.Store
	clock  clock.Clock
	seeds  func(context.Context) ([]netip.AddrPort, error)
	logger *zap.Logger

	mu               sync.Mutex
	streams          map[membership.StreamID]*stream
	fetchingSeeds    bool
	stopping         bool
	callbacks        []func()
	callbackDue      chan struct{}
	onSeeds          func(now clock.Millis, addresses []netip.AddrPort) membership.Actions
	onClosed         func(now clock.Millis, id membership.StreamID) membership.Actions
	onReleased       func(now clock.Millis, id membership.StreamID) membership.Actions
	onResponse       func(now clock.Millis, id membership.StreamID, m *controlpb.AnnounceResponse) membership.Actions
	onSync           func(now clock.Millis, id membership.StreamID, m *controlpb.SyncMessage) membership.Actions
	onTick           func(now clock.Millis) membership.Actions
	enqueueCallbacks func(membership.Actions)
	// machineReady reports whether the state machine holds the complete state.
	machineReady func() bool
	// readyQueued is set when the callback that sets ready is queued.
	readyQueued bool
	// ready is set when the callbacks with the complete state have returned.
	ready atomic.Bool
}

// stream is an open gRPC stream. Either side may have opened it.
type stream struct {
	outbox chan proto.Message
	cancel context.CancelFunc
	closed bool
}

// closeGracefully ends the stream after its queued messages. It cancels the
// stream if the peer does not end its side within closeTimeout. The caller
// holds the lock.
func (s *stream) closeGracefully() {
	if !s.closed {
		s.closed = true
		close(s.outbox)
		time.AfterFunc(closeTimeout, s.cancel)
	}
}

// transport hides the message types of a gRPC stream.
type transport struct {
	send    func(proto.Message) error
	receive func() (proto.Message, error)
	// end ends this side of the stream. It returns io.EOF if the peer opened
	// the stream, because that stream ends with its handler.
	end func() error
}

func newRuntime(ctx context.Context, keys *keyring.Store, c clock.Clock, seeds func(context.Context) ([]netip.AddrPort, error), logger *zap.Logger) *runtime {
	if seeds == nil {
		seeds = func(context.Context) ([]netip.AddrPort, error) { return nil, nil }
	}
	if logger == nil {
		logger = zap.NewNop()
	}
	r := &runtime{
		keys: keys, clock: c, seeds: seeds, logger: logger,
		streams: map[membership.StreamID]*stream{}, callbackDue: make(chan struct{}, 1),
	}
	// The streams outlive ctx until the shutdown is complete.
	r.ctx, r.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return r
}

// start runs ticks and callbacks until ctx ends. Then it calls announceLeave
// and shuts down.
func (r *runtime) start(ctx context.Context, announceLeave func()) {
	r.tasks.Go(func() {
		ticker := time.NewTicker(membership.TickInterval.Duration())
		defer ticker.Stop()
		for {
			r.step(r.onTick)
			select {
			case <-ctx.Done():
				announceLeave()
				r.shutdown()
				return
			case <-ticker.C:
			}
		}
	})
	r.tasks.Go(func() {
		for {
			select {
			case <-r.callbackDue:
				r.runCallbacks()
			case <-r.ctx.Done():
				return
			}
		}
	})
}

func (r *runtime) runCallbacks() {
	r.mu.Lock()
	callbacks := r.callbacks
	r.callbacks = nil
	r.mu.Unlock()
	for _, call := range callbacks {
		call()
	}
}

// enqueueCallback queues call, which runs in order with others and without the
// lock. The caller holds the lock.
func (r *runtime) enqueueCallback(call func()) {
	r.callbacks = append(r.callbacks, call)
	select {
	case r.callbackDue <- struct{}{}:
	default:
	}
}

// step passes an input to the state machine and performs the resulting actions.
func (r *runtime) step(input func(now clock.Millis) membership.Actions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(input(r.clock.Now()))
}

// apply performs the actions. The caller holds the lock.
func (r *runtime) apply(actions membership.Actions) {
	for _, id := range actions.Close {
		if s, ok := r.streams[id]; ok {
			s.cancel()
		}
	}
	for _, id := range actions.Release {
		if s, ok := r.streams[id]; ok {
			s.closeGracefully()
		}
	}
	for _, o := range actions.OpenSync {
		r.open(o, openSync, func(m proto.Message) {
			r.step(func(now clock.Millis) membership.Actions {
				return r.onSync(now, o.Stream, m.(*controlpb.SyncMessage))
			})
		})
	}
	for _, o := range actions.OpenAnnounce {
		r.open(o, openAnnounce, func(m proto.Message) {
			r.step(func(now clock.Millis) membership.Actions {
				return r.onResponse(now, o.Stream, m.(*controlpb.AnnounceResponse))
			})
		})
	}
	for _, send := range actions.Sync {
		r.enqueueMessage(send.Stream, send.Message)
	}
	for _, send := range actions.Announce {
		r.enqueueMessage(send.Stream, send.Message)
	}
	if actions.WantSeeds && !r.fetchingSeeds {
		r.fetchSeeds()
	}
	r.enqueueCallbacks(actions)
	if !r.readyQueued && r.machineReady() {
		r.readyQueued = true
		r.enqueueCallback(func() { r.ready.Store(true) })
	}
}

// enqueueMessage queues a message. If the queue is full because the peer does
// not read, it cancels the stream. The caller holds the lock.
func (r *runtime) enqueueMessage(id membership.StreamID, m proto.Message) {
	s, ok := r.streams[id]
	if !ok || s.closed {
		return
	}
	select {
	case s.outbox <- m:
	default:
		r.logger.Warn("stream-overflowed", zap.Uint64("stream", uint64(id)))
		s.cancel()
	}
}

// add registers a stream. The caller holds the lock.
func (r *runtime) add(ctx context.Context, id membership.StreamID) (context.Context, *stream) {
	ctx, cancel := context.WithCancel(ctx)
	s := &stream{outbox: make(chan proto.Message, outboxSize), cancel: cancel}
	r.streams[id] = s
	return ctx, s
}

// remove deregisters a stream that ended with err, and reports it to the state
// machine. io.EOF means that the peer ended the stream on purpose.
func (r *runtime) remove(id membership.StreamID, s *stream, err error) {
	s.cancel()
	r.step(func(now clock.Millis) membership.Actions {
		delete(r.streams, id)
		if r.stopping {
			return membership.Actions{}
		}
		r.logger.Debug("stream-closed", zap.Uint64("stream", uint64(id)), zap.Error(err))
		if errors.Is(err, io.EOF) && r.onReleased != nil {
			return r.onReleased(now, id)
		}
		return r.onClosed(now, id)
	})
}

type opener func(ctx context.Context, client controlpb.ControlClient) (transport, error)

// open connects to a peer on a new connection, because an existing one may have
// failed silently. The caller holds the lock.
func (r *runtime) open(o membership.Open, start opener, receive func(proto.Message)) {
	ctx, s := r.add(r.ctx, o.Stream)
	if r.stopping {
		s.cancel()
	}
	r.tasks.Go(func() {
		r.remove(o.Stream, s, r.runStream(ctx, s, o.Address, start, receive))
	})
}

func (r *runtime) runStream(ctx context.Context, s *stream, address netip.AddrPort, start opener, receive func(proto.Message)) error {
	conn, err := dial(r.keys, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	t, err := start(ctx, controlpb.NewControlClient(conn))
	if err != nil {
		return err
	}
	return pump(ctx, s, t, receive)
}

// pump sends and receives messages until either side ends the stream or ctx
// ends.
func pump(ctx context.Context, s *stream, t transport, receive func(proto.Message)) error {
	ended := make(chan error, 2)
	go func() {
		for {
			select {
			case m, ok := <-s.outbox:
				if !ok {
					if err := t.end(); err != nil {
						ended <- err
					}
					return
				}
				if err := t.send(m); err != nil {
					ended <- err
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	go func() {
		for {
			m, err := t.receive()
			if err != nil {
				ended <- err
				return
			}
			receive(m)
		}
	}()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *runtime) fetchSeeds() {
	r.fetchingSeeds = true
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, seedsTimeout)
		defer cancel()
		addresses, err := r.seeds(ctx)
		r.step(func(now clock.Millis) membership.Actions {
			r.fetchingSeeds = false
			if err != nil {
				r.logger.Warn("seeds-unavailable", zap.Error(err))
				return membership.Actions{}
			}
			return r.onSeeds(now, addresses)
		})
	})
}

// shutdown ends every stream after its queued messages, and waits until the
// peers have ended theirs, but no longer than closeTimeout. Then it ends
// everything else.
func (r *runtime) shutdown() {
	r.mu.Lock()
	r.stopping = true
	for _, s := range r.streams {
		s.closeGracefully()
	}
	r.mu.Unlock()
	deadline := time.NewTimer(closeTimeout)
	defer deadline.Stop()
	poll := time.NewTicker(closeTimeout / 100)
	defer poll.Stop()
	for r.openStreams() > 0 {
		select {
		case <-poll.C:
			continue
		case <-deadline.C:
		}
		break
	}
	r.cancel()
}

func (r *runtime) openStreams() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.streams)
}

func dial(keys *keyring.Store, address netip.AddrPort) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address.String(),
		grpc.WithTransportCredentials(credentials.NewTLS(keys.TLS(protocolName))))
}

func openSync(ctx context.Context, client controlpb.ControlClient) (transport, error) {
	s, err := client.Sync(ctx)
	if err != nil {
		return transport{}, err
	}
	return transport{
		send:    func(m proto.Message) error { return s.Send(m.(*controlpb.SyncMessage)) },
		receive: func() (proto.Message, error) { return s.Recv() },
		end:     s.CloseSend,
	}, nil
}

func openAnnounce(ctx context.Context, client controlpb.ControlClient) (transport, error) {
	s, err := client.Announce(ctx)
	if err != nil {
		return transport{}, err
	}
	return transport{
		send:    func(m proto.Message) error { return s.Send(m.(*controlpb.AnnounceRequest)) },
		receive: func() (proto.Message, error) { return s.Recv() },
		end:     s.CloseSend,
	}, nil
}
