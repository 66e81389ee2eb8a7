package demo

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

const (
	defaultDuration    = 15 * time.Second
	minDuration        = 4 * time.Second
	defaultBookingRate = 40
	defaultWeighInRate = 30
	defaultBoardRate   = 3
)

// Main runs the command line of the demo. On SIGINT, SIGTERM or SIGHUP it ends
// the demo and every process that the demo started.
func Main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	// Without this, writing to a closed output, for example "| head", would end the
	// demo and leave its processes running. SIGPIPE cannot be one of the signals that
	// end the demo, because writing to a closed socket raises it too.
	signal.Ignore(syscall.SIGPIPE)
	if err := newCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintf(os.Stderr, "orioledyke-demo: %v\n", err)
		stop()
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:           "orioledyke-demo",
		Usage:          "start the whole system on one machine and disturb it under load",
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "`DURATION` of the load", Value: defaultDuration},
			&cli.StringFlag{Name: "out", Usage: "`DIRECTORY` of the trace file and the logs", Value: "out"},
			&cli.FloatFlag{Name: "booking-rate", Usage: "bookings per second", Value: defaultBookingRate},
			&cli.FloatFlag{Name: "weigh-in-rate", Usage: "weigh-ins per second", Value: defaultWeighInRate},
			&cli.FloatFlag{Name: "board-rate", Usage: "boards opened per second", Value: defaultBoardRate},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of load, service times and faults", Value: 1},
			&cli.FloatFlag{Name: "loss", Usage: "`RATE` of datagrams that the fabric loses, from 0 to 1"},
		},
		Commands: []*cli.Command{newProveCommand()},
		Action: func(ctx context.Context, command *cli.Command) error {
			if command.Args().Present() {
				return fmt.Errorf("unexpected argument %q", command.Args().First())
			}
			if d := command.Duration("duration"); d < minDuration {
				return fmt.Errorf("--duration: want at least %v, got %v", minDuration, d)
			}
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			return Run(ctx, Config{
				Binaries: filepath.Dir(executable), Out: command.String("out"), Duration: command.Duration("duration"),
				BookingRate: command.Float("booking-rate"), WeighInRate: command.Float("weigh-in-rate"),
				BoardRate: command.Float("board-rate"), Loss: command.Float("loss"),
				Seed: command.Uint64("seed"), Output: command.Root().Writer,
			})
		},
	}
}

func newProveCommand() *cli.Command {
	return &cli.Command{
		Name:  "prove",
		Usage: "run the system through failures and judge each invariant",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "`DIRECTORY` of the logs", Value: "out"},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of load, service times and faults", Value: 1},
			&cli.StringFlag{Name: "only", Usage: "run only the round `NAME`; invariants that it does not test fail"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if command.Args().Present() {
				return fmt.Errorf("unexpected argument %q", command.Args().First())
			}
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			return Prove(ctx, ProveConfig{
				Binaries: filepath.Dir(executable), Out: command.String("out"), Seed: command.Uint64("seed"),
				Only: command.String("only"), Output: command.Root().Writer,
			})
		},
	}
}
