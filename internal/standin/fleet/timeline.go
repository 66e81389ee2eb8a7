package fleet

import (
	"fmt"
	"strings"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// timelineLength is how many events a timeline keeps.
const timelineLength = 40

// timeline holds the last events of a host, for the report of a violation.
type timeline struct {
	events []string
}

func (t *timeline) add(now clock.Millis, format string, arguments ...any) {
	t.events = append(t.events, fmt.Sprintf("%d ms: ", now)+fmt.Sprintf(format, arguments...))
	t.events = t.events[max(len(t.events)-timelineLength, 0):]
}

// String returns the events, one a line, the oldest first.
func (t *timeline) String() string { return strings.Join(t.events, "\n") }
