package commands

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

const (
	settingsFlag = "settings"
	// settingsVariable is the environment variable that may give the file.
	settingsVariable = "ORIOLEDYKE_CONFIG"
)

// newServeCommand returns the command of a role that runs until it is stopped.
// SIGTERM or SIGINT stops it gracefully, and a second one ends it at once. SIGHUP
// is passed on, because some roles read their settings again.
func newServeCommand(name, usage string, run func(ctx, stop context.Context, path string, reload <-chan os.Signal) error) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{&cli.StringFlag{
			Name: settingsFlag, Usage: "YAML `FILE` with the settings", Required: true,
			Sources: cli.EnvVars(settingsVariable),
		}},
		Action: func(ctx context.Context, command *cli.Command) error {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			stop, stopNow := context.WithCancel(ctx)
			defer stopNow()
			signals := make(chan os.Signal, 2)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			defer signal.Stop(signals)
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			defer signal.Stop(reload)
			go func() {
				select {
				case <-signals:
					stopNow()
				case <-ctx.Done():
					return
				}
				select {
				case <-signals:
					cancel()
				case <-ctx.Done():
				}
			}()
			return run(ctx, stop, command.String(settingsFlag), reload)
		},
	}
}
