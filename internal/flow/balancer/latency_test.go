package balancer

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// Guards against duplicate requests on slow links, and against requests that wait for a
// sidecar that is gone until their client repeats them.
func TestAnswerTimeout(t *testing.T) {
	c := qt.New(t)
	var l latency
	c.Assert(l.timeout(), qt.Equals, minAnswerTimeout)
	for range 100 {
		l.observe(2)
	}
	c.Assert(l.timeout(), qt.Equals, minAnswerTimeout)
	for range 100 {
		l.observe(60)
	}
	c.Assert(l.timeout() >= 60, qt.IsTrue)
	for i := range 100 {
		l.observe(clock.Millis(100 * (i % 10)))
	}
	c.Assert(l.timeout(), qt.Equals, maxAnswerTimeout)
}
