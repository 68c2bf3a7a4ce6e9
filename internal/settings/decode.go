package settings

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/stepcroft/stepcroft/internal/fair"
)

// ErrInvalid is matched by every error about the content of a file. The text of such an error
// has one line for each fault.
var ErrInvalid = errors.New("invalid settings")

// Fault is one mistake in a file.
type Fault struct {
	File string
	Line int
	// Field is the path of the field in the document, such as limits.queue. It is empty if the
	// field is not known.
	Field string
	// Problem says what is wrong and which values are allowed.
	Problem string
}

// String returns the fault as file:line: field: problem.
func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Problem)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Problem)
}

// Faults is an error that lists all mistakes in a file.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid; errors.Is calls it.
func (Faults) Is(target error) bool { return target == ErrInvalid }

// Duration is a time.Duration that is written with a unit in YAML, such as 700ms.
type Duration time.Duration

// UnmarshalYAML parses the value with time.ParseDuration.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	parsed, err := time.ParseDuration(node.Value)
	if err != nil {
		return &yaml.TypeError{Errors: []string{fmt.Sprintf(
			"line %d: %q is no duration with a unit, such as 700ms or 2s", node.Line, node.Value,
		)}}
	}
	*d = Duration(parsed)
	return nil
}

// ReadFile reads a file that holds one YAML document into a T; see Decode.
func ReadFile[T any](file string) (T, error) {
	var zero T
	data, err := os.ReadFile(file)
	if err != nil {
		return zero, errors.Wrap(err, "read settings")
	}
	return Decode[T](file, data)
}

// ReadFileAll reads a file that may hold several YAML documents into one T each; see Decode.
func ReadFileAll[T any](file string) ([]T, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return DecodeAll[T](file, data)
}

// Decode reads one YAML document into a T and checks it against the validate tags of T's fields
// and, if T is a Checker, against its Check method. It returns all faults at once, as Faults that
// name the given file.
func Decode[T any](file string, data []byte) (T, error) {
	docs, err := DecodeAll[T](file, data)
	if err != nil {
		var zero T
		return zero, err
	}
	if len(docs) != 1 {
		var zero T
		return zero, Faults{{File: file, Line: 1, Problem: fmt.Sprintf("want one YAML document, found %d", len(docs))}}
	}
	return docs[0], nil
}

// DecodeAll reads any number of YAML documents into one T each; see Decode. Each document is
// decoded twice: into a T, and into a node that has the line numbers for the faults.
func DecodeAll[T any](file string, data []byte) ([]T, error) {
	var (
		docs        []T
		faults      Faults
		nodeDecoder = yaml.NewDecoder(bytes.NewReader(data))
		typeDecoder = yaml.NewDecoder(bytes.NewReader(data))
	)
	typeDecoder.KnownFields(true)
	for {
		var (
			node yaml.Node
			doc  T
		)
		if err := nodeDecoder.Decode(&node); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return nil, append(faults, syntaxFault(file, err))
		}
		faults = append(faults, typeFaults(file, &node, typeDecoder.Decode(&doc))...)
		faults = append(faults, valueFaults(file, &node, doc)...)
		docs = append(docs, doc)
	}
	if len(faults) > 0 {
		slices.SortStableFunc(faults, func(a, b Fault) int { return a.Line - b.Line })
		return nil, faults
	}
	return docs, nil
}

// syntaxFault returns the fault for an error of the YAML parser, which stops at the first one.
func syntaxFault(file string, err error) Fault {
	line, problem := splitLineNumber(strings.TrimPrefix(err.Error(), "yaml: "))
	return Fault{File: file, Line: line, Problem: problem}
}

// splitLineNumber splits a message of the YAML library, "line N: problem", into line number and
// problem. The line is 1 if the message has none.
func splitLineNumber(text string) (int, string) {
	rest, ok := strings.CutPrefix(text, "line ")
	if !ok {
		return 1, text
	}
	number, problem, ok := strings.Cut(rest, ": ")
	line, err := strconv.Atoi(number)
	if !ok || err != nil {
		return 1, text
	}
	return line, problem
}

// typeFaults returns the faults for an error of decoding a document into its Go type: unknown
// fields and values of the wrong type.
func typeFaults(file string, node *yaml.Node, err error) Faults {
	if err == nil {
		return nil
	}
	var typeError *yaml.TypeError
	if !errors.As(err, &typeError) {
		return Faults{syntaxFault(file, err)}
	}
	var faults Faults
	for _, text := range typeError.Errors {
		line, problem := splitLineNumber(text)
		if field, _, ok := strings.Cut(problem, " not found in type"); ok {
			problem = "unknown " + field
		}
		field, _ := findField(node, "", line, problem)
		faults = append(faults, Fault{File: file, Line: line, Field: field, Problem: problem})
	}
	return faults
}

// findField returns the path of the scalar value that stands on the given line and is quoted in the
// problem, a message of the YAML library. It returns false if node has none.
func findField(node *yaml.Node, path string, line int, problem string) (string, bool) {
	quoted := strings.Contains(problem, "`"+node.Value+"`") || strings.Contains(problem, strconv.Quote(node.Value))
	if node.Kind == yaml.ScalarNode && node.Line == line && quoted {
		return path, true
	}
	for i, item := range node.Content {
		childPath := path
		switch node.Kind {
		case yaml.MappingNode:
			if i%2 == 0 {
				continue
			}
			childPath = strings.TrimPrefix(path+"."+node.Content[i-1].Value, ".")
		case yaml.SequenceNode:
			childPath = fmt.Sprintf("%s[%d]", path, i)
		}
		if found, ok := findField(item, childPath, line, problem); ok {
			return found, true
		}
	}
	return "", false
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	must(v.RegisterValidation("name", func(f validator.FieldLevel) bool { return isName(f.Field().String()) }))
	must(v.RegisterValidation("policy", func(f validator.FieldLevel) bool { return fair.Known(f.Field().String()) }))
	return v
}

// must panics if a validation could not be registered, which is a programming error.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// isName reports whether s is not empty and consists of lower-case letters, digits and hyphens.
func isName(s string) bool {
	for _, c := range s {
		lower := c >= 'a' && c <= 'z'
		digit := c >= '0' && c <= '9'
		if !lower && !digit && c != '-' {
			return false
		}
	}
	return s != ""
}

// Checker is implemented by types with rules that validate tags cannot express, such as those
// between several fields.
type Checker interface {
	// Check returns the rules that the value breaks.
	Check() []Problem
}

// Problem is a rule that a field breaks.
type Problem struct {
	// Field is the path of the field in the document, such as pools[0].name.
	Field string
	// Text says what is wrong and which values are allowed.
	Text string
}

// valueFaults returns the faults found by the validate tags and the Check method of doc.
func valueFaults(file string, node *yaml.Node, doc any) Faults {
	var faults Faults
	var invalid validator.ValidationErrors
	if err := validate.Struct(doc); errors.As(err, &invalid) {
		for _, e := range invalid {
			_, path, _ := strings.Cut(e.Namespace(), ".")
			faults = append(faults, Fault{
				File: file, Line: lineOf(node, path), Field: path, Problem: describeViolation(e),
			})
		}
	}
	if c, ok := doc.(Checker); ok {
		for _, p := range c.Check() {
			faults = append(faults, Fault{File: file, Line: lineOf(node, p.Field), Field: p.Field, Problem: p.Text})
		}
	}
	return faults
}

// describeViolation returns the text for a value that breaks the rule of a validate tag.
func describeViolation(e validator.FieldError) string {
	param := e.Param()
	if d, ok := durationParam(e); ok {
		param = d
	}
	switch e.Tag() {
	case "required":
		return "is missing"
	case "name":
		return fmt.Sprintf("%q may hold only a-z, 0-9 and -", e.Value())
	case "policy":
		return fmt.Sprintf("%q is none of %s", e.Value(), strings.Join(fair.Names(), ", "))
	case "oneof":
		return fmt.Sprintf("%q is none of %s", e.Value(), strings.ReplaceAll(param, " ", ", "))
	case "min":
		return fmt.Sprintf("is below the least allowed, %s", param)
	case "max":
		return fmt.Sprintf("is above the most allowed, %s", param)
	case "hostport":
		return fmt.Sprintf("%q is no IP number and port, such as 10.0.0.1:8080", e.Value())
	}
	return fmt.Sprintf("violates the rule %s %s", e.Tag(), param)
}

// durationParam returns the limit that a rule sets for a Duration as text with a unit; the tag
// has it in nanoseconds. It returns false if the field is no Duration.
func durationParam(e validator.FieldError) (string, bool) {
	if e.Type() != reflect.TypeFor[Duration]() {
		return "", false
	}
	n, err := strconv.ParseInt(e.Param(), 10, 64)
	return time.Duration(n).String(), err == nil
}

// lineOf returns the line of the value at a path such as pools[0].name, or of its nearest
// ancestor that exists.
func lineOf(node *yaml.Node, path string) int {
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	line := node.Line
	for key := range strings.FieldsFuncSeq(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		value := childNode(node, key)
		if value == nil {
			return line
		}
		node, line = value, value.Line
	}
	return line
}

// childNode returns the value of a mapping at a key or of a sequence at an index, or nil if there is
// none.
func childNode(node *yaml.Node, key string) *yaml.Node {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == key {
				return node.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		if i, err := strconv.Atoi(key); err == nil && i < len(node.Content) {
			return node.Content[i]
		}
	}
	return nil
}
