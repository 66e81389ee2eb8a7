// Package client is a load generator that stands in for the clients of the
// customer presa-digital. It requests bookings, weigh-ins and boards over HTTP/3 and
// counts their results.
package client

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/samber/oops"
)

// Defaults of the fields of Config, which apply where a field is zero.
const (
	DefaultResponseTimeout = 4 * clock.Second
	DefaultStallLimit      = 5 * clock.Second
	DefaultFinishTimeout   = 6 * clock.Second

	// sharedFlows is the number of QUIC connections for all weigh-ins. Weigh-ins
	// share connections so that the load can also reveal responses that are mixed up
	// within a flow. Each booking and each board has a connection of its own.
	sharedFlows     = 4
	keepAlivePeriod = 2 * time.Second
	idleTimeout     = 30 * time.Second
	reportPeriod    = time.Second
	// boardArrivalShare is the part of the duration in which boards are requested.
	// The client closes all boards at the end of the duration. A board that is
	// requested later might not be open by then.
	boardArrivalShare = 0.75
)

var (
	booking   = kind{name: "booking", service: "grower-portal"}
	weighIn   = kind{name: "weigh-in", service: "weighbridge", repeatable: true}
	boardKind = kind{name: "board", service: "grower-portal", repeatable: true, stream: true}
)

// Config configures the load that Run generates.
type Config struct {
	// GrowerPortal and Weighbridge are the addresses at which the fabric receives
	// the datagrams for the two services.
	GrowerPortal netip.AddrPort
	Weighbridge  netip.AddrPort
	// Roots verify the certificate of the services.
	Roots *x509.CertPool
	// ServerName is the name that the certificate must carry.
	ServerName string
	// The rates are in requests per second.
	BookingRate float64
	WeighInRate float64
	BoardRate   float64
	// Duration is how long new requests arrive. New boards arrive only in its first
	// 75 % (boardArrivalShare). All boards stay open until its end.
	Duration clock.Millis
	// FinishTimeout limits how long requests in progress may take after Duration.
	// Zero means DefaultFinishTimeout.
	FinishTimeout clock.Millis
	// ResponseTimeout limits how long the client waits for the response to one
	// attempt. Zero means DefaultResponseTimeout.
	ResponseTimeout clock.Millis
	// StallLimit is the longest time between two events of an intact board. Zero
	// means DefaultStallLimit.
	StallLimit clock.Millis
	// FirstNumber is the number of the first request. The number of each later
	// request is higher by 1.
	FirstNumber uint64
	// Seed determines the arrival times.
	Seed uint64
	// Report receives the counts once per second. It may be nil.
	Report func(Report)
}

// load is the state of one call of Run.
type load struct {
	config     Config
	clock      clock.Clock
	shared     []*http3.Transport
	retired    []*http3.Transport
	mutex      sync.Mutex
	counts     map[string]*Counts
	nextNumber uint64
	// bookings, brokenBoards and reasons are part of the final report only.
	bookings     []Booking
	brokenBoards []uint64
	reasons      map[string]int
	// responded holds the transports whose flow has carried a response.
	responded map[*http3.Transport]bool
}

// Run generates load for config.Duration. It then waits at most config.FinishTimeout
// for requests in progress. If ctx ends earlier, Run stops and also returns the final
// counts. It returns an error only if the configuration is invalid.
func Run(ctx context.Context, config Config) (Report, error) {
	if err := config.check(); err != nil {
		return Report{}, err
	}
	l := &load{config: config, clock: clock.System(), counts: map[string]*Counts{}, nextNumber: config.FirstNumber, reasons: map[string]int{}, responded: map[*http3.Transport]bool{}}
	for range sharedFlows {
		l.shared = append(l.shared, l.newTransport())
	}
	defer func() {
		for _, t := range append(l.shared, l.retired...) {
			_ = t.Close()
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, (config.Duration + config.FinishTimeout).Duration())
	defer cancel()
	boards, closeBoards := context.WithTimeout(ctx, config.Duration.Duration())
	defer closeBoards()
	var wait sync.WaitGroup
	wait.Go(func() { l.generate(ctx, &wait, booking, config.BookingRate, config.Duration, l.runRequest) })
	wait.Go(func() { l.generate(ctx, &wait, weighIn, config.WeighInRate, config.Duration, l.runRequest) })
	wait.Go(func() {
		duration := clock.Millis(boardArrivalShare * float64(config.Duration))
		l.generate(ctx, &wait, boardKind, config.BoardRate, duration, func(_ context.Context, k kind, number uint64) {
			l.runBoard(boards, k, number)
		})
	})
	finished := make(chan struct{})
	go func() {
		wait.Wait()
		close(finished)
	}()
	l.reportUntil(finished)
	report := l.report()
	report.Final = true
	l.mutex.Lock()
	defer l.mutex.Unlock()
	report.Bookings, report.BrokenBoards, report.Reasons = l.bookings, l.brokenBoards, l.reasons
	return report, nil
}

// check returns an error if the configuration is invalid. It also sets the defaults.
func (c *Config) check() error {
	if c.Duration <= 0 {
		return oops.Code("client-invalid").Errorf("duration: must be longer than 0")
	}
	if c.BookingRate < 0 || c.WeighInRate < 0 || c.BoardRate < 0 {
		return oops.Code("client-invalid").Errorf("rates: must be 0 or more requests per second")
	}
	if c.ResponseTimeout == 0 {
		c.ResponseTimeout = DefaultResponseTimeout
	}
	if c.StallLimit == 0 {
		c.StallLimit = DefaultStallLimit
	}
	if c.FinishTimeout == 0 {
		c.FinishTimeout = DefaultFinishTimeout
	}
	return nil
}

func (l *load) newTransport() *http3.Transport {
	return &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: l.config.Roots, ServerName: l.config.ServerName, MinVersion: tls.VersionTLS13},
		QUICConfig: &quic.Config{
			KeepAlivePeriod: keepAlivePeriod, MaxIdleTimeout: idleTimeout,
			HandshakeIdleTimeout: l.config.ResponseTimeout.Duration(),
		},
		DisableCompression: true,
	}
}

func (l *load) sharedTransport(number uint64) *http3.Transport {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.shared[number%sharedFlows]
}

// retire replaces a shared transport for new requests. Requests in progress keep
// the old one, which stays open until Run ends.
func (l *load) retire(old *http3.Transport) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if i := slices.Index(l.shared, old); i >= 0 {
		l.shared[i] = l.newTransport()
		l.retired = append(l.retired, old)
	}
}

// generate starts the requests of one kind at their arrival times. Each request has
// a goroutine, which it adds to wait.
func (l *load) generate(ctx context.Context, wait *sync.WaitGroup, k kind, rate float64, duration clock.Millis, run func(context.Context, kind, uint64)) {
	// The name of the kind selects a random stream, so that the arrival times of
	// kinds differ.
	random := rand.New(rand.NewPCG(l.config.Seed, xxhash.Sum64String(k.name)))
	start := l.clock.Now()
	for _, at := range arrivals(random, rate, duration) {
		if delay := start + at - l.clock.Now(); delay > 0 && !pause(ctx, delay) {
			return
		}
		number := l.begin(k)
		wait.Go(func() { run(ctx, k, number) })
	}
}

// pause waits for d or until ctx ends. It reports whether d has passed.
func pause(ctx context.Context, d clock.Millis) bool {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// begin counts a new request and returns its number.
func (l *load) begin(k kind) uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.countsOf(k).Requests++
	number := l.nextNumber
	l.nextNumber++
	return number
}

// finish counts the result, the refusals and the repeats of a request.
func (l *load) finish(k kind, result Result, r *request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts := l.countsOf(k)
	counts.add(result)
	counts.Refusals += r.refusals
	counts.Repeats += r.repeats
	if k == booking {
		l.bookings = append(l.bookings, Booking{Number: r.number, Result: result, Refusals: r.refusals})
	}
	if result == BrokenFlow {
		l.brokenBoards = append(l.brokenBoards, r.number)
	}
}

// recordLost counts an attempt that got no complete and valid response. If its flow
// had carried a response before, the request may have been in progress, and the
// attempt also counts as interrupted. There are two exceptions. A request that the
// server rejected was not in progress. A request that the client itself ended with
// ctx was not interrupted by the system.
func (l *load) recordLost(ctx context.Context, k kind, transport *http3.Transport, err error) attemptResponse {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var streamError *http3.Error
	rejected := errors.As(err, &streamError) && streamError.ErrorCode == http3.ErrCodeRequestRejected
	reason := k.name + ": " + err.Error()
	switch {
	case ctx.Err() != nil:
		reason = k.name + ": ended by the client"
	case l.responded[transport] && !rejected:
		l.countsOf(k).Interrupted++
		reason = "interrupted " + reason
	}
	l.reasons[reason]++
	return attemptResponse{lost: true}
}

// markResponded records that the flow of a transport has carried a response.
func (l *load) markResponded(transport *http3.Transport) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.responded[transport] = true
}

// countsOf returns the counts of a kind. The caller holds mutex.
func (l *load) countsOf(k kind) *Counts {
	counts, ok := l.counts[k.name]
	if !ok {
		counts = &Counts{}
		l.counts[k.name] = counts
	}
	return counts
}

func (l *load) report() Report {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	report := Report{Elapsed: l.clock.Now(), Kinds: map[string]Counts{}}
	for name, counts := range l.counts {
		report.Kinds[name] = *counts
	}
	return report
}

// reportUntil passes the counts to Config.Report once per second until finished is
// closed.
func (l *load) reportUntil(finished <-chan struct{}) {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-finished:
			return
		case <-ticker.C:
			if l.config.Report != nil {
				l.config.Report(l.report())
			}
		}
	}
}
