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

// visitLimit bounds the nodes read, because aliases can make a small text
// expand to any size.
const visitLimit = 1 << 19

// reader walks YAML nodes and collects faults.
type reader struct {
	faults []sycamorerun.Fault
	// lines has the line of every path of the present item, and of the file.
	lines map[string]int
	// failed has every path with a fault, so that a value that could not be
	// read is not checked as well.
	failed map[string]bool
	visits int
	// items has the parts of the sections that are decoded when they are read.
	items   map[*yaml.Node][]part
	decoder partDecoder
}

func newReader() *reader {
	return &reader{lines: map[string]int{}, failed: map[string]bool{}, items: map[*yaml.Node][]part{}}
}

// pair is one key and value of a mapping.
type pair struct {
	name, at   string
	key, value *yaml.Node
}

func (r *reader) full() bool {
	return len(r.faults) >= MaxFaults || r.visits > visitLimit
}

func (r *reader) fault(code, at string, node *yaml.Node, format string, args ...any) {
	r.failed[at] = true
	if len(r.faults) < MaxFaults {
		fault := one(code, at, format, args...)[0]
		fault.Line = node.Line
		r.faults = append(r.faults, fault)
	}
}

// take adds faults of the rules and finds their lines.
func (r *reader) take(faults []sycamorerun.Fault) {
	for _, fault := range faults {
		if len(r.faults) >= MaxFaults {
			return
		}
		if r.failed[fault.Path] {
			continue
		}
		for at := fault.Path; fault.Line == 0 && at != ""; {
			fault.Line = r.lines[at]
			at = at[:max(strings.LastIndexAny(at, ".["), 0)]
		}
		r.faults = append(r.faults, fault)
	}
}

// sorted returns the faults in the order of the text.
func (r *reader) sorted() []sycamorerun.Fault {
	slices.SortStableFunc(r.faults, func(a, b sycamorerun.Fault) int { return a.Line - b.Line })
	return r.faults
}

// resolve follows aliases and counts the node.
func (r *reader) resolve(node *yaml.Node) *yaml.Node {
	if r.visits++; r.visits == visitLimit {
		r.fault(CodeTooManyAliases, "", node, "the file expands to more than %d values", visitLimit)
	}
	for node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	return node
}

// null reports whether node is an empty value, which stands for an empty map
// or list.
func null(node *yaml.Node) bool {
	return node.Kind == yaml.ScalarNode && node.ShortTag() == "!!null"
}

// pairs returns the keys and values of a mapping, without duplicates, and
// whether node is a mapping.
func (r *reader) pairs(at string, node *yaml.Node) ([]pair, bool) {
	return r.pairsAfter(map[string]int{}, at, node)
}

// pairsAfter is pairs for a mapping that continues others, whose keys have
// the lines first.
func (r *reader) pairsAfter(first map[string]int, at string, node *yaml.Node) ([]pair, bool) {
	mapping := r.resolve(node)
	if null(mapping) {
		return nil, true
	}
	if mapping.Kind != yaml.MappingNode {
		r.fault(CodeWrongType, at, node, "%s where a map belongs", describe(mapping))
		return nil, false
	}
	var pairs []pair
	for i := 0; i+1 < len(mapping.Content) && !r.full(); i += 2 {
		key, value := r.resolve(mapping.Content[i]), mapping.Content[i+1]
		if key.Kind != yaml.ScalarNode || tagged(key) {
			r.fault(CodeWrongType, at, key, "%s where a key belongs", describe(key))
			continue
		}
		found := pair{name: key.Value, at: join(at, bounded(key.Value)), key: key, value: value}
		if line, ok := first[found.name]; ok {
			r.fault(CodeDuplicate, found.at, key, "the key occurs twice, first on line %d", line)
			continue
		}
		first[found.name] = key.Line
		r.lines[found.at] = key.Line
		pairs = append(pairs, found)
	}
	return pairs, true
}

// object reads the fields of one object and gives the others their defaults.
func (r *reader) object(kind, at string, node *yaml.Node, object any) {
	fields := fieldsOf[kind]
	pairs, ok := r.pairs(at, node)
	if !ok {
		return
	}
	for _, pair := range pairs {
		known := slices.ContainsFunc(fields, func(f Field) bool { return f.Name == pair.name })
		if !known {
			r.fault(CodeUnknownField, pair.at, pair.key, "the fields of a %s are %s", kind, names(fields))
		}
	}
	for _, field := range fields {
		i := slices.IndexFunc(pairs, func(p pair) bool { return p.name == field.Name })
		field.setDefault(object)
		switch {
		case i >= 0:
			r.value(pairs[i].at, pairs[i].value, field.at(object))
		case field.Required:
			r.fault(CodeMissingField, join(at, field.Name), node, "the field is required")
		}
	}
}

func names(fields []Field) string {
	var names []string
	for _, field := range fields {
		names = append(names, field.Name)
	}
	return strings.Join(names, ", ")
}

// value reads a node into the field that target points to.
func (r *reader) value(at string, node *yaml.Node, target any) {
	switch target := target.(type) {
	case *int:
		r.integer(at, node, target)
	case *float64:
		r.fraction(at, node, target)
	case *sycamorerun.Duration:
		r.duration(at, node, target)
	case *string:
		r.text(at, node, target)
	case *[]string:
		*target = list(r, at, node, r.text)
	case *map[string]string:
		*target = r.texts(at, node)
	case *[]sycamorerun.Target:
		*target = list(r, at, node, func(at string, node *yaml.Node, target *sycamorerun.Target) {
			r.object(objectTarget, at, node, target)
		})
	case *[]sycamorerun.Operator:
		*target = list(r, at, node, func(at string, node *yaml.Node, operator *sycamorerun.Operator) {
			r.object(objectOperator, at, node, operator)
		})
	default:
		panic(fmt.Sprintf("no reader for %T", target))
	}
}

// list reads a sequence; an empty one is nil.
func list[T any](r *reader, at string, node *yaml.Node, read func(string, *yaml.Node, *T)) []T {
	sequence := r.resolve(node)
	if null(sequence) {
		return nil
	}
	if sequence.Kind != yaml.SequenceNode {
		r.fault(CodeWrongType, at, node, "%s where a list belongs", describe(sequence))
		return nil
	}
	var values []T
	for i, element := range sequence.Content {
		if r.full() {
			return nil
		}
		place := fmt.Sprintf("%s[%d]", at, i)
		r.lines[place] = element.Line
		var value T
		read(place, element, &value)
		values = append(values, value)
	}
	return values
}

// texts reads a mapping of texts; an empty one is nil.
func (r *reader) texts(at string, node *yaml.Node) map[string]string {
	var values map[string]string
	pairs, _ := r.pairs(at, node)
	for _, pair := range pairs {
		if values == nil {
			values = map[string]string{}
		}
		var value string
		r.text(pair.at, pair.value, &value)
		values[pair.name] = value
	}
	return values
}

// scalar returns the text of a scalar with one of the tags.
func (r *reader) scalar(at string, node *yaml.Node, want string, tags ...string) (string, bool) {
	found := r.resolve(node)
	if found.Kind == yaml.ScalarNode && !tagged(found) && slices.Contains(tags, found.ShortTag()) {
		return found.Value, true
	}
	hint := ""
	if want == "a text" && found.Kind == yaml.ScalarNode {
		hint = "; put it in quotes"
	}
	r.fault(CodeWrongType, at, node, "%s where %s belongs%s", describe(found), want, hint)
	return "", false
}

func (r *reader) text(at string, node *yaml.Node, target *string) {
	if text, ok := r.scalar(at, node, "a text", "!!str"); ok {
		*target = text
	}
}

var decimal = regexp.MustCompile(`^-?(0|[1-9][0-9]*)$`)

func (r *reader) integer(at string, node *yaml.Node, target *int) {
	text, ok := r.scalar(at, node, "an integer", "!!int", "!!float")
	if !ok {
		return
	}
	if !decimal.MatchString(text) {
		r.fault(CodeWrongType, at, node, "%s where a decimal integer belongs", quote(text))
		return
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		r.fault(CodeOutOfBounds, at, node, "%s is too large", quote(text))
		return
	}
	*target = value
}

func (r *reader) fraction(at string, node *yaml.Node, target *float64) {
	text, ok := r.scalar(at, node, "a number", "!!int", "!!float")
	if !ok {
		return
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || value != value {
		r.fault(CodeWrongType, at, node, "%s where a decimal number belongs", quote(text))
		return
	}
	// Adding zero turns -0 into 0, which has one text.
	*target = value + 0
}

var (
	durationForm = regexp.MustCompile(`^-?([0-9]+(\.[0-9]+)?(ms|s|m|h))+$`)
	numberForm   = regexp.MustCompile(`^[-+]?[0-9]*\.?[0-9]+$`)
)

func (r *reader) duration(at string, node *yaml.Node, target *sycamorerun.Duration) {
	text, ok := r.scalar(at, node, "a duration such as 2s", "!!str", "!!int", "!!float")
	switch {
	case !ok:
		return
	case numberForm.MatchString(text):
		r.fault(CodeMissingUnit, at, node, "%s has no unit; write ms, s, m or h", quote(text))
		return
	case !durationForm.MatchString(text):
		r.fault(CodeWrongUnit, at, node, "%s is not a duration in ms, s, m or h, such as 2s", quote(text))
		return
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		r.fault(CodeOutOfBounds, at, node, "%s is too long", quote(text))
		return
	}
	*target = sycamorerun.Duration(value)
}

// tagged reports whether the text gives the node an explicit tag.
func tagged(node *yaml.Node) bool {
	return node.Style&yaml.TaggedStyle != 0
}

// bounded shortens a key for use in a path.
func bounded(key string) string {
	const limit = 80
	if len(key) <= limit {
		return key
	}
	return strings.ToValidUTF8(key[:limit], "") + "..."
}

func describe(node *yaml.Node) string {
	switch {
	case tagged(node):
		return "an explicit tag"
	case node.Kind == yaml.MappingNode:
		return "a map"
	case node.Kind == yaml.SequenceNode:
		return "a list"
	case null(node):
		return "an empty value"
	}
	return quote(node.Value)
}
