package keyring

import (
	"time"

	"github.com/orioledyke/orioledyke/internal/common/reload"
	"github.com/samber/oops"
)

// ReloaderConfig configures a reloader.
type ReloaderConfig struct {
	Path string
	// Interval and After are those of reload.Config.
	Interval time.Duration
	After    func(time.Duration) <-chan time.Time
	// LogEvent receives the events key-ring-reloaded and key-ring-rejected.
	LogEvent func(event string, err error)
}

// NewReloader reads a key ring file and returns a Store that holds it and a
// Watcher that replaces it whenever the file changes to another valid key ring.
func NewReloader(config ReloaderConfig) (*Store, *reload.Watcher, error) {
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
