package keyring

import (
	"time"

	"github.com/orioledyke/orioledyke/internal/common/reload"
	"github.com/samber/oops"
)

// WatchConfig configures LoadWatched.
type WatchConfig struct {
	// Path is the path of the key ring file.
	Path string
	// Interval and After have the meaning that they have in reload.Config.
	Interval time.Duration
	After    func(time.Duration) <-chan time.Time
	// LogEvent logs the events key-ring-reloaded and key-ring-rejected.
	LogEvent func(event string, err error)
}

// LoadWatched reads a key ring file. It returns a Store with the key ring and a Watcher
// that replaces the key ring when the file changes to another valid one. The caller
// runs the Watcher.
func LoadWatched(config WatchConfig) (*Store, *reload.Watcher, error) {
	var store *Store
	watcher, err := reload.New(reload.Config{
		Name:     "key-ring",
		Files:    []string{config.Path},
		Interval: config.Interval,
		After:    config.After,
		LogEvent: config.LogEvent,
		Apply: func(contents [][]byte) error {
			ring, err := Parse(contents[0])
			if err != nil {
				return oops.Code("key-ring-invalid").Wrapf(err, "%s", config.Path)
			}
			if store == nil {
				store = NewStore(ring)
				return nil
			}
			store.Replace(ring)
			return nil
		},
	})
	if err != nil {
		return nil, nil, err
	}
	return store, watcher, nil
}
