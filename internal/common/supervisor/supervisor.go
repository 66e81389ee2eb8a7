// Package supervisor runs the long-lived parts of a process and restarts those
// that fail.
package supervisor

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"
)

// stopTimeout is how long a part may take to end after its context.
const stopTimeout = 5 * time.Second

// Tree is a node of the supervisor tree.
type Tree struct {
	supervisor *suture.Supervisor
}

type service struct {
	name  string
	serve func(context.Context) error
}

// Serve runs the part until ctx ends.
func (s service) Serve(ctx context.Context) error {
	err := s.serve(ctx)
	if ctx.Err() != nil {
		return suture.ErrDoNotRestart
	}
	if err == nil {
		return suture.ErrDoNotRestart
	}
	return err
}

// String returns the name of the part.
func (s service) String() string { return s.name }

// New returns an empty tree that logs failures of its parts.
func New(name string, logger *zap.Logger) *Tree {
	return &Tree{supervisor: suture.New(name, suture.Spec{
		Timeout: stopTimeout,
		EventHook: func(event suture.Event) {
			logger.Warn("part-failed", zap.String("detail", event.String()))
		},
	})}
}

// Add adds a part. It is restarted with a backoff when it returns an error before
// its context ends; nil means that its work is done.
func (t *Tree) Add(name string, serve func(context.Context) error) {
	t.supervisor.Add(service{name: name, serve: serve})
}

// Serve runs all parts until ctx ends.
func (t *Tree) Serve(ctx context.Context) error {
	if err := t.supervisor.Serve(ctx); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}
