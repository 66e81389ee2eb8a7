package node

import (
	"context"
	"errors"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/configuration"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/orioledyke/orioledyke/internal/flow/store"
	"github.com/orioledyke/orioledyke/platform"
	"go.uber.org/zap"
)

// behindLogDelay is how long a peer must have had a newer version before that is logged.
// Usually the version is in effect within a second.
const behindLogDelay clock.Millis = 1500

// The sources of a configuration, as the log names them.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// errWatchOverdue is the cause of a watch that was ended because the store has not
// delivered what peers have.
var errWatchOverdue = errors.New("store has not delivered a version that a peer has")

// applyConfiguration puts a configuration into effect if it is newer than the current
// one. source names its origin in the log.
func (n *balancerNode) applyConfiguration(source string, content []byte) error {
	config, err := platform.DecodeConfiguration(content)
	if err != nil {
		return err
	}
	table := route.NewTable(config)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.clock.Now()
	replaced := n.machine.Table()
	if !n.machine.SetTable(now, table) {
		return nil
	}
	fields := []zap.Field{
		zap.Uint64("version", table.Version()), zap.Int("routes", table.Len()), zap.String("source", source),
	}
	if _, since, behind := n.versions.Behind(now); behind {
		fields = append(fields, zap.Int64("behind-ms", int64(since)))
	}
	n.setTimer(now)
	n.versions.Applied(now, table.Version(), source == sourcePeer)
	n.behindLogged = false
	n.digests.spread(now)
	n.digests.spreadWarmupRates(now, replaced)
	n.logger.Info("configuration-applied", fields...)
	return nil
}

// logBehind logs that a newer version than the one in effect has been known for
// behindLogDelay.
func (n *balancerNode) logBehind(now clock.Millis) {
	newest, since, behind := n.versions.Behind(now)
	if !behind || since < behindLogDelay || n.behindLogged {
		return
	}
	n.behindLogged = true
	n.logger.Warn("configuration-behind", zap.Uint64("version", n.machine.Table().Version()), zap.Uint64("newest", newest),
		zap.Int64("behind-ms", int64(since)), zap.Int64("store-silent-ms", int64(n.versions.StoreSilence(now))))
}

// watchTimeout returns how long the next watch of the configuration may wait.
func (n *balancerNode) watchTimeout() clock.Millis {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if isReader(n.settings.RelayAddress.Addr(), n.balancers.Live(n.clock.Now())) {
		return configuration.ReaderWatch
	}
	return configuration.FollowerWatch
}

func (n *balancerNode) readConfiguration(ctx context.Context) (configuration.Document, error) {
	document, err := n.store.Configuration(ctx)
	if err == nil {
		n.recordStoreResponse()
	}
	return document, err
}

// watchConfiguration watches the configuration until endOverdueWatch or endOutdatedWatch
// ends it.
func (n *balancerNode) watchConfiguration(ctx context.Context, after store.Revision, wait clock.Millis) (configuration.Document, bool, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	n.mutex.Lock()
	n.cancelWatch, n.watchEpoch = cancel, after.Epoch
	n.endOutdatedWatch()
	n.mutex.Unlock()
	document, changed, err := n.store.WatchConfiguration(ctx, after, wait)
	if err == nil {
		n.recordStoreResponse()
	}
	return document, changed, err
}

// endOverdueWatch ends a watch that the store no longer serves, so that the configuration
// is read again. Otherwise the watch could last for another FollowerWatch.
func (n *balancerNode) endOverdueWatch(now clock.Millis) {
	if n.cancelWatch != nil && n.versions.StoreOverdue(now) {
		n.cancelWatch(errWatchOverdue)
	}
}

// endOutdatedWatch ends a watch from a revision of an earlier epoch. The store may accept
// it, and then does not deliver what was changed before that revision of its new history.
func (n *balancerNode) endOutdatedWatch() {
	if n.cancelWatch != nil && n.watchEpoch < n.storeEpoch {
		n.cancelWatch(configuration.ErrRestored)
	}
}

func (n *balancerNode) recordStoreResponse() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.versions.StoreResponded(n.clock.Now())
}
