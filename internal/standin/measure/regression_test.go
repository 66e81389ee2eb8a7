package measure

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Sizes of the regression test, which keeps it within a few seconds.
const (
	regressionSeed  = 1
	regressionFlows = 50
)

// TestRegression guards against flows that break and late work on leaving
// upstreams in a rolling replacement, and against other work that loses its
// guarantee in an overload.
func TestRegression(t *testing.T) {
	c := qt.New(t)
	d, p := deployments()[0], policies()[0]
	runs := map[string]*world{}
	for _, s := range scenarios() {
		runs[s.name] = play(regressionSeed, regressionFlows, d, p, s)
	}
	c.Check(runs["rolling-replacement"].brokenFlows, qt.Equals, goalBroken)
	c.Check(runs["rolling-replacement"].late(), qt.Equals, goalLate)
	c.Check(runs["balancer-killed"].brokenFlows, qt.Equals, goalBroken)
	for _, s := range scenarios() {
		for kind, k := range d.kinds {
			if s.overloaded < 0 || kind == s.overloaded {
				continue
			}
			kept := runs[s.name].kept(kind, runs["steady"])
			c.Check(kept >= goalKept, qt.IsTrue, qt.Commentf("%s: %s keeps %f", s.name, k.kind.Name, kept))
		}
	}
}
