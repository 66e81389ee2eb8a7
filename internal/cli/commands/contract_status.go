package commands

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"text/tabwriter"

	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
	"github.com/urfave/cli/v3"
)

const (
	flagSeed    = "seed"
	flagKeyRing = "key-ring"
)

// BalancerStatus is the response of one balancer to a status request. Response is
// meaningful only if Err is nil.
type BalancerStatus struct {
	Host       string
	DataCentre string
	Response   *controlpb.StatusResponse
	Err        error
}

// statusOutput is the JSON output for the status of a contract.
type statusOutput struct {
	Customer string             `json:"customer"`
	Revision uint64             `json:"revision"`
	InEffect bool               `json:"in-effect-everywhere"`
	Hosts    []hostStatusOutput `json:"hosts"`
}

type hostStatusOutput struct {
	Host       string `json:"host"`
	DataCentre string `json:"data-centre"`
	Revision   uint64 `json:"revision"`
	Ready      bool   `json:"ready"`
	InEffect   bool   `json:"in-effect"`
	Error      string `json:"error,omitempty"`
}

func newContractStatusCommand(dependencies Dependencies) *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show which hosts have the newest revision in effect",
		ArgsUsage: "CUSTOMER",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagSeed, Usage: "control `ADDRESS` of any balancer", Required: true},
			&cli.StringFlag{Name: flagKeyRing, Usage: "`FILE` that holds the key ring", Required: true},
			&cli.StringFlag{Name: flagPlatform, Usage: "base `URL` of the platform, whose revision is then also compared"},
			&cli.StringFlag{Name: flagTokenFile, Usage: "`FILE` that holds the token for the platform"},
			jsonFlag(),
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			output, err := contractStatus(ctx, command, dependencies)
			if err != nil {
				return err
			}
			if command.Bool(flagJSON) {
				return writeJSON(command.Root().Writer, output)
			}
			return writeStatus(command.Root().Writer, output)
		},
	}
}

func contractStatus(ctx context.Context, command *cli.Command, dependencies Dependencies) (statusOutput, error) {
	customer, err := customerArgument(command)
	if err != nil {
		return statusOutput{}, err
	}
	seed, err := netip.ParseAddrPort(command.String(flagSeed))
	if err != nil {
		return statusOutput{}, fmt.Errorf("--%s: %q is not allowed; want an IP address and port", flagSeed, command.String(flagSeed))
	}
	ring, err := keyring.Load(command.String(flagKeyRing))
	if err != nil {
		return statusOutput{}, err
	}
	stored, err := platformRevision(ctx, command, customer)
	if err != nil {
		return statusOutput{}, err
	}
	balancers, err := dependencies.BalancerStatuses(ctx, seed, keyring.NewStore(ring), customer)
	if err != nil {
		return statusOutput{}, err
	}
	return newStatusOutput(customer, stored, balancers), nil
}

// platformRevision returns the revision in the platform, or 0 if --platform is not set.
func platformRevision(ctx context.Context, command *cli.Command, customer string) (uint64, error) {
	if !command.IsSet(flagPlatform) {
		return 0, nil
	}
	client, err := newPlatformClient(command)
	if err != nil {
		return 0, err
	}
	d, err := client.Contract(ctx, customer)
	return d.Revision(), err
}

// newStatusOutput compares the revision of each host with the newest revision, which is
// the highest of stored and the revisions of all hosts.
func newStatusOutput(customer string, stored uint64, balancers []BalancerStatus) statusOutput {
	output := statusOutput{Customer: customer, Revision: stored, Hosts: make([]hostStatusOutput, len(balancers))}
	for i, b := range balancers {
		output.Hosts[i] = newHostStatusOutput(customer, b)
		output.Revision = max(output.Revision, output.Hosts[i].Revision)
	}
	output.InEffect = output.Revision > 0 && len(balancers) > 0
	for i := range output.Hosts {
		h := &output.Hosts[i]
		h.InEffect = h.Error == "" && output.Revision > 0 && h.Revision == output.Revision
		output.InEffect = output.InEffect && h.InEffect
	}
	return output
}

func newHostStatusOutput(customer string, b BalancerStatus) hostStatusOutput {
	output := hostStatusOutput{Host: b.Host, DataCentre: b.DataCentre}
	if b.Err != nil {
		output.Error = b.Err.Error()
		return output
	}
	output.Ready = b.Response.GetReady()
	for _, c := range b.Response.GetContracts() {
		if c.GetCustomer() == customer {
			output.Revision = c.GetRevision()
		}
	}
	return output
}

func writeStatus(w io.Writer, output statusOutput) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "HOST\tDATA CENTRE\tREVISION\tSTATE")
	inEffect := 0
	for _, h := range output.Hosts {
		state := "older revision"
		switch {
		case h.Error != "":
			state = "no answer: " + h.Error
		case h.InEffect:
			state = "in effect"
			inEffect++
		}
		if h.Error == "" && !h.Ready {
			state += ", not ready"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", h.Host, h.DataCentre, h.Revision, state)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%s: revision %d in effect on %d of %d balancers\n", output.Customer, output.Revision, inEffect, len(output.Hosts))
	return err
}
