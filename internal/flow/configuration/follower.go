// Package configuration follows the operator's configuration in the store, and in
// peers while the store does not answer.
package configuration

import (
	"context"
	"errors"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// watchWait is how long a watch waits for news. A connection that has gone
	// silent is found that much later, which must leave time to read again within
	// the 3 s in which a configuration has to be in effect.
	watchWait clock.Millis = 1800
	// minBackoff and maxBackoff bound the time between failed calls, so that the
	// store is not flooded and its return is noticed within a second.
	minBackoff clock.Millis = 100
	maxBackoff clock.Millis = 800
	// startBackoff is the longest time between failed calls before the first
	// configuration, without which nothing is served.
	startBackoff clock.Millis = 150
)

// ErrCompacted is the error of a watch whose history the store has dropped.
var ErrCompacted = errors.New("configuration: history is no longer available")

// Document is a configuration as the store holds it.
type Document struct {
	Content []byte
	// Revision is that of the store at which the document was current.
	Revision uint64
}

// Config configures a Follower.
type Config struct {
	Read  func(context.Context) (Document, error)
	Watch func(ctx context.Context, after uint64, wait clock.Millis) (Document, bool, error)
	// Apply puts the content of a document into effect if it is newer. An error
	// means that it cannot be understood.
	Apply func(content []byte) error
	// AvailabilityChanged reports that the store was lost, with the error, or is back, with nil.
	AvailabilityChanged func(error)
	// Rejected receives documents that cannot be understood.
	Rejected func(error)
	// Sleep waits, or returns the error of the context.
	Sleep func(context.Context, clock.Millis) error
	// Random returns a number from 0 to n-1, to spread calls.
	Random func(n int) int
}

// Follower reads the configuration and every change of it.
type Follower struct {
	config   Config
	revision uint64
	backoff  clock.Millis
	lost     bool
	// started tells that a configuration was read.
	started bool
}

// New returns a Follower.
func New(config Config) *Follower {
	return &Follower{config: config, backoff: minBackoff}
}

// Serve follows the configuration until ctx ends, and returns nil then.
func (f *Follower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.Step(ctx)
		if ctx.Err() != nil {
			break
		}
		f.report(err)
		if err == nil {
			f.backoff = minBackoff
			continue
		}
		f.revision = 0
		wait := f.backoff + clock.Millis(f.config.Random(int(f.backoff)))
		f.backoff = min(2*f.backoff, f.longest())
		if f.config.Sleep(ctx, wait) != nil {
			break
		}
	}
	return nil
}

// longest returns the longest time between failed calls.
func (f *Follower) longest() clock.Millis {
	if f.started {
		return maxBackoff
	}
	return startBackoff
}

// Step makes one call: a read if the revision is not known, otherwise a watch.
//
// A watch goes on from the last read or change and not from the revision that an
// empty watch returns: a store that is losing its history can report a revision
// without the events before it. When the history since then has gone, the store says
// so and the configuration is read again.
func (f *Follower) Step(ctx context.Context) error {
	if f.revision == 0 {
		document, err := f.config.Read(ctx)
		if err != nil {
			return err
		}
		f.apply(document)
		return nil
	}
	document, changed, err := f.config.Watch(ctx, f.revision, watchWait)
	if errors.Is(err, ErrCompacted) {
		f.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	if changed {
		f.apply(document)
	}
	return nil
}

func (f *Follower) apply(document Document) {
	f.revision = document.Revision
	f.started = true
	if err := f.config.Apply(document.Content); err != nil {
		f.config.Rejected(err)
	}
}

func (f *Follower) report(err error) {
	if lost := err != nil; lost != f.lost {
		f.lost = lost
		f.config.AvailabilityChanged(err)
	}
}
