package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"
)

// Exit codes of the binary.
const (
	// exitFailure means that the command failed.
	exitFailure = 1
	// exitUsage means that the command line is invalid and nothing was done.
	exitUsage = 2
)

// usageError describes a fault in a command line.
type usageError string

// Error returns the message.
func (e usageError) Error() string { return string(e) }

// errAlreadyReported is returned after a command has written its faults to stderr.
var errAlreadyReported = errors.New("faults were reported")

func exitCode(stderr io.Writer, err error) int {
	if err == nil {
		return 0
	}
	if errors.Is(err, errAlreadyReported) {
		return exitFailure
	}
	_, _ = fmt.Fprintf(stderr, "orioledyke: %s\n", strings.ReplaceAll(err.Error(), "\n", "; "))
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailure
}

// setUsageErrors makes a command and its subcommands report an invalid command line in
// one line instead of printing the help page.
func setUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, command *cli.Command, err error, _ bool) error {
		message := strings.ReplaceAll(err.Error(), "\n", " ")
		return usageError(fmt.Sprintf("%s; see %s --help", message, command.FullName()))
	}
	if len(command.Commands) > 0 && command.Action == nil {
		command.Action = requireSubcommand
	}
	for _, child := range command.Commands {
		setUsageErrors(child)
	}
}

// requireSubcommand is the action of a command that only groups subcommands. It always
// returns a usageError.
func requireSubcommand(_ context.Context, command *cli.Command) error {
	var names []string
	for _, child := range command.VisibleCommands() {
		names = append(names, child.Name)
	}
	choice := strings.Join(names, ", ")
	if name := command.Args().First(); name != "" {
		return usageError(fmt.Sprintf("unknown command %q; want one of %s", command.FullName()+" "+name, choice))
	}
	return usageError(fmt.Sprintf("%s needs a command: %s", command.FullName(), choice))
}

// checkArguments checks that a command has one argument for each name. If the last name
// ends with "...", that argument may be repeated.
func checkArguments(command *cli.Command, names ...string) error {
	count := command.Args().Len()
	repeated := len(names) > 0 && strings.HasSuffix(names[len(names)-1], "...")
	if count > len(names) && !repeated {
		return usageError(fmt.Sprintf("unexpected argument %q; see %s --help", command.Args().Get(len(names)), command.FullName()))
	}
	if count < len(names) {
		return usageError(fmt.Sprintf("missing argument %s; see %s --help", strings.TrimSuffix(names[count], "..."), command.FullName()))
	}
	return nil
}

func configureCompletion(command *cli.Command) {
	command.Hidden = false
	command.Usage = "print the completion script of a shell"
	setUsageErrors(command)
}
