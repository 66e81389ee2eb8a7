package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/configuration"
	"github.com/orioledyke/orioledyke/internal/flow/evacuation"
	"github.com/orioledyke/orioledyke/internal/flow/store"
)

var errUnavailable = errors.New("store is unavailable")

// fakeStore is a store whose responses the test sets. It records the calls of a follower.
type fakeStore struct {
	document     configuration.Document
	err          error
	changed      bool
	reads        int
	watchedAfter []store.Revision
	waits        []clock.Millis
	watchTimeout clock.Millis
	sleeps       []clock.Millis
	applied      []string
	availability []error
}

func (s *fakeStore) follower() *configuration.Follower {
	return configuration.New(configuration.Config{
		Read: func(context.Context) (configuration.Document, error) {
			s.reads++
			return s.document, s.err
		},
		WatchTimeout: func() clock.Millis { return s.watchTimeout },
		Watch: func(_ context.Context, after store.Revision, wait clock.Millis) (configuration.Document, bool, error) {
			s.watchedAfter = append(s.watchedAfter, after)
			s.waits = append(s.waits, wait)
			return s.document, s.changed, s.err
		},
		Apply:               func(content []byte) error { s.applied = append(s.applied, string(content)); return nil },
		AvailabilityChanged: func(err error) { s.availability = append(s.availability, err) },
		Rejected:            func(error) {},
		Random:              func(int) int { return 0 },
		Sleep: func(ctx context.Context, duration clock.Millis) error {
			s.sleeps = append(s.sleeps, duration)
			return ctx.Err()
		},
	})
}

// revision returns a revision of the store's first epoch.
func revision(number uint64) store.Revision { return store.Revision{Epoch: 1, Number: number} }

// Guards against missing a change because a watch without a change has advanced the
// revision from which the next watch continues.
func TestWatchContinuesFromLastChange(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	s := &fakeStore{document: configuration.Document{Content: []byte("one"), Revision: revision(5)}}
	f := s.follower()
	c.Assert(f.Step(ctx), qt.IsNil)
	c.Assert(f.Step(ctx), qt.IsNil)
	c.Assert(f.Step(ctx), qt.IsNil)
	s.changed, s.document = true, configuration.Document{Content: []byte("two"), Revision: revision(8)}
	c.Assert(f.Step(ctx), qt.IsNil)
	c.Assert(f.Step(ctx), qt.IsNil)
	c.Assert(s.watchedAfter, qt.DeepEquals, []store.Revision{revision(5), revision(5), revision(5), revision(8)})
	c.Assert(s.applied[:2], qt.DeepEquals, []string{"one", "two"})
	c.Assert(s.reads, qt.Equals, 1)
}

// Guards against a process that keeps making short watches after others have become
// readers, and against one that becomes a reader and keeps making long ones.
func TestWatchTimeoutFollowsRole(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{document: configuration.Document{Revision: revision(5)}, watchTimeout: configuration.FollowerWatch}
	f := s.follower()
	c.Assert(f.Step(context.Background()), qt.IsNil)
	c.Assert(f.Step(context.Background()), qt.IsNil)
	s.watchTimeout = configuration.ReaderWatch
	c.Assert(f.Step(context.Background()), qt.IsNil)
	c.Assert(s.waits, qt.DeepEquals, []clock.Millis{configuration.FollowerWatch, configuration.ReaderWatch})
}

// Guards against missed changes after the store has dropped its history, and against
// endless watches from a revision whose later history has been dropped.
func TestDocumentIsReadAgainAfterCompaction(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	s := &fakeStore{document: configuration.Document{Revision: revision(5)}}
	f := s.follower()
	c.Assert(f.Step(ctx), qt.IsNil)
	s.err = configuration.ErrCompacted
	c.Assert(f.Step(ctx), qt.IsNil)
	s.err, s.document.Revision = nil, revision(90)
	c.Assert(f.Step(ctx), qt.IsNil)
	c.Assert(f.Step(ctx), qt.IsNil)
	c.Assert(s.reads, qt.Equals, 2)
	c.Assert(s.watchedAfter, qt.DeepEquals, []store.Revision{revision(5), revision(90)})
}

// Guards against a version that is never delivered because the store was restored between
// two watches, and its new history has passed the revision of the last one.
func TestVersionBehindReusedRevisionIsDelivered(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	var applied []string
	current := configuration.Document{Content: []byte("old"), Revision: revision(10)}
	f := configuration.New(configuration.Config{
		Read:         func(context.Context) (configuration.Document, error) { return current, nil },
		WatchTimeout: func() clock.Millis { return configuration.ReaderWatch },
		// The configuration was last written before the revision of each watch.
		Watch: func(context.Context, store.Revision, clock.Millis) (configuration.Document, bool, error) {
			return configuration.Document{Revision: store.Revision{Epoch: current.Revision.Epoch}}, false, nil
		},
		Apply: func(content []byte) error { applied = append(applied, string(content)); return nil },
	})
	c.Assert(f.Step(ctx), qt.IsNil)
	c.Assert(f.Step(ctx), qt.IsNil)
	current = configuration.Document{Content: []byte("new"), Revision: store.Revision{Epoch: 2, Number: 12}}
	for range 6 {
		c.Assert(f.Step(ctx), qt.IsNil)
	}
	c.Assert(applied, qt.DeepEquals, []string{"old", "new"})
}

// Guards against evacuations that are in effect later than the configuration that is read
// with them, and against a change of evacuations that is missed, that is taken for a further
// configuration, or that is applied although the store was restored meanwhile.
func TestEvacuationsAreAppliedBeforeConfiguration(t *testing.T) {
	c := qt.New(t)
	var applied []string
	put := func(epoch store.Epoch, number uint64) configuration.Document {
		at := store.Revision{Epoch: epoch, Number: number}
		return configuration.Document{Revision: at, Evacuations: []evacuation.Record{{DataCentre: "hope", Evacuated: true, Revision: at}}}
	}
	current, watched := put(1, 5), put(1, 7)
	current.Content = []byte("one")
	var watchedAfter []store.Revision
	f := configuration.New(configuration.Config{
		Read:         func(context.Context) (configuration.Document, error) { return current, nil },
		WatchTimeout: func() clock.Millis { return configuration.ReaderWatch },
		Watch: func(_ context.Context, after store.Revision, _ clock.Millis) (configuration.Document, bool, error) {
			watchedAfter = append(watchedAfter, after)
			return watched, true, nil
		},
		ApplyEvacuations: func(d configuration.Document, complete bool) {
			applied = append(applied, fmt.Sprint(len(d.Evacuations), " at ", d.Revision.Number, " ", complete))
		},
		Apply: func(content []byte) error { applied = append(applied, string(content)); return nil },
	})
	for range 2 {
		c.Assert(f.Step(context.Background()), qt.IsNil)
	}
	watched = put(2, 9)
	c.Assert(f.Step(context.Background()), qt.IsNil)
	c.Assert(watchedAfter, qt.DeepEquals, []store.Revision{revision(5), revision(7)})
	c.Assert(applied, qt.DeepEquals, []string{"1 at 5 true", "one", "1 at 7 false"})
}

// Guards against a flood of calls while the store is unavailable, and against a backoff
// so long that the store's return is noticed late.
func TestBackoff(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	s := &fakeStore{document: configuration.Document{Revision: revision(5)}}
	f := cancellingFollower(s, 6, cancel)
	c.Assert(f.Step(ctx), qt.IsNil)
	s.err = errUnavailable
	c.Assert(f.Serve(ctx), qt.IsNil)
	c.Assert(s.sleeps, qt.DeepEquals, []clock.Millis{100, 200, 400, 800, 800, 800})
	c.Assert(s.availability, qt.HasLen, 1)
	c.Assert(s.availability[0], qt.ErrorIs, errUnavailable)
}

// Guards against reads and watches that alternate without a pause while no watch can
// continue from what was read.
func TestBackoffWhileHistoryIsLost(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	s := &fakeStore{document: configuration.Document{Revision: revision(5)}}
	const expectedCalls, maxCalls = 8, 100
	var calls int
	f := configuration.New(configuration.Config{
		Read:         func(context.Context) (configuration.Document, error) { calls++; return s.document, nil },
		WatchTimeout: func() clock.Millis { return configuration.ReaderWatch },
		Watch: func(context.Context, store.Revision, clock.Millis) (configuration.Document, bool, error) {
			if calls++; calls >= maxCalls {
				cancel()
			}
			return configuration.Document{}, false, nil
		},
		Apply:               func([]byte) error { return nil },
		AvailabilityChanged: func(error) {},
		Random:              func(int) int { return 0 },
		Sleep: func(ctx context.Context, _ clock.Millis) error {
			if calls >= expectedCalls {
				cancel()
			}
			return ctx.Err()
		},
	})
	c.Assert(f.Serve(ctx), qt.IsNil)
	c.Assert(calls, qt.Equals, expectedCalls)
}

// Guards against a process that starts while the store is unavailable and notices late
// that the store is available again.
func TestBackoffAtTheStart(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	s := &fakeStore{err: errUnavailable}
	c.Assert(cancellingFollower(s, 4, cancel).Serve(ctx), qt.IsNil)
	c.Assert(s.sleeps, qt.DeepEquals, []clock.Millis{100, 150, 150, 150})
}

// cancellingFollower returns a follower that calls cancel in the sleep with the given
// number.
func cancellingFollower(s *fakeStore, lastSleep int, cancel func()) *configuration.Follower {
	return configuration.New(configuration.Config{
		Read:         func(context.Context) (configuration.Document, error) { return s.document, s.err },
		WatchTimeout: func() clock.Millis { return configuration.ReaderWatch },
		Watch: func(context.Context, store.Revision, clock.Millis) (configuration.Document, bool, error) {
			return s.document, false, s.err
		},
		Apply:               func([]byte) error { return nil },
		AvailabilityChanged: func(err error) { s.availability = append(s.availability, err) },
		Rejected:            func(error) {},
		Random:              func(int) int { return 0 },
		Sleep: func(ctx context.Context, duration clock.Millis) error {
			s.sleeps = append(s.sleeps, duration)
			if len(s.sleeps) == lastSleep {
				cancel()
			}
			return ctx.Err()
		},
	})
}
