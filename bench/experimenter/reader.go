package experimenter

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"sycamorerun"
	"sycamorerun/parser"
)

// Codes of faults. They are those of the settings files where both have the
// fault.
const (
	CodeSyntax       = parser.CodeSyntax
	CodeUnknownField = parser.CodeUnknownField
	CodeMissingField = parser.CodeMissingField
	CodeDuplicate    = parser.CodeDuplicate
	CodeWrongType    = parser.CodeWrongType
	CodeMissingUnit  = parser.CodeMissingUnit
	CodeOutOfBounds  = parser.CodeOutOfBounds
	CodeBadName      = parser.CodeBadName
	CodeBadValue     = parser.CodeBadValue
	CodeNoTarget     = "no-target"
	CodeTooMany      = parser.CodeTooMany
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,38}[a-z0-9])?$`)
	numberPattern = regexp.MustCompile(`^[0-9]+(\.[0-9]+)?$`)
)

// decode reads a value from a node.
type decode func(r *reader, node *yaml.Node, path string)

// field is a field of an object.
type field struct {
	required bool
	decode   decode
}

// reader collects the faults of a file.
type reader struct{ faults []sycamorerun.Fault }

func (r *reader) fault(node *yaml.Node, code, path, format string, arguments ...any) {
	line := 0
	if node != nil {
		line = node.Line
	}
	r.faults = append(r.faults, sycamorerun.Fault{Code: code, Path: path, Line: line, Reason: fmt.Sprintf(format, arguments...)})
}

// join returns the path of a field.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// entries calls visit for each key of a mapping.
func (r *reader) entries(node *yaml.Node, path string, visit func(key, value *yaml.Node)) bool {
	if node.Kind != yaml.MappingNode {
		r.fault(node, CodeWrongType, path, "a mapping is needed")
		return false
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		if seen[key.Value] {
			r.fault(key, CodeDuplicate, join(path, key.Value), "the key occurs twice")
			continue
		}
		seen[key.Value] = true
		visit(key, value)
	}
	return true
}

// object reads a mapping with known fields.
func (r *reader) object(node *yaml.Node, path string, fields map[string]field) {
	seen := map[string]bool{}
	known := r.entries(node, path, func(key, value *yaml.Node) {
		known, ok := fields[key.Value]
		if !ok {
			r.fault(key, CodeUnknownField, join(path, key.Value), "there is no such field")
			return
		}
		seen[key.Value] = true
		known.decode(r, value, join(path, key.Value))
	})
	if !known {
		return
	}
	for name, f := range fields {
		if f.required && !seen[name] {
			r.fault(node, CodeMissingField, join(path, name), "the field is required")
		}
	}
}

// each reads a mapping from names to objects of the same kind.
func each(visit func(r *reader, name string, node *yaml.Node, path string)) decode {
	return func(r *reader, node *yaml.Node, path string) {
		r.entries(node, path, func(key, value *yaml.Node) {
			if !namePattern.MatchString(key.Value) {
				r.fault(key, CodeBadName, join(path, key.Value), "a name has 1 to 40 of a-z, 0-9 and -")
			}
			visit(r, key.Value, value, join(path, key.Value))
		})
	}
}

// scalar returns the text of a scalar with one of the tags.
func (r *reader) scalar(node *yaml.Node, path, wanted string, tags ...string) (string, bool) {
	if node.Kind != yaml.ScalarNode || !slices.Contains(tags, node.Tag) {
		r.fault(node, CodeWrongType, path, "%s is needed", wanted)
		return "", false
	}
	return node.Value, true
}

func text(to *string) decode {
	return func(r *reader, node *yaml.Node, path string) {
		*to, _ = r.scalar(node, path, "a text", "!!str")
	}
}

func name(to *string) decode {
	return func(r *reader, node *yaml.Node, path string) {
		value, ok := r.scalar(node, path, "a name", "!!str")
		if ok && !namePattern.MatchString(value) {
			r.fault(node, CodeBadName, path, "a name has 1 to 40 of a-z, 0-9 and -")
		}
		*to = value
	}
}

func names(to *[]string, least, most int) decode {
	return func(r *reader, node *yaml.Node, path string) {
		if node.Kind != yaml.SequenceNode {
			r.fault(node, CodeWrongType, path, "a list of names is needed")
			return
		}
		for i, element := range node.Content {
			var value string
			name(&value)(r, element, fmt.Sprintf("%s[%d]", path, i))
			if slices.Contains(*to, value) {
				r.fault(element, CodeDuplicate, fmt.Sprintf("%s[%d]", path, i), "%s occurs twice", value)
			}
			*to = append(*to, value)
		}
		if len(node.Content) < least || len(node.Content) > most {
			r.fault(node, CodeOutOfBounds, path, "%d to %d names are needed", least, most)
		}
	}
}

// choice reads one of some texts.
func choice[T ~string](to *T, values ...T) decode {
	return func(r *reader, node *yaml.Node, path string) {
		value, ok := r.scalar(node, path, "a text", "!!str")
		if ok && !slices.Contains(values, T(value)) {
			r.fault(node, CodeBadValue, path, "%q is not one of %v", value, values)
		}
		*to = T(value)
	}
}

func boolean(to *bool) decode {
	return func(r *reader, node *yaml.Node, path string) {
		value, _ := r.scalar(node, path, "true or false", "!!bool")
		*to = value == "true"
	}
}

func number(to *float64, least, most float64) decode {
	return func(r *reader, node *yaml.Node, path string) {
		value, ok := r.scalar(node, path, "a number", "!!int", "!!float")
		if !ok {
			return
		}
		parsed, err := strconv.ParseFloat(value, 64)
		switch {
		case err != nil || !numberPattern.MatchString(value):
			r.fault(node, CodeWrongType, path, "a decimal number is needed")
		case parsed < least || parsed > most || math.IsNaN(parsed):
			r.fault(node, CodeOutOfBounds, path, "%s is not from %g to %g", value, least, most)
		default:
			*to = parsed
		}
	}
}

func integer[T int | uint64](to *T, least, most float64) decode {
	return func(r *reader, node *yaml.Node, path string) {
		if _, ok := r.scalar(node, path, "an integer", "!!int"); !ok {
			return
		}
		value := float64(*to)
		number(&value, least, most)(r, node, path)
		*to = T(value)
	}
}

// duration reads a time with a unit.
func duration(to *time.Duration, least, most time.Duration) decode {
	return func(r *reader, node *yaml.Node, path string) {
		value, ok := r.scalar(node, path, "a time with a unit, such as 500ms,", "!!str", "!!int", "!!float")
		if !ok {
			return
		}
		if node.Tag != "!!str" {
			r.fault(node, CodeMissingUnit, path, "%s has no unit (ms, s or m)", value)
			return
		}
		parsed, err := time.ParseDuration(value)
		switch {
		case err != nil || strings.ContainsAny(value, "µuh+-"):
			r.fault(node, CodeBadValue, path, "%q is not a time such as 500ms, 1.5s or 1m", value)
		case parsed < least || parsed > most:
			r.fault(node, CodeOutOfBounds, path, "%s is not from %s to %s", parsed, least, most)
		default:
			*to = parsed
		}
	}
}
