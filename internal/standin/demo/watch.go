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
	watchPeriod  = 100 * time.Millisecond
	watchTimeout = time.Second
)

// watcher asks the balancers for their revisions until its context ends, and
// notes what operators wrote.
type watcher struct {
	clock clock.Clock
	wait  sync.WaitGroup
	mutex sync.Mutex
	seen  revisions
}

// watch starts to ask every balancer of the system.
func (s *system) watch(ctx context.Context) *watcher {
	w := &watcher{clock: clock.System()}
	for _, b := range s.layout.balancers {
		w.wait.Go(func() {
			ticker := time.NewTicker(watchPeriod)
			defer ticker.Stop()
			for {
				w.ask(ctx, s.files.keyRing(), b)
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

// ask notes the answer of one balancer. One that does not run, or a key ring
// that is being changed, gives no observation.
func (w *watcher) ask(ctx context.Context, ringFile string, b host) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	revision, ready, ok := askRevision(ctx, ringFile, b.control)
	if !ok {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.seen.observations = append(w.seen.observations, observation{balancer: b.name, at: w.clock.Now(), ready: ready, revision: revision})
}

func askRevision(ctx context.Context, ringFile string, address netip.AddrPort) (revision uint64, ready, ok bool) {
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

// accepted notes a write that an operator knows to be written.
func (w *watcher) accepted(revision uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.seen.writes = append(w.seen.writes, write{revision: revision, accepted: w.clock.Now()})
}

// gone notes that a balancer stops to run.
func (w *watcher) gone(balancer string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.seen.absences = append(w.seen.absences, absence{balancer: balancer, from: w.clock.Now()})
}

// back notes that a balancer runs again.
func (w *watcher) back(balancer string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for i := range w.seen.absences {
		if a := &w.seen.absences[i]; a.balancer == balancer && a.to == 0 {
			a.to = w.clock.Now()
		}
	}
}

// verdict judges everything noted. It is called after the context has ended.
func (w *watcher) verdict(l *layout) revisionsVerdict {
	w.wait.Wait()
	var names []string
	for _, b := range l.balancers {
		names = append(names, b.name)
	}
	return w.seen.judge(names)
}
