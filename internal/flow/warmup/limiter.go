// Package warmup limits the rate of new flows to an upstream that has started a short time
// ago and is still cold. It addresses the load of clients that wait when a cold upstream
// begins to accept flows, such as after an outage or at the end of an evacuation: the
// upstream would get all of them at once. The package uses no clock of its own.
package warmup

import (
	"math"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"golang.org/x/time/rate"
)

// burstShare is the share of a rate that may go out at once after a time without flows.
// The refill is lower by as much, so that no window of a second exceeds the rate.
const burstShare = 0.1

// Limiter is a token bucket with one token for each new flow. Its zero value has no limit.
// It is not safe for concurrent use.
type Limiter struct {
	bucket *rate.Limiter
	rate   float64
	// last is the time of the last call. elapsed is the time that has passed in all calls. It
	// differs from last in that it never goes backwards.
	last, elapsed clock.Millis
}

// SetRate limits the flows to a rate in flows a second: in no window of a second do more
// than the rate get a token, or more than one if the rate is below 1. 0 means no limit. A
// changed rate keeps the tokens. The first limit starts with one token, because it is not
// known how many flows went out before.
func (l *Limiter) SetRate(now clock.Millis, perSecond float64) {
	if perSecond == l.rate {
		return
	}
	l.rate = perSecond
	if perSecond <= 0 {
		return
	}
	burst := max(math.Floor(burstShare*perSecond), 1)
	refill := rate.Limit(max((1-burstShare)*perSecond, perSecond-burst))
	t := l.time(now)
	if l.bucket == nil {
		l.bucket = rate.NewLimiter(refill, int(burst))
		l.bucket.AllowN(t, int(burst)-1)
		return
	}
	l.bucket.SetLimitAt(t, refill)
	l.bucket.SetBurstAt(t, int(burst))
}

// Rate returns the rate in flows a second; 0 means that there is no limit.
func (l *Limiter) Rate() float64 { return max(l.rate, 0) }

// Allow reports whether a new flow may go out now. If so, it takes a token.
func (l *Limiter) Allow(now clock.Millis) bool {
	return l.rate <= 0 || l.bucket.AllowN(l.time(now), 1)
}

// Ready reports whether Allow would return true.
func (l *Limiter) Ready(now clock.Millis) bool {
	return l.rate <= 0 || l.bucket.TokensAt(l.time(now)) >= 1
}

// time converts a point in time for the bucket. No time passes in a step backwards, so that
// it neither adds tokens nor stops the refill.
func (l *Limiter) time(now clock.Millis) time.Time {
	l.elapsed += max(now-l.last, 0)
	l.last = now
	return time.UnixMilli(int64(l.elapsed))
}
