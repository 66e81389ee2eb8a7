// Package configuration follows what the operator has written to the store, the
// configuration and the evacuations: it reads both, watches for changes, and retries while
// the store is unavailable. Package node gets them from peers meanwhile.
package configuration

import (
	"context"
	"errors"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/evacuation"
	"github.com/orioledyke/orioledyke/internal/flow/store"
)

const (
	// ReaderWatch is how long a watch of a reader waits for a change. A connection that has
	// gone silent is detected only after this time. It must leave time for another read
	// within the 3 s in which a configuration has to be in effect.
	ReaderWatch clock.Millis = 1800
	// FollowerWatch is how long a watch of another process waits. It still gets changes at
	// once. If its connection goes silent, it learns from peers of a new configuration.
	FollowerWatch = 20 * clock.Second
	// minBackoff and maxBackoff bound the backoff after a failed call, so that the store
	// is not flooded with calls and a store that is available again is noticed soon. The
	// next call follows after the backoff and a shorter random time, which is about a
	// second on average and less than 1.6 s.
	minBackoff clock.Millis = 100
	maxBackoff clock.Millis = 800
	// maxStartupBackoff is the longest backoff before the first configuration is read.
	// The process serves nothing until then.
	maxStartupBackoff clock.Millis = 150
)

// ErrCompacted is the error of a watch from a revision whose later history the store
// no longer has.
var ErrCompacted = errors.New("configuration: history is no longer available")

// ErrRestored is the error of a watch whose revision belongs to an earlier epoch of the
// store.
var ErrRestored = errors.New("configuration: store was restored from an older copy")

// errHistoryLost is the error of a watch that again cannot continue from what has just
// been read.
var errHistoryLost = errors.New("configuration: history was lost again after a read")

// Document is what the operator has written, or what he has changed since a revision.
type Document struct {
	// Content is the configuration. It is nil if the store has none or, after a watch, if it
	// has not changed.
	Content []byte
	// Revision is the revision of the store at which the document was current. After a
	// watch, it is that of the last change.
	Revision store.Revision
	// Evacuations holds the evacuations. After a watch, it holds those that have begun or
	// ended, in the order of the changes.
	Evacuations []evacuation.Record
}

// Config configures a Follower.
type Config struct {
	// Read returns the current configuration and all evacuations.
	Read func(context.Context) (Document, error)
	// Watch returns the changes after a revision and true, or false if there is none within
	// wait. In either case the document has the epoch of the response.
	Watch func(ctx context.Context, after store.Revision, wait clock.Millis) (Document, bool, error)
	// WatchTimeout returns how long the next watch may wait: ReaderWatch if this process is
	// one of the few that must notice changes also when their connections go silent,
	// FollowerWatch otherwise. Each watch is a call, so that with many processes the short
	// ones would make up most calls to the store.
	WatchTimeout func() clock.Millis
	// ApplyEvacuations gets the evacuations of each read, with complete set, and those of
	// each watch with changes. It is called before Apply, so that no flow is placed by a
	// configuration without the evacuations that are read with it. It may be nil.
	ApplyEvacuations func(document Document, complete bool)
	// Apply puts the content of a document into effect if it is newer than the
	// configuration in effect. An error means that the content is invalid.
	Apply func(content []byte) error
	// AvailabilityChanged is called with an error when the store becomes unavailable,
	// and with nil when it is available again.
	AvailabilityChanged func(error)
	// Rejected is called with the error for each document that Apply rejects.
	Rejected func(error)
	// Sleep waits for the given time. It returns the error of the context if that ends
	// earlier.
	Sleep func(context.Context, clock.Millis) error
	// Random returns a random number from 0 to n-1, to spread the calls of several
	// processes.
	Random func(n int) int
}

// Follower reads the configuration and its changes.
type Follower struct {
	config Config
	// revision is that of the last read or change. Its number is 0 if the configuration is
	// to be read.
	revision    store.Revision
	backoff     clock.Millis
	unavailable bool
	// hasConfiguration is set when the store has been read.
	hasConfiguration bool
	// lostHistories is the number of consecutive watches that could not continue from what
	// had been read before.
	lostHistories int
}

// New returns a Follower that begins when Serve or Step is called.
func New(config Config) *Follower {
	if config.ApplyEvacuations == nil {
		config.ApplyEvacuations = func(Document, bool) {}
	}
	return &Follower{config: config, backoff: minBackoff}
}

// Serve follows the configuration until ctx ends, and then returns nil.
func (f *Follower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.Step(ctx)
		if ctx.Err() != nil {
			break
		}
		f.reportAvailability(err)
		if err == nil {
			f.backoff = minBackoff
			continue
		}
		f.revision = store.Revision{}
		wait := f.backoff + clock.Millis(f.config.Random(int(f.backoff)))
		f.backoff = min(2*f.backoff, f.currentMaxBackoff())
		if f.config.Sleep(ctx, wait) != nil {
			break
		}
	}
	return nil
}

// currentMaxBackoff returns the longest backoff. It is shorter until a configuration has
// been read.
func (f *Follower) currentMaxBackoff() clock.Millis {
	if f.hasConfiguration {
		return maxBackoff
	}
	return maxStartupBackoff
}

// Step makes one call to the store: a read if no revision is known, otherwise a watch.
//
// A watch continues from the last read or change, not from the revision that a watch
// without a change returns: a store that is losing its history can report a revision
// without the events before it. If the store no longer has the history since the last
// read or change, or has been restored since, the configuration is read again. After a
// restore the revision may name another change, with missed ones before it.
func (f *Follower) Step(ctx context.Context) error {
	if f.revision.Number == 0 {
		document, err := f.config.Read(ctx)
		if err != nil {
			return err
		}
		f.apply(document, true)
		return nil
	}
	document, changed, err := f.config.Watch(ctx, f.revision, f.config.WatchTimeout())
	if err == nil && document.Revision.Epoch != f.revision.Epoch {
		err = ErrRestored
	}
	if errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored) {
		return f.loseHistory()
	}
	if err != nil {
		return err
	}
	f.lostHistories = 0
	if changed {
		f.apply(document, false)
	}
	return nil
}

// loseHistory makes the next step read the configuration. It returns an error if the last
// read has not helped, because reads and watches could otherwise alternate without a pause.
func (f *Follower) loseHistory() error {
	f.revision = store.Revision{}
	f.lostHistories++
	if f.lostHistories > 1 {
		return errHistoryLost
	}
	return nil
}

// apply puts a document into effect. complete is set if it comes from a read. A read without
// a configuration is passed on too, so that it is rejected like an invalid one.
func (f *Follower) apply(document Document, complete bool) {
	f.revision = document.Revision
	f.hasConfiguration = true
	f.config.ApplyEvacuations(document, complete)
	if document.Content == nil && !complete {
		return
	}
	if err := f.config.Apply(document.Content); err != nil {
		f.config.Rejected(err)
	}
}

func (f *Follower) reportAvailability(err error) {
	if unavailable := err != nil; unavailable != f.unavailable {
		f.unavailable = unavailable
		f.config.AvailabilityChanged(err)
	}
}
