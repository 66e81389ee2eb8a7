// Package stall ends transfers that make no progress. A time limit on the whole transfer
// would end those of large documents on slow links, however often they are repeated.
package stall

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// ErrStalled is the cause of a context that ended because a transfer made no progress.
var ErrStalled = errors.New("stall: transfer made no progress")

// Guard ends a context when a transfer makes no progress for a while.
type Guard struct {
	timer   *time.Timer
	timeout clock.Millis
	cancel  context.CancelCauseFunc
}

// Watch returns a context that ends with the cause ErrStalled if no progress is made
// within first, and afterwards within timeout each time. The caller must call Stop.
func Watch(ctx context.Context, first, timeout clock.Millis) (context.Context, *Guard) {
	ctx, cancel := context.WithCancelCause(ctx)
	g := &Guard{timeout: timeout, cancel: cancel}
	g.timer = time.AfterFunc(first.Duration(), func() { cancel(ErrStalled) })
	return ctx, g
}

// Progress records that the transfer makes progress.
func (g *Guard) Progress() { g.timer.Reset(g.timeout.Duration()) }

// Stop ends the context.
func (g *Guard) Stop() {
	g.timer.Stop()
	g.cancel(nil)
}

// Reader returns a reader of r that records progress with each byte that it reads.
func (g *Guard) Reader(r io.Reader) io.Reader { return &reader{guard: g, source: r} }

type reader struct {
	guard  *Guard
	source io.Reader
}

// Read reads from the source.
func (r *reader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	if n > 0 {
		r.guard.Progress()
	}
	return n, err
}
