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

// The seed is fixed, so that every run has the same result. A flag overrides
// it.
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
// HTTP calls, while the test waits for it.
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

// model holds the history of each customer's stored documents and the results
// that the commands reported.
type model struct {
	server  *standin.Server
	writers []*writer
	// delayed holds the delayed calls. Their callers have timed out, but the
	// server may still receive them.
	delayed   []*http.Request
	history   map[string][]contract.Document
	succeeded []contract.Document
	// notWritten maps the changes that were reported as not written to their
	// errors.
	notWritten map[string]error
}

func newModel() *model {
	m := &model{
		server:  newStandin(stoppedClock, nil),
		history: make(map[string][]contract.Document), notWritten: make(map[string]error),
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
		m.writers = append(m.writers, w)
	}
	return m
}

// await blocks until the writer makes its next call or its command ends.
func (m *model) await(w *writer) {
	w.pending = nil
	select {
	case w.pending = <-w.gate.calls:
	case o := <-w.done:
		m.recordOutcome(w, o)
	}
}

// recordOutcome records the result that a command reported. Every error except
// UncertainError states that nothing was written.
func (m *model) recordOutcome(w *writer, o outcome) {
	var uncertain *platform.UncertainError
	switch {
	case o.err == nil:
		m.succeeded = append(m.succeeded, o.document)
	case !errors.As(o.err, &uncertain):
		m.notWritten[w.changeID] = o.err
	}
}

func (m *model) idle() []*writer {
	return m.choose(func(w *writer) bool { return w.pending == nil })
}

func (m *model) busy() []*writer {
	return m.choose(func(w *writer) bool { return w.pending != nil })
}

func (m *model) choose(match func(*writer) bool) []*writer {
	var selected []*writer
	for _, w := range m.writers {
		if match(w) {
			selected = append(selected, w)
		}
	}
	return selected
}

func (m *model) start(t *rapid.T) {
	idle := m.idle()
	if len(idle) == 0 {
		// Skip, here and below, makes rapid draw another step. The test goes
		// on.
		t.Skip("all writers are busy")
	}
	w := rapid.SampledFrom(idle).Draw(t, "writer")
	customer := rapid.SampledFrom(customers).Draw(t, "customer")
	chosen := rapid.SliceOfNDistinct(rapid.SampledFrom(ports), 1, 3, rapid.ID).Draw(t, "ports")
	expected := m.drawExpected(t, customer)
	deletion := rapid.IntRange(0, 3).Draw(t, "deletion") == 0
	go func() {
		var o outcome
		if deletion {
			o.document, o.err = w.client.DeleteContract(context.Background(), customer, expected)
		} else {
			o.document, o.err = w.client.PutContract(context.Background(), newContract(customer, chosen...), expected)
		}
		w.done <- o
	}()
	m.await(w)
}

func (m *model) drawExpected(t *rapid.T, customer string) *uint64 {
	if rapid.Bool().Draw(t, "any-revision") {
		return nil
	}
	revision := uint64(len(m.history[customer]))
	if revision > 0 && rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		revision--
	}
	return &revision
}

// step lets one pending call proceed, normally or with a fault.
func (m *model) step(t *rapid.T) {
	busy := m.busy()
	if len(busy) == 0 {
		t.Skip("no writer is busy")
	}
	w := rapid.SampledFrom(busy).Draw(t, "writer")
	respond := serve(m.server)
	switch rapid.SampledFrom([]string{"normal", "normal", "normal", "outage", "lost", "unsent", "late"}).Draw(t, "fate") {
	case "outage":
		m.server.SetFaults(standin.Faults{Outage: true})
	case "lost":
		m.server.SetFaults(standin.Faults{LostResponses: 1})
	case "unsent":
		respond = func(*http.Request) (*http.Response, error) { return nil, errConnectionLost }
	case "late":
		m.delayed = append(m.delayed, w.pending)
		respond = func(*http.Request) (*http.Response, error) { return nil, context.DeadlineExceeded }
	}
	w.gate.responses <- respond
	m.await(w)
	m.server.SetFaults(standin.Faults{})
}

// deliverDelayed delivers a delayed call, whose caller has timed out.
func (m *model) deliverDelayed(t *rapid.T) {
	if len(m.delayed) == 0 {
		t.Skip("no delayed call")
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "late")
	_, _ = serve(m.server)(m.delayed[i])
	m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
}

// check compares the stand-in with the model. It runs after every action.
func (m *model) check(t *rapid.T) {
	owners := make(map[uint16]string)
	for _, customer := range customers {
		data, ok := m.server.Value("contracts/" + customer)
		if !ok {
			continue
		}
		d, err := contract.ParseDocument(customer, data)
		if err != nil {
			t.Fatal(err)
		}
		m.appendHistory(t, customer, d)
		held, _ := d.Contract()
		for _, port := range held.Ports() {
			if owners[port] != "" {
				t.Fatalf("port %d belongs to %s and %s", port, owners[port], customer)
			}
			owners[port] = customer
		}
	}
	for _, port := range ports {
		owner, _ := m.server.Value(fmt.Sprintf("addresses/%d", port))
		if string(owner) != owners[port] {
			t.Fatalf("port %d is claimed by %q but used by %q", port, owner, owners[port])
		}
	}
	for _, d := range m.succeeded {
		m.checkSucceeded(t, d)
	}
	m.checkNotWritten(t)
}

func (m *model) checkNotWritten(t *rapid.T) {
	for _, history := range m.history {
		for _, d := range history {
			if err := m.notWritten[d.ChangeID()]; err != nil {
				t.Fatalf("change %s is stored but was reported as: %v", d.ChangeID(), err)
			}
		}
	}
}

func (m *model) appendHistory(t *rapid.T, customer string, d contract.Document) {
	history := m.history[customer]
	last := uint64(len(history))
	if d.Revision() == last && d.ChangeID() == history[last-1].ChangeID() {
		return
	}
	if d.Revision() != last+1 {
		t.Fatalf("revision %d of %s follows %d", d.Revision(), customer, last)
	}
	m.history[customer] = append(history, d)
}

func (m *model) checkSucceeded(t *rapid.T, d contract.Document) {
	history := m.history[d.Customer()]
	if d.Revision() > uint64(len(history)) || history[d.Revision()-1].ChangeID() != d.ChangeID() {
		t.Fatalf("change %s was reported as written at revision %d but is not stored", d.ChangeID(), d.Revision())
	}
}

// finish completes all commands, so that no goroutine is left.
func (m *model) finish(t *rapid.T) {
	for _, w := range m.writers {
		for w.pending != nil {
			w.gate.responses <- serve(m.server)
			m.await(w)
			m.check(t)
		}
	}
}

// TestWritersRace guards against wrong results when concurrent commands use a
// faulty platform: a revision that is lost or used twice, a change that is
// reported as written but is not stored, and a change that is reported as not
// written but is stored.
func TestWritersRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		defer m.finish(t)
		t.Repeat(map[string]func(*rapid.T){
			"start": m.start, "step": m.step, "step-again": m.step, "arrive": m.deliverDelayed, "": m.check,
		})
	})
}
