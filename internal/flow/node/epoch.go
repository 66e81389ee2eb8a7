package node

import (
	"github.com/orioledyke/orioledyke/internal/flow/store"
	"go.uber.org/zap"
)

// observeStoreEpoch records the epoch that a response of the store states, and calls
// storeRestored if it has risen. A response from before a restore may arrive after later
// ones and is ignored.
func (b *base) observeStoreEpoch(epoch store.Epoch) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	before := b.storeEpoch
	if epoch <= before {
		return
	}
	b.storeEpoch = epoch
	if before == 0 {
		return
	}
	b.storeRestores++
	b.logger.Warn("store-restored", zap.Uint64("epoch", uint64(epoch)), zap.Uint64("before", uint64(before)))
	b.directory.verifySoon()
	b.storeRestored()
}

// handleEpoch handles the announcement of a balancer that the store is in a later epoch.
// Announcements are not authenticated, so that this process only asks the store itself.
func (b *base) handleEpoch(announced store.Epoch) {
	if b.storeEpoch == 0 || announced <= max(b.storeEpoch, b.announcedEpoch) {
		return
	}
	b.announcedEpoch = announced
	b.directory.verifySoon()
}
