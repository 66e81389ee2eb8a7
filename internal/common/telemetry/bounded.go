package telemetry

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// DefaultLineLimit is a LineLimit that keeps the cost of the log small.
	DefaultLineLimit = 60
	// lineBuffer is how many lines wait for a slow reader of the log.
	lineBuffer = 512
	// flushWait is how long the end of a process waits for the reader of its log.
	flushWait = 200 * time.Millisecond
)

// boundedWriter writes lines in the background. When the output is slower than the
// log, lines are dropped and counted.
type boundedWriter struct {
	lines   chan []byte
	idle    chan chan struct{}
	dropped *atomic.Uint64
}

// newBoundedWriter returns a writer whose goroutine lives as long as the process.
func newBoundedWriter(output io.Writer, dropped *atomic.Uint64) *boundedWriter {
	w := &boundedWriter{dropped: dropped, lines: make(chan []byte, lineBuffer), idle: make(chan chan struct{}, 1)}
	go func() {
		for {
			select {
			case line := <-w.lines:
				w.write(output, line)
			case done := <-w.idle:
				for len(w.lines) > 0 {
					w.write(output, <-w.lines)
				}
				close(done)
			}
		}
	}()
	return w
}

func (w *boundedWriter) write(output io.Writer, line []byte) {
	if _, err := output.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// Write queues a line. It never blocks and never fails.
func (w *boundedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits a short time until the lines are written.
func (w *boundedWriter) Sync() error {
	done := make(chan struct{})
	select {
	case w.idle <- done:
	default:
		return nil
	}
	select {
	case <-done:
	case <-time.After(flushWait):
	}
	return nil
}

// limited returns a core that writes at most limit lines of an event in a second.
func limited(core zapcore.Core, limit int, dropped *atomic.Uint64) zapcore.Core {
	return zapcore.NewSamplerWithOptions(core, time.Second, limit, 0,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				dropped.Add(1)
			}
		}))
}
