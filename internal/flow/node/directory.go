package node

import (
	"context"
	"errors"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/platform"
	"go.uber.org/zap"
)

const (
	// listingTTL is how long the entry of a host outlives it. An outdated entry
	// costs a datagram now and then.
	listingTTL = 60 * clock.Second
	// directoryInterval is the time between two looks at the directory, and
	// renewInterval that between two renewals of the own entry.
	directoryInterval = 10 * clock.Second
	renewInterval     = 20 * clock.Second
	// directoryRetry is the time between failed calls.
	directoryRetry = clock.Second
)

// directory keeps the own host in the store's list of balancers, by which processes
// find each other when no seed answers.
type directory struct {
	node    *balancerNode
	lease   uint64
	renewed clock.Millis
}

func (n *balancerNode) newDirectory() *directory { return &directory{node: n} }

func (d *directory) serve(ctx context.Context) error {
	for {
		wait := directoryInterval
		if err := d.step(ctx); err != nil && ctx.Err() == nil {
			d.node.logger.Warn("directory-failed", zap.Error(err))
			wait = directoryRetry
		}
		if sleep(ctx, wait+clock.Millis(random(int(wait)/4))) != nil {
			return nil
		}
	}
}

// step reads the list, and adds or renews the own entry.
func (d *directory) step(ctx context.Context) error {
	n := d.node
	hosts, err := n.store.ListBalancers(ctx)
	if err != nil {
		return err
	}
	n.mutex.Lock()
	n.balancers.Learned(n.clock.Now(), hosts)
	n.mutex.Unlock()
	now := n.clock.Now()
	self := n.settings.RelayAddress.Addr()
	if d.lease != 0 && !slices.Contains(hosts, self) && now-d.renewed > directoryInterval/2 {
		d.lease = 0
	}
	if d.lease != 0 && now-d.renewed >= renewInterval {
		if err := n.store.Renew(ctx, d.lease); errors.Is(err, platform.ErrNotFound) {
			d.lease = 0
		} else if err != nil {
			return err
		}
		d.renewed = now
	}
	if d.lease != 0 {
		return nil
	}
	return d.add(ctx, self)
}

func (d *directory) add(ctx context.Context, self netip.Addr) error {
	lease, err := d.node.store.Grant(ctx, listingTTL)
	if err != nil {
		return err
	}
	if err := d.node.store.AddBalancer(ctx, self, lease); err != nil {
		return err
	}
	d.lease, d.renewed = lease, d.node.clock.Now()
	return nil
}
