package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/orioledyke/orioledyke/internal/flow/explain"
	"github.com/samber/oops"
	"github.com/urfave/cli/v3"
)

// explainWindow is the maximum time between a request and a log line of its flow. A
// flow has a lifetime of at most one minute.
const explainWindow = time.Minute

func newFlowExplainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show what happened to a request or flow",
		ArgsUsage: "NAME FILE...",
		Description: "NAME is the identifier of a request, or a flow as client>service. The files are logs\n" +
			"of all processes; - is the standard input.",
		Action: explainFlow,
	}
}

func explainFlow(_ context.Context, command *cli.Command) error {
	if command.Args().Len() < 2 {
		return usageError("orioledyke flow explain needs NAME FILE...; see orioledyke flow explain --help")
	}
	var logs []io.Reader
	for _, path := range command.Args().Slice()[1:] {
		if path == "-" {
			logs = append(logs, os.Stdin)
			continue
		}
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer file.Close()
		logs = append(logs, file)
	}
	name := command.Args().First()
	timeline, err := explain.Search(logs, name, explainWindow)
	if err != nil {
		return err
	}
	if len(timeline.Lines()) == 0 {
		return oops.Errorf("no line names %s; lines over the log limit or of a lost host may be missing", name)
	}
	if _, err := fmt.Fprintf(command.Root().Writer, "flow %s\n", timeline.Flow()); err != nil {
		return err
	}
	for _, line := range timeline.Lines() {
		if _, err := fmt.Fprintf(command.Root().Writer, "%s %s %s\n",
			line.At().Format("15:04:05.000"), line.Host(), line.Text()); err != nil {
			return err
		}
	}
	return nil
}
