package contract

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxSize is the maximum size of a contract in bytes. It applies to the text
// that the operator wrote and to the JSON form that is stored.
const MaxSize = 64 << 10

// Violation is one violation of the contract format.
type Violation struct {
	path    string
	message string
}

// InvalidError lists every violation in a contract.
type InvalidError struct {
	violations []Violation
}

// Path returns the key, such as services[0].kinds[2].ceiling. It is "" if the
// violation concerns the whole contract.
func (v Violation) Path() string { return v.path }

// String returns one line with the key and the allowed values.
func (v Violation) String() string {
	if v.path == "" {
		return v.message
	}
	return v.path + ": " + v.message
}

// Violations returns the violations, mostly in the order of the contract. Those
// that concern several services or kinds follow the others of their list.
func (e *InvalidError) Violations() []Violation { return e.violations }

// Error returns one line for each violation.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.violations))
	for i, v := range e.violations {
		lines[i] = v.String()
	}
	return strings.Join(lines, "\n")
}

// Parse reads and validates a contract in YAML or JSON. The error is an
// *InvalidError that lists every violation. A syntax error is listed alone.
func Parse(data []byte) (Contract, error) {
	r := &documentReader{}
	tree := r.tree(data)
	if len(r.violations) > 0 {
		return Contract{}, &InvalidError{violations: r.violations}
	}
	c := Contract{document: r.contract(tree)}
	if len(r.violations) > 0 {
		return Contract{}, &InvalidError{violations: r.violations}
	}
	return c, c.checkSize()
}

// checkSize limits the size of the stored form. That form can be longer than
// the operator's file, because it contains every key.
func (c Contract) checkSize() error {
	encoded, err := c.MarshalJSON()
	if err != nil {
		return err
	}
	if len(encoded) > MaxSize {
		violation := Violation{message: fmt.Sprintf("takes %d bytes in JSON; want at most %d", len(encoded), MaxSize)}
		return &InvalidError{violations: []Violation{violation}}
	}
	return nil
}

// documentReader converts decoded YAML to a document and collects violations.
type documentReader struct {
	violations []Violation
}

func (r *documentReader) addViolation(path, format string, arguments ...any) {
	r.violations = append(r.violations, Violation{path: path, message: fmt.Sprintf(format, arguments...)})
}

func (r *documentReader) tree(data []byte) any {
	if len(data) > MaxSize {
		r.addViolation("", "has %d bytes; want at most %d", len(data), MaxSize)
		return nil
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		r.addSyntaxError(err)
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		r.addViolation("", "want exactly one YAML or JSON document")
		return nil
	}
	// With aliases, a small file could expand to gigabytes.
	if len(ast.Filter(ast.AliasType, file.Docs[0].Body)) > 0 {
		r.addViolation("", "want no YAML aliases")
		return nil
	}
	var tree any
	if err := yaml.NodeToValue(file.Docs[0].Body, &tree); err != nil {
		r.addSyntaxError(err)
	}
	return tree
}

// addSyntaxError reports an error of the YAML library without the quoted
// source, which spans several lines.
func (r *documentReader) addSyntaxError(err error) {
	message := err.Error()
	if located, ok := err.(yaml.Error); ok {
		message = located.GetMessage()
		if token := located.GetToken(); token != nil && token.Position != nil {
			message = fmt.Sprintf("line %d, column %d: %s", token.Position.Line, token.Position.Column, message)
		}
	}
	r.addViolation("", "not valid YAML or JSON: %s", strings.Join(strings.Fields(message), " "))
}

func (r *documentReader) contract(tree any) document {
	o := r.object("", tree, "customer", "services")
	d := document{Customer: o.name("customer")}
	for i, item := range o.list("services", MaxServices) {
		d.Services = append(d.Services, r.service(fmt.Sprintf("services[%d]", i), item))
	}
	r.checkServices(d.Services)
	return d
}

func (r *documentReader) service(path string, tree any) serviceDocument {
	o := r.object(path, tree, "name", "port", "slots", "flows", "kinds")
	d := serviceDocument{
		Name:  o.name("name"),
		Port:  uint16(o.integer("port", 1, maxPort)),
		Slots: int(o.integer("slots", 1, maxCount)),
		Flows: int(o.integer("flows", 1, maxCount)),
	}
	for i, item := range o.list("kinds", MaxKinds) {
		d.Kinds = append(d.Kinds, r.kind(fmt.Sprintf("%s.kinds[%d]", path, i), item))
	}
	r.checkKinds(path, d.Kinds)
	return d
}

func (r *documentReader) kind(path string, tree any) kindDocument {
	o := r.object(path, tree, "name", "method", "path-prefix", "urgency", "guaranteed-share",
		"ceiling", "deadline-ms", "repeatable", "stream")
	o.setDefault("urgency", uint64(0))
	o.setDefault("guaranteed-share", uint64(0))
	o.setDefault("repeatable", false)
	o.setDefault("stream", false)
	d := kindDocument{
		Name:       o.name("name"),
		Method:     o.method("method"),
		PathPrefix: o.pathPrefix("path-prefix"),
		Urgency:    int(o.integer("urgency", 0, MaxUrgency)),
		Repeatable: o.boolean("repeatable"),
		Stream:     o.boolean("stream"),
	}
	minDeadline, maxDeadline := int64(1), int64(MaxDeadline)
	if d.Stream {
		minDeadline, maxDeadline = 0, maxStreamDeadline
		o.setDefault("ceiling", uint64(1))
		o.setDefault("deadline-ms", uint64(0))
	}
	d.GuaranteedShare = o.share("guaranteed-share")
	d.Ceiling = o.share("ceiling")
	d.DeadlineMillis = o.integer("deadline-ms", minDeadline, maxDeadline)
	return d
}
