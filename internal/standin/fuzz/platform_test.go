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
	// written are the customers whose contracts operators write. The second one
	// has no sidecars, so its contract can be deleted.
	written = []string{customer, "ferncliff-willow"}
)

// writeFault is what happens to one write of an operator.
type writeFault int

const (
	faultNone writeFault = iota
	// faultLostAnswer applies the write and loses its response.
	faultLostAnswer
	// faultLate loses the write, which arrives after the operator has given up.
	faultLate
	// faultRace lets another operator write between read and write.
	faultRace
	writeFaults
)

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// fakePlatform is the stand-in without sockets. Calls take no time.
type fakePlatform struct {
	w       *world
	server  *standin.Server
	client  *platform.Client
	outage  bool
	changes int
	commits int
	values  map[string]string
	late    []*http.Request
}

func newPlatform(w *world) *fakePlatform {
	f := &fakePlatform{w: w, values: map[string]string{}}
	f.server = standin.NewServer(standin.Config{Now: func() clock.Millis { return w.now }})
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

// serve handles a call and tells the oracle which contract it changed.
func (f *fakePlatform) serve(r *http.Request) *http.Response {
	recorder := httptest.NewRecorder()
	f.server.Handler().ServeHTTP(recorder, r)
	if r.Method == http.MethodGet {
		return recorder.Result()
	}
	for _, name := range written {
		value, ok := f.server.Value("contracts/" + name)
		if !ok || string(value) == f.values[name] {
			continue
		}
		f.values[name] = string(value)
		f.commits++
		f.w.oracle.committed(name, value)
	}
	return recorder.Result()
}

// write lets an operator write a contract whose variant is its number of slots,
// or delete it (variant 0).
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
		case faultLostAnswer:
			f.serve(copied)
			return nil, errLost
		case faultLate:
			f.late = append(f.late, copied)
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
		d, err = client.PutContract(context.Background(), variantOf(name, max(variant, 1)), nil)
	}
	f.w.oracle.reported(name, d.Revision(), d.ChangeID(), err)
}

// arriveLate delivers the oldest late write.
func (f *fakePlatform) arriveLate() {
	if len(f.late) > 0 && !f.outage {
		r := f.late[0]
		f.late = f.late[1:]
		f.serve(r)
	}
}

func variantOf(name string, slots int) contract.Contract {
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

// readPlatform does what a reader does: it reads all contracts once, and again
// when the watch tells of a change.
func (p *process) readPlatform() {
	f := p.w.platform
	if !p.reader {
		p.readSince = -1
		return
	}
	if f.outage || !p.w.decisions.reads(p) {
		return
	}
	documents, err := f.client.Contracts(context.Background())
	if err != nil {
		panic(err)
	}
	p.readSince = f.commits
	for _, d := range documents {
		encoded, err := d.Encode()
		if err != nil {
			panic(err)
		}
		c := membership.Contract{Customer: d.Customer(), Revision: d.Revision(), Document: encoded}
		p.w.apply(p, p.balancer.Publish(p.w.now, c))
	}
	p.w.apply(p, p.balancer.MarkComplete(p.w.now))
}
