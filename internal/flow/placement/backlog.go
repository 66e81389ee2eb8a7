// Package placement estimates the work at each sidecar and chooses the sidecar that
// completes a new flow's request first. The load that it addresses is one at which reports
// are older than the work they show: upstreams process the queue of a report within about
// 100 ms, while reports come every 200 ms or more.
package placement

import (
	"math"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
)

// goalShare is the share of a latency goal within which sidecars process the requests that
// they admit; see maxGoalShare in package sidecar. It bounds the work time of sidecars whose
// reports state none.
const goalShare = 0.5

// maxAhead is how far BelowAt looks ahead.
const maxAhead = clock.Second

// Backlog estimates the requests at one upstream: those of the last load that its sidecar
// has stated, and the flows placed since, less what the slots have processed since.
type Backlog struct {
	slots float64
	// workTime is the time in milliseconds in which a slot processes one request; 0 means
	// unknown.
	workTime float64
	// serviceTime is the time in milliseconds of one more request without waiting.
	serviceTime float64
	// goal is the longest latency goal of the service's routes; 0 means none.
	goal clock.Millis
	// learned is set if workTime and serviceTime are from the sidecar.
	learned bool
	// stated and placed are the requests at the time at: those in the last load of the
	// sidecar, and own flows that may not be in it.
	stated, placed float64
	at             clock.Millis
}

// ApplyReport replaces the estimate by a report. service is that of the sidecar and learns
// from the report. goal is the longest latency goal of the routes to the service, 0 if one
// has none.
func (b *Backlog) ApplyReport(now clock.Millis, r relay.Report, service *Service, goal clock.Millis) {
	service.Learn(r.Work)
	b.slots, b.goal = float64(max(r.Slots, 1)), goal
	b.placed = 0
	b.learned = r.Work.Known && r.Work.ServiceTime > 0
	b.serviceTime = service.usual(float64(goal))
	if b.learned {
		b.serviceTime = service.limit(r.Work.ServiceTime)
		b.workTime = b.serviceTime
		if r.Work.Remaining > 0 && r.Load.Active > 0 {
			b.workTime = service.limit(float64(r.Work.Remaining) / float64(r.Load.Active))
		}
	}
	b.set(now, r.Load)
}

// ApplyLoad replaces the stated load by that of a response to a flow that was placed on the
// sidecar.
func (b *Backlog) ApplyLoad(now clock.Millis, load relay.Load) {
	b.advance(now)
	b.placed = max(b.placed-1, 0)
	b.set(now, load)
}

// Place counts a flow that is placed on the sidecar now.
func (b *Backlog) Place(now clock.Millis) {
	b.advance(now)
	b.placed++
}

// Requests returns the estimated number of requests at the upstream.
func (b *Backlog) Requests(now clock.Millis) float64 {
	return b.aged(b.stated+b.placed, now-b.at)
}

// BelowAt returns when the estimated number of requests is at most the given one if no
// flow is placed until then, but at most maxAhead after now.
func (b *Backlog) BelowAt(now clock.Millis, limit float64) clock.Millis {
	if b.stated+b.placed <= limit {
		return now
	}
	requests := b.Requests(now)
	if requests <= limit {
		return now
	}
	if b.workTime <= 0 || limit <= 0 {
		return now + maxAhead
	}
	left := 0.
	if queue := requests - max(b.slots, limit); queue > 0 {
		left = queue / b.slots
		requests -= queue
	}
	if requests > limit {
		left += math.Log(requests / limit)
	}
	return now + min(clock.Millis(math.Ceil(left*b.workTime)), maxAhead)
}

// Completion returns the expected time in milliseconds until the response to one more
// request: its own time and the wait for a slot. extra is further load in requests.
func (b *Backlog) Completion(now clock.Millis, extra float64) float64 {
	waitTime := b.serviceTime
	if b.learned {
		waitTime = b.workTime
	}
	return b.serviceTime + (b.Requests(now)+extra)/b.slots*waitTime
}

// ServiceTime returns the expected time in milliseconds of one more request without
// waiting.
func (b *Backlog) ServiceTime() float64 { return b.serviceTime }

// StatedTime returns the expected time in milliseconds of one more request, 0 if the sidecar
// states none.
func (b *Backlog) StatedTime() float64 {
	if !b.learned {
		return 0
	}
	return b.serviceTime
}

// Learned reports whether the estimate is based on work that the sidecar has stated.
func (b *Backlog) Learned() bool { return b.learned }

func (b *Backlog) set(now clock.Millis, load relay.Load) {
	b.at, b.stated = now, float64(load.Active)
	if !b.learned {
		b.workTime = goalShare * float64(b.goal) * b.slots / max(b.stated, b.slots)
	}
}

// advance moves the estimate to the time now.
func (b *Backlog) advance(now clock.Millis) {
	if total := b.stated + b.placed; total > 0 {
		left := b.aged(total, now-b.at) / total
		b.stated, b.placed = b.stated*left, b.placed*left
	}
	b.at = max(b.at, now)
}

// aged returns what is left of a number of requests after the given time. While requests
// wait, every slot is busy. Afterwards each of the rest ends within a mean of workTime.
func (b *Backlog) aged(requests float64, age clock.Millis) float64 {
	if b.workTime <= 0 || age <= 0 {
		return requests
	}
	left := float64(age) / b.workTime
	if queue := requests - b.slots; queue > 0 {
		busy := min(queue/b.slots, left)
		requests -= busy * b.slots
		left -= busy
	}
	return requests * math.Exp(-left)
}
