package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a settings file.
type Fault struct {
	// File is the path of the settings file.
	File string
	// Line counts from 1. It is 0 if the fault, such as a missing key, has no line.
	Line int
	// Key is the path of the key, such as platform.address. It is empty if the fault
	// concerns the whole file.
	Key string
	// Problem says what is wrong and what is allowed.
	Problem string
}

// Error returns file, line, key and problem on one line. Line breaks are escaped.
func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	if f.Key != "" {
		b.WriteString(": " + f.Key)
	}
	b.WriteString(": " + f.Problem)
	return strings.NewReplacer("\n", `\n`, "\r", `\r`).Replace(b.String())
}

// Faults holds all faults of one or several files.
type Faults []Fault

// Error returns the faults, one on each line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

func (f Faults) sort() {
	slices.SortStableFunc(f, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
}
