package request

import (
	"sync"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// deadlines ends requests whose clients no longer wait. It is safe for concurrent
// use.
type deadlines struct {
	mutex   sync.Mutex
	pending map[*deadline]struct{}
}

type deadline struct {
	at    clock.Millis
	reach func()
}

// add calls reach once when the time has come, unless the returned function is
// called before.
func (d *deadlines) add(at clock.Millis, reach func()) (stop func()) {
	p := &deadline{at: at, reach: reach}
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

func (d *deadlines) expire(now clock.Millis) {
	d.mutex.Lock()
	var reached []*deadline
	for p := range d.pending {
		if now >= p.at {
			reached = append(reached, p)
			delete(d.pending, p)
		}
	}
	d.mutex.Unlock()
	for _, p := range reached {
		p.reach()
	}
}
