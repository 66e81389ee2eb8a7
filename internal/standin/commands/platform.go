package commands

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/orioledyke/orioledyke/internal/standin/platform"
	"github.com/samber/oops"
	"github.com/urfave/cli/v3"
)

func newPlatformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the stand-in for the key-value service that holds the contracts",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "`HOST:PORT` to serve at", Required: true},
			&cli.IntFlag{Name: "writes-per-second", Usage: "largest `NUMBER` of writes per second", Value: platform.DefaultWritesPerSecond},
			&cli.IntFlag{Name: "reads-per-second", Usage: "largest `NUMBER` of reads per second, including blocking queries", Value: platform.DefaultReadsPerSecond},
			&cli.IntFlag{Name: "max-value-size", Usage: "largest size of a value in `BYTES`", Value: platform.DefaultMaxValueSize},
			&cli.StringFlag{Name: "token-file", Usage: "`FILE` with the token that every API call must present"},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, command *cli.Command) error {
	for _, flag := range []string{"writes-per-second", "reads-per-second", "max-value-size"} {
		if n := command.Int(flag); n < 1 {
			return fmt.Errorf("--%s: want at least 1, got %d", flag, n)
		}
	}
	config := platform.Config{
		WritesPerSecond: command.Int("writes-per-second"), ReadsPerSecond: command.Int("reads-per-second"),
		MaxValueSize: command.Int("max-value-size"),
	}
	if path := command.String("token-file"); path != "" {
		token, err := os.ReadFile(path)
		if err != nil {
			return oops.Code("token-unreadable").Wrapf(err, "read token")
		}
		config.Token = strings.TrimSpace(string(token))
	}
	return serve(ctx, command.String("listen"), platform.NewServer(config).Handler())
}
