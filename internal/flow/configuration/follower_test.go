package configuration_test

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/configuration"
)

var errDown = errors.New("store is down")

// store is a store whose answers the test sets.
type store struct {
	document configuration.Document
	err      error
	changed  bool
	reads    int
	after    []uint64
	waits    []clock.Millis
	applied  []string
	states   []error
}

func (s *store) follower() *configuration.Follower {
	return configuration.New(configuration.Config{
		Read: func(context.Context) (configuration.Document, error) {
			s.reads++
			return s.document, s.err
		},
		Watch: func(_ context.Context, after uint64, _ clock.Millis) (configuration.Document, bool, error) {
			s.after = append(s.after, after)
			return s.document, s.changed, s.err
		},
		Apply:               func(content []byte) error { s.applied = append(s.applied, string(content)); return nil },
		AvailabilityChanged: func(err error) { s.states = append(s.states, err) },
		Rejected:            func(error) {},
		Random:              func(int) int { return 0 },
		Sleep: func(ctx context.Context, wait clock.Millis) error {
			s.waits = append(s.waits, wait)
			return ctx.Err()
		},
	})
}

// Guards against a change that is missed because an empty watch moved the position.
func TestWatchGoesOnFromTheLastChange(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	s := &store{document: configuration.Document{Content: []byte("one"), Revision: 5}}
	f := s.follower()
	c.Assert(f.Step(ctx), qt.IsNil)
	c.Assert(f.Step(ctx), qt.IsNil)
	c.Assert(f.Step(ctx), qt.IsNil)
	s.changed, s.document = true, configuration.Document{Content: []byte("two"), Revision: 8}
	c.Assert(f.Step(ctx), qt.IsNil)
	c.Assert(f.Step(ctx), qt.IsNil)
	c.Assert(s.after, qt.DeepEquals, []uint64{5, 5, 5, 8})
	c.Assert(s.applied[:2], qt.DeepEquals, []string{"one", "two"})
	c.Assert(s.reads, qt.Equals, 1)
}

// Guards against a configuration that is lost with the store's history, and against
// calls in a loop.
func TestCompactedHistoryIsReadAgain(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	s := &store{document: configuration.Document{Revision: 5}}
	f := s.follower()
	c.Assert(f.Step(ctx), qt.IsNil)
	s.err = configuration.ErrCompacted
	c.Assert(f.Step(ctx), qt.IsNil)
	s.err, s.document.Revision = nil, 90
	c.Assert(f.Step(ctx), qt.IsNil)
	c.Assert(f.Step(ctx), qt.IsNil)
	c.Assert(s.reads, qt.Equals, 2)
	c.Assert(s.after, qt.DeepEquals, []uint64{5, 90})
}

// Guards against a flood of calls while the store is down, and against a return that
// is noticed late.
func TestBackoff(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	s := &store{document: configuration.Document{Revision: 5}}
	f := configurationAfter(s, 6, cancel)
	c.Assert(f.Step(ctx), qt.IsNil)
	s.err = errDown
	c.Assert(f.Serve(ctx), qt.IsNil)
	c.Assert(s.waits, qt.DeepEquals, []clock.Millis{100, 200, 400, 800, 800, 800})
	c.Assert(s.states, qt.HasLen, 1)
	c.Assert(s.states[0], qt.ErrorIs, errDown)
}

// Guards against a start that waits long after the store has returned.
func TestBackoffAtTheStart(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	s := &store{err: errDown}
	c.Assert(configurationAfter(s, 4, cancel).Serve(ctx), qt.IsNil)
	c.Assert(s.waits, qt.DeepEquals, []clock.Millis{100, 150, 150, 150})
}

// configurationAfter returns a follower whose context ends after some waits.
func configurationAfter(s *store, waits int, cancel func()) *configuration.Follower {
	return configuration.New(configuration.Config{
		Read: func(context.Context) (configuration.Document, error) { return s.document, s.err },
		Watch: func(context.Context, uint64, clock.Millis) (configuration.Document, bool, error) {
			return s.document, false, s.err
		},
		Apply:               func([]byte) error { return nil },
		AvailabilityChanged: func(err error) { s.states = append(s.states, err) },
		Rejected:            func(error) {},
		Random:              func(int) int { return 0 },
		Sleep: func(ctx context.Context, wait clock.Millis) error {
			s.waits = append(s.waits, wait)
			if len(s.waits) == waits {
				cancel()
			}
			return ctx.Err()
		},
	})
}
