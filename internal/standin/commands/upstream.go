package commands

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/telemetry"
	"github.com/orioledyke/orioledyke/internal/standin/upstream"
	"github.com/urfave/cli/v3"
)

const (
	defaultSlots         = 3
	defaultServiceTime   = 40 * time.Millisecond
	defaultColdStart     = 5 * time.Second
	defaultColdFactor    = 5
	defaultDrainGrace    = 2 * time.Second
	defaultHealthLag     = 2 * time.Second
	defaultBoardInterval = 250 * time.Millisecond
)

func newUpstreamCommand() *cli.Command {
	return &cli.Command{
		Name:  "upstream",
		Usage: "serve requests of one service over HTTP",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "`HOST:PORT` to serve at", Required: true},
			&cli.StringFlag{Name: "service", Usage: "`NAME`: " + upstream.GrowerPortal + " or " + upstream.Weighbridge, Required: true},
			&cli.IntFlag{Name: "slots", Usage: "largest `NUMBER` of bookings or weigh-ins that run at the same time", Value: defaultSlots},
			&cli.DurationFlag{Name: "service-time", Usage: "mean `DURATION` of a booking or weigh-in", Value: defaultServiceTime},
			&cli.DurationFlag{Name: "cold-start", Usage: "`DURATION` after the start in which service times are longer", Value: defaultColdStart},
			&cli.FloatFlag{Name: "cold-factor", Usage: "`FACTOR` by which service times are longer right after the start", Value: defaultColdFactor},
			&cli.DurationFlag{Name: "drain-grace", Usage: "`DURATION` after the start of a drain in which new work is still accepted", Value: defaultDrainGrace},
			&cli.DurationFlag{Name: "health-lag", Usage: "`DURATION` after which /health shows a change of the state", Value: defaultHealthLag},
			&cli.DurationFlag{Name: "board-interval", Usage: "`DURATION` between events of a board", Value: defaultBoardInterval},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the random service times", Value: 1},
			traceFlag(),
		},
		Action: runUpstream,
	}
}

func runUpstream(ctx context.Context, command *cli.Command) error {
	for _, flag := range []string{"service-time", "board-interval"} {
		if d := command.Duration(flag); d < time.Millisecond {
			return fmt.Errorf("--%s: want at least 1ms, got %v", flag, d)
		}
	}
	millis := func(flag string) clock.Millis { return clock.FromDuration(command.Duration(flag)) }
	server, err := upstream.New(upstream.Config{
		Service: command.String("service"), Slots: command.Int("slots"),
		ServiceTime: millis("service-time"), ColdStart: millis("cold-start"), ColdFactor: command.Float("cold-factor"),
		DrainGrace: millis("drain-grace"), HealthLag: millis("health-lag"), BoardInterval: millis("board-interval"),
		Seed: command.Uint64("seed"), Clock: clock.System(),
	})
	if err != nil {
		return err
	}
	traces, err := openTraces(command, command.String("service"))
	if err != nil {
		return err
	}
	handler := telemetry.TraceHop(tracerName, "upstream work", nil, server)
	return errors.Join(serve(ctx, command.String("listen"), handler), closeTraces(traces))
}
