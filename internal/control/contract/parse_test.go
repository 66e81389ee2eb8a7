package contract_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/control/contract"
)

const ferncliff = `customer: ferncliff-willow
services:
- name: bundle-desk
  port: 4443
  slots: 3
  flows: 2000
  kinds:
  - {name: availability, method: GET, path-prefix: /availability, urgency: 5, stream: true}
  - {name: hold, method: POST, path-prefix: /holds, urgency: 9, guaranteed-share: 0.7, ceiling: 1, deadline-ms: 5000}
  - {name: urgent-hold, method: POST, path-prefix: /holds/urgent/, urgency: 9, guaranteed-share: 0.2, ceiling: 1, deadline-ms: 5000}
  - {name: read, method: GET, path-prefix: /, guaranteed-share: 0.1, ceiling: 0.5, deadline-ms: 2000, repeatable: true}
`

func mustParse(c *qt.C, text string) contract.Contract {
	parsed, err := contract.Parse([]byte(text))
	c.Assert(err, qt.IsNil)
	return parsed
}

// TestParseReportsEveryViolation guards against a violation that hides others
// or does not name its key.
func TestParseReportsEveryViolation(t *testing.T) {
	c := qt.New(t)
	text := `customer: Ferncliff
contact: nobody
services:
- {name: desk, port: 70000, slots: 0, flows: x, kinds: []}
- name: yard
  port: 4444
  slots: 3
  flows: 2000
  kinds:
  - {name: photo, method: get, path-prefix: photos, urgency: 10, ceiling: 1.5, deadline-ms: 600001}
  - {name: photo, method: POST, path-prefix: /a/../b, guaranteed-share: 0.6, ceiling: 0.5}
  - {name: c, method: PUT, path-prefix: /c, guaranteed-share: 0.7, ceiling: .nan, deadline-ms: 1, stream: 1}
  - {name: d, method: PUT, path-prefix: /c/, ceiling: 1, deadline-ms: 1}
- {name: yard, port: 4444, slots: 1, flows: 1, kinds: [{name: e, method: PUT, path-prefix: /, ceiling: 1, deadline-ms: -5}]}
`
	_, err := contract.Parse([]byte(text))
	var invalid *contract.InvalidError
	c.Assert(errors.As(err, &invalid), qt.IsTrue)
	var paths []string
	for _, v := range invalid.Violations() {
		paths = append(paths, v.Path())
	}
	c.Assert(paths, qt.DeepEquals, []string{
		"contact", "customer",
		"services[0].port", "services[0].slots", "services[0].flows", "services[0].kinds",
		"services[1].kinds[0].method", "services[1].kinds[0].path-prefix", "services[1].kinds[0].urgency",
		"services[1].kinds[0].ceiling", "services[1].kinds[0].deadline-ms",
		"services[1].kinds[1].path-prefix", "services[1].kinds[1].deadline-ms",
		"services[1].kinds[2].stream", "services[1].kinds[2].ceiling",
		"services[1].kinds[1].name", "services[1].kinds[1].guaranteed-share",
		"services[1].kinds[2].guaranteed-share", "services[1].kinds[3].path-prefix", "services[1].kinds",
		"services[2].kinds[0].deadline-ms",
		"services[2].name", "services[2].port",
	})
	c.Assert(strings.Count(err.Error(), "\n"), qt.Equals, len(paths)-1)
	c.Assert(err, qt.ErrorMatches, `(?s).*services\[0\].port: 70000 is not allowed; want a whole number from 1 to 65535\n.*`)
}

// TestParseRejectsInvalidSyntax guards against texts that are not exactly one
// document without aliases.
func TestParseRejectsInvalidSyntax(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string]string{
		"":                                      "want exactly one YAML or JSON document",
		"a: [":                                  "not valid YAML or JSON: line 1, column 4: .*",
		"customer: a\ncustomer: b":              "not valid YAML or JSON: line 2, column 1: .*",
		ferncliff + "---\ncustomer: b":          "want exactly one YAML or JSON document",
		"customer: &a b\nservices: [*a]":        "want no YAML aliases",
		"[]":                                    "want a mapping with the keys customer, services",
		strings.Repeat(" ", contract.MaxSize+1): "has 65537 bytes; want at most 65536",
	} {
		_, err := contract.Parse([]byte(text))
		c.Check(err, qt.ErrorMatches, want)
	}
}

// TestParseLimitsStoredSize guards against a contract that is accepted but
// cannot be read back, because its stored form is longer.
func TestParseLimitsStoredSize(t *testing.T) {
	c := qt.New(t)
	var text strings.Builder
	text.WriteString("customer: a\nservices:\n")
	for service := range contract.MaxServices {
		fmt.Fprintf(&text, "- {name: s%d, port: %d, slots: 1, flows: 1, kinds: [", service, service+1)
		for kind := range contract.MaxKinds {
			fmt.Fprintf(&text, "{name: k%d, method: GET, path-prefix: /%d, stream: true},", kind, kind)
		}
		text.WriteString("]}\n")
	}
	c.Assert(text.Len() < contract.MaxSize, qt.IsTrue)
	_, err := contract.Parse([]byte(text.String()))
	c.Assert(err, qt.ErrorMatches, `takes \d+ bytes in JSON; want at most 65536`)
}

// TestMatch guards against requests that are subject to the limits of another
// kind.
func TestMatch(t *testing.T) {
	c := qt.New(t)
	service, ok := mustParse(c, ferncliff).Service("bundle-desk")
	c.Assert(ok, qt.IsTrue)
	for request, want := range map[string]string{
		"POST /holds":               "hold",
		"POST /holds/":              "hold",
		"POST /holds/urgently":      "hold",
		"POST /holds/urgent":        "urgent-hold",
		"POST //holds/./urgent/7":   "urgent-hold",
		"POST /holds/urgent/../7":   "hold",
		"POST /holdsworth":          "",
		"POST /holds/../../x":       "",
		"DELETE /holds":             "",
		"GET /availability/oak":     "availability",
		"GET /availability-history": "read",
		"GET ":                      "read",
	} {
		method, path, _ := strings.Cut(request, " ")
		kind, ok := service.Match(method, path)
		c.Check(kind.Name(), qt.Equals, want, qt.Commentf("%s", request))
		c.Check(ok, qt.Equals, want != "", qt.Commentf("%s", request))
	}
}

// TestDocument guards against two faults: the stored contract differs from the
// accepted one, or an older revision replaces a newer one.
func TestDocument(t *testing.T) {
	c := qt.New(t)
	parsed := mustParse(c, ferncliff)
	d, err := contract.NewDocument(parsed, 7, "change-a")
	c.Assert(err, qt.IsNil)
	data, err := d.Encode()
	c.Assert(err, qt.IsNil)
	read, err := contract.ParseDocument("ferncliff-willow", data)
	c.Assert(err, qt.IsNil)
	again, ok := read.Contract()
	c.Assert(ok, qt.IsTrue)
	c.Assert(fmt.Sprintf("%+v", again), qt.Equals, fmt.Sprintf("%+v", parsed))
	_, err = contract.ParseDocument("presa-digital", data)
	c.Assert(err, qt.ErrorMatches, `contract document of "presa-digital": contract: customer: "ferncliff-willow" is not "presa-digital"`)

	store := contract.NewStore()
	tombstone := contract.NewTombstone("ferncliff-willow", 8, "change-b")
	c.Assert(store.Apply(tombstone), qt.IsTrue)
	c.Assert(store.Apply(read), qt.IsFalse)
	held, ok := store.Document("ferncliff-willow")
	c.Assert(ok && held.Deleted(), qt.IsTrue)
	c.Assert(store.Documents(), qt.HasLen, 1)
}

// FuzzParse guards against crashes, violations that span several lines, and
// accepted contracts that change when they are stored and read back.
func FuzzParse(f *testing.F) {
	f.Add([]byte(ferncliff))
	f.Add([]byte(`{"customer":"a","services":[{"name":"b","port":1,"slots":1,"flows":1,"kinds":[]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		parsed, err := contract.Parse(data)
		if err != nil {
			var invalid *contract.InvalidError
			c.Assert(errors.As(err, &invalid), qt.IsTrue)
			c.Assert(strings.Count(err.Error(), "\n"), qt.Equals, len(invalid.Violations())-1)
			return
		}
		encoded, err := parsed.MarshalJSON()
		c.Assert(err, qt.IsNil)
		again, err := contract.Parse(encoded)
		c.Assert(err, qt.IsNil)
		readable, err := parsed.MarshalYAML()
		c.Assert(err, qt.IsNil)
		fromYAML, err := contract.Parse(readable)
		c.Assert(err, qt.IsNil)
		for _, other := range []contract.Contract{again, fromYAML} {
			reencoded, err := other.MarshalJSON()
			c.Assert(err, qt.IsNil)
			c.Assert(string(reencoded), qt.Equals, string(encoded))
		}
	})
}

// FuzzParseDocument guards against crashes and against documents that change
// when they are stored again.
func FuzzParseDocument(f *testing.F) {
	f.Add([]byte(`{"revision":3,"change-id":"x","deleted":true}`))
	f.Add([]byte(`{"revision":1,"change-id":"x","contract":{"customer":"a","services":[{"name":"b","port":1,"slots":1,"flows":1,"kinds":[{"name":"k","method":"GET","path-prefix":"/&","stream":true}]}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		d, err := contract.ParseDocument("a", data)
		if err != nil {
			return
		}
		encoded, err := d.Encode()
		c.Assert(err, qt.IsNil)
		again, err := contract.ParseDocument("a", encoded)
		c.Assert(err, qt.IsNil)
		reencoded, err := again.Encode()
		c.Assert(err, qt.IsNil)
		c.Assert(string(reencoded), qt.Equals, string(encoded))
	})
}
