package commands

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/orioledyke/orioledyke/internal/control/platform"
	"github.com/urfave/cli/v3"
)

const (
	flagPlatform  = "platform"
	flagTokenFile = "token-file"
	flagJSON      = "json"
	flagExpect    = "expect-revision"
)

func newContractCommand(dependencies Dependencies) *cli.Command {
	return &cli.Command{
		Name:  "contract",
		Usage: "write and read contracts",
		Commands: []*cli.Command{
			newContractPutCommand(),
			newContractGetCommand(),
			newContractListCommand(),
			newContractDeleteCommand(),
			newContractStatusCommand(dependencies),
		},
	}
}

func platformFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: flagPlatform, Usage: "base `URL` of the platform's key-value service", Required: true},
		&cli.StringFlag{Name: flagTokenFile, Usage: "`FILE` that holds the token for the platform"},
		jsonFlag(),
	}, more...)
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: flagJSON, Usage: "write JSON"}
}

func expectFlag() cli.Flag {
	return &cli.Uint64Flag{Name: flagExpect, Usage: "replace only revision `N`; 0 means that there is no contract"}
}

// expectedRevision returns the value of the flag, or nil if it is not given.
func expectedRevision(command *cli.Command) *uint64 {
	if !command.IsSet(flagExpect) {
		return nil
	}
	revision := command.Uint64(flagExpect)
	return &revision
}

func newPlatformClient(command *cli.Command) (*platform.Client, error) {
	config := platform.Config{
		Address: command.String(flagPlatform),
		Report: func(err error) {
			_, _ = fmt.Fprintln(command.Root().ErrWriter, "orioledyke: "+err.Error())
		},
	}
	if path := command.String(flagTokenFile); path != "" {
		token, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("--%s: %w", flagTokenFile, err)
		}
		config.Token = strings.TrimSpace(string(token))
	}
	return platform.New(config), nil
}

// onlyArgument returns the single argument of a command.
func onlyArgument(command *cli.Command, name string) (string, error) {
	if command.Args().Len() != 1 {
		return "", fmt.Errorf("%s: want exactly one argument %s", command.FullName(), name)
	}
	return command.Args().First(), nil
}

func customerArgument(command *cli.Command) (string, error) {
	customer, err := onlyArgument(command, "CUSTOMER")
	if err != nil {
		return "", err
	}
	if !contract.ValidName(customer) {
		return "", fmt.Errorf("CUSTOMER: %q is not allowed; want lower-case letters, digits and hyphens", customer)
	}
	return customer, nil
}

// revisionOutput is the JSON output for a document without its contract.
type revisionOutput struct {
	Customer string `json:"customer"`
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change-id"`
	Deleted  bool   `json:"deleted"`
}

// documentOutput is the JSON output for a document. Contract is nil if the contract is
// deleted.
type documentOutput struct {
	revisionOutput
	Contract *contract.Contract `json:"contract,omitempty"`
}

// conflictOutput is the JSON output for a write that conflicts with another one.
// Current is nil if there is no contract.
type conflictOutput struct {
	Error    string          `json:"error"`
	Current  *documentOutput `json:"current"`
	Proposed documentOutput  `json:"proposed"`
}

func newRevisionOutput(d contract.Document) revisionOutput {
	return revisionOutput{Customer: d.Customer(), Revision: d.Revision(), ChangeID: d.ChangeID(), Deleted: d.Deleted()}
}

func newDocumentOutput(d contract.Document) documentOutput {
	output := documentOutput{revisionOutput: newRevisionOutput(d)}
	if stored, ok := d.Contract(); ok {
		output.Contract = &stored
	}
	return output
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// writeDocument writes a contract as YAML that the command contract put accepts. The
// first line is a comment with the revision. It is the only line if the contract is
// deleted.
func writeDocument(w io.Writer, title string, d contract.Document) error {
	stored, ok := d.Contract()
	if !ok {
		_, err := fmt.Fprintf(w, "# %srevision %d, change-id %s, deleted\n", title, d.Revision(), d.ChangeID())
		return err
	}
	encoded, err := stored.MarshalYAML()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "# %srevision %d, change-id %s\n%s", title, d.Revision(), d.ChangeID(), encoded)
	return err
}

// reportWrite prints the outcome of a write. After a conflict it prints both documents
// and returns the error.
func reportWrite(command *cli.Command, d contract.Document, err error) error {
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		return errors.Join(err, reportConflict(command, conflict, err))
	case err != nil:
		return err
	case command.Bool(flagJSON):
		return writeJSON(command.Root().Writer, newRevisionOutput(d))
	}
	verb := "written"
	if d.Deleted() {
		verb = "deleted"
	}
	_, err = fmt.Fprintf(command.Root().Writer, "%s: %s at revision %d\n", d.Customer(), verb, d.Revision())
	return err
}

func reportConflict(command *cli.Command, conflict *platform.ConflictError, reason error) error {
	w := command.Root().Writer
	current, ok := conflict.Current()
	if command.Bool(flagJSON) {
		output := conflictOutput{Error: reason.Error(), Proposed: newDocumentOutput(conflict.Proposed())}
		if ok {
			currentOutput := newDocumentOutput(current)
			output.Current = &currentOutput
		}
		return writeJSON(w, output)
	}
	if ok {
		if err := writeDocument(w, "current: ", current); err != nil {
			return err
		}
	}
	return writeDocument(w, "proposed: ", conflict.Proposed())
}
