package platform_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/orioledyke/orioledyke/internal/control/platform"
	standin "github.com/orioledyke/orioledyke/internal/standin/platform"
)

var errConnectionLost = errors.New("connection lost")

// roundTrip is a function that implements http.RoundTripper.
type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// serve returns a transport that calls the stand-in without a socket. An
// aborted handler counts as a lost response.
func serve(server *standin.Server) roundTrip {
	return func(r *http.Request) (response *http.Response, err error) {
		defer func() {
			if recover() != nil {
				err = errConnectionLost
			}
		}()
		if err := r.Context().Err(); err != nil {
			return nil, err
		}
		recorder := httptest.NewRecorder()
		server.Handler().ServeHTTP(recorder, r)
		return recorder.Result(), nil
	}
}

// newStandin returns a stand-in. Its blocking queries end with a change or with
// a value from expired.
func newStandin(now func() clock.Millis, expired <-chan time.Time) *standin.Server {
	return standin.NewServer(standin.Config{
		Now: now, After: func(clock.Millis) <-chan time.Time { return expired },
	})
}

func stoppedClock() clock.Millis { return 0 }

// testConfig returns the configuration of a client that never sleeps. Its call
// timeout is longer than any test.
func testConfig(transport http.RoundTripper) platform.Config {
	return platform.Config{
		Address: "http://platform", Transport: transport, CallTimeout: clock.Minute * 60,
		Sleep:  func(ctx context.Context, _ clock.Millis) error { return ctx.Err() },
		Random: func() float64 { return 0.5 },
	}
}

// newClient returns a client whose change identifiers are name-1, name-2 and so
// on.
func newClient(name string, transport http.RoundTripper) *platform.Client {
	config := testConfig(transport)
	changes := 0
	config.NewChangeID = func() string {
		changes++
		return fmt.Sprintf("%s-%d", name, changes)
	}
	return platform.New(config)
}

// controlledSleep implements Config.Sleep. It reports each sleep, which lasts
// until the test ends it.
type controlledSleep struct {
	started chan clock.Millis
	end     chan struct{}
}

func newControlledSleep() *controlledSleep {
	return &controlledSleep{started: make(chan clock.Millis), end: make(chan struct{})}
}

func (cs *controlledSleep) sleep(ctx context.Context, d clock.Millis) error {
	cs.started <- d
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-cs.end:
		return nil
	}
}

func newContract(customer string, ports ...uint16) contract.Contract {
	var text strings.Builder
	fmt.Fprintf(&text, "customer: %s\nservices:\n", customer)
	for _, port := range ports {
		fmt.Fprintf(&text, "- {name: s%d, port: %d, slots: 1, flows: 1, kinds: [{name: k, method: GET, path-prefix: /, stream: true}]}\n", port, port)
	}
	parsed, err := contract.Parse([]byte(text.String()))
	if err != nil {
		panic(err)
	}
	return parsed
}

// gate lets a test decide when each call of one client proceeds and how it
// ends.
type gate struct {
	calls     chan *http.Request
	responses chan func(*http.Request) (*http.Response, error)
}

func newGate() *gate {
	return &gate{calls: make(chan *http.Request), responses: make(chan func(*http.Request) (*http.Response, error))}
}

func (g *gate) transport() roundTrip {
	return func(r *http.Request) (*http.Response, error) {
		// The body is read now, because a delayed call outlives its request.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		copied := r.Clone(context.WithoutCancel(r.Context()))
		copied.Body = io.NopCloser(strings.NewReader(string(body)))
		g.calls <- copied
		return (<-g.responses)(copied)
	}
}

// nothingHeld is the ContractWatch.Held of a process without contracts in effect.
func nothingHeld(string) (contract.Document, bool) { return contract.Document{}, false }
