package cli

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/stepcroft/stepcroft/internal/settings"
)

// decodeWithFields decodes a YAML text as a T after changing fields in it. Each entry of set is the
// path of a field and its new value in YAML, such as limits.queue=50.
func decodeWithFields[T any](text []byte, set []string) (T, error) {
	var zero T
	fields := map[string]any{}
	if err := yaml.Unmarshal(text, &fields); err != nil {
		return zero, errors.Wrap(err, "parse YAML")
	}
	for _, s := range set {
		path, value, ok := strings.Cut(s, "=")
		if !ok {
			return zero, errors.Wrapf(errUsage, "--set %q: want field=value", s)
		}
		var parsed any
		if err := yaml.Unmarshal([]byte(value), &parsed); err != nil {
			return zero, errors.Wrapf(errUsage, "--set %q: %v", s, err)
		}
		setField(fields, strings.Split(path, "."), parsed)
	}
	out, err := yaml.Marshal(fields)
	if err != nil {
		return zero, errors.Wrap(err, "write YAML")
	}
	return settings.Decode[T]("command line", out)
}

// setField sets the field at a path, and creates the mappings on the way that do not exist.
func setField(fields map[string]any, path []string, value any) {
	if len(path) == 1 {
		fields[path[0]] = value
		return
	}
	next, ok := fields[path[0]].(map[string]any)
	if !ok {
		next = map[string]any{}
		fields[path[0]] = next
	}
	setField(next, path[1:], value)
}

// fieldLines returns the fields of a JSON object as sorted lines of path=value.
func fieldLines(body []byte) []string {
	var lines []string
	for path, value := range fieldValues(body) {
		lines = append(lines, path+"="+value)
	}
	slices.Sort(lines)
	return lines
}

// changedFields returns a line for each field that differs between two JSON objects.
func changedFields(before, after []byte) []string {
	a, b := fieldValues(before), fieldValues(after)
	paths := maps.Clone(a)
	maps.Copy(paths, b)
	var lines []string
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if a[path] != b[path] {
			lines = append(lines, fmt.Sprintf("%s: %s -> %s", path, valueOrNotSet(a, path), valueOrNotSet(b, path)))
		}
	}
	return lines
}

func valueOrNotSet(m map[string]string, path string) string {
	if v, ok := m[path]; ok {
		return v
	}
	return "(not set)"
}

// fieldValues maps the paths of a JSON object's fields, those of nested objects included, to their
// values in JSON. Text that is not JSON has no fields.
func fieldValues(body []byte) map[string]string {
	out := map[string]string{}
	var v any
	if json.Unmarshal(body, &v) == nil {
		collectFields(out, "", v)
	}
	return out
}

// collectFields adds v to out under its path or, if v is an object, the fields in it.
func collectFields(out map[string]string, path string, v any) {
	fields, ok := v.(map[string]any)
	if !ok {
		text, err := json.Marshal(v)
		if err == nil {
			out[path] = string(text)
		}
		return
	}
	for name, value := range fields {
		collectFields(out, strings.TrimPrefix(path+"."+name, "."), value)
	}
}
