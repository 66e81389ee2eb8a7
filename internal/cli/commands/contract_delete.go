package commands

import (
	"context"

	"github.com/urfave/cli/v3"
)

func newContractDeleteCommand() *cli.Command {
	return &cli.Command{
		Name:      "delete",
		Usage:     "delete a contract and release its ports",
		ArgsUsage: "CUSTOMER",
		Flags:     platformFlags(expectFlag()),
		Action: func(ctx context.Context, command *cli.Command) error {
			customer, err := customerArgument(command)
			if err != nil {
				return err
			}
			client, err := newPlatformClient(command)
			if err != nil {
				return err
			}
			deleted, err := client.DeleteContract(ctx, customer, expectedRevision(command))
			return reportWrite(command, deleted, err)
		},
	}
}
