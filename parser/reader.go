package parser

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"sycamorerun"
)

// maxVisitedNodes is the maximum number of nodes that are read, since aliases
// can expand a small text to any size.
const maxVisitedNodes = 1 << 19

// reader converts YAML nodes to items and collects faults.
type reader struct {
	faults []sycamorerun.Fault
	// lineByPath maps the paths of the current item, or of the top-level fields,
	// to their lines.
	lineByPath map[string]int
	// failedPaths contains the paths of values that could not be read, so that
	// they are not checked as well.
	failedPaths map[string]bool
	// secret means that faults must not quote the value that is read.
	secret       bool
	visitedNodes int
	// deferredParts contains the parts of sections that are decoded when they
	// are read.
	deferredParts map[*yaml.Node][]part
	decoder       partDecoder
}

func newReader() *reader {
	return &reader{lineByPath: map[string]int{}, failedPaths: map[string]bool{}, deferredParts: map[*yaml.Node][]part{}}
}

// pair is a key and its value in a mapping.
type pair struct {
	name, path string
	key, value *yaml.Node
}

func (r *reader) limitReached() bool {
	return len(r.faults) >= MaxFaults || r.visitedNodes > maxVisitedNodes
}

func (r *reader) addFault(code, path string, node *yaml.Node, format string, args ...any) {
	r.failedPaths[path] = true
	if len(r.faults) < MaxFaults {
		fault := newFaults(code, path, format, args...)[0]
		fault.Line = node.Line
		r.faults = append(r.faults, fault)
	}
}

// addFaults adds faults, except for values that could not be read, and sets
// missing lines.
func (r *reader) addFaults(faults []sycamorerun.Fault) {
	for _, fault := range faults {
		if len(r.faults) >= MaxFaults {
			return
		}
		if r.failedPaths[fault.Path] {
			continue
		}
		for path := fault.Path; fault.Line == 0 && path != ""; {
			fault.Line = r.lineByPath[path]
			path = path[:max(strings.LastIndexAny(path, ".["), 0)]
		}
		r.faults = append(r.faults, fault)
	}
}

// sortedFaults returns the faults sorted by line.
func (r *reader) sortedFaults() []sycamorerun.Fault {
	slices.SortStableFunc(r.faults, func(a, b sycamorerun.Fault) int { return a.Line - b.Line })
	return r.faults
}

// resolve follows aliases and counts the visited node.
func (r *reader) resolve(node *yaml.Node) *yaml.Node {
	if r.visitedNodes++; r.visitedNodes == maxVisitedNodes {
		r.addFault(CodeTooManyAliases, "", node, "the file expands to more than %d values", maxVisitedNodes)
	}
	for node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	return node
}

// isNull reports whether node is an empty value, which is read as an empty map
// or list.
func isNull(node *yaml.Node) bool {
	return node.Kind == yaml.ScalarNode && node.ShortTag() == "!!null"
}

// readPairs returns the pairs of a mapping without duplicate keys and reports
// whether node is a mapping or empty.
func (r *reader) readPairs(path string, node *yaml.Node) ([]pair, bool) {
	return r.readContinuedPairs(map[string]int{}, path, node)
}

// readContinuedPairs is like readPairs for a mapping that is split into parts.
// firstLines contains the lines of the keys in the earlier parts.
func (r *reader) readContinuedPairs(firstLines map[string]int, path string, node *yaml.Node) ([]pair, bool) {
	mapping := r.resolve(node)
	if isNull(mapping) {
		return nil, true
	}
	if mapping.Kind != yaml.MappingNode {
		r.addFault(CodeWrongType, path, node, "%s where a map belongs", describe(mapping))
		return nil, false
	}
	var pairs []pair
	for i := 0; i+1 < len(mapping.Content) && !r.limitReached(); i += 2 {
		key, value := r.resolve(mapping.Content[i]), mapping.Content[i+1]
		if key.Kind != yaml.ScalarNode || hasExplicitTag(key) {
			r.addFault(CodeWrongType, path, key, "%s where a key belongs", describe(key))
			continue
		}
		found := pair{name: key.Value, path: joinPath(path, truncateKey(key.Value)), key: key, value: value}
		if line, ok := firstLines[found.name]; ok {
			r.addFault(CodeDuplicate, found.path, key, "the key occurs twice, first on line %d", line)
			continue
		}
		firstLines[found.name] = key.Line
		r.lineByPath[found.path] = key.Line
		pairs = append(pairs, found)
	}
	return pairs, true
}

// readObject reads the fields of an object and sets absent fields to their
// defaults.
func (r *reader) readObject(kind, path string, node *yaml.Node, object any) {
	fields := fieldsByObject[kind]
	pairs, ok := r.readPairs(path, node)
	if !ok {
		return
	}
	for _, pair := range pairs {
		known := slices.ContainsFunc(fields, func(f Field) bool { return f.Name == pair.name })
		if !known {
			r.addFault(CodeUnknownField, pair.path, pair.key, "the fields of a %s are %s", kind, fieldNames(fields))
		}
	}
	for _, field := range fields {
		i := slices.IndexFunc(pairs, func(p pair) bool { return p.name == field.Name })
		field.setDefault(object)
		switch {
		case i >= 0:
			r.secret = field.Format.secret
			r.readValue(pairs[i].path, pairs[i].value, field.pointer(object))
			r.secret = false
		case field.Required:
			r.addFault(CodeMissingField, joinPath(path, field.Name), node, "the field is required")
		}
	}
}

func fieldNames(fields []Field) string {
	var names []string
	for _, field := range fields {
		names = append(names, field.Name)
	}
	return strings.Join(names, ", ")
}

// readValue stores the value of node in the field to which target points.
func (r *reader) readValue(path string, node *yaml.Node, target any) {
	switch target := target.(type) {
	case *int:
		r.readInteger(path, node, target)
	case *float64:
		r.readFraction(path, node, target)
	case *bool:
		r.readBoolean(path, node, target)
	case *sycamorerun.Duration:
		r.readDuration(path, node, target)
	case *string:
		r.readText(path, node, target)
	case *[]string:
		*target = readList(r, path, node, r.readText)
	case *map[string]string:
		*target = r.readTextMap(path, node)
	case *[]sycamorerun.Target:
		*target = readList(r, path, node, func(path string, node *yaml.Node, target *sycamorerun.Target) {
			r.readObject(objectTarget, path, node, target)
		})
	case *[]sycamorerun.Operator:
		*target = readList(r, path, node, func(path string, node *yaml.Node, operator *sycamorerun.Operator) {
			r.readObject(objectOperator, path, node, operator)
		})
	default:
		panic(fmt.Sprintf("no reader for %T", target))
	}
}

// readList reads a sequence. It returns nil for an empty one.
func readList[T any](r *reader, path string, node *yaml.Node, read func(string, *yaml.Node, *T)) []T {
	sequence := r.resolve(node)
	if isNull(sequence) {
		return nil
	}
	if r.secret && sequence.Kind == yaml.ScalarNode {
		r.addFault(CodeWrongType, path, node, "the value is not a list")
		return nil
	}
	if sequence.Kind != yaml.SequenceNode {
		r.addFault(CodeWrongType, path, node, "%s where a list belongs", describe(sequence))
		return nil
	}
	var values []T
	for i, element := range sequence.Content {
		if r.limitReached() {
			return nil
		}
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		r.lineByPath[elementPath] = element.Line
		var value T
		read(elementPath, element, &value)
		values = append(values, value)
	}
	return values
}

// readTextMap reads a mapping of texts. It returns nil for an empty one.
func (r *reader) readTextMap(path string, node *yaml.Node) map[string]string {
	var values map[string]string
	pairs, _ := r.readPairs(path, node)
	for _, pair := range pairs {
		if values == nil {
			values = map[string]string{}
		}
		var value string
		r.readText(pair.path, pair.value, &value)
		values[pair.name] = value
	}
	return values
}

// readScalar returns the text of a scalar that has one of the given YAML tags.
func (r *reader) readScalar(path string, node *yaml.Node, want string, tags ...string) (string, bool) {
	found := r.resolve(node)
	if found.Kind == yaml.ScalarNode && !hasExplicitTag(found) && slices.Contains(tags, found.ShortTag()) {
		return found.Value, true
	}
	if r.secret && found.Kind == yaml.ScalarNode {
		r.addFault(CodeWrongType, path, node, "the value is not %s", want)
		return "", false
	}
	hint := ""
	if want == "a text" && found.Kind == yaml.ScalarNode {
		hint = "; put it in quotes"
	}
	r.addFault(CodeWrongType, path, node, "%s where %s belongs%s", describe(found), want, hint)
	return "", false
}

func (r *reader) readText(path string, node *yaml.Node, target *string) {
	if text, ok := r.readScalar(path, node, "a text", "!!str"); ok {
		*target = text
	}
}

func (r *reader) readBoolean(path string, node *yaml.Node, target *bool) {
	text, ok := r.readScalar(path, node, "true or false", "!!bool")
	if !ok {
		return
	}
	if text != "true" && text != "false" {
		r.addFault(CodeWrongType, path, node, "%s where true or false belongs", quote(text))
		return
	}
	*target = text == "true"
}

var decimalPattern = regexp.MustCompile(`^-?(0|[1-9][0-9]*)$`)

func (r *reader) readInteger(path string, node *yaml.Node, target *int) {
	text, ok := r.readScalar(path, node, "an integer", "!!int", "!!float")
	if !ok {
		return
	}
	if !decimalPattern.MatchString(text) {
		r.addFault(CodeWrongType, path, node, "%s where a decimal integer belongs", quote(text))
		return
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		r.addFault(CodeOutOfBounds, path, node, "%s is too large", quote(text))
		return
	}
	*target = value
}

func (r *reader) readFraction(path string, node *yaml.Node, target *float64) {
	text, ok := r.readScalar(path, node, "a number", "!!int", "!!float")
	if !ok {
		return
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || value != value {
		r.addFault(CodeWrongType, path, node, "%s where a decimal number belongs", quote(text))
		return
	}
	// Adding zero turns -0 into 0, so that zero has only one canonical form.
	*target = value + 0
}

var (
	durationPattern = regexp.MustCompile(`^-?([0-9]+(\.[0-9]+)?(ms|s|m|h))+$`)
	numberPattern   = regexp.MustCompile(`^[-+]?[0-9]*\.?[0-9]+$`)
)

func (r *reader) readDuration(path string, node *yaml.Node, target *sycamorerun.Duration) {
	text, ok := r.readScalar(path, node, "a duration such as 2s", "!!str", "!!int", "!!float")
	switch {
	case !ok:
		return
	case numberPattern.MatchString(text):
		r.addFault(CodeMissingUnit, path, node, "%s has no unit; write ms, s, m or h", quote(text))
		return
	case !durationPattern.MatchString(text):
		r.addFault(CodeWrongUnit, path, node, "%s is not a duration in ms, s, m or h, such as 2s", quote(text))
		return
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		r.addFault(CodeOutOfBounds, path, node, "%s is too long", quote(text))
		return
	}
	*target = sycamorerun.Duration(value)
}

// hasExplicitTag reports whether node has an explicit tag in the text.
func hasExplicitTag(node *yaml.Node) bool {
	return node.Style&yaml.TaggedStyle != 0
}

// truncateKey truncates a key to 80 bytes for use in a path.
func truncateKey(key string) string {
	const limit = 80
	if len(key) <= limit {
		return key
	}
	return strings.ToValidUTF8(key[:limit], "") + "..."
}

func describe(node *yaml.Node) string {
	switch {
	case hasExplicitTag(node):
		return "an explicit tag"
	case node.Kind == yaml.MappingNode:
		return "a map"
	case node.Kind == yaml.SequenceNode:
		return "a list"
	case isNull(node):
		return "an empty value"
	}
	return quote(node.Value)
}
