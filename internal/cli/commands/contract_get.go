package commands

import (
	"context"

	"github.com/urfave/cli/v3"
)

func newContractGetCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "print the newest revision of a contract",
		ArgsUsage: "CUSTOMER",
		Flags:     platformFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			customer, err := customerArgument(command)
			if err != nil {
				return err
			}
			client, err := newPlatformClient(command)
			if err != nil {
				return err
			}
			d, err := client.Contract(ctx, customer)
			if err != nil {
				return err
			}
			if command.Bool(flagJSON) {
				return writeJSON(command.Root().Writer, newDocumentOutput(d))
			}
			return writeDocument(command.Root().Writer, "", d)
		},
	}
}
