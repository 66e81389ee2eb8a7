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
	// MaxServices is the most services of a contract. A transaction of the
	// platform holds 64 operations: one for the contract and one for each port
	// that is claimed, kept or released.
	MaxServices = 30
	// MaxKinds is the most kinds of work of a service.
	MaxKinds = 32
	// MaxUrgency is the highest urgency; the lowest is 0.
	MaxUrgency = 9
	// MaxDeadline is the longest deadline of a kind that is not a stream.
	MaxDeadline = 10 * clock.Minute

	maxNameLength = 63
	maxPathLength = 255
	maxPort       = 65535
	maxCount      = 1_000_000
	// maxStreamDeadline is 366 days in milliseconds; it keeps durations far from
	// overflow.
	maxStreamDeadline = 366 * 24 * 60 * int64(clock.Minute)
	// minShare is the smallest share above 0. Smaller numbers would be encoded
	// with an exponent, which the YAML library reads as text.
	minShare = 0.0001
	// shareTolerance absorbs rounding in sums such as 0.1 + 0.2 + 0.7.
	shareTolerance = 1e-9
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9-]+$`)
	// pathPattern allows the characters that RFC 3986 allows unescaped in a path.
	pathPattern = regexp.MustCompile(`^/[A-Za-z0-9\-._~!$&'()*+,;=:@/]*$`)
	methods     = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}
)

// object reads the keys of one mapping.
type object struct {
	reader *reader
	path   string
	keys   map[string]any
	// broken marks a value that is no mapping and already reported.
	broken bool
}

func (r *reader) object(path string, tree any, allowed ...string) object {
	keys, ok := tree.(map[string]any)
	if !ok {
		r.fault(path, "want a mapping with the keys %s", strings.Join(allowed, ", "))
		return object{reader: r, path: path, broken: true}
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
		r.fault(o.join(quoteKey(key)), "unknown key; want one of %s", strings.Join(allowed, ", "))
	}
	return o
}

// quoteKey keeps an operator's key on one line.
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

func (o object) optional(key string, value any) {
	if _, ok := o.keys[key]; !ok && !o.broken {
		o.keys[key] = value
	}
}

func (o object) value(key, want string) (any, bool) {
	value, ok := o.keys[key]
	if !ok && !o.broken {
		o.reader.fault(o.join(key), "missing; want %s", want)
	}
	return value, ok
}

func (o object) invalid(key string, value any, want string) {
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
	o.reader.fault(o.join(key), "%s is not allowed; want %s", shown, want)
}

func (o object) list(key string, most int) []any {
	want := fmt.Sprintf("a list with 1 to %d entries", most)
	value, ok := o.value(key, want)
	if !ok {
		return nil
	}
	items, ok := value.([]any)
	if !ok {
		o.invalid(key, value, want)
		return nil
	}
	if len(items) == 0 || len(items) > most {
		o.reader.fault(o.join(key), "has %d entries; want 1 to %d", len(items), most)
		return nil
	}
	return items
}

// text returns the string under key, or "" with a fault.
func (o object) text(key, want string, valid func(string) bool) string {
	value, ok := o.value(key, want)
	if !ok {
		return ""
	}
	text, ok := value.(string)
	if !ok || !valid(text) {
		o.invalid(key, value, want)
		return ""
	}
	return text
}

func (o object) name(key string) string {
	want := fmt.Sprintf("1 to %d lower-case letters, digits and hyphens", maxNameLength)
	return o.text(key, want, ValidName)
}

// ValidName reports whether name can be the name of a customer, a service or a
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
		o.invalid(key, value, "true or false")
	}
	return b
}

func (o object) integer(key string, least, most int64) int64 {
	want := fmt.Sprintf("a whole number from %d to %d", least, most)
	value, ok := o.value(key, want)
	if !ok {
		return 0
	}
	// The decoder returns uint64 for numbers from 0 and int64 below; numbers
	// below 0 are never allowed.
	n, ok := value.(uint64)
	if !ok || n < uint64(least) || n > uint64(most) {
		o.invalid(key, value, want)
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
		o.invalid(key, value, want)
		return 0
	}
	return share
}
