// Package reload applies files again when their content changes.
package reload

import (
	"bytes"
	"context"
	"os"
	"slices"
	"time"

	"github.com/samber/oops"
)

// DefaultInterval is the time between two checks.
const DefaultInterval = time.Second

// Config configures a Watcher.
type Config struct {
	// Name begins the names of events, such as key-ring.
	Name  string
	Files []string
	// Interval is the time between two checks. Zero means DefaultInterval.
	Interval time.Duration
	// After is the source of time. Nil means time.After.
	After func(time.Duration) <-chan time.Time
	// Apply puts the contents of the files, in the order of Files, into effect. An
	// error leaves the previous contents in effect.
	Apply func(contents [][]byte) error
	// LogEvent receives the event NAME-reloaded, or NAME-rejected with an error.
	LogEvent func(event string, err error)
}

// Watcher polls files. Polling works on every file system and also sees files
// that are replaced through a symbolic link.
type Watcher struct {
	config   Config
	contents [][]byte
	// invalid is the error of applying contents.
	invalid error
	// seen is the error of the last check, and reported tells whether it was
	// logged.
	seen     string
	reported bool
}

// New reads the files, applies them and returns a Watcher. The error is that of
// reading or of Apply.
func New(config Config) (*Watcher, error) {
	if config.Interval == 0 {
		config.Interval = DefaultInterval
	}
	if config.After == nil {
		config.After = time.After
	}
	w := &Watcher{config: config}
	contents, err := w.read()
	if err != nil {
		return nil, err
	}
	if err := config.Apply(contents); err != nil {
		return nil, err
	}
	w.contents = contents
	return w, nil
}

// Serve checks the files until ctx ends, and returns nil then.
func (w *Watcher) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.config.After(w.config.Interval):
			w.Check()
		}
	}
}

// Check applies the files if their content changed since the last check. An
// error is logged once, when the next check finds it again, because several
// files, or a file that is being written, do not change in one step.
func (w *Watcher) Check() {
	contents, err := w.read()
	if err == nil {
		if !slices.EqualFunc(contents, w.contents, bytes.Equal) {
			w.apply(contents)
		}
		err = w.invalid
	}
	w.report(err)
}

func (w *Watcher) apply(contents [][]byte) {
	w.contents = contents
	w.seen, w.reported = "", false
	w.invalid = w.config.Apply(contents)
	if w.invalid == nil {
		w.config.LogEvent(w.config.Name+"-reloaded", nil)
	}
}

func (w *Watcher) report(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text != w.seen {
		w.seen, w.reported = text, false
		return
	}
	if err != nil && !w.reported {
		w.reported = true
		w.config.LogEvent(w.config.Name+"-rejected", err)
	}
}

func (w *Watcher) read() ([][]byte, error) {
	contents := make([][]byte, 0, len(w.config.Files))
	for _, path := range w.config.Files {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, oops.Code(w.config.Name + "-unreadable").Wrap(err)
		}
		contents = append(contents, content)
	}
	return contents, nil
}
