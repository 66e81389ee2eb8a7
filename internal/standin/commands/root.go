// Package commands holds the commands of the orioledyke-standin binary, with one
// command per file.
package commands

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"
)

const readHeaderTimeout = 5 * time.Second

// Run executes the command line, whose first argument is the program name. It
// returns the exit code 0. After an error it prints the error to stderr and returns 1.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:           "orioledyke-standin",
		Usage:          "stand-ins for the systems outside orioledyke",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		Action:         requireCommand,
		Commands: []*cli.Command{
			newPlatformCommand(),
			newFabricCommand(),
			newUpstreamCommand(),
			newClientCommand(),
		},
	}
	for _, command := range root.Commands {
		command.OnUsageError = root.OnUsageError
	}
	if err := root.Run(ctx, arguments); err != nil {
		_, _ = fmt.Fprintf(stderr, "orioledyke-standin: %v\n", err)
		return 1
	}
	return 0
}

func requireCommand(_ context.Context, command *cli.Command) error {
	if name := command.Args().First(); name != "" {
		return fmt.Errorf("unknown command %q; --help lists the commands", name)
	}
	return cli.ShowRootCommandHelp(command)
}

// Main runs the command line of the process and exits with the exit code of Run.
// SIGINT and SIGTERM end the context of the command.
func Main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := Run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// serve serves HTTP at a TCP address until ctx ends. It then returns nil.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return oops.Code("listen-failed").Wrap(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return oops.Code("serve-failed").Wrap(err)
	}
	return nil
}

func parseAddresses(flag string, values []string) ([]netip.Addr, error) {
	addresses := make([]netip.Addr, len(values))
	for i, value := range values {
		address, err := netip.ParseAddr(value)
		if err != nil {
			return nil, fmt.Errorf("--%s: want an IP address, got %q", flag, value)
		}
		addresses[i] = address
	}
	return addresses, nil
}

// checkRate returns an error unless the value of the flag is from 0 to 1.
func checkRate(command *cli.Command, flag string) error {
	if rate := command.Float(flag); rate < 0 || rate > 1 {
		return fmt.Errorf("--%s: want a rate from 0 to 1, got %v", flag, rate)
	}
	return nil
}
