package commands

import (
	"context"
	"os"

	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/sidecar/node"
	"github.com/urfave/cli/v3"
)

func newSidecarCommand() *cli.Command {
	return newServeCommand("sidecar", "run a sidecar on the host of an upstream", func(ctx, stop context.Context, path string, _ <-chan os.Signal) error {
		s, err := settings.Load[settings.Sidecar](path)
		if err != nil {
			return err
		}
		return node.Run(ctx, stop, s)
	})
}
