package clock

import (
	"context"
	"time"
)

// Ticker returns a channel that receives a tick in every period until ctx ends. The
// channel holds one tick; a slow receiver misses the others. It is never closed.
type Ticker func(ctx context.Context, period Millis) <-chan struct{}

// SystemTicker is a Ticker that uses the clock of the machine.
func SystemTicker(ctx context.Context, period Millis) <-chan struct{} {
	ticks := make(chan struct{}, 1)
	ticker := time.NewTicker(period.Duration())
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			select {
			case ticks <- struct{}{}:
			default:
			}
		}
	}()
	return ticks
}
