package commands

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/urfave/cli/v3"
)

func newContractPutCommand() *cli.Command {
	return &cli.Command{
		Name:      "put",
		Usage:     "check a contract and write it as the next revision",
		ArgsUsage: "FILE",
		Flags:     platformFlags(expectFlag()),
		Action: func(ctx context.Context, command *cli.Command) error {
			path, err := onlyArgument(command, "FILE")
			if err != nil {
				return err
			}
			next, err := loadContract(path)
			if err != nil {
				return err
			}
			client, err := newPlatformClient(command)
			if err != nil {
				return err
			}
			written, err := client.PutContract(ctx, next, expectedRevision(command))
			return reportWrite(command, written, err)
		},
	}
}

// loadContract reads a contract from a file. For an invalid contract, the error has one
// line per violation, with the file and the key.
func loadContract(path string) (contract.Contract, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return contract.Contract{}, err
	}
	parsed, err := contract.Parse(data)
	var invalid *contract.InvalidError
	if !errors.As(err, &invalid) {
		return parsed, err
	}
	lines := make([]string, len(invalid.Violations()))
	for i, violation := range invalid.Violations() {
		lines[i] = fmt.Sprintf("%s: %s", path, violation)
	}
	return contract.Contract{}, errors.New(strings.Join(lines, "\n"))
}
