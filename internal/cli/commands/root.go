// Package commands implements the commands of the orioledyke binary.
package commands

import (
	"context"
	"io"
	"net/netip"
	"os"

	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/urfave/cli/v3"
)

// Version is the version of the binary. The linker sets it for a release.
var Version = "0.1.0-dev"

// Dependencies holds the functions that call other processes. Tests replace them.
type Dependencies struct {
	// BalancerStatuses requests the revisions in effect for a customer from every
	// balancer that the seed knows. The entry of a balancer that does not respond
	// contains an error.
	BalancerStatuses func(ctx context.Context, seed netip.AddrPort, keys *keyring.Store, customer string) ([]BalancerStatus, error)
}

func defaultDependencies() Dependencies {
	return Dependencies{BalancerStatuses: balancerStatuses}
}

// Run executes the command line. It returns the exit code: 0, exitFailure or
// exitUsage.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	return RunWith(ctx, defaultDependencies(), arguments, stdout, stderr)
}

// RunWith is like Run, but uses the given dependencies.
func RunWith(ctx context.Context, dependencies Dependencies, arguments []string, stdout, stderr io.Writer) int {
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
			newFlowBalancerCommand(),
			newFlowSidecarCommand(),
			newFlowGroupCommand(),
			newKeysCommand(),
			newSettingsCommand(),
			newContractCommand(dependencies),
			newVersionCommand(),
		},
	}
	setUsageErrors(root)
	return exitCode(stderr, root.Run(ctx, arguments))
}

// Main runs the command line of the process and exits with its exit code.
func Main() {
	os.Exit(Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
