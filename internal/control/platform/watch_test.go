package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/orioledyke/orioledyke/internal/control/platform"
	standin "github.com/orioledyke/orioledyke/internal/standin/platform"
)

// TestWatchContracts guards against a watch that ends with an outage or misses
// changes, and against one that delivers an older revision when the platform is
// restored from an old state.
func TestWatchContracts(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	server := newStandin(stoppedClock, nil)
	var current atomic.Pointer[standin.Server]
	current.Store(server)
	sleeper := newControlledSleep()
	config := testConfig(roundTrip(func(r *http.Request) (*http.Response, error) { return serve(current.Load())(r) }))
	config.Sleep = sleeper.sleep
	delivered := make(chan string)
	done := make(chan error)
	go func() {
		done <- platform.New(config).WatchContracts(ctx, platform.ContractWatch{Held: nothingHeld, Deliver: func(d contract.Document) {
			delivered <- fmt.Sprintf("%s %d %t", d.Customer(), d.Revision(), d.Deleted())
		}})
	}()
	operator := newClient("a", serve(server))
	put := func(operator *platform.Client, customer string, port uint16) {
		_, err := operator.PutContract(ctx, newContract(customer, port), nil)
		c.Assert(err, qt.IsNil)
	}
	put(operator, "presa-digital", 4443)
	c.Assert(<-delivered, qt.Equals, "presa-digital 1 false")
	put(operator, "presa-digital", 4444)
	c.Assert(<-delivered, qt.Equals, "presa-digital 2 false")

	server.SetFaults(standin.Faults{Outage: true})
	<-sleeper.started
	server.SetFaults(standin.Faults{})
	// These are more changes than the change log holds.
	for i := range uint16(20) {
		put(operator, fmt.Sprintf("customer-%02d", i), 5000+i)
	}
	_, err := operator.DeleteContract(ctx, "presa-digital", nil)
	c.Assert(err, qt.IsNil)
	sleeper.end <- struct{}{}
	for i := range 20 {
		c.Assert(<-delivered, qt.Equals, fmt.Sprintf("customer-%02d 1 false", i))
	}
	c.Assert(<-delivered, qt.Equals, "presa-digital 3 true")

	expired := make(chan time.Time)
	restored := newStandin(stoppedClock, expired)
	restorer := newClient("b", serve(restored))
	put(restorer, "presa-digital", 4443)
	server.SetFaults(standin.Faults{Outage: true})
	<-sleeper.started
	current.Store(restored)
	sleeper.end <- struct{}{}
	expired <- time.Time{}
	put(restorer, "presa-digital", 4444)
	c.Assert(<-delivered, qt.Equals, "presa-digital 4 false")
	cancel()
	restored.SetFaults(standin.Faults{})
	c.Assert(<-done, qt.ErrorIs, context.Canceled)
}

// Guards against a change that is never delivered because the platform was restored from an
// older copy between two calls, and its new index and change log have passed the old ones.
func TestChangeBehindReusedSequenceIsDelivered(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	server := newStandin(stoppedClock, nil)
	operator := newClient("a", serve(server))
	put := func(customer string, port uint16) {
		_, err := operator.PutContract(ctx, newContract(customer, port), nil)
		c.Assert(err, qt.IsNil)
	}
	put("presa-digital", 4443)
	restore := server.Copy()
	put("lost", 4444)
	watches, proceed := make(chan struct{}), make(chan struct{})
	config := testConfig(roundTrip(func(r *http.Request) (*http.Response, error) {
		if r.URL.Query().Has("index") {
			watches <- struct{}{}
			<-proceed
		}
		return serve(server)(r)
	}))
	delivered := make(chan string, 8)
	done := make(chan error)
	go func() {
		done <- platform.New(config).WatchContracts(ctx, platform.ContractWatch{
			Held: nothingHeld, Deliver: func(d contract.Document) { delivered <- d.Customer() },
		})
	}()
	<-watches
	restore()
	put("missed", 4445)
	put("seen", 4446)
	proceed <- struct{}{}
	<-watches
	cancel()
	proceed <- struct{}{}
	c.Assert(<-done, qt.ErrorIs, context.Canceled)
	close(delivered)
	var customers []string
	for customer := range delivered {
		customers = append(customers, customer)
	}
	c.Assert(customers, qt.DeepEquals, []string{"lost", "presa-digital", "missed", "seen"})
}

// restoredWatch is a watch of contracts that is between two calls while the platform is
// restored from an older copy.
type restoredWatch struct {
	c *qt.C
	// watches receives a value before each blocking query, which then waits for proceed.
	watches, proceed chan struct{}
	restore          func()
	delivered        []string
	stop             func()
}

// newRestoredWatch writes revision 2 of a contract, which restore loses, and starts a watch.
// held is the revision of that contract that is in effect.
func newRestoredWatch(t *testing.T, server *standin.Server, held uint64) *restoredWatch {
	w := &restoredWatch{c: qt.New(t), watches: make(chan struct{}), proceed: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	operator := newClient("a", serve(server))
	put := func(port uint16) contract.Document {
		d, err := operator.PutContract(ctx, newContract("presa-digital", port), nil)
		w.c.Assert(err, qt.IsNil)
		return d
	}
	put(4443)
	w.restore = server.Copy()
	inEffect := put(4444).WithRevision(held)
	config := testConfig(roundTrip(func(r *http.Request) (*http.Response, error) {
		if r.URL.Query().Has("index") {
			w.watches <- struct{}{}
			<-w.proceed
		}
		return serve(server)(r)
	}))
	done := make(chan error)
	go func() {
		done <- platform.New(config).WatchContracts(ctx, platform.ContractWatch{
			Held: func(customer string) (contract.Document, bool) {
				if customer != inEffect.Customer() || held == 0 {
					return contract.Document{}, false
				}
				return inEffect, true
			},
			Deliver: func(d contract.Document) {
				w.delivered = append(w.delivered, fmt.Sprintf("%d %v", d.Revision(), d.ChangeID()))
			},
		})
	}()
	<-w.watches
	w.stop = func() {
		cancel()
		w.proceed <- struct{}{}
		w.c.Assert(<-done, qt.ErrorIs, context.Canceled)
	}
	return w
}

// next lets the blocking query that waits, and all of its consequences, happen.
func (w *restoredWatch) next() {
	w.proceed <- struct{}{}
	<-w.watches
}

// Guards against a change after a restore that no process puts into effect, because its
// revision was given out before, and against the return of the contract of the copy.
func TestChangeWithReusedRevisionTakesEffect(t *testing.T) {
	for _, test := range []struct {
		held      uint64
		delivered []string
	}{
		{0, []string{"2 a-2", "1 b-2", "3 b-1"}},
		// A process that knows a later revision from its peers delivers only what is newer.
		{7, []string{"1 b-2", "8 b-1"}},
	} {
		server := newStandin(stoppedClock, nil)
		w := newRestoredWatch(t, server, test.held)
		w.restore()
		operator := newClient("b", serve(server))
		_, err := operator.PutContract(context.Background(), newContract("presa-digital", 4445), nil)
		w.c.Assert(err, qt.IsNil)
		_, err = operator.PutContract(context.Background(), newContract("other", 4446), nil)
		w.c.Assert(err, qt.IsNil)
		w.next()
		w.next()
		w.stop()
		w.c.Assert(w.delivered, qt.DeepEquals, test.delivered)
		stored, err := operator.Contract(context.Background(), "presa-digital")
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(stored.ChangeID(), qt.Equals, "b-1")
		w.c.Assert(stored.Revision() > test.held, qt.IsTrue)
	}
}

// Guards against the return of a contract that the copy of a restored platform holds, and
// that a later one had replaced.
func TestContractOfOlderCopyStaysReplaced(t *testing.T) {
	server := newStandin(stoppedClock, nil)
	w := newRestoredWatch(t, server, 0)
	w.restore()
	operator := newClient("b", serve(server))
	for port := range uint16(3) {
		_, err := operator.PutContract(context.Background(), newContract(fmt.Sprint("other-", port), 4445+port), nil)
		w.c.Assert(err, qt.IsNil)
	}
	w.next()
	w.stop()
	w.c.Assert(w.delivered, qt.DeepEquals, []string{"2 a-2", "1 b-1", "1 b-2", "1 b-3"})
	stored, err := operator.Contract(context.Background(), "presa-digital")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(stored.Revision(), qt.Equals, uint64(1))
}

// Guards against a document that is written again and again, because a peer was faster to
// put it into effect.
func TestDocumentInEffectIsNotWrittenAgain(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	server := newStandin(stoppedClock, nil)
	operator := newClient("a", serve(server))
	put := func(port uint16) {
		_, err := operator.PutContract(ctx, newContract("presa-digital", port), nil)
		c.Assert(err, qt.IsNil)
	}
	put(4443)
	watches, proceed := make(chan struct{}), make(chan struct{})
	config := testConfig(roundTrip(func(r *http.Request) (*http.Response, error) {
		if r.URL.Query().Has("index") {
			watches <- struct{}{}
			<-proceed
		}
		return serve(server)(r)
	}))
	done := make(chan error)
	go func() {
		done <- platform.New(config).WatchContracts(ctx, platform.ContractWatch{
			Held: func(customer string) (contract.Document, bool) {
				d, err := operator.Contract(context.Background(), customer)
				return d, err == nil
			},
			Deliver: func(contract.Document) {},
		})
	}()
	<-watches
	put(4444)
	proceed <- struct{}{}
	<-watches
	stored, err := operator.Contract(ctx, "presa-digital")
	c.Assert(err, qt.IsNil)
	c.Assert(stored.Revision(), qt.Equals, uint64(2))
	cancel()
	proceed <- struct{}{}
	c.Assert(<-done, qt.ErrorIs, context.Canceled)
}

// TestRegisterSeed guards against a seed that is not registered again after an
// expired session, an outage or a pause of its holder, and against one that
// remains after a shutdown.
func TestRegisterSeed(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var now atomic.Int64
	server := newStandin(func() clock.Millis { return clock.Millis(now.Load()) }, nil)
	sleeper := newControlledSleep()
	config := testConfig(serve(server))
	config.Sleep = sleeper.sleep
	address := netip.MustParseAddrPort("10.0.0.1:7946")
	done := make(chan error)
	go func() { done <- platform.New(config).RegisterSeed(ctx, "hope", identity.OwnerID(7), address) }()
	seeds := func() int {
		seeds, err := newClient("a", serve(server)).Seeds(context.Background())
		c.Assert(err, qt.IsNil)
		for _, s := range seeds {
			c.Assert(s.DataCentre(), qt.Equals, "hope")
			c.Assert(s.ID(), qt.Equals, identity.OwnerID(7))
			c.Assert(s.Address(), qt.Equals, address)
		}
		return len(seeds)
	}
	renewal := <-sleeper.started
	c.Assert(seeds(), qt.Equals, 1)

	server.ExpireLeases()
	c.Assert(seeds(), qt.Equals, 0)
	sleeper.end <- struct{}{}
	c.Assert(<-sleeper.started, qt.Equals, renewal)
	c.Assert(seeds(), qt.Equals, 1)

	server.SetFaults(standin.Faults{Outage: true})
	sleeper.end <- struct{}{}
	c.Assert(<-sleeper.started, qt.Not(qt.Equals), renewal)
	server.SetFaults(standin.Faults{})
	sleeper.end <- struct{}{}
	c.Assert(<-sleeper.started, qt.Equals, renewal)
	c.Assert(seeds(), qt.Equals, 1)

	now.Add(int64(clock.Minute))
	c.Assert(seeds(), qt.Equals, 0)
	sleeper.end <- struct{}{}
	c.Assert(<-sleeper.started, qt.Equals, renewal)
	c.Assert(seeds(), qt.Equals, 1)

	server.SetFaults(standin.Faults{LostResponses: 1})
	sleeper.end <- struct{}{}
	c.Assert(<-sleeper.started, qt.Not(qt.Equals), renewal)
	cancel()
	c.Assert(<-done, qt.ErrorIs, context.Canceled)
	c.Assert(seeds(), qt.Equals, 0)
}
