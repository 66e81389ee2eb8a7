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
	// settingsEnv is the environment variable that may contain the settings path.
	settingsEnv = "ORIOLEDYKE_CONFIG"
)

// newServeCommand returns the command for a role that runs until it is stopped. The
// first SIGTERM or SIGINT stops it gracefully, and the second one immediately. SIGHUP
// is passed to run, because some roles reload their settings.
func newServeCommand(name, usage string, run func(ctx, stop context.Context, path string, reload <-chan os.Signal) error) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{&cli.StringFlag{
			Name: settingsFlag, Usage: "YAML `FILE` with the settings", Required: true,
			Sources: cli.EnvVars(settingsEnv),
		}},
		Action: func(ctx context.Context, command *cli.Command) error {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			stop, requestStop := context.WithCancel(ctx)
			defer requestStop()
			signals := make(chan os.Signal, 2)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			defer signal.Stop(signals)
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			defer signal.Stop(reload)
			go func() {
				select {
				case <-signals:
					requestStop()
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
