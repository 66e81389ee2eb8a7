package demo

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/control/peer"
)

const (
	pollInterval = 100 * time.Millisecond
	pollTimeout  = time.Second
)

// watcher polls the balancers for their revisions until its context ends. It also
// records the writes of operators.
type watcher struct {
	clock   clock.Clock
	pollers sync.WaitGroup
	mutex   sync.Mutex
	history revisionHistory
}

// watch starts to poll every balancer of the system.
func (s *system) watch(ctx context.Context) *watcher {
	w := &watcher{clock: clock.System()}
	for _, b := range s.layout.balancers {
		w.pollers.Go(func() {
			ticker := time.NewTicker(pollInterval)
			defer ticker.Stop()
			for {
				w.observe(ctx, s.files.keyRing(), b)
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
			}
		})
	}
	return w
}

// observe records the response of one balancer. It records nothing if the balancer
// does not respond, or if the key ring file cannot be read while it is changed.
func (w *watcher) observe(ctx context.Context, ringFile string, b host) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	revision, ready, ok := fetchRevision(ctx, ringFile, b.control)
	if !ok {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.history.observations = append(w.history.observations, observation{balancer: b.name, at: w.clock.Now(), ready: ready, revision: revision})
}

func fetchRevision(ctx context.Context, ringFile string, address netip.AddrPort) (revision uint64, ready, ok bool) {
	ring, err := keyring.Load(ringFile)
	if err != nil {
		return 0, false, false
	}
	response, err := peer.ContractStatus(ctx, keyring.NewStore(ring), address, customer)
	if err != nil {
		return 0, false, false
	}
	for _, c := range response.GetContracts() {
		if c.GetCustomer() == customer {
			revision = c.GetRevision()
		}
	}
	return revision, response.GetReady(), true
}

// recordWrite records that an operator has learned of the acceptance of a write.
func (w *watcher) recordWrite(revision uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.history.writes = append(w.history.writes, write{revision: revision, learnedAt: w.clock.Now()})
}

// markUnavailable records that a balancer is paused or stops running.
func (w *watcher) markUnavailable(balancer string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.history.downtimes = append(w.history.downtimes, downtime{balancer: balancer, from: w.clock.Now()})
}

// markAvailable records that a balancer is available again.
func (w *watcher) markAvailable(balancer string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for i := range w.history.downtimes {
		if down := &w.history.downtimes[i]; down.balancer == balancer && down.to == 0 {
			down.to = w.clock.Now()
		}
	}
}

// verdict judges the recorded history. It must be called after the context of the
// watcher has ended.
func (w *watcher) verdict(l *layout) revisionsVerdict {
	w.pollers.Wait()
	var names []string
	for _, b := range l.balancers {
		names = append(names, b.name)
	}
	return w.history.judge(names)
}
