package demo

import (
	"cmp"
	"fmt"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/standin/client"
)

// leaveLimit is the time after which a leaving upstream must get no new work
// (point 6).
const leaveLimit = 3 * clock.Second

// round records the load of one scenario and what happened during it.
type round struct {
	name        string
	description string
	// planned is true if the round consisted of planned changes only.
	planned bool
	report  client.Report
	// excludedBoards are the numbers of boards whose own sidecar was killed or
	// paused. If one of them breaks, it is not counted. If it completes, it counts as
	// a trial.
	excludedBoards map[uint64]bool
	// cancelled counts requests that were cancelled at upstreams during the round.
	cancelled int
}

// departure records an upstream that left.
type departure struct {
	name string
	// lastWork is the time from the start of the departure to the last new work. It
	// is negative if no new work arrived after the start.
	lastWork clock.Millis
}

// gracefulStop records the graceful stop of one process.
type gracefulStop struct {
	name string
	// fault is empty if the process ended by itself with exit code 0.
	fault string
}

// evidence holds all the measurements from which the points are judged.
type evidence struct {
	rounds []round
	// bookingRuns holds the number of runs of each booking number at all upstreams.
	bookingRuns map[uint64]int
	// foreignRequests counts requests that reached an upstream of another service.
	foreignRequests int
	departures      []departure
	// lateDrainRequests counts requests that arrived after leaveLimit at an upstream
	// that drains while its sidecar keeps running.
	lateDrainRequests int
	stops             []gracefulStop
	revisions         revisionsVerdict
	// races counts the races between operators and the writes whose response was
	// lost. raceFaults counts those that had a wrong result.
	races           int
	raceFaults      int
	unauthenticated attackCounts
}

// attackCounts counts what a peer without the key ring sent and
// achieved. The field names are printed.
type attackCounts struct {
	datagrams int
	// connections counts calls to control ports.
	connections int
	// unseen counts ports whose process did not count the datagrams as invalid.
	unseen int
	// announced counts balancers that list the peer as a member.
	announced int
	// answered counts calls that received a response.
	answered int
	// changed counts balancers that have the forged contract.
	changed int
}

// point is the printed row of one point, an invariant of section 2 of the design.
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

// points returns one row for each point.
func (e *evidence) points() []point {
	return []point{
		e.boards(), e.isolation(), e.responses(), e.refusals(),
		e.atMostOnce(), e.leaving(), e.graceful(), e.contracts(),
	}
}

// summary returns the last line of the output and the number of failed points.
func summary(points []point) (string, int) {
	failed := 0
	for _, p := range points {
		if !p.passed() {
			failed++
		}
	}
	return fmt.Sprintf("prove: points=%d failed=%d", len(points), failed), failed
}

func (e *evidence) boards() point {
	p := point{number: 1, title: "open boards survive"}
	excluded := 0
	for _, r := range e.rounds {
		boards := r.report.Kinds["board"]
		p.trials += boards.Completed + boards.BrokenFlows
		for _, number := range r.report.BrokenBoards {
			if r.excludedBoards[number] {
				excluded++
				p.trials--
				continue
			}
			p.failed++
		}
	}
	p.detail = fmt.Sprintf("boards that broke, fell silent for 5 s or skipped an event, in every round; not counted: %d broken boards whose own sidecar was killed or paused", excluded)
	return p
}

func (e *evidence) isolation() point {
	p := point{number: 2, title: "no packet reaches another service"}
	misrouted := 0
	for _, r := range e.rounds {
		p.trials += r.report.Total().Requests
		misrouted += r.report.Total().Misrouted
	}
	peerVerdict := e.unauthenticated
	p.trials += peerVerdict.datagrams + peerVerdict.connections
	p.failed = misrouted + e.foreignRequests + peerVerdict.announced + peerVerdict.answered + peerVerdict.unseen
	p.detail = fmt.Sprintf("clients misrouted=%d, upstreams foreign=%d, unauthenticated datagrams=%d connections=%d announced=%d answered=%d ports-without-rejection=%d",
		misrouted, e.foreignRequests, peerVerdict.datagrams, peerVerdict.connections, peerVerdict.announced, peerVerdict.answered, peerVerdict.unseen)
	return p
}

func (e *evidence) responses() point {
	p := point{number: 3, title: "each response is complete and belongs to its request"}
	otherResponses, withoutRun, withoutResult := 0, 0, 0
	for _, r := range e.rounds {
		t := r.report.Total()
		p.trials += t.Completed
		otherResponses += t.MismatchedResponses
		withoutResult += t.Requests - t.Completed - t.NotRun - t.Unknown - t.Misrouted - t.MismatchedResponses - t.BrokenFlows
		for _, b := range r.report.Bookings {
			if b.Result == client.Completed && e.bookingRuns[b.Number] == 0 {
				withoutRun++
			}
		}
	}
	p.failed = otherResponses + withoutRun + withoutResult
	p.detail = fmt.Sprintf("answers of another request=%d, confirmations without a run=%d, requests without a result=%d; datagrams lost, duplicated and reordered by the fabric", otherResponses, withoutRun, withoutResult)
	return p
}

func (e *evidence) refusals() point {
	p := point{number: 4, title: "a request refused as not run never ran"}
	endedRefused := 0
	for _, r := range e.rounds {
		for _, b := range r.report.Bookings {
			p.trials += b.Refusals
			allowed := 1
			if b.Result == client.NotRun {
				endedRefused++
				allowed = 0
			}
			if b.Refusals > 0 && e.bookingRuns[b.Number] > allowed {
				p.failed++
			}
		}
	}
	p.detail = fmt.Sprintf("refusals of bookings; %d ended refused and must have 0 runs; the others may have at most 1 run, from a later ticket", endedRefused)
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
	for _, count := range e.bookingRuns {
		if count > 1 {
			p.failed++
		}
	}
	p.detail = fmt.Sprintf("booking numbers that upstreams ran more than once, in every round; ended unknown=%d", unknown)
	return p
}

func (e *evidence) leaving() point {
	p := point{number: 6, title: "a leaving upstream gets no new work after 3 s", trials: len(e.departures)}
	lateNames, withWork := "", 0
	for _, d := range e.departures {
		if d.lastWork > 0 {
			withWork++
		}
		if d.lastWork > leaveLimit {
			p.failed++
			lateNames += fmt.Sprintf(" %s after %d ms", d.name, d.lastWork)
		}
	}
	p.detail = fmt.Sprintf("upstreams with new work after SIGTERM to their sidecar, with and without a drain: %d, late:%s; not counted: requests after 3 s at upstreams that drain while their sidecars keep running: %d, all shed", withWork, cmp.Or(lateNames, " none"), e.lateDrainRequests)
	return p
}

func (e *evidence) graceful() point {
	p := point{number: 7, title: "a planned stop interrupts no request", trials: len(e.stops)}
	unknown, cancelled, interrupted, repeats, faults := 0, 0, 0, 0, ""
	for _, r := range e.rounds {
		if r.planned {
			unknown += r.report.Total().Unknown
			cancelled += r.cancelled
			interrupted += r.report.Total().Interrupted
			repeats += r.report.Total().Repeats
		}
	}
	for _, s := range e.stops {
		if s.fault != "" {
			p.failed++
			faults += "; " + s.name + ": " + s.fault
		}
	}
	p.failed += unknown + cancelled + interrupted
	p.detail = fmt.Sprintf("stops that did not end by themselves with exit code 0; in rounds of planned changes only: requests ended unknown=%d, cancelled at upstreams=%d, interrupted on a flow that had already answered=%d; not counted: attempts on other flows that were sent again=%d%s",
		unknown, cancelled, interrupted, repeats-interrupted, faults)
	return p
}

func (e *evidence) contracts() point {
	v := e.revisions
	p := point{
		number: 8, title: "an accepted contract is in effect within 4 s and never reverts",
		trials: v.pairs + e.races, failed: v.late + v.missing + v.reverted + e.raceFaults + e.unauthenticated.changed,
	}
	p.detail = fmt.Sprintf("pairs of write and balancer=%d late=%d missing=%d reverted=%d slowest=%d ms; races and lost answers=%d wrong=%d; changed by a stranger=%d",
		v.pairs, v.late, v.missing, v.reverted, v.slowest, e.races, e.raceFaults, e.unauthenticated.changed)
	if v.pairs == 0 {
		p.trials = 0
	}
	return p
}
