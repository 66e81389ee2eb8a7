package commands

import (
	"context"
	"io"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/common/telemetry"
	"github.com/urfave/cli/v3"
)

const (
	traceFileFlag = "trace-file"
	tracerName    = "github.com/orioledyke/orioledyke/internal/standin"
	flushTimeout  = 2 * time.Second
)

func traceFlag() cli.Flag {
	return &cli.StringFlag{Name: traceFileFlag, Usage: "`FILE` that receives spans as JSON lines"}
}

// openTraces installs tracing for a stand-in. The spans carry host as the name of
// the host. They are written only if --trace-file names a file.
func openTraces(command *cli.Command, host string) (*telemetry.Telemetry, error) {
	return telemetry.New(telemetry.Config{
		Role: settings.Role(command.Name), Host: host, Output: io.Discard,
		Traces: settings.Traces{File: command.String(traceFileFlag)},
	})
}

// closeTraces writes the remaining spans. It fails if that takes longer than
// flushTimeout.
func closeTraces(traces *telemetry.Telemetry) error {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	return traces.Shutdown(ctx)
}
