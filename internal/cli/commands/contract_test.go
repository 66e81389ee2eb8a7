package commands_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"

	"github.com/orioledyke/orioledyke/internal/cli/commands"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	standin "github.com/orioledyke/orioledyke/internal/standin/platform"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
	"github.com/rogpeppe/go-internal/testscript"
)

// TestSessions guards against changes in the contract commands that operators and
// programs would notice. It runs whole sessions against the platform stand-in.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/contract",
		Setup: func(env *testscript.Env) error {
			server := standin.NewServer(standin.Config{Token: "secret"})
			listener := httptest.NewServer(server.Handler())
			env.Defer(listener.Close)
			env.Setenv("PLATFORM", listener.URL)
			env.Values["server"] = server
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"operator":     runCommand,
			"lose-answers": loseResponses,
		},
	})
}

func runCommand(ts *testscript.TestScript, negated bool, arguments []string) {
	dependencies := commands.Dependencies{BalancerStatuses: statuses}
	code := commands.RunWith(context.Background(), dependencies, append([]string{"orioledyke"}, arguments...), ts.Stdout(), ts.Stderr())
	if negated != (code != 0) {
		ts.Fatalf("exit code %d", code)
	}
}

// loseResponses makes the platform apply the next n writes without responding. The
// first argument is n.
func loseResponses(ts *testscript.TestScript, _ bool, arguments []string) {
	n, err := strconv.Atoi(arguments[0])
	ts.Check(err)
	ts.Value("server").(*standin.Server).SetFaults(standin.Faults{LostResponses: n})
}

// statuses returns entries for three balancers: one is up to date, one has an older
// revision, and one does not respond.
func statuses(_ context.Context, seed netip.AddrPort, _ *keyring.Store, customer string) ([]commands.BalancerStatus, error) {
	var balancers []commands.BalancerStatus
	for i, revision := range []uint64{3, 2} {
		balancers = append(balancers, commands.BalancerStatus{
			Host: fmt.Sprintf("%s-%d", seed.Addr(), i), DataCentre: "hope",
			Response: &controlpb.StatusResponse{
				Ready:     true,
				Contracts: []*controlpb.ContractStatus{{Customer: customer, Revision: revision}},
			},
		})
	}
	return append(balancers, commands.BalancerStatus{Host: "silent", DataCentre: "agassiz", Err: errors.New("deadline exceeded")}), nil
}
