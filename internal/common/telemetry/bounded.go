package telemetry

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// DefaultLineLimit is a LineLimit that keeps the cost of the log small. It is in
	// lines per second for each event name and level.
	DefaultLineLimit = 60
	// bufferedLines is the maximum number of lines that are held for a slow reader of
	// the log.
	bufferedLines = 512
	// flushTimeout limits how long the shutdown of a process waits for a slow reader
	// of its log.
	flushTimeout = 200 * time.Millisecond
)

// boundedWriter writes lines in the background. It drops a line if the buffer is full
// because the output is slower than the log. It counts these lines and those whose
// write fails.
type boundedWriter struct {
	lines chan []byte
	// flushes carries a channel that the goroutine closes when lines is empty.
	flushes chan chan struct{}
	dropped *atomic.Uint64
}

// newBoundedWriter returns a writer. Its goroutine never ends.
func newBoundedWriter(output io.Writer, dropped *atomic.Uint64) *boundedWriter {
	w := &boundedWriter{dropped: dropped, lines: make(chan []byte, bufferedLines), flushes: make(chan chan struct{}, 1)}
	go func() {
		for {
			select {
			case line := <-w.lines:
				w.write(output, line)
			case done := <-w.flushes:
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

// Write adds a line to the buffer or drops it. It never blocks and never returns an
// error.
func (w *boundedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until the buffered lines are written, but no longer than flushTimeout. It
// never returns an error.
func (w *boundedWriter) Sync() error {
	done := make(chan struct{})
	select {
	case w.flushes <- done:
	default:
		return nil
	}
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
	return nil
}

// newLimitedCore returns a core that writes at most limit lines per second for each
// event name and level, and counts the others in dropped.
func newLimitedCore(core zapcore.Core, limit int, dropped *atomic.Uint64) zapcore.Core {
	return zapcore.NewSamplerWithOptions(core, time.Second, limit, 0,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				dropped.Add(1)
			}
		}))
}
