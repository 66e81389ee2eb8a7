package sidecar

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/warmup"
)

// coldUpstream limits the new flows to the upstream while it is cold.
type coldUpstream struct {
	limiter warmup.Limiter
	// rate is the limit in flows a second; 0 means none.
	rate float64
	// left is how much longer the upstream is cold, as of the last call of SetWarmup. until
	// is the end of that time. It is computed at the next call that knows the time, which
	// sets leftApplied.
	left, until clock.Millis
	leftApplied bool
}

// SetWarmup limits new flows to a rate in flows a second while the upstream is cold; 0
// means no limit. left is how much longer the upstream is cold, 0 if it is not. Tick must be
// called soon afterwards.
func (s *Sidecar) SetWarmup(rate float64, left clock.Millis) {
	s.cold.rate, s.cold.left, s.cold.leftApplied = rate, left, false
}

// WarmupRate returns the rate to which new flows are limited now, in flows a second; 0
// means that they are not.
func (s *Sidecar) WarmupRate(now clock.Millis) float64 { return s.cold.currentRate(now) }

// allow reports whether the upstream may get a new flow. If so, it takes a token.
func (c *coldUpstream) allow(now clock.Millis) bool {
	perSecond := c.currentRate(now)
	if perSecond == 0 {
		return true
	}
	c.limiter.SetRate(now, perSecond)
	return c.limiter.Allow(now)
}

func (c *coldUpstream) currentRate(now clock.Millis) float64 {
	c.applyLeft(now)
	if now >= c.until {
		return 0
	}
	return max(c.rate, 0)
}

func (c *coldUpstream) applyLeft(now clock.Millis) {
	if !c.leftApplied {
		c.until, c.leftApplied = now+max(c.left, 0), true
	}
}
