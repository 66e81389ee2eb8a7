package request

import (
	"sync"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// deadlines calls functions at the deadlines of requests. It is safe for concurrent
// use.
type deadlines struct {
	mutex   sync.Mutex
	pending map[*deadline]struct{}
}

type deadline struct {
	at       clock.Millis
	onExpiry func()
}

// add makes expire call onExpiry once the time at has come. The returned function
// removes the deadline.
func (d *deadlines) add(at clock.Millis, onExpiry func()) (stop func()) {
	p := &deadline{at: at, onExpiry: onExpiry}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.pending == nil {
		d.pending = map[*deadline]struct{}{}
	}
	d.pending[p] = struct{}{}
	return func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		delete(d.pending, p)
	}
}

// expire calls the functions whose time has come, outside the lock.
func (d *deadlines) expire(now clock.Millis) {
	d.mutex.Lock()
	var expired []*deadline
	for p := range d.pending {
		if now >= p.at {
			expired = append(expired, p)
			delete(d.pending, p)
		}
	}
	d.mutex.Unlock()
	for _, p := range expired {
		p.onExpiry()
	}
}
