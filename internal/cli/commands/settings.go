package commands

import (
	"context"
	"errors"
	"fmt"

	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/urfave/cli/v3"
)

func newSettingsCommand() *cli.Command {
	return &cli.Command{
		Name:     "settings",
		Usage:    "check settings files",
		Commands: []*cli.Command{newSettingsCheckCommand()},
	}
}

func newSettingsCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check each settings file, and all of them for conflicts",
		ArgsUsage: "FILE...",
		Description: "Prints one line for each fault and exits with 1 if there is any. Paths in the files\n" +
			"are relative to the working directory.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "ports", Usage: "also try to open every address on this host"},
		},
		Action: checkSettings,
	}
}

func checkSettings(_ context.Context, command *cli.Command) error {
	if err := checkArguments(command, "FILE..."); err != nil {
		return err
	}
	files, err := settings.CheckFiles(command.Args().Slice())
	var faults settings.Faults
	if err != nil && !errors.As(err, &faults) {
		return err
	}
	if command.Bool("ports") {
		for _, file := range files {
			faults = append(faults, file.CheckPorts()...)
		}
	}
	if len(faults) > 0 {
		if _, err := fmt.Fprintln(command.Root().ErrWriter, faults); err != nil {
			return err
		}
		return errAlreadyReported
	}
	for _, file := range files {
		if _, err := fmt.Fprintf(command.Root().Writer, "%s: valid settings of %s on host %s\n", file.Path(), file.Role(), file.Host()); err != nil {
			return err
		}
	}
	return nil
}
