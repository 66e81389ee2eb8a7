package stall_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/stall"
)

const never = 24 * 3600 * clock.Second

// Guards against a call that waits forever for a response that never begins.
func TestFirstTimeout(t *testing.T) {
	c := qt.New(t)
	ctx, guard := stall.Watch(context.Background(), 1, never)
	defer guard.Stop()
	<-ctx.Done()
	c.Assert(context.Cause(ctx), qt.ErrorIs, stall.ErrStalled)
}

// Guards against a transfer that stops in the middle, and against one that is ended
// although it makes progress: only what is read moves the limit.
func TestReaderMovesTheLimit(t *testing.T) {
	c := qt.New(t)
	ctx, guard := stall.Watch(context.Background(), never, 1)
	defer guard.Stop()
	buffer := make([]byte, 8)
	_, err := guard.Reader(&bytes.Buffer{}).Read(buffer)
	c.Assert(err, qt.IsNotNil)
	c.Assert(ctx.Err(), qt.IsNil)
	n, err := guard.Reader(strings.NewReader("data")).Read(buffer)
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 4)
	<-ctx.Done()
	c.Assert(context.Cause(ctx), qt.ErrorIs, stall.ErrStalled)
}

// Guards against a cause that blames the peer for a call that its caller has ended.
func TestStop(t *testing.T) {
	c := qt.New(t)
	ctx, guard := stall.Watch(context.Background(), never, never)
	guard.Stop()
	c.Assert(context.Cause(ctx), qt.Equals, context.Canceled)
}
