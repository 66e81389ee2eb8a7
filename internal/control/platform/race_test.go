package platform_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"testing"

	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/orioledyke/orioledyke/internal/control/platform"
	standin "github.com/orioledyke/orioledyke/internal/standin/platform"
	"pgregory.net/rapid"
)

// The seed is fixed so that every run gives the same verdict; a flag overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var (
	customers = []string{"ferncliff-willow", "presa-digital"}
	ports     = []uint16{4443, 4444, 4445, 4446}
)

// writer runs one command at a time. Its goroutine runs only between two of its
// calls, while the test waits for it.
type writer struct {
	gate    *gate
	client  *platform.Client
	pending *http.Request
	done    chan outcome
	// changeID is that of the current command.
	changeID string
}

type outcome struct {
	document contract.Document
	err      error
}

// fleet is the model: the history of each customer as stored, and what the
// commands reported.
type fleet struct {
	server  *standin.Server
	writers []*writer
	// late holds writes whose callers have given up but that still arrive.
	late    []*http.Request
	history map[string][]contract.Document
	written []contract.Document
	refused map[string]error
}

func newFleet() *fleet {
	f := &fleet{
		server:  newStandin(stopped, nil),
		history: make(map[string][]contract.Document), refused: make(map[string]error),
	}
	for _, name := range []string{"a", "b", "c"} {
		g := newGate()
		w := &writer{gate: g, done: make(chan outcome)}
		changes := 0
		config := testConfig(g.transport())
		config.NewChangeID = func() string {
			changes++
			w.changeID = fmt.Sprintf("%s-%d", name, changes)
			return w.changeID
		}
		w.client = platform.New(config)
		f.writers = append(f.writers, w)
	}
	return f
}

// await blocks until the writer makes its next call or its command ends.
func (f *fleet) await(w *writer) {
	w.pending = nil
	select {
	case w.pending = <-w.gate.calls:
	case o := <-w.done:
		f.record(w, o)
	}
}

// record keeps what a command reported. Every error but an uncertain one says
// that nothing was written.
func (f *fleet) record(w *writer, o outcome) {
	var uncertain *platform.UncertainError
	switch {
	case o.err == nil:
		f.written = append(f.written, o.document)
	case !errors.As(o.err, &uncertain):
		f.refused[w.changeID] = o.err
	}
}

func (f *fleet) idle() []*writer {
	return f.choose(func(w *writer) bool { return w.pending == nil })
}

func (f *fleet) busy() []*writer {
	return f.choose(func(w *writer) bool { return w.pending != nil })
}

func (f *fleet) choose(match func(*writer) bool) []*writer {
	var selected []*writer
	for _, w := range f.writers {
		if match(w) {
			selected = append(selected, w)
		}
	}
	return selected
}

func (f *fleet) start(t *rapid.T) {
	idle := f.idle()
	if len(idle) == 0 {
		// Here and below, Skip makes rapid draw another step; the test goes on.
		t.Skip("all writers are busy")
	}
	w := rapid.SampledFrom(idle).Draw(t, "writer")
	customer := rapid.SampledFrom(customers).Draw(t, "customer")
	chosen := rapid.SliceOfNDistinct(rapid.SampledFrom(ports), 1, 3, rapid.ID).Draw(t, "ports")
	expected := f.drawExpected(t, customer)
	deletion := rapid.IntRange(0, 3).Draw(t, "deletion") == 0
	go func() {
		var o outcome
		if deletion {
			o.document, o.err = w.client.DeleteContract(context.Background(), customer, expected)
		} else {
			o.document, o.err = w.client.PutContract(context.Background(), parse(customer, chosen...), expected)
		}
		w.done <- o
	}()
	f.await(w)
}

func (f *fleet) drawExpected(t *rapid.T, customer string) *uint64 {
	if rapid.Bool().Draw(t, "any-revision") {
		return nil
	}
	revision := uint64(len(f.history[customer]))
	if revision > 0 && rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		revision--
	}
	return &revision
}

// step lets one pending call proceed with one of the faults.
func (f *fleet) step(t *rapid.T) {
	busy := f.busy()
	if len(busy) == 0 {
		t.Skip("no writer is busy")
	}
	w := rapid.SampledFrom(busy).Draw(t, "writer")
	answer := serve(f.server)
	switch rapid.SampledFrom([]string{"normal", "normal", "normal", "outage", "lost", "unsent", "late"}).Draw(t, "fate") {
	case "outage":
		f.server.SetSwitches(standin.Switches{Outage: true})
	case "lost":
		f.server.SetSwitches(standin.Switches{LostResponses: 1})
	case "unsent":
		answer = func(*http.Request) (*http.Response, error) { return nil, errLost }
	case "late":
		f.late = append(f.late, w.pending)
		answer = func(*http.Request) (*http.Response, error) { return nil, context.DeadlineExceeded }
	}
	w.gate.answers <- answer
	f.await(w)
	f.server.SetSwitches(standin.Switches{})
}

// arrive lets a write take effect whose caller has given up.
func (f *fleet) arrive(t *rapid.T) {
	if len(f.late) == 0 {
		t.Skip("no late call")
	}
	i := rapid.IntRange(0, len(f.late)-1).Draw(t, "late")
	_, _ = serve(f.server)(f.late[i])
	f.late = append(f.late[:i], f.late[i+1:]...)
}

// check compares the stand-in with the model after every action.
func (f *fleet) check(t *rapid.T) {
	owners := make(map[uint16]string)
	for _, customer := range customers {
		data, ok := f.server.Value("contracts/" + customer)
		if !ok {
			continue
		}
		d, err := contract.ParseDocument(customer, data)
		if err != nil {
			t.Fatal(err)
		}
		f.extend(t, customer, d)
		held, _ := d.Contract()
		for _, port := range held.Ports() {
			if owners[port] != "" {
				t.Fatalf("port %d belongs to %s and %s", port, owners[port], customer)
			}
			owners[port] = customer
		}
	}
	for _, port := range ports {
		owner, _ := f.server.Value(fmt.Sprintf("addresses/%d", port))
		if string(owner) != owners[port] {
			t.Fatalf("port %d is claimed by %q but used by %q", port, owner, owners[port])
		}
	}
	for _, d := range f.written {
		f.checkWritten(t, d)
	}
	f.checkRefused(t)
}

func (f *fleet) checkRefused(t *rapid.T) {
	for _, history := range f.history {
		for _, d := range history {
			if err := f.refused[d.ChangeID()]; err != nil {
				t.Fatalf("change %s is stored but was reported as: %v", d.ChangeID(), err)
			}
		}
	}
}

func (f *fleet) extend(t *rapid.T, customer string, d contract.Document) {
	history := f.history[customer]
	last := uint64(len(history))
	if d.Revision() == last && d.ChangeID() == history[last-1].ChangeID() {
		return
	}
	if d.Revision() != last+1 {
		t.Fatalf("revision %d of %s follows %d", d.Revision(), customer, last)
	}
	f.history[customer] = append(history, d)
}

func (f *fleet) checkWritten(t *rapid.T, d contract.Document) {
	history := f.history[d.Customer()]
	if d.Revision() > uint64(len(history)) || history[d.Revision()-1].ChangeID() != d.ChangeID() {
		t.Fatalf("change %s was reported as written at revision %d but is not stored", d.ChangeID(), d.Revision())
	}
}

// finish completes all commands, so that no goroutine is left.
func (f *fleet) finish(t *rapid.T) {
	for _, w := range f.writers {
		for w.pending != nil {
			w.gate.answers <- serve(f.server)
			f.await(w)
			f.check(t)
		}
	}
}

// Guards against a revision that is lost or used twice, a success that is not
// written, and a conflict that is, when commands race over a faulty platform.
func TestWritersRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		defer f.finish(t)
		t.Repeat(map[string]func(*rapid.T){
			"start": f.start, "step": f.step, "step-again": f.step, "arrive": f.arrive, "": f.check,
		})
	})
}
