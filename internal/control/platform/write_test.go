package platform_test

import (
	"context"
	"errors"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/control/platform"
	standin "github.com/orioledyke/orioledyke/internal/standin/platform"
)

// TestRevisions guards against a ConflictError that omits one of the two
// contracts, and against a re-created contract that starts again at revision 1
// or keeps ports claimed.
func TestRevisions(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server := newStandin(stoppedClock, nil)
	client := newClient("a", serve(server))
	first, err := client.PutContract(ctx, newContract("presa-digital", 4443, 4444), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(first.Revision(), qt.Equals, uint64(1))

	none := uint64(0)
	_, err = client.PutContract(ctx, newContract("presa-digital", 4445), &none)
	var conflict *platform.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	current, ok := conflict.Current()
	c.Assert(ok, qt.IsTrue)
	c.Assert(current.ChangeID(), qt.Equals, first.ChangeID())
	proposed, _ := conflict.Proposed().Contract()
	c.Assert(proposed.Ports(), qt.DeepEquals, []uint16{4445})

	_, err = client.PutContract(ctx, newContract("ferncliff-willow", 4444), nil)
	c.Assert(err, qt.ErrorMatches, `port 4444 belongs to customer "presa-digital"; nothing was written`)
	var claimed *platform.PortClaimedError
	c.Assert(errors.As(err, &claimed), qt.IsTrue)

	deleted, err := client.DeleteContract(ctx, "presa-digital", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(deleted.Deleted(), qt.IsTrue)
	_, err = client.DeleteContract(ctx, "presa-digital", nil)
	c.Assert(err, qt.ErrorMatches, `customer "presa-digital" has no contract`)
	_, err = client.PutContract(ctx, newContract("ferncliff-willow", 4444), nil)
	c.Assert(err, qt.IsNil)
	again, err := client.PutContract(ctx, newContract("presa-digital", 4443), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(again.Revision(), qt.Equals, uint64(3))
	documents, err := client.Contracts(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(documents, qt.HasLen, 2)
}

// TestLostResponseAndOutage guards against a change that is reported as failed
// or written twice because its response was lost, and against an outage that is
// not reported as "nothing was written".
func TestLostResponseAndOutage(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server := newStandin(stoppedClock, nil)
	client := newClient("a", serve(server))
	server.SetFaults(standin.Faults{LostResponses: 1})
	written, err := client.PutContract(ctx, newContract("presa-digital", 4443), nil)
	c.Assert(err, qt.IsNil)
	stored, err := client.Contract(ctx, "presa-digital")
	c.Assert(err, qt.IsNil)
	c.Assert(stored.Revision(), qt.Equals, uint64(1))
	c.Assert(stored.ChangeID(), qt.Equals, written.ChangeID())

	server.SetFaults(standin.Faults{Outage: true})
	_, err = client.PutContract(ctx, newContract("presa-digital", 4444), nil)
	c.Assert(err, qt.ErrorMatches, `nothing was written: platform: GET .*: status 503: .*`)
	var notWritten *platform.NotWrittenError
	c.Assert(errors.As(err, &notWritten), qt.IsTrue)
}

// TestUncertain guards against "nothing was written" for a transaction whose
// response was lost and whose outcome can no longer be determined by reading
// back.
func TestUncertain(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server := newStandin(stoppedClock, nil)
	other := newClient("b", serve(server))
	client := newClient("a", roundTrip(func(r *http.Request) (*http.Response, error) {
		response, err := serve(server)(r)
		if r.Method == http.MethodPut {
			_, putErr := other.PutContract(ctx, newContract("presa-digital", 4444), nil)
			c.Assert(putErr, qt.IsNil)
			return nil, errConnectionLost
		}
		return response, err
	}))
	_, err := client.PutContract(ctx, newContract("presa-digital", 4443), nil)
	var uncertain *platform.UncertainError
	c.Assert(errors.As(err, &uncertain), qt.IsTrue)
	c.Assert(uncertain.Proposed().ChangeID(), qt.Equals, "a-1")
	var conflict *platform.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
}

// TestDelayedTransactionFailsAfterPortClaim guards against a PortClaimedError,
// which says that nothing was written, for a transaction that is delayed in the
// network and takes effect once the port is released.
func TestDelayedTransactionFailsAfterPortClaim(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server := newStandin(stoppedClock, nil)
	other := newClient("b", serve(server))
	var delayed *http.Request
	callGate := newGate()
	client := newClient("a", callGate.transport())
	done := make(chan error)
	go func() {
		_, err := client.PutContract(ctx, newContract("presa-digital", 4443), nil)
		done <- err
	}()
	var err error
	for finished := false; !finished; {
		select {
		case r := <-callGate.calls:
			respond := serve(server)
			if r.Method == http.MethodPut {
				delayed = r
				_, putErr := other.PutContract(ctx, newContract("ferncliff-willow", 4443), nil)
				c.Assert(putErr, qt.IsNil)
				respond = func(*http.Request) (*http.Response, error) { return nil, context.DeadlineExceeded }
			}
			callGate.responses <- respond
		case err = <-done:
			finished = true
		}
	}
	var claimed *platform.PortClaimedError
	c.Assert(errors.As(err, &claimed), qt.IsTrue)
	_, err = other.DeleteContract(ctx, "ferncliff-willow", nil)
	c.Assert(err, qt.IsNil)
	response, err := serve(server)(delayed)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusConflict)
}

// TestWrongToken guards against a command that repeats a call that cannot
// succeed.
func TestWrongToken(t *testing.T) {
	c := qt.New(t)
	server := standin.NewServer(standin.Config{Token: "secret"})
	calls := 0
	client := newClient("a", roundTrip(func(r *http.Request) (*http.Response, error) {
		calls++
		return serve(server)(r)
	}))
	_, err := client.PutContract(context.Background(), newContract("presa-digital", 4443), nil)
	c.Assert(err, qt.ErrorMatches, `nothing was written: .*status 403: ACL not found`)
	c.Assert(calls, qt.Equals, 1)
}
