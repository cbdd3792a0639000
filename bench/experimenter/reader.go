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

// Codes of faults. Faults that settings files can also have share their codes.
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

// decodeFunc reads a value from a YAML node and reports its faults to r.
type decodeFunc func(r *reader, node *yaml.Node, path string)

// field defines how a field of an object is read.
type field struct {
	required bool
	decode   decodeFunc
}

// reader reads the values of a file and collects its faults.
type reader struct{ faults []sycamorerun.Fault }

func (r *reader) addFault(node *yaml.Node, code, path, format string, arguments ...any) {
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

// visitEntries calls visit for each distinct key of a mapping. It reports false
// if the node is not a mapping.
func (r *reader) visitEntries(node *yaml.Node, path string, visit func(key, value *yaml.Node)) bool {
	if node.Kind != yaml.MappingNode {
		r.addFault(node, CodeWrongType, path, "a mapping is needed")
		return false
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		if seen[key.Value] {
			r.addFault(key, CodeDuplicate, join(path, key.Value), "the key occurs twice")
			continue
		}
		seen[key.Value] = true
		visit(key, value)
	}
	return true
}

// readObject reads a mapping and reports unknown and missing fields.
func (r *reader) readObject(node *yaml.Node, path string, fields map[string]field) {
	seen := map[string]bool{}
	isMapping := r.visitEntries(node, path, func(key, value *yaml.Node) {
		entry, ok := fields[key.Value]
		if !ok {
			r.addFault(key, CodeUnknownField, join(path, key.Value), "there is no such field")
			return
		}
		seen[key.Value] = true
		entry.decode(r, value, join(path, key.Value))
	})
	if !isMapping {
		return
	}
	for name, f := range fields {
		if f.required && !seen[name] {
			r.addFault(node, CodeMissingField, join(path, name), "the field is required")
		}
	}
}

// readObjects returns a decodeFunc for a mapping from names to objects, which
// calls visit for each entry.
func readObjects(visit func(r *reader, name string, node *yaml.Node, path string)) decodeFunc {
	return func(r *reader, node *yaml.Node, path string) {
		r.visitEntries(node, path, func(key, value *yaml.Node) {
			if !namePattern.MatchString(key.Value) {
				r.addFault(key, CodeBadName, join(path, key.Value), "a name has 1 to 40 of a-z, 0-9 and -")
			}
			visit(r, key.Value, value, join(path, key.Value))
		})
	}
}

// scalar returns the text of a scalar, which must have one of the tags.
func (r *reader) scalar(node *yaml.Node, path, expected string, tags ...string) (string, bool) {
	if node.Kind != yaml.ScalarNode || !slices.Contains(tags, node.Tag) {
		r.addFault(node, CodeWrongType, path, "%s is needed", expected)
		return "", false
	}
	return node.Value, true
}

func readText(target *string) decodeFunc {
	return func(r *reader, node *yaml.Node, path string) {
		*target, _ = r.scalar(node, path, "a text", "!!str")
	}
}

func readName(target *string) decodeFunc {
	return func(r *reader, node *yaml.Node, path string) {
		value, ok := r.scalar(node, path, "a name", "!!str")
		if ok && !namePattern.MatchString(value) {
			r.addFault(node, CodeBadName, path, "a name has 1 to 40 of a-z, 0-9 and -")
		}
		*target = value
	}
}

func readNames(target *[]string, minCount, maxCount int) decodeFunc {
	return func(r *reader, node *yaml.Node, path string) {
		if node.Kind != yaml.SequenceNode {
			r.addFault(node, CodeWrongType, path, "a list of names is needed")
			return
		}
		for i, element := range node.Content {
			var value string
			readName(&value)(r, element, fmt.Sprintf("%s[%d]", path, i))
			if slices.Contains(*target, value) {
				r.addFault(element, CodeDuplicate, fmt.Sprintf("%s[%d]", path, i), "%s occurs twice", value)
			}
			*target = append(*target, value)
		}
		if len(node.Content) < minCount || len(node.Content) > maxCount {
			r.addFault(node, CodeOutOfBounds, path, "%d to %d names are needed", minCount, maxCount)
		}
	}
}

// readChoice returns a decodeFunc for a text that must be one of the values.
func readChoice[T ~string](target *T, values ...T) decodeFunc {
	return func(r *reader, node *yaml.Node, path string) {
		value, ok := r.scalar(node, path, "a text", "!!str")
		if ok && !slices.Contains(values, T(value)) {
			r.addFault(node, CodeBadValue, path, "%q is not one of %v", value, values)
		}
		*target = T(value)
	}
}

func readBool(target *bool) decodeFunc {
	return func(r *reader, node *yaml.Node, path string) {
		value, _ := r.scalar(node, path, "true or false", "!!bool")
		*target = value == "true"
	}
}

func readNumber(target *float64, minValue, maxValue float64) decodeFunc {
	return func(r *reader, node *yaml.Node, path string) {
		value, ok := r.scalar(node, path, "a number", "!!int", "!!float")
		if !ok {
			return
		}
		parsed, err := strconv.ParseFloat(value, 64)
		switch {
		case err != nil || !numberPattern.MatchString(value):
			r.addFault(node, CodeWrongType, path, "a decimal number is needed")
		case parsed < minValue || parsed > maxValue || math.IsNaN(parsed):
			r.addFault(node, CodeOutOfBounds, path, "%s is not from %g to %g", value, minValue, maxValue)
		default:
			*target = parsed
		}
	}
}

func readInteger[T int | uint64](target *T, minValue, maxValue float64) decodeFunc {
	return func(r *reader, node *yaml.Node, path string) {
		if _, ok := r.scalar(node, path, "an integer", "!!int"); !ok {
			return
		}
		value := float64(*target)
		readNumber(&value, minValue, maxValue)(r, node, path)
		*target = T(value)
	}
}

// readDuration returns a decodeFunc for a duration with a unit.
func readDuration(target *time.Duration, minValue, maxValue time.Duration) decodeFunc {
	return func(r *reader, node *yaml.Node, path string) {
		value, ok := r.scalar(node, path, "a time with a unit, such as 500ms,", "!!str", "!!int", "!!float")
		if !ok {
			return
		}
		if node.Tag != "!!str" {
			r.addFault(node, CodeMissingUnit, path, "%s has no unit (ms, s or m)", value)
			return
		}
		parsed, err := time.ParseDuration(value)
		switch {
		case err != nil || strings.ContainsAny(value, "µuh+-"):
			r.addFault(node, CodeBadValue, path, "%q is not a time such as 500ms, 1.5s or 1m", value)
		case parsed < minValue || parsed > maxValue:
			r.addFault(node, CodeOutOfBounds, path, "%s is not from %s to %s", parsed, minValue, maxValue)
		default:
			*target = parsed
		}
	}
}
