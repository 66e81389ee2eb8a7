package settings

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxFileSize limits how many bytes a process reads from a wrong path.
const maxFileSize = 1 << 20

// readLimited returns the content of a regular file of at most maxFileSize bytes. Its
// errors do not name the file.
func readLimited(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Unwrap(err)
	}
	// Opening a named pipe would block the check, and so would reading from a device
	// such as a terminal.
	if !info.Mode().IsRegular() {
		return nil, errors.New("not a regular file")
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Unwrap(err)
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxFileSize+1))
	if err != nil {
		return nil, errors.Unwrap(err)
	}
	if len(data) > maxFileSize {
		return nil, fmt.Errorf("longer than %d bytes", maxFileSize)
	}
	return data, nil
}

func readSettings(path string) ([]byte, Faults) {
	data, err := readLimited(path)
	if err != nil {
		return nil, Faults{{File: path, Problem: fmt.Sprintf("%v; want a settings file in YAML", err)}}
	}
	return data, nil
}

// decoder decodes YAML into a struct and collects all faults. The decoder of the
// library stops at the first one.
type decoder struct {
	source
	faults Faults
	// malformed is set if the file is not a single YAML mapping. Keys are then not
	// reported as missing.
	malformed bool
}

func (d *decoder) decode(data []byte, target any) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		d.malformed = true
		d.faults = append(d.faults, syntaxFault(d.file, err))
		return
	}
	var body ast.Node
	if len(file.Docs) == 1 {
		body = file.Docs[0].Body
	}
	values, ok := mappingValues(body)
	if !ok {
		d.malformed = true
		d.faults = append(d.faults, Fault{File: d.file, Problem: "want one YAML document with a mapping of keys to values"})
		return
	}
	d.decodeMapping(values, "", reflect.ValueOf(target).Elem())
}

// syntaxFault returns the fault for an error of the YAML parser, with its line if known.
func syntaxFault(path string, err error) Fault {
	fault := Fault{File: path, Problem: "not valid YAML"}
	var yamlError yaml.Error
	if errors.As(err, &yamlError) {
		fault.Problem = "not valid YAML: " + yamlError.GetMessage()
		if token := yamlError.GetToken(); token != nil && token.Position != nil {
			fault.Line = token.Position.Line
		}
	}
	return fault
}

// mappingValues returns the keys and values of a mapping node. It returns false if node
// is not a mapping.
func mappingValues(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

// field is the target of one key of a mapping.
type field struct {
	value reflect.Value
	rule  rule
}

// fields returns the keys of a struct in the order of declaration. The keys of embedded
// structs count as keys of the struct itself.
func fields(v reflect.Value) (names []string, byName map[string]field) {
	byName = map[string]field{}
	var add func(reflect.Value)
	add = func(v reflect.Value) {
		for i := range v.NumField() {
			info := v.Type().Field(i)
			if !info.IsExported() {
				continue
			}
			if info.Anonymous {
				add(v.Field(i))
				continue
			}
			name := info.Tag.Get("yaml")
			names = append(names, name)
			byName[name] = field{value: v.Field(i), rule: parseRule(info.Tag.Get("rule"))}
		}
	}
	add(v)
	return names, byName
}

// decodeMapping decodes the keys of a mapping into a struct, and reports unknown and
// missing keys. prefix is the path of the mapping with a final dot, or empty.
func (d *decoder) decodeMapping(values []*ast.MappingValueNode, prefix string, target reflect.Value) {
	names, byName := fields(target)
	given := map[string]bool{}
	for _, value := range values {
		name := value.Key.String()
		if key, ok := value.Key.(*ast.StringNode); ok {
			name = key.Value
		}
		path := prefix + name
		d.lines[path] = lineOf(value.Key)
		f, ok := byName[name]
		if !ok {
			d.addFault(path, "unknown key; want one of "+strings.Join(names, ", "))
			continue
		}
		given[name] = true
		d.decodeValue(value.Value, path, f)
	}
	for _, name := range names {
		if f := byName[name]; f.rule.required && !given[name] {
			d.addFault(prefix+name, "missing; want "+f.rule.want())
		}
	}
}

// lineOf returns the line of a node, counted from 1, or 0 if it is not known.
func lineOf(node ast.Node) int {
	if token := node.GetToken(); token != nil && token.Position != nil {
		return token.Position.Line
	}
	return 0
}

func (d *decoder) addFault(key, problem string) {
	d.faults = append(d.faults, d.fault(key, problem))
}

// decodeValue decodes one value and checks it against the rule of its field.
func (d *decoder) decodeValue(node ast.Node, path string, f field) {
	switch f.value.Kind() {
	case reflect.Struct:
		if values, ok := mappingValues(node); ok {
			d.decodeMapping(values, path+".", f.value)
			return
		}
		if !isTextStruct(f.value) {
			names, _ := fields(f.value)
			d.addFault(path, "want a mapping with the keys "+strings.Join(names, ", "))
			return
		}
	case reflect.Slice:
		d.decodeList(node, path, f)
		return
	case reflect.Pointer:
		f.value.Set(reflect.New(f.value.Type().Elem()))
		f.value = f.value.Elem()
	}
	text, ok := scalarText(node, f.value)
	if !ok {
		d.addFault(path, fmt.Sprintf("wrong type; want %s", f.rule.want()))
		return
	}
	if err := setScalar(f.value, text); err != nil || text == "" {
		d.addFault(path, fmt.Sprintf("%q is not allowed; want %s", text, f.rule.want()))
		return
	}
	if problem := f.rule.check(f.value.Interface()); problem != "" {
		d.addFault(path, problem)
	}
}

// decodeList decodes a list. Each item is checked against the rule of the field.
func (d *decoder) decodeList(node ast.Node, path string, f field) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addFault(path, "wrong type; want a list, each item "+f.rule.want())
		return
	}
	for i, item := range sequence.Values {
		itemPath := path + "[" + strconv.Itoa(i) + "]"
		d.lines[itemPath] = lineOf(item)
		element := reflect.New(f.value.Type().Elem()).Elem()
		d.decodeValue(item, itemPath, field{value: element, rule: f.rule})
		f.value.Set(reflect.Append(f.value, element))
	}
}

// isTextStruct reports whether v is a struct type that YAML holds as one string.
func isTextStruct(v reflect.Value) bool {
	switch v.Interface().(type) {
	case netip.AddrPort, netip.Addr:
		return true
	default:
		return false
	}
}

// scalarText returns the text of a scalar node. It returns false if the node is not a
// scalar or its YAML type does not fit v.
func scalarText(node ast.Node, v reflect.Value) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, v.Kind() != reflect.Float64
	case *ast.IntegerNode:
		return n.Token.Value, v.Kind() != reflect.String
	case *ast.FloatNode:
		return n.Token.Value, v.Kind() != reflect.String
	default:
		return "", false
	}
}

func setScalar(v reflect.Value, text string) error {
	switch target := v.Addr().Interface().(type) {
	case *netip.AddrPort:
		return target.UnmarshalText([]byte(text))
	case *netip.Addr:
		return target.UnmarshalText([]byte(text))
	case *time.Duration:
		duration, err := time.ParseDuration(text)
		*target = duration
		return err
	case *float64:
		number, err := strconv.ParseFloat(text, 64)
		*target = number
		return err
	default:
		v.SetString(text)
		return nil
	}
}
