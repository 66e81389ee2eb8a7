// Package supervisor runs the long-lived components of a process and restarts those
// that fail.
package supervisor

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"
)

// stopTimeout is how long a component may run on after its context has ended.
const stopTimeout = 5 * time.Second

// Tree supervises a set of components.
type Tree struct {
	supervisor *suture.Supervisor
}

type component struct {
	name  string
	serve func(context.Context) error
}

// Serve runs the component. It prevents a restart if the component has finished or
// ctx has ended.
func (c component) Serve(ctx context.Context) error {
	err := c.serve(ctx)
	if ctx.Err() != nil {
		return suture.ErrDoNotRestart
	}
	if err == nil {
		return suture.ErrDoNotRestart
	}
	return err
}

// String returns the name under which the component is logged.
func (c component) String() string { return c.name }

// New returns an empty tree that logs failures of its components.
func New(name string, logger *zap.Logger) *Tree {
	return &Tree{supervisor: suture.New(name, suture.Spec{
		Timeout: stopTimeout,
		EventHook: func(event suture.Event) {
			logger.Warn("part-failed", zap.String("detail", event.String()))
		},
	})}
}

// Add adds a component. If serve returns an error before its context ends, the
// component is restarted with a backoff. If serve returns nil, its work is done and the
// component is not restarted.
func (t *Tree) Add(name string, serve func(context.Context) error) {
	t.supervisor.Add(component{name: name, serve: serve})
}

// Serve runs all components until ctx ends, and returns nil then.
func (t *Tree) Serve(ctx context.Context) error {
	if err := t.supervisor.Serve(ctx); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}
