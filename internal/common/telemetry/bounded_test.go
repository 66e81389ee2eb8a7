package telemetry

import (
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// stuckOutput never takes a line.
type stuckOutput struct{ stop chan struct{} }

func (s stuckOutput) Write(data []byte) (int, error) {
	<-s.stop
	return len(data), nil
}

// Guards against a process that stands still because nobody reads its log, and against
// losses that nobody sees.
func TestLogNeverBlocks(t *testing.T) {
	c := qt.New(t)
	output := stuckOutput{stop: make(chan struct{})}
	defer close(output.stop)
	var dropped atomic.Uint64
	logger := newLogger(Config{Output: output, LineLimit: 100_000}, &dropped)
	const lines = 5 * lineBuffer
	for range lines {
		logger.Info("event")
	}
	c.Assert(dropped.Load() >= lines-lineBuffer-1, qt.IsTrue)
}

// Guards against a log that grows with the load, and against a rare event that is lost
// among frequent ones.
func TestLinesAreLimitedByEvent(t *testing.T) {
	c := qt.New(t)
	var dropped atomic.Uint64
	var written strings.Builder
	core := limited(newLogger(Config{Output: &written}, &dropped).Core(), 5, &dropped)
	logger := zap.New(core)
	for range 100 {
		logger.Info("frequent")
	}
	logger.Info("rare")
	c.Assert(strings.Count(written.String(), "event=rare"), qt.Equals, 1)
	// The limit is for each second of the clock, of which the loop may see two.
	frequent := strings.Count(written.String(), "event=frequent")
	c.Assert(frequent >= 5 && frequent <= 10, qt.IsTrue)
	c.Assert(dropped.Load(), qt.Equals, uint64(100-frequent))
}
