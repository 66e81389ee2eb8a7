package commands

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

const settingsFlag = "settings"

// newServeCommand returns the command of a role that runs until it is stopped.
// SIGTERM or SIGINT stops it gracefully, and a second one ends it at once.
func newServeCommand(name, usage string, run func(ctx, stop context.Context, path string) error) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{&cli.StringFlag{Name: settingsFlag, Usage: "YAML `FILE` with the settings", Required: true}},
		Action: func(ctx context.Context, command *cli.Command) error {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			stop, stopNow := context.WithCancel(ctx)
			defer stopNow()
			signals := make(chan os.Signal, 2)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			defer signal.Stop(signals)
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
			return run(ctx, stop, command.String(settingsFlag))
		},
	}
}
