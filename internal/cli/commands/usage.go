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
	// exitFailure means that the command could not do its work.
	exitFailure = 1
	// exitUsage means that the command line is wrong and nothing was done.
	exitUsage = 2
)

// usageError tells what is wrong with a command line.
type usageError string

// Error returns the message.
func (e usageError) Error() string { return string(e) }

// errReported stands for faults that a command has already written to stderr.
var errReported = errors.New("faults were reported")

func exitCode(stderr io.Writer, err error) int {
	if err == nil {
		return 0
	}
	if errors.Is(err, errReported) {
		return exitFailure
	}
	_, _ = fmt.Fprintf(stderr, "orioledyke: %s\n", strings.ReplaceAll(err.Error(), "\n", "; "))
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailure
}

// reportUsage makes a command and those below it answer a wrong command line
// with one line instead of the help page.
func reportUsage(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, command *cli.Command, err error, _ bool) error {
		message := strings.ReplaceAll(err.Error(), "\n", " ")
		return usageError(fmt.Sprintf("%s; see %s --help", message, command.FullName()))
	}
	if len(command.Commands) > 0 && command.Action == nil {
		command.Action = rejectCommand
	}
	for _, child := range command.Commands {
		reportUsage(child)
	}
}

// rejectCommand is the action of a command that only holds others.
func rejectCommand(_ context.Context, command *cli.Command) error {
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

// checkArguments checks the number of arguments of a command. names describes
// them; a last name that ends with ... may be repeated.
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
	reportUsage(command)
}
