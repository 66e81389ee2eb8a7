package fuzz_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/orioledyke/orioledyke/internal/control/membership"
	"github.com/orioledyke/orioledyke/internal/control/platform"
	standin "github.com/orioledyke/orioledyke/internal/standin/platform"
)

var (
	errLost    = errors.New("connection lost")
	errRefused = &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}
	// contractCustomers are the customers whose contracts operators write. The
	// second one has no sidecars, so its contract can be deleted.
	contractCustomers = []string{customer, "ferncliff-willow"}
)

// writeFault is a fault that affects one write of an operator.
type writeFault int

const (
	faultNone writeFault = iota
	// faultLostResponse applies the write and loses the response.
	faultLostResponse
	// faultLate delays the write until after the operator's request has failed.
	faultLate
	// faultRace lets another operator write the contract between the read and the
	// write.
	faultRace
	writeFaultCount
)

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// fakePlatform runs the stand-in platform without sockets. Its calls take no virtual
// time.
type fakePlatform struct {
	sim    *simulation
	server *standin.Server
	client *platform.Client
	outage bool
	// changes counts the change IDs that were created.
	changes int
	// commits counts the contract changes that the platform has stored.
	commits int
	// stored holds the stored contracts by customer.
	stored map[string]string
	// lateWrites holds the writes that faultLate has delayed.
	lateWrites []*http.Request
}

func newPlatform(sim *simulation) *fakePlatform {
	f := &fakePlatform{sim: sim, stored: map[string]string{}}
	f.server = standin.NewServer(standin.Config{Now: func() clock.Millis { return sim.now }})
	f.client = f.newClient(f.call)
	return f
}

func (f *fakePlatform) newClient(t roundTrip) *platform.Client {
	return platform.New(platform.Config{
		Address: "http://platform", Transport: t,
		Sleep:  func(ctx context.Context, _ clock.Millis) error { return ctx.Err() },
		Random: func() float64 { return 0.5 },
		NewChangeID: func() string {
			f.changes++
			return fmt.Sprintf("change-%d", f.changes)
		},
	})
}

func (f *fakePlatform) call(r *http.Request) (*http.Response, error) {
	if f.outage {
		return nil, errRefused
	}
	return f.serve(r), nil
}

// serve handles a call and reports each changed contract to the oracle.
func (f *fakePlatform) serve(r *http.Request) *http.Response {
	recorder := httptest.NewRecorder()
	f.server.Handler().ServeHTTP(recorder, r)
	if r.Method == http.MethodGet {
		return recorder.Result()
	}
	for _, name := range contractCustomers {
		value, ok := f.server.Value("contracts/" + name)
		if !ok || string(value) == f.stored[name] {
			continue
		}
		f.stored[name] = string(value)
		f.commits++
		f.sim.oracle.contractCommitted(name, value)
	}
	return recorder.Result()
}

// write makes an operator write a contract. The variant is the number of slots of each
// service. Variant 0 deletes the contract if its customer has no sidecars, and otherwise
// equals variant 1.
func (f *fakePlatform) write(name string, variant int, fault writeFault) {
	pending := fault
	client := f.newClient(func(r *http.Request) (*http.Response, error) {
		if f.outage || r.Method == http.MethodGet || pending == faultNone {
			return f.call(r)
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		copied := r.Clone(context.Background())
		copied.Body = io.NopCloser(strings.NewReader(string(body)))
		defer func() { pending = faultNone }()
		switch pending {
		case faultLostResponse:
			f.serve(copied)
			return nil, errLost
		case faultLate:
			f.lateWrites = append(f.lateWrites, copied)
			return nil, errLost
		default:
			f.write(name, variant%4+1, faultNone)
			return f.serve(copied), nil
		}
	})
	var d contract.Document
	var err error
	if variant == 0 && name != customer {
		d, err = client.DeleteContract(context.Background(), name, nil)
	} else {
		d, err = client.PutContract(context.Background(), contractVariant(name, max(variant, 1)), nil)
	}
	f.sim.oracle.writeReported(name, d.Revision(), d.ChangeID(), err)
}

// deliverLateWrite delivers the oldest delayed write, unless the platform is
// unavailable.
func (f *fakePlatform) deliverLateWrite() {
	if len(f.lateWrites) > 0 && !f.outage {
		r := f.lateWrites[0]
		f.lateWrites = f.lateWrites[1:]
		f.serve(r)
	}
}

func contractVariant(name string, slots int) contract.Contract {
	var text strings.Builder
	fmt.Fprintf(&text, "customer: %s\nservices:\n", name)
	port := 4443
	if name != customer {
		port = 5443
	}
	for i, service := range services {
		fmt.Fprintf(&text, `- name: %s
  port: %d
  slots: %d
  flows: 100
  kinds:
  - {name: booking, method: POST, path-prefix: /bookings, urgency: 9, guaranteed-share: 0.5, ceiling: 1, deadline-ms: 5000}
  - {name: weigh-in, method: PUT, path-prefix: /weigh-ins, urgency: 1, guaranteed-share: 0.1, ceiling: 0.8, deadline-ms: 5000, repeatable: true}
`, service, port+i, slots)
	}
	parsed, err := contract.Parse([]byte(text.String()))
	if err != nil {
		panic(err)
	}
	return parsed
}

// readContracts does the work of the balancer that is the reader. It reads all contracts
// once, and again after each change of a contract. A real reader learns of a change from
// its watch.
func (p *process) readContracts() {
	f := p.sim.platform
	if !p.reader {
		p.readCommits = -1
		return
	}
	if f.outage || !p.sim.decisions.readsContracts(p) {
		return
	}
	documents, err := f.client.Contracts(context.Background())
	if err != nil {
		panic(err)
	}
	p.readCommits = f.commits
	for _, d := range documents {
		encoded, err := d.Encode()
		if err != nil {
			panic(err)
		}
		c := membership.Contract{Customer: d.Customer(), Revision: d.Revision(), Document: encoded}
		p.sim.apply(p, p.balancer.Publish(p.sim.now, c))
	}
	p.sim.apply(p, p.balancer.MarkComplete(p.sim.now))
}
