// Package client is a stand-in for the clients of presa-digital: it generates
// bookings, weigh-ins and boards over HTTP/3 and counts what becomes of them.
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

// Defaults of Config.
const (
	DefaultResponseTimeout = 4 * clock.Second
	DefaultStallLimit      = 5 * clock.Second
	DefaultFinishTimeout   = 6 * clock.Second

	// sharedFlows is the number of flows that all weigh-ins share, so that
	// answers can be mixed up within a flow. Each booking and board has its own.
	sharedFlows     = 4
	keepAlivePeriod = 2 * time.Second
	idleTimeout     = 30 * time.Second
	reportPeriod    = time.Second
	// boardArrivals is the part of the duration in which boards are opened, so
	// that none is closed by the client before it could open.
	boardArrivals = 0.75
)

var (
	booking = kind{name: "booking", service: "grower-portal"}
	weighIn = kind{name: "weigh-in", service: "weighbridge", repeatable: true}
	status  = kind{name: "board", service: "grower-portal", repeatable: true, stream: true}
)

// Config configures a Load.
type Config struct {
	// GrowerPortal and Weighbridge are the service addresses at the fabric.
	GrowerPortal netip.AddrPort
	Weighbridge  netip.AddrPort
	// Roots verify the services' certificate, whose name is ServerName.
	Roots      *x509.CertPool
	ServerName string
	// Rates are in requests a second.
	BookingRate float64
	WeighInRate float64
	BoardRate   float64
	// Duration is how long requests arrive. Boards stay open until its end.
	Duration clock.Millis
	// FinishTimeout is how long requests in progress may take after Duration.
	FinishTimeout clock.Millis
	// ResponseTimeout limits how long the client waits for the response to one
	// attempt. Zero means DefaultResponseTimeout.
	ResponseTimeout clock.Millis
	// StallLimit is how long a board may be silent.
	StallLimit clock.Millis
	// FirstNumber is the number of the first request.
	FirstNumber uint64
	Seed        uint64
	// Report receives the counts each second. It may be nil.
	Report func(Report)
}

// load is one run.
type load struct {
	config  Config
	clock   clock.Clock
	shared  []*http3.Transport
	retired []*http3.Transport
	mutex   sync.Mutex
	counts  map[string]*Counts
	numbers uint64
	// bookings, broken and reasons are details of the final report.
	bookings []Booking
	broken   []uint64
	reasons  map[string]int
	// answered holds the transports whose flow has answered a request.
	answered map[*http3.Transport]bool
}

// Run generates load until the duration is over and the requests in progress
// have ended. It returns the final counts, also when ctx ends before.
func Run(ctx context.Context, config Config) (Report, error) {
	if err := config.check(); err != nil {
		return Report{}, err
	}
	l := &load{config: config, clock: clock.System(), counts: map[string]*Counts{}, numbers: config.FirstNumber, reasons: map[string]int{}, answered: map[*http3.Transport]bool{}}
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
		duration := clock.Millis(boardArrivals * float64(config.Duration))
		l.generate(ctx, &wait, status, config.BoardRate, duration, func(_ context.Context, k kind, number uint64) {
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
	report.Bookings, report.BrokenBoards, report.Reasons = l.bookings, l.broken, l.reasons
	return report, nil
}

func (c *Config) check() error {
	if c.Duration <= 0 {
		return oops.Code("client-invalid").Errorf("duration: want more than 0")
	}
	if c.BookingRate < 0 || c.WeighInRate < 0 || c.BoardRate < 0 {
		return oops.Code("client-invalid").Errorf("rates: want 0 or more")
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

// retire replaces a shared transport for new requests. Those in progress keep
// it.
func (l *load) retire(old *http3.Transport) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if i := slices.Index(l.shared, old); i >= 0 {
		l.shared[i] = l.newTransport()
		l.retired = append(l.retired, old)
	}
}

// generate starts the requests of one kind at their times of arrival.
func (l *load) generate(ctx context.Context, wait *sync.WaitGroup, k kind, rate float64, duration clock.Millis, run func(context.Context, kind, uint64)) {
	// The kind makes the streams of random numbers differ.
	random := rand.New(rand.NewPCG(l.config.Seed, xxhash.Sum64String(k.name)))
	start := l.clock.Now()
	for _, at := range arrivals(random, rate, duration) {
		if early := start + at - l.clock.Now(); early > 0 && !pause(ctx, early) {
			return
		}
		number := l.begin(k)
		wait.Go(func() { run(ctx, k, number) })
	}
}

// pause reports whether d passed before ctx ended.
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

func (l *load) begin(k kind) uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.countsOf(k).Requests++
	number := l.numbers
	l.numbers++
	return number
}

func (l *load) end(k kind, result Result, r *request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts := l.countsOf(k)
	counts.add(result)
	counts.Refusals += r.refusals
	counts.Repeats += r.lost
	if k == booking {
		l.bookings = append(l.bookings, Booking{Number: r.number, Result: result, Refusals: r.refusals})
	}
	if result == BrokenFlow {
		l.broken = append(l.broken, r.number)
	}
}

// lost notes an attempt without an answer. A request that the server rejected
// was not in progress, nor one that the client itself ended with ctx.
func (l *load) lost(ctx context.Context, k kind, transport *http3.Transport, err error) answer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var refusal *http3.Error
	rejected := errors.As(err, &refusal) && refusal.ErrorCode == http3.ErrCodeRequestRejected
	reason := k.name + ": " + err.Error()
	switch {
	case ctx.Err() != nil:
		reason = k.name + ": ended by the client"
	case l.answered[transport] && !rejected:
		l.countsOf(k).Interrupted++
		reason = "interrupted " + reason
	}
	l.reasons[reason]++
	return answer{lost: true}
}

// heard notes that the flow of a transport answers.
func (l *load) heard(transport *http3.Transport) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answered[transport] = true
}

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
