package commands

import (
	"context"
	"fmt"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/standin/fabric"
	"github.com/urfave/cli/v3"
)

const (
	maxPort          = 1<<16 - 1
	defaultIdleLimit = time.Minute
)

func newFabricCommand() *cli.Command {
	return &cli.Command{
		Name:  "fabric",
		Usage: "spread client datagrams over the balancers in round-robin order",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Usage: "IP `ADDRESS` at which clients reach every service", Value: "127.0.0.1"},
			&cli.IntSliceFlag{Name: "port", Usage: "UDP `PORT` of a service; repeat the flag for several", Required: true},
			&cli.StringSliceFlag{Name: "balancer", Usage: "entry `ADDRESS` of a balancer; repeat the flag for several"},
			&cli.StringFlag{Name: "admin", Usage: "`HOST:PORT` at which the admin API is served", Required: true},
			&cli.FloatFlag{Name: "loss", Usage: "`RATE` of lost datagrams, from 0 to 1"},
			&cli.FloatFlag{Name: "duplication", Usage: "`RATE` of duplicated datagrams, from 0 to 1"},
			&cli.FloatFlag{Name: "reordering", Usage: "`RATE` of reordered datagrams, from 0 to 1"},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the random faults", Value: 1},
			&cli.DurationFlag{Name: "idle-limit", Usage: "close the socket of a client that sends nothing for `DURATION`; 0 means never", Value: defaultIdleLimit},
		},
		Action: runFabric,
	}
}

func runFabric(ctx context.Context, command *cli.Command) error {
	entry, err := parseAddresses("entry", []string{command.String("entry")})
	if err != nil {
		return err
	}
	balancers, err := parseAddresses("balancer", command.StringSlice("balancer"))
	if err != nil {
		return err
	}
	var ports []uint16
	for _, port := range command.IntSlice("port") {
		if port < 1 || port > maxPort {
			return fmt.Errorf("--port: want 1 to %d, got %d", maxPort, port)
		}
		ports = append(ports, uint16(port))
	}
	for _, flag := range []string{"loss", "duplication", "reordering"} {
		if err := checkRate(command, flag); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	network, err := fabric.NewNetwork(ctx, fabric.NetworkConfig{
		Entry: entry[0], Ports: ports, Balancers: balancers, Seed: command.Uint64("seed"),
		IdleLimit: clock.FromDuration(command.Duration("idle-limit")),
		Faults: fabric.Faults{
			Loss: command.Float("loss"), Duplication: command.Float("duplication"), Reordering: command.Float("reordering"),
		},
	})
	if err != nil {
		return err
	}
	defer network.Wait()
	defer cancel()
	return serve(ctx, command.String("admin"), network.Handler())
}
