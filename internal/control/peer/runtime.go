// Package peer runs the membership state machines over gRPC with mutually
// authenticated TLS.
package peer

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"sync"
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
	// outboxSize is the number of messages that may wait for a slow peer. A
	// stream sends at most 11 a second, so this is more than the silence
	// timeout.
	outboxSize = 64
	// farewellTimeout is how long the end of the process waits until its last
	// messages were received.
	farewellTimeout = time.Second
	seedsTimeout    = 5 * time.Second
	// protocolName is the application protocol of HTTP/2 in TLS.
	protocolName = "h2"
)

// runtime is what balancers and sidecars have in common. Its mutex guards the
// state machine too.
type runtime struct {
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	keys   *keyring.Store
	clock  clock.Clock
	seeds  func(context.Context) ([]netip.AddrPort, error)
	logger *zap.Logger

	mu           sync.Mutex
	streams      map[membership.StreamID]*stream
	askingSeeds  bool
	leaving      bool
	callbacks    []func()
	callbackDue  chan struct{}
	onSeeds      func(now clock.Millis, addresses []netip.AddrPort) membership.Actions
	onClosed     func(now clock.Millis, id membership.StreamID) membership.Actions
	onReleased   func(now clock.Millis, id membership.StreamID) membership.Actions
	onAnswer     func(now clock.Millis, id membership.StreamID, m *controlpb.AnnounceResponse) membership.Actions
	onSync       func(now clock.Millis, id membership.StreamID, m *controlpb.SyncMessage) membership.Actions
	onTick       func(now clock.Millis) membership.Actions
	queueActions func(membership.Actions)
}

// stream is one open gRPC stream of either direction.
type stream struct {
	outbox chan proto.Message
	cancel context.CancelFunc
	closed bool
}

// finish ends the stream after its queued messages, or by force if the peer does
// not end its side in time. The caller holds the lock.
func (s *stream) finish() {
	if !s.closed {
		s.closed = true
		close(s.outbox)
		time.AfterFunc(farewellTimeout, s.cancel)
	}
}

// transport hides the types of a gRPC stream.
type transport struct {
	send    func(proto.Message) error
	receive func() (proto.Message, error)
	end     func() error
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
	// The streams outlive ctx for as long as the farewell takes.
	r.ctx, r.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return r
}

// start runs the ticks and callbacks until ctx ends, then calls leave and waits
// for the last messages.
func (r *runtime) start(ctx context.Context, leave func()) {
	r.tasks.Go(func() {
		ticker := time.NewTicker(membership.TickInterval.Duration())
		defer ticker.Stop()
		for {
			r.step(r.onTick)
			select {
			case <-ctx.Done():
				leave()
				r.farewell()
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

// later runs call in order with others, without the lock. The caller holds it.
func (r *runtime) later(call func()) {
	r.callbacks = append(r.callbacks, call)
	select {
	case r.callbackDue <- struct{}{}:
	default:
	}
}

// step passes an input to the state machine and does what it answers.
func (r *runtime) step(input func(now clock.Millis) membership.Actions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(input(r.clock.Now()))
}

// apply does the actions. The caller holds the lock.
func (r *runtime) apply(actions membership.Actions) {
	for _, id := range actions.Close {
		if s, ok := r.streams[id]; ok {
			s.cancel()
		}
	}
	for _, id := range actions.Release {
		if s, ok := r.streams[id]; ok {
			s.finish()
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
				return r.onAnswer(now, o.Stream, m.(*controlpb.AnnounceResponse))
			})
		})
	}
	for _, send := range actions.Sync {
		r.post(send.Stream, send.Message)
	}
	for _, send := range actions.Announce {
		r.post(send.Stream, send.Message)
	}
	if actions.WantSeeds && !r.askingSeeds {
		r.askSeeds()
	}
	r.queueActions(actions)
}

// post queues a message; a stream whose peer does not read is closed. The
// caller holds the lock.
func (r *runtime) post(id membership.StreamID, m proto.Message) {
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

func (r *runtime) remove(id membership.StreamID, s *stream, err error) {
	s.cancel()
	r.step(func(now clock.Millis) membership.Actions {
		delete(r.streams, id)
		if r.leaving {
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

// open connects to a peer on a new connection, because an existing one may be
// silent without knowing it. The caller holds the lock.
func (r *runtime) open(o membership.Open, start opener, receive func(proto.Message)) {
	ctx, s := r.add(r.ctx, o.Stream)
	if r.leaving {
		s.cancel()
	}
	r.tasks.Go(func() {
		r.remove(o.Stream, s, r.converse(ctx, s, o.Address, start, receive))
	})
}

func (r *runtime) converse(ctx context.Context, s *stream, address netip.AddrPort, start opener, receive func(proto.Message)) error {
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

// pump moves messages until the stream ends in either direction or ctx ends.
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

func (r *runtime) askSeeds() {
	r.askingSeeds = true
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, seedsTimeout)
		defer cancel()
		addresses, err := r.seeds(ctx)
		r.step(func(now clock.Millis) membership.Actions {
			r.askingSeeds = false
			if err != nil {
				r.logger.Warn("seeds-unavailable", zap.Error(err))
				return membership.Actions{}
			}
			return r.onSeeds(now, addresses)
		})
	})
}

// farewell ends every stream after its queued messages, waits for the peers to
// do the same, and ends everything else.
func (r *runtime) farewell() {
	r.mu.Lock()
	r.leaving = true
	for _, s := range r.streams {
		s.finish()
	}
	r.mu.Unlock()
	deadline := time.NewTimer(farewellTimeout)
	defer deadline.Stop()
	poll := time.NewTicker(farewellTimeout / 100)
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
