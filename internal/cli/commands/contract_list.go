package commands

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/urfave/cli/v3"
)

func newContractListCommand() *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "list the customers with revision and ports",
		Flags: platformFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			client, err := newPlatformClient(command)
			if err != nil {
				return err
			}
			documents, err := client.Contracts(ctx)
			if err != nil {
				return err
			}
			if command.Bool(flagJSON) {
				return writeListJSON(command.Root().Writer, documents)
			}
			return writeList(command.Root().Writer, documents)
		},
	}
}

func writeListJSON(w io.Writer, documents []contract.Document) error {
	outputs := make([]documentOutput, len(documents))
	for i, d := range documents {
		outputs[i] = newDocumentOutput(d)
	}
	return writeJSON(w, outputs)
}

func writeList(w io.Writer, documents []contract.Document) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CUSTOMER\tREVISION\tPORTS")
	for _, d := range documents {
		fmt.Fprintf(table, "%s\t%d\t%s\n", d.Customer(), d.Revision(), portsOf(d))
	}
	return table.Flush()
}

func portsOf(d contract.Document) string {
	stored, ok := d.Contract()
	if !ok {
		return "deleted"
	}
	var ports []string
	for _, port := range stored.Ports() {
		ports = append(ports, strconv.Itoa(int(port)))
	}
	return strings.Join(ports, ",")
}
