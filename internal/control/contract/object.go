package contract

import (
	"fmt"
	"path"
	"regexp"
	"slices"
	"strings"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// MaxServices is the maximum number of services in a contract. A
	// transaction of the platform holds at most 64 operations: one for the
	// contract, one for the change log, and one for each port that is claimed,
	// kept or released.
	MaxServices = 30
	// MaxKinds is the maximum number of kinds of work in a service.
	MaxKinds = 32
	// MaxUrgency is the highest urgency. The lowest is 0.
	MaxUrgency = 9
	// MaxDeadline is the longest deadline of a kind that is not a stream.
	MaxDeadline = 10 * clock.Minute

	maxNameLength = 63
	maxPathLength = 255
	maxPort       = 65535
	maxCount      = 1_000_000
	// maxStreamDeadline is 366 days in milliseconds, which is far from an
	// overflow of durations.
	maxStreamDeadline = 366 * 24 * 60 * int64(clock.Minute)
	// minShare is the smallest share above 0. Smaller numbers would be encoded
	// with an exponent, which the YAML library reads as text.
	minShare = 0.0001
	// shareTolerance allows for rounding in sums such as 0.1 + 0.2 + 0.7.
	shareTolerance = 1e-9
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9-]+$`)
	// pathPattern matches the characters that RFC 3986 allows unescaped in a
	// path.
	pathPattern = regexp.MustCompile(`^/[A-Za-z0-9\-._~!$&'()*+,;=:@/]*$`)
	methods     = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}
)

// object reads the keys of one mapping and reports invalid values.
type object struct {
	reader *documentReader
	path   string
	keys   map[string]any
	// reported is set if the value is not a mapping, which has already been
	// reported.
	reported bool
}

func (r *documentReader) object(path string, tree any, allowed ...string) object {
	keys, ok := tree.(map[string]any)
	if !ok {
		r.addViolation(path, "want a mapping with the keys %s", strings.Join(allowed, ", "))
		return object{reader: r, path: path, reported: true}
	}
	o := object{reader: r, path: path, keys: keys}
	var unknown []string
	for key := range keys {
		if !slices.Contains(allowed, key) {
			unknown = append(unknown, key)
		}
	}
	slices.Sort(unknown)
	for _, key := range unknown {
		r.addViolation(o.join(quoteKey(key)), "unknown key; want one of %s", strings.Join(allowed, ", "))
	}
	return o
}

// quoteKey quotes a key that is not a plain name, so that it stays on one line.
func quoteKey(key string) string {
	if namePattern.MatchString(key) {
		return key
	}
	return fmt.Sprintf("%q", key)
}

func (o object) join(key string) string {
	if o.path == "" {
		return key
	}
	return o.path + "." + key
}

// setDefault sets the value of an optional key that is missing.
func (o object) setDefault(key string, value any) {
	if _, ok := o.keys[key]; !ok && !o.reported {
		o.keys[key] = value
	}
}

func (o object) value(key, want string) (any, bool) {
	value, ok := o.keys[key]
	if !ok && !o.reported {
		o.reader.addViolation(o.join(key), "missing; want %s", want)
	}
	return value, ok
}

func (o object) rejectValue(key string, value any, want string) {
	shown := fmt.Sprintf("%q", fmt.Sprint(value))
	switch value.(type) {
	case nil:
		shown = "null"
	case bool, int64, uint64, float64:
		shown = fmt.Sprint(value)
	case map[string]any:
		shown = "a mapping"
	case []any:
		shown = "a list"
	}
	o.reader.addViolation(o.join(key), "%s is not allowed; want %s", shown, want)
}

func (o object) list(key string, maxItems int) []any {
	want := fmt.Sprintf("a list with 1 to %d entries", maxItems)
	value, ok := o.value(key, want)
	if !ok {
		return nil
	}
	items, ok := value.([]any)
	if !ok {
		o.rejectValue(key, value, want)
		return nil
	}
	if len(items) == 0 || len(items) > maxItems {
		o.reader.addViolation(o.join(key), "has %d entries; want 1 to %d", len(items), maxItems)
		return nil
	}
	return items
}

// text returns the string under key. It reports an invalid value and returns
// "".
func (o object) text(key, want string, valid func(string) bool) string {
	value, ok := o.value(key, want)
	if !ok {
		return ""
	}
	text, ok := value.(string)
	if !ok || !valid(text) {
		o.rejectValue(key, value, want)
		return ""
	}
	return text
}

func (o object) name(key string) string {
	want := fmt.Sprintf("1 to %d lower-case letters, digits and hyphens", maxNameLength)
	return o.text(key, want, ValidName)
}

// ValidName reports whether name is a valid name of a customer, a service or a
// kind.
func ValidName(name string) bool {
	return len(name) <= maxNameLength && namePattern.MatchString(name)
}

func (o object) method(key string) string {
	want := "one of " + strings.Join(methods, ", ")
	return o.text(key, want, func(s string) bool { return slices.Contains(methods, s) })
}

func (o object) pathPrefix(key string) string {
	want := fmt.Sprintf("an absolute path of at most %d unescaped URL characters, without empty, . and .. segments", maxPathLength)
	prefix := o.text(key, want, func(s string) bool {
		return len(s) <= maxPathLength && pathPattern.MatchString(s) && path.Clean(s) == withoutTrailingSlash(s)
	})
	return withoutTrailingSlash(prefix)
}

func withoutTrailingSlash(prefix string) string {
	if len(prefix) > 1 {
		return strings.TrimSuffix(prefix, "/")
	}
	return prefix
}

func (o object) boolean(key string) bool {
	value, ok := o.value(key, "true or false")
	if !ok {
		return false
	}
	b, ok := value.(bool)
	if !ok {
		o.rejectValue(key, value, "true or false")
	}
	return b
}

func (o object) integer(key string, minimum, maximum int64) int64 {
	want := fmt.Sprintf("a whole number from %d to %d", minimum, maximum)
	value, ok := o.value(key, want)
	if !ok {
		return 0
	}
	// The YAML library returns uint64 for numbers from 0 and int64 for numbers
	// below 0, which are never allowed.
	n, ok := value.(uint64)
	if !ok || n < uint64(minimum) || n > uint64(maximum) {
		o.rejectValue(key, value, want)
		return 0
	}
	return int64(n)
}

func (o object) share(key string) float64 {
	want := fmt.Sprintf("0, or a number from %g to 1", minShare)
	value, ok := o.value(key, want)
	if !ok {
		return 0
	}
	share := -1.0
	switch n := value.(type) {
	case uint64:
		share = float64(n)
	case float64:
		share = n
	}
	if share != 0 && !(share >= minShare && share <= 1) {
		o.rejectValue(key, value, want)
		return 0
	}
	return share
}
