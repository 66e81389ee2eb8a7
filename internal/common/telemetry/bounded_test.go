package telemetry

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// blockedOutput blocks in Write until stop is closed.
type blockedOutput struct{ stop chan struct{} }

func (s blockedOutput) Write(data []byte) (int, error) {
	<-s.stop
	return len(data), nil
}

// TestLogNeverBlocks guards against a process that blocks because nothing reads its
// log, so that for example a pipe is full. It also guards against dropped lines that
// are not counted.
func TestLogNeverBlocks(t *testing.T) {
	c := qt.New(t)
	output := blockedOutput{stop: make(chan struct{})}
	defer close(output.stop)
	var dropped atomic.Uint64
	logger := newLogger(Config{Output: output, LineLimit: 100_000}, &dropped)
	const lines = 5 * bufferedLines
	for range lines {
		logger.Info("event")
	}
	c.Assert(dropped.Load() >= lines-bufferedLines-1, qt.IsTrue)
}

// fixedClock always returns the same time, so that all lines fall into one second.
type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Unix(1_700_000_000, 0) }

func (fixedClock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }

// TestLinesAreLimitedByEvent guards against a log that grows with the load, and against
// a limit on all events together, which would drop a rare event because of frequent
// ones.
func TestLinesAreLimitedByEvent(t *testing.T) {
	c := qt.New(t)
	var dropped atomic.Uint64
	var written strings.Builder
	core := newLimitedCore(newLogger(Config{Output: &written}, &dropped).Core(), 5, &dropped)
	logger := zap.New(core, zap.WithClock(fixedClock{}))
	for range 100 {
		logger.Info("frequent")
	}
	logger.Info("rare")
	c.Assert(strings.Count(written.String(), "event=rare"), qt.Equals, 1)
	c.Assert(strings.Count(written.String(), "event=frequent"), qt.Equals, 5)
	c.Assert(dropped.Load(), qt.Equals, uint64(95))
}
