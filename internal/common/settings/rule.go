package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/keyring"
)

// rule is the parsed form of a rule tag, which is a kind of value, optionally followed
// by ",required".
type rule struct {
	kind     string
	required bool
}

func parseRule(tag string) rule {
	kind, option, _ := strings.Cut(tag, ",")
	return rule{kind: kind, required: option == "required"}
}

// wantByKind describes the allowed values of each kind, for messages. An address may be
// unspecified, such as 0.0.0.0:7002. A reachable address must not, because other
// processes connect to it. A file must be readable, a key-ring must be a valid key ring
// file, and an output must be in an existing directory. A positive value is a duration.
var wantByKind = map[string]string{
	"role":      "balancer, sidecar, flow-balancer or flow-sidecar",
	"label":     "1 to 200 printable characters",
	"name":      "1 to 63 lower-case letters, digits and hyphens that begin with a letter",
	"address":   "IP:port, such as 10.0.0.1:7002",
	"reachable": "IP:port that peers can reach, such as 10.0.0.1:7000",
	"ip":        "the IP address that clients reach, such as 10.0.0.1",
	"url":       "an http or https URL, such as http://127.0.0.1:8500",
	"host-port": "host:port, such as 127.0.0.1:4317",
	"file":      "a file that can be read",
	"key-ring":  "a key ring file that can be read",
	"output":    "a file in an existing directory",
	"positive":  "a duration above zero with its unit, such as 500ms or 1s",
	"rate":      "a number of megabits a second, such as 1000",
	"ratio":     "a number from 0 to 1",
	"third":     "a number from 0 to 0.33",
}

// labelPattern allows more than namePattern, because the platform may give any such
// name to a host or service.
var labelPattern = regexp.MustCompile(`^[!-~]{1,200}$`)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// want returns the description of the allowed values.
func (r rule) want() string { return wantByKind[r.kind] }

// check returns the problem of a decoded value, or "" if it is allowed.
func (r rule) check(value any) string {
	allowed, reason := true, ""
	switch v := value.(type) {
	case Role:
		allowed = v == RoleBalancer || v == RoleSidecar || v == RoleFlowBalancer || v == RoleFlowSidecar
	case netip.AddrPort:
		allowed = v.Port() != 0 && v.Addr().Zone() == "" && !v.Addr().IsMulticast() &&
			(r.kind != "reachable" || !v.Addr().IsUnspecified())
	case netip.Addr:
		allowed = !v.IsUnspecified() && !v.IsMulticast() && v.Zone() == ""
	case time.Duration:
		allowed = v > 0
	case float64:
		allowed = v >= 0 && (v <= 1 || r.kind == "rate") && (v <= 1./3 || r.kind != "third")
	case string:
		allowed, reason = r.checkText(v)
	}
	if allowed {
		return ""
	}
	if reason != "" {
		return fmt.Sprintf("%q: %s; want %s", value, reason, r.want())
	}
	return fmt.Sprintf("%q is not allowed; want %s", fmt.Sprint(value), r.want())
}

// checkText reports whether a text is allowed. The reason is set if the text
// names a file that cannot be used.
func (r rule) checkText(text string) (allowed bool, reason string) {
	switch r.kind {
	case "label":
		return labelPattern.MatchString(text), ""
	case "name":
		return namePattern.MatchString(text), ""
	case "url":
		return validURL(text), ""
	case "host-port":
		return validHostPort(text), ""
	case "file":
		_, err := readLimited(text)
		return err == nil, errorText(err)
	case "key-ring":
		data, err := readLimited(text)
		if err == nil {
			_, err = keyring.Parse(data)
		}
		return err == nil, errorText(err)
	case "output":
		info, err := os.Stat(filepath.Dir(text))
		return err == nil && info.IsDir(), ""
	default:
		return true, ""
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func validURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Hostname() == "" || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return false
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return false
	}
	return u.Port() == "" || validPort(u.Port())
}

func validHostPort(text string) bool {
	host, port, err := net.SplitHostPort(text)
	return err == nil && host != "" && validPort(port)
}

func validPort(text string) bool {
	port, err := strconv.ParseUint(text, 10, 16)
	return err == nil && port > 0
}
