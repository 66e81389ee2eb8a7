package commands

import (
	"context"
	"os"

	"github.com/orioledyke/orioledyke/internal/balancer/node"
	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/urfave/cli/v3"
)

func newBalancerCommand() *cli.Command {
	return newServeCommand("balancer", "run a balancer on an entry host", func(ctx, stop context.Context, path string, _ <-chan os.Signal) error {
		s, err := settings.Load[settings.Balancer](path)
		if err != nil {
			return err
		}
		return node.Run(ctx, stop, s)
	})
}
