package node

import (
	"context"
	"sync"
	"time"

	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/orioledyke/orioledyke/internal/control/peer"
	"go.uber.org/zap"
)

// readRetry is the time between two attempts to read all contracts, in addition to
// the backoff of each.
const readRetry = time.Second

// reader follows the contracts in the platform while this balancer is one of the
// readers of its data centre. Two readers or none at times do no harm: revisions
// decide which contract is newer.
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

// bind names the peer that gets the contracts. Reading waits for it.
func (r *reader) bind(p *peer.Balancer) { r.peer <- p }

// set starts or stops reading.
func (r *reader) set(active bool) {
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

// register keeps this balancer in the list of seeds. The error tells only that
// ctx has ended.
func (r *reader) register(ctx context.Context) {
	s := r.node.settings
	_ = r.node.platform.RegisterSeed(ctx, s.DataCentre, r.node.Self(), s.ControlAddress)
}

// read publishes all contracts, and then every change until ctx ends.
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
	// The error tells only that ctx has ended.
	_ = r.node.platform.WatchContracts(ctx, func(d contract.Document) { r.publish(p, d) })
}

// readAll publishes all contracts. It repeats that until the platform answers,
// and reports false if ctx ends before.
func (r *reader) readAll(ctx context.Context, p *peer.Balancer) bool {
	retry := time.NewTicker(readRetry)
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
