package node

import (
	"context"
	"sync"
	"time"

	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/orioledyke/orioledyke/internal/control/peer"
	"github.com/orioledyke/orioledyke/internal/control/platform"
	"go.uber.org/zap"
)

// readRetryInterval is the time between two attempts to read all contracts. In
// addition, each attempt has its own backoff.
const readRetryInterval = time.Second

// reader watches the contracts in the platform while this balancer is one of the
// readers of its data centre. It is harmless to have two readers or none for some time,
// because revisions decide which contract is newer.
type reader struct {
	ctx    context.Context
	node   *node
	logger *zap.Logger

	mutex  sync.Mutex
	cancel context.CancelFunc
	peer   chan *peer.Balancer
}

func newReader(ctx context.Context, n *node) *reader {
	return &reader{ctx: ctx, node: n, logger: n.Logger(), peer: make(chan *peer.Balancer, 1)}
}

// setPeer sets the peer that publishes the contracts. Reading starts only after this
// call. setPeer must be called exactly once.
func (r *reader) setPeer(p *peer.Balancer) { r.peer <- p }

// setActive starts or stops reading. It does nothing if the state is unchanged.
func (r *reader) setActive(active bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if active == (r.cancel != nil) {
		return
	}
	r.logger.Info("reader-changed", zap.Bool("active", active))
	if !active {
		r.cancel()
		r.cancel = nil
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancel = cancel
	go r.register(ctx)
	go r.read(ctx)
}

// register keeps this balancer in the platform's list of seeds until ctx ends. The only
// possible error is that ctx has ended.
func (r *reader) register(ctx context.Context) {
	s := r.node.settings
	_ = r.node.platform.RegisterSeed(ctx, s.DataCentre, r.node.Self(), s.ControlAddress)
}

// read publishes all contracts once, and then every change until ctx ends.
func (r *reader) read(ctx context.Context) {
	var p *peer.Balancer
	select {
	case <-ctx.Done():
		return
	case p = <-r.peer:
		r.peer <- p
	}
	if !r.readAll(ctx, p) {
		return
	}
	// The only possible error is that ctx has ended.
	_ = r.node.platform.WatchContracts(ctx, platform.ContractWatch{
		Held: r.node.state.document, Deliver: func(d contract.Document) { r.publish(p, d) },
	})
}

// readAll publishes all contracts. It retries until the platform responds, and returns
// false if ctx ends first.
func (r *reader) readAll(ctx context.Context, p *peer.Balancer) bool {
	retry := time.NewTicker(readRetryInterval)
	defer retry.Stop()
	for {
		documents, err := r.node.platform.Contracts(ctx)
		if err == nil {
			for _, d := range documents {
				r.publish(p, d)
			}
			p.MarkComplete()
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		r.logger.Warn("contracts-unavailable", zap.Error(err))
		select {
		case <-ctx.Done():
			return false
		case <-retry.C:
		}
	}
}

func (r *reader) publish(p *peer.Balancer, d contract.Document) {
	encoded, err := d.Encode()
	if err != nil {
		r.logger.Error("contract-unreadable", zap.String("customer", d.Customer()), zap.Error(err))
		return
	}
	p.PublishContract(d.Customer(), d.Revision(), encoded)
}
