// Package explain searches the logs of all processes for the lines about one request or
// flow.
package explain

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineSize is the maximum length of a log line in bytes.
const maxLineSize = 64 << 10

// Line is a log line about a flow.
type Line struct {
	at   time.Time
	text string
	host string
}

// At returns the time at which the line was written, according to the clock of its host.
func (l Line) At() time.Time { return l.at }

// Host returns the name of the host that wrote the line.
func (l Line) Host() string { return l.host }

// Text returns the event and the fields after it, as they stand in the log.
func (l Line) Text() string { return l.text }

// Timeline holds the log lines about one flow.
type Timeline struct {
	flow  string
	lines []Line
}

// Flow returns the flow as client>service. It is "" if the logs do not contain the request
// for which they were searched.
func (t Timeline) Flow() string { return t.flow }

// Lines returns the lines in order of time.
func (t Timeline) Lines() []Line { return t.lines }

// Search reads logs and returns the timeline of a request, given its identifier, or of a
// flow, given as client>service. For a request, only lines within the window before and
// after its first line count, because later flows reuse the client's port. An unknown
// request has an empty timeline. An error means that a log cannot be read or has a line
// longer than 64 KiB.
func Search(logs []io.Reader, name string, window time.Duration) (Timeline, error) {
	var all []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineSize)
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
		return Timeline{flow: name, lines: filter(all, func(l Line) bool { return field(l.text, "flow") == name })}, nil
	}
	requestLines := filter(all, func(l Line) bool { return field(l.text, "request") == name })
	if len(requestLines) == 0 {
		return Timeline{}, nil
	}
	flow, at := field(requestLines[0].text, "flow"), requestLines[0].at
	return Timeline{flow: flow, lines: filter(all, func(l Line) bool {
		return field(l.text, "flow") == flow && at.Sub(l.at).Abs() <= window
	})}, nil
}

func filter(lines []Line, keep func(Line) bool) []Line {
	return slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return !keep(l) })
}

// parse parses a line of key=value pairs. It ignores text before the time, such as the
// name that a log collector adds. It returns false for a line without a time or event.
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

// field returns the value of a key, or "" if the text does not have the key.
func field(text, key string) string {
	for pair := range strings.FieldsSeq(text) {
		if value, ok := strings.CutPrefix(pair, key+"="); ok {
			return value
		}
	}
	return ""
}
