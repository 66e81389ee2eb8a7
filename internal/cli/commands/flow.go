package commands

import (
	"context"
	"os"

	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/flow/node"
	"github.com/urfave/cli/v3"
)

func newFlowBalancerCommand() *cli.Command {
	return newFlowCommand("flow-balancer", "run a balancer for flows without a connection ID", node.RunBalancer)
}

func newFlowSidecarCommand() *cli.Command {
	return newFlowCommand("flow-sidecar", "run a sidecar on the host of an upstream, for flows without a connection ID", node.RunSidecar)
}

// newFlowGroupCommand returns the parent of the commands that inspect flows.
func newFlowGroupCommand() *cli.Command {
	return &cli.Command{
		Name:     "flow",
		Usage:    "explain flows and requests",
		Commands: []*cli.Command{newFlowExplainCommand()},
	}
}

// newFlowCommand returns the command for a role that reloads its settings on SIGHUP.
func newFlowCommand[S any](name, usage string, run func(context.Context, node.Options, S) error) *cli.Command {
	return newServeCommand(name, usage, func(ctx, stop context.Context, path string, reload <-chan os.Signal) error {
		s, err := settings.Load[S](path)
		if err != nil {
			return err
		}
		return run(ctx, node.Options{SettingsPath: path, Stop: stop, Reload: reload}, s)
	})
}
