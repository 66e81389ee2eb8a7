// Package reload watches files and applies them again when their content changes.
package reload

import (
	"bytes"
	"context"
	"os"
	"slices"
	"time"

	"github.com/samber/oops"
)

// DefaultInterval is the time between two checks if the configuration gives none.
const DefaultInterval = time.Second

// Config configures a Watcher.
type Config struct {
	// Name is the prefix of event names and error codes. For example, key-ring gives
	// the event key-ring-reloaded.
	Name string
	// Files are the paths to watch.
	Files []string
	// Interval is the time between two checks. Zero means DefaultInterval.
	Interval time.Duration
	// After is the timer between two checks. Nil means time.After.
	After func(time.Duration) <-chan time.Time
	// Apply puts the contents of the files, in the order of Files, into effect. If it
	// returns an error, the previous contents must stay in effect.
	Apply func(contents [][]byte) error
	// LogEvent logs the event NAME-reloaded, or NAME-rejected with an error.
	LogEvent func(event string, err error)
}

// Watcher polls files for changes. Polling works on every file system and also
// detects files that are replaced through a symbolic link.
type Watcher struct {
	config Config
	// contents are those that were last passed to Apply, successfully or not.
	contents [][]byte
	// applyErr is the error that Apply returned for contents.
	applyErr error
	// lastError is the text of the error that the last check found, or "" if it found
	// none.
	lastError string
	// lastErrorLogged reports whether lastError has been logged.
	lastErrorLogged bool
}

// New reads the files, applies them and returns a Watcher. It fails if a file cannot be
// read or Apply returns an error.
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

// Serve checks the files once per interval until ctx ends, and returns nil then.
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

// Check applies the files if their content differs from the last content passed to
// Apply. An error is logged once, and only if the following check finds it again. It
// may be temporary, because several files, or a file that is being written, do not
// change in one step.
func (w *Watcher) Check() {
	contents, err := w.read()
	if err == nil {
		if !slices.EqualFunc(contents, w.contents, bytes.Equal) {
			w.apply(contents)
		}
		err = w.applyErr
	}
	w.report(err)
}

func (w *Watcher) apply(contents [][]byte) {
	w.contents = contents
	w.lastError, w.lastErrorLogged = "", false
	w.applyErr = w.config.Apply(contents)
	if w.applyErr == nil {
		w.config.LogEvent(w.config.Name+"-reloaded", nil)
	}
}

func (w *Watcher) report(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text != w.lastError {
		w.lastError, w.lastErrorLogged = text, false
		return
	}
	if err != nil && !w.lastErrorLogged {
		w.lastErrorLogged = true
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
