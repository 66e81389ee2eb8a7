package contract

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxSize is the largest size of a contract in bytes, both as written by the
// operator and in the JSON form that is stored.
const MaxSize = 64 << 10

// Violation is one violation of the contract format.
type Violation struct {
	path    string
	message string
}

// InvalidError holds every fault of a contract.
type InvalidError struct {
	faults []Violation
}

// Path returns the key, such as services[0].kinds[2].ceiling, or "" if the fault
// concerns the whole contract.
func (f Violation) Path() string { return f.path }

// String returns one line with the key and what is allowed.
func (f Violation) String() string {
	if f.path == "" {
		return f.message
	}
	return f.path + ": " + f.message
}

// Violations returns the violations in the order of the contract.
func (e *InvalidError) Violations() []Violation { return e.faults }

// Error returns one line for each fault.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.faults))
	for i, f := range e.faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Parse reads a contract from YAML or JSON and checks it as a whole. The error
// is an *InvalidError that lists every fault; faults of syntax are listed alone.
func Parse(data []byte) (Contract, error) {
	r := &reader{}
	tree := r.tree(data)
	if len(r.faults) > 0 {
		return Contract{}, &InvalidError{faults: r.faults}
	}
	c := Contract{document: r.contract(tree)}
	if len(r.faults) > 0 {
		return Contract{}, &InvalidError{faults: r.faults}
	}
	return c, c.checkSize()
}

// checkSize bounds the stored form, which can be longer than the operator's file
// because it contains every key.
func (c Contract) checkSize() error {
	encoded, err := c.MarshalJSON()
	if err != nil {
		return err
	}
	if len(encoded) > MaxSize {
		fault := Violation{message: fmt.Sprintf("takes %d bytes in JSON; want at most %d", len(encoded), MaxSize)}
		return &InvalidError{faults: []Violation{fault}}
	}
	return nil
}

// reader converts decoded YAML to a document and collects faults.
type reader struct {
	faults []Violation
}

func (r *reader) fault(path, format string, arguments ...any) {
	r.faults = append(r.faults, Violation{path: path, message: fmt.Sprintf(format, arguments...)})
}

func (r *reader) tree(data []byte) any {
	if len(data) > MaxSize {
		r.fault("", "has %d bytes; want at most %d", len(data), MaxSize)
		return nil
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		r.syntax(err)
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		r.fault("", "want exactly one YAML or JSON document")
		return nil
	}
	// Aliases let a small file expand to gigabytes.
	if len(ast.Filter(ast.AliasType, file.Docs[0].Body)) > 0 {
		r.fault("", "want no YAML aliases")
		return nil
	}
	var tree any
	if err := yaml.NodeToValue(file.Docs[0].Body, &tree); err != nil {
		r.syntax(err)
	}
	return tree
}

// syntax reports a fault of the YAML library without the quoted source, which
// spans several lines.
func (r *reader) syntax(err error) {
	message := err.Error()
	if located, ok := err.(yaml.Error); ok {
		message = located.GetMessage()
		if token := located.GetToken(); token != nil && token.Position != nil {
			message = fmt.Sprintf("line %d, column %d: %s", token.Position.Line, token.Position.Column, message)
		}
	}
	r.fault("", "not valid YAML or JSON: %s", strings.Join(strings.Fields(message), " "))
}

func (r *reader) contract(tree any) document {
	o := r.object("", tree, "customer", "services")
	d := document{Customer: o.name("customer")}
	for i, item := range o.list("services", MaxServices) {
		d.Services = append(d.Services, r.service(fmt.Sprintf("services[%d]", i), item))
	}
	r.checkServices(d.Services)
	return d
}

func (r *reader) service(path string, tree any) serviceDocument {
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

func (r *reader) kind(path string, tree any) kindDocument {
	o := r.object(path, tree, "name", "method", "path-prefix", "urgency", "guaranteed-share",
		"ceiling", "deadline-ms", "repeatable", "stream")
	o.optional("urgency", uint64(0))
	o.optional("guaranteed-share", uint64(0))
	o.optional("repeatable", false)
	o.optional("stream", false)
	d := kindDocument{
		Name:       o.name("name"),
		Method:     o.method("method"),
		PathPrefix: o.pathPrefix("path-prefix"),
		Urgency:    int(o.integer("urgency", 0, MaxUrgency)),
		Repeatable: o.boolean("repeatable"),
		Stream:     o.boolean("stream"),
	}
	shortest, longest := int64(1), int64(MaxDeadline)
	if d.Stream {
		shortest, longest = 0, maxStreamDeadline
		o.optional("ceiling", uint64(1))
		o.optional("deadline-ms", uint64(0))
	}
	d.GuaranteedShare = o.share("guaranteed-share")
	d.Ceiling = o.share("ceiling")
	d.DeadlineMillis = o.integer("deadline-ms", shortest, longest)
	return d
}
