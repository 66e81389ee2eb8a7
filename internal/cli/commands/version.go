package commands

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

func newVersionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version, the Go version and the source revision",
		Action: func(_ context.Context, command *cli.Command) error {
			if err := checkArguments(command); err != nil {
				return err
			}
			_, err := fmt.Fprintf(command.Root().Writer, "orioledyke %s %s%s\n", Version, runtime.Version(), sourceRevisionText())
			return err
		},
	}
}

// sourceRevisionText returns " revision " and the source revision of the binary,
// followed by " modified" if the source had uncommitted changes. It returns an empty
// string if the revision is unknown.
func sourceRevisionText() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	values := map[string]string{}
	for _, setting := range info.Settings {
		values[setting.Key] = setting.Value
	}
	text := values["vcs.revision"]
	if text == "" {
		return ""
	}
	if values["vcs.modified"] == "true" {
		text += " modified"
	}
	return " revision " + text
}
