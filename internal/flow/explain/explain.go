// Package explain finds in the logs of all processes what happened to one request or
// flow.
package explain

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLine is the longest line of a log in bytes.
const maxLine = 64 << 10

// Line is a line of a log that concerns a flow.
type Line struct {
	at   time.Time
	text string
	host string
}

// At returns the time at which the line was written, by the clock of its host.
func (l Line) At() time.Time { return l.at }

// Host returns the host that wrote the line.
func (l Line) Host() string { return l.host }

// Text returns the event and its fields.
func (l Line) Text() string { return l.text }

// Timeline is what the logs say of a flow.
type Timeline struct {
	flow  string
	lines []Line
}

// Flow returns the flow as client>service, or nothing if the logs do not name it.
func (s Timeline) Flow() string { return s.flow }

// Lines returns the lines in order of time.
func (s Timeline) Lines() []Line { return s.lines }

// Search reads logs and returns the story of a request, by its identifier, or of a
// flow, by client>service. A port is used again by later flows, so that only lines
// within the window around the request count.
func Search(logs []io.Reader, name string, window time.Duration) (Timeline, error) {
	var all []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			if line, ok := parse(scanner.Text()); ok {
				all = append(all, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return Timeline{}, err
		}
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.at.Compare(b.at) })
	if strings.Contains(name, ">") {
		return Timeline{flow: name, lines: only(all, func(l Line) bool { return field(l.text, "flow") == name })}, nil
	}
	found := only(all, func(l Line) bool { return field(l.text, "request") == name })
	if len(found) == 0 {
		return Timeline{}, nil
	}
	flow, at := field(found[0].text, "flow"), found[0].at
	return Timeline{flow: flow, lines: only(all, func(l Line) bool {
		return field(l.text, "flow") == flow && at.Sub(l.at).Abs() <= window
	})}, nil
}

func only(lines []Line, keep func(Line) bool) []Line {
	return slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return !keep(l) })
}

// parse reads a line of key=value pairs. Text before the time is left out, such as
// the name that a collector adds.
func parse(text string) (Line, bool) {
	start := strings.Index(text, "time=")
	event := strings.Index(text, "event=")
	if start < 0 || event < 0 {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, field(text, "time"))
	if err != nil {
		return Line{}, false
	}
	return Line{at: at, text: text[event:], host: field(text, "host")}, true
}

// field returns the value of a key, or nothing.
func field(text, key string) string {
	for pair := range strings.FieldsSeq(text) {
		if value, ok := strings.CutPrefix(pair, key+"="); ok {
			return value
		}
	}
	return ""
}
