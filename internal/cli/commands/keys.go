package commands

import (
	"context"
	"crypto/rand"
	"fmt"

	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/urfave/cli/v3"
)

func newKeysCommand() *cli.Command {
	return &cli.Command{
		Name:     "keys",
		Usage:    "create and change key ring files",
		Commands: []*cli.Command{newKeysGenerateCommand(), newKeysRotateCommand()},
	}
}

func newKeysGenerateCommand() *cli.Command {
	return &cli.Command{
		Name:        "generate",
		Usage:       "create a key ring file with one generation",
		ArgsUsage:   "FILE",
		Description: "The file has mode 0600. A file that exists is never replaced.",
		Action:      generateKeys,
	}
}

func generateKeys(_ context.Context, command *cli.Command) error {
	if err := checkArguments(command, "FILE"); err != nil {
		return err
	}
	path := command.Args().First()
	document := &keyring.Document{}
	number, err := document.Add(rand.Reader)
	if err != nil {
		return err
	}
	if err := document.Activate(number); err != nil {
		return err
	}
	if err := document.Create(path); err != nil {
		return err
	}
	return printKeys(command, path, document)
}

func newKeysRotateCommand() *cli.Command {
	return &cli.Command{
		Name:      "rotate",
		Usage:     "add, activate or remove a generation of a key ring file",
		ArgsUsage: "FILE",
		Description: "Without a flag, the command adds a generation, which is not active yet. With\n" +
			"--activate or --remove, it adds none. Distribute the file to every process after each step.",
		Flags: []cli.Flag{
			&cli.Uint8Flag{Name: "activate", Usage: "make generation `N` the active one"},
			&cli.Uint8Flag{Name: "remove", Usage: "remove generation `N`, which must not be active"},
		},
		Action: rotateKeys,
	}
}

func rotateKeys(_ context.Context, command *cli.Command) error {
	if err := checkArguments(command, "FILE"); err != nil {
		return err
	}
	if command.IsSet("activate") && command.IsSet("remove") {
		// If both steps reach the processes at the same time, flows that use the
		// removed generation break.
		return usageError("--activate and --remove are separate steps; give one of them")
	}
	path := command.Args().First()
	var changed *keyring.Document
	if err := keyring.Update(path, func(document *keyring.Document) error {
		changed = document
		switch {
		case command.IsSet("activate"):
			return document.Activate(keyring.Generation(command.Uint8("activate")))
		case command.IsSet("remove"):
			return document.Remove(keyring.Generation(command.Uint8("remove")))
		default:
			_, err := document.Add(rand.Reader)
			return err
		}
	}); err != nil {
		return err
	}
	return printKeys(command, path, changed)
}

func printKeys(command *cli.Command, path string, document *keyring.Document) error {
	_, err := fmt.Fprintf(command.Root().Writer, "%s: generations %v, active %d\n", path, document.Generations(), document.Active())
	return err
}
