package commands

import (
	"context"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/standin/client"
	"github.com/samber/oops"
	"github.com/urfave/cli/v3"
)

const (
	defaultDuration    = 15 * time.Second
	defaultBookingRate = 40
	defaultWeighInRate = 40
	defaultBoardRate   = 3
)

func newClientCommand() *cli.Command {
	return &cli.Command{
		Name:  "client",
		Usage: "generate load over HTTP/3 and report counts as JSON lines",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "grower-portal", Usage: "`IP:PORT` at which the fabric receives datagrams for grower-portal", Required: true},
			&cli.StringFlag{Name: "weighbridge", Usage: "`IP:PORT` at which the fabric receives datagrams for weighbridge", Required: true},
			&cli.StringFlag{Name: "certificate-file", Usage: "PEM `FILE` with the trusted root certificates", Required: true},
			&cli.StringFlag{Name: "server-name", Usage: "`NAME` that the certificate of the services must carry", Value: "localhost"},
			&cli.FloatFlag{Name: "booking-rate", Usage: "bookings per second", Value: defaultBookingRate},
			&cli.FloatFlag{Name: "weigh-in-rate", Usage: "weigh-ins per second", Value: defaultWeighInRate},
			&cli.FloatFlag{Name: "board-rate", Usage: "boards opened per second", Value: defaultBoardRate},
			&cli.DurationFlag{Name: "duration", Usage: "`DURATION` in which new requests arrive; boards arrive only in its first three quarters", Value: defaultDuration},
			&cli.DurationFlag{Name: "answer-timeout", Usage: "longest `DURATION` to wait for one response", Value: client.DefaultResponseTimeout.Duration()},
			&cli.DurationFlag{Name: "finish-timeout", Usage: "longest `DURATION` to wait after --duration for requests in progress", Value: client.DefaultFinishTimeout.Duration()},
			&cli.DurationFlag{Name: "stall-limit", Usage: "`DURATION` without an event after which a board counts as broken", Value: client.DefaultStallLimit.Duration()},
			&cli.Uint64Flag{Name: "first-number", Usage: "`NUMBER` of the first request", Value: 1},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the random arrival times", Value: 1},
			traceFlag(),
		},
		Action: runClient,
	}
}

func runClient(ctx context.Context, command *cli.Command) error {
	var services [2]netip.AddrPort
	for i, flag := range []string{"grower-portal", "weighbridge"} {
		var err error
		if services[i], err = netip.ParseAddrPort(command.String(flag)); err != nil {
			return fmt.Errorf("--%s: want IP:PORT, got %q", flag, command.String(flag))
		}
	}
	roots, err := loadRoots(command.String("certificate-file"))
	if err != nil {
		return err
	}
	millis := func(flag string) clock.Millis { return clock.FromDuration(command.Duration(flag)) }
	encoder := json.NewEncoder(command.Root().Writer)
	traces, err := openTraces(command, "clients")
	if err != nil {
		return err
	}
	report, err := client.Run(ctx, client.Config{
		GrowerPortal: services[0], Weighbridge: services[1], Roots: roots, ServerName: command.String("server-name"),
		BookingRate: command.Float("booking-rate"), WeighInRate: command.Float("weigh-in-rate"), BoardRate: command.Float("board-rate"),
		Duration: millis("duration"), FinishTimeout: millis("finish-timeout"),
		ResponseTimeout: millis("answer-timeout"), StallLimit: millis("stall-limit"),
		FirstNumber: command.Uint64("first-number"), Seed: command.Uint64("seed"),
		Report: func(r client.Report) { _ = encoder.Encode(r) },
	})
	if err != nil {
		return err
	}
	if err := encoder.Encode(report); err != nil {
		return oops.Wrapf(err, "write report")
	}
	return closeTraces(traces)
}

// loadRoots reads the trusted root certificates from a PEM file.
func loadRoots(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.Code("certificate-unreadable").Wrapf(err, "read certificates")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, oops.Code("certificate-invalid").Errorf("%s: contains no certificate in PEM format", path)
	}
	return roots, nil
}
