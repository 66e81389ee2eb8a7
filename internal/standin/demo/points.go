package demo

import (
	"cmp"
	"fmt"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/standin/client"
)

// leaveLimit is the time after which a leaving upstream gets no new work
// (invariant 6).
const leaveLimit = 3 * clock.Second

// round is the load of one part of the proof and what was done under it.
type round struct {
	name string
	done string
	// planned is true if nothing but planned changes happened.
	planned bool
	report  client.Report
	// unclaimed are the boards whose own sidecar was killed or paused.
	unclaimed map[uint64]bool
	// interrupted counts requests that were cancelled at upstreams during the
	// round.
	interrupted int
}

// departure is an upstream that left.
type departure struct {
	name string
	// last is the time from the departure to the last new work, negative if none
	// came after it.
	last clock.Millis
}

// stop is the graceful end of one process.
type stop struct {
	name string
	// fault is empty if the process ended by itself with exit code 0.
	fault string
}

// evidence is everything that the proof counted.
type evidence struct {
	rounds     []round
	runs       map[uint64]int
	foreign    int
	departures []departure
	// drained counts requests that came to a draining upstream, whose sidecar
	// stays, later than the limit for leavers.
	drained    int
	stops      []stop
	revisions  revisionsVerdict
	races      int
	raceFaults int
	stranger   strangerVerdict
}

// strangerVerdict is what a party without the key ring achieved.
type strangerVerdict struct {
	datagrams   int
	connections int
	// unseen counts ports whose process did not count the datagrams as invalid.
	unseen    int
	announced int
	answered  int
	changed   int
}

// point is the row of one invariant.
type point struct {
	number int
	title  string
	trials int
	failed int
	detail string
}

func (p point) passed() bool { return p.trials > 0 && p.failed == 0 }

func (p point) String() string {
	verdict := "pass"
	if !p.passed() {
		verdict = "FAIL"
	}
	return fmt.Sprintf("prove: point=%d %s trials=%d failed=%d | %s | %s", p.number, verdict, p.trials, p.failed, p.title, p.detail)
}

// points returns one row for each invariant of section 2 of the design.
func (e *evidence) points() []point {
	return []point{
		e.streams(), e.isolation(), e.answers(), e.refusals(),
		e.atMostOnce(), e.leaving(), e.graceful(), e.contracts(),
	}
}

// summary returns the last line, and the number of points that failed.
func summary(points []point) (string, int) {
	failed := 0
	for _, p := range points {
		if !p.passed() {
			failed++
		}
	}
	return fmt.Sprintf("prove: points=%d failed=%d", len(points), failed), failed
}

func (e *evidence) streams() point {
	p := point{number: 1, title: "open boards survive"}
	unclaimed := 0
	for _, r := range e.rounds {
		boards := r.report.Kinds["board"]
		p.trials += boards.Completed + boards.BrokenFlows
		for _, number := range r.report.BrokenBoards {
			if r.unclaimed[number] {
				unclaimed++
				p.trials--
				continue
			}
			p.failed++
		}
	}
	p.detail = fmt.Sprintf("boards that broke, fell silent for 5 s or skipped an event, in every round; not claimed: %d boards whose own sidecar was killed or paused", unclaimed)
	return p
}

func (e *evidence) isolation() point {
	p := point{number: 2, title: "no packet reaches another service"}
	misrouted := 0
	for _, r := range e.rounds {
		p.trials += r.report.Total().Requests
		misrouted += r.report.Total().Misrouted
	}
	s := e.stranger
	p.trials += s.datagrams + s.connections
	p.failed = misrouted + e.foreign + s.announced + s.answered + s.unseen
	p.detail = fmt.Sprintf("clients misrouted=%d, upstreams foreign=%d, stranger datagrams=%d connections=%d announced=%d answered=%d ports-without-rejection=%d",
		misrouted, e.foreign, s.datagrams, s.connections, s.announced, s.answered, s.unseen)
	return p
}

func (e *evidence) answers() point {
	p := point{number: 3, title: "complete answer to the own request"}
	neighbours, without, missing := 0, 0, 0
	for _, r := range e.rounds {
		t := r.report.Total()
		p.trials += t.Completed
		neighbours += t.MismatchedResponses
		missing += t.Requests - t.Completed - t.NotRun - t.Unknown - t.Misrouted - t.MismatchedResponses - t.BrokenFlows
		for _, b := range r.report.Bookings {
			if b.Result == client.Completed && e.runs[b.Number] == 0 {
				without++
			}
		}
	}
	p.failed = neighbours + without + missing
	p.detail = fmt.Sprintf("answers of another request=%d, confirmations without a run=%d, requests without a result=%d; datagrams lost, duplicated and reordered by the fabric", neighbours, without, missing)
	return p
}

func (e *evidence) refusals() point {
	p := point{number: 4, title: "refused as not run was not run"}
	final := 0
	for _, r := range e.rounds {
		for _, b := range r.report.Bookings {
			p.trials += b.Refusals
			allowed := 1
			if b.Result == client.NotRun {
				final++
				allowed = 0
			}
			if b.Refusals > 0 && e.runs[b.Number] > allowed {
				p.failed++
			}
		}
	}
	p.detail = fmt.Sprintf("refusals of bookings; %d ended refused and must have 0 runs, the others at most the 1 of a later ticket", final)
	return p
}

func (e *evidence) atMostOnce() point {
	p := point{number: 5, title: "a booking runs at most once"}
	unknown := 0
	for _, r := range e.rounds {
		p.trials += len(r.report.Bookings)
		for _, b := range r.report.Bookings {
			if b.Result == client.Unknown {
				unknown++
			}
		}
	}
	for _, times := range e.runs {
		if times > 1 {
			p.failed++
		}
	}
	p.detail = fmt.Sprintf("booking numbers that upstreams ran more than once, in every round; ended unknown=%d", unknown)
	return p
}

func (e *evidence) leaving() point {
	p := point{number: 6, title: "a leaving upstream gets no new work after 3 s", trials: len(e.departures)}
	names, work := "", 0
	for _, d := range e.departures {
		if d.last > 0 {
			work++
		}
		if d.last > leaveLimit {
			p.failed++
			names += fmt.Sprintf(" %s after %d ms", d.name, d.last)
		}
	}
	p.detail = fmt.Sprintf("upstreams with new work after SIGTERM to their sidecar, with and without a drain: %d, late:%s; not claimed: an upstream that drains while its sidecar stays was asked %d times after 3 s and shed", work, cmp.Or(names, " none"), e.drained)
	return p
}

func (e *evidence) graceful() point {
	p := point{number: 7, title: "a planned stop interrupts no request", trials: len(e.stops)}
	unknown, interrupted, cut, repeats, faults := 0, 0, 0, 0, ""
	for _, r := range e.rounds {
		if r.planned {
			unknown += r.report.Total().Unknown
			interrupted += r.interrupted
			cut += r.report.Total().Interrupted
			repeats += r.report.Total().Repeats
		}
	}
	for _, s := range e.stops {
		if s.fault != "" {
			p.failed++
			faults += "; " + s.name + ": " + s.fault
		}
	}
	p.failed += unknown + interrupted + cut
	p.detail = fmt.Sprintf("stops that did not end by themselves with exit code 0; in rounds of planned changes only: requests ended unknown=%d, cancelled at upstreams=%d, cut off on a flow that had answered=%d; not claimed: attempts on other flows that were sent again=%d%s",
		unknown, interrupted, cut, repeats-cut, faults)
	return p
}

func (e *evidence) contracts() point {
	v := e.revisions
	p := point{
		number: 8, title: "an accepted contract is in effect within 4 s and never reverts",
		trials: v.pairs + e.races, failed: v.late + v.missing + v.reverted + e.raceFaults + e.stranger.changed,
	}
	p.detail = fmt.Sprintf("pairs of write and balancer=%d late=%d missing=%d reverted=%d slowest=%d ms; races and lost answers=%d wrong=%d; changed by a stranger=%d",
		v.pairs, v.late, v.missing, v.reverted, v.slowest, e.races, e.raceFaults, e.stranger.changed)
	if v.pairs == 0 {
		p.trials = 0
	}
	return p
}
