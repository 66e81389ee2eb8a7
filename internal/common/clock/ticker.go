package clock

import (
	"context"
	"time"
)

// Ticker returns a channel that receives once in every period until ctx ends. A
// receiver that is late misses ticks.
type Ticker func(ctx context.Context, period Millis) <-chan struct{}

// SystemTicker is a Ticker that follows the clock of the machine.
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
