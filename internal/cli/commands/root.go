// Package commands holds the commands of the orioledyke binary, one in each
// file.
package commands

import (
	"context"
	"io"
	"os"

	"github.com/urfave/cli/v3"
)

// Version is the version of the binary. The linker sets it for a release.
var Version = "0.1.0-dev"

// Run executes the command line. It returns the exit code: 0, exitFailure or
// exitUsage.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:                            "orioledyke",
		Usage:                           "layer-4 load balancer",
		Version:                         Version,
		HideVersion:                     true,
		EnableShellCompletion:           true,
		ConfigureShellCompletionCommand: configureCompletion,
		Writer:                          stdout,
		ErrWriter:                       stderr,
		ExitErrHandler:                  func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			newBalancerCommand(),
			newSidecarCommand(),
			newKeysCommand(),
			newSettingsCommand(),
			newVersionCommand(),
		},
	}
	reportUsage(root)
	return exitCode(stderr, root.Run(ctx, arguments))
}

// Main runs the command line of the process.
func Main() {
	os.Exit(Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
