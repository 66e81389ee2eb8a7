package commands

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

func newVersionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, command *cli.Command) error {
			_, err := fmt.Fprintln(command.Root().Writer, Version)
			return err
		},
	}
}
