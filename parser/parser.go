// Package parser reads and writes settings files and knows the bounds of
// every field.
package parser

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"

	"go.yaml.in/yaml/v3"

	"sycamorerun"
)

// Subtree is the content of one settings file.
type Subtree struct {
	Team  string
	Items map[sycamorerun.Path]sycamorerun.Item
}

// section is a field of the file that holds items of one kind.
type section struct {
	field Field
	kind  string
	admin bool
	// single says that the field of the file is itself the only item.
	single bool
	make   func() any
}

var sections = map[string]section{
	"teams":    {frame[1], sycamorerun.KindTeam, true, false, func() any { return new(sycamorerun.Team) }},
	"services": {frame[2], sycamorerun.KindService, false, false, func() any { return new(sycamorerun.Service) }},
	"routes":   {frame[3], sycamorerun.KindRoute, false, false, func() any { return new(sycamorerun.Route) }},
	"limits":   {frame[4], sycamorerun.KindLimits, true, true, func() any { return new(sycamorerun.Limits) }},
}

// Parse reads a team's or the administrators' settings file. It returns either
// the subtree or at least one fault, at most Faults of them in the order of
// the text. A text of more than Values values is decoded in parts.
func Parse(text []byte) (Subtree, []sycamorerun.Fault) {
	return parse(text, MaxValues, partValues)
}

// parse decodes a text of more than whole values in parts of size values.
func parse(text []byte, whole, size int) (Subtree, []sycamorerun.Fault) {
	if len(text) > MaxTextBytes {
		return Subtree{}, one(CodeTooLong, "", "%d bytes are more than %d", len(text), MaxTextBytes)
	}
	if !utf8.Valid(text) {
		return Subtree{}, one(CodeNotUTF8, "", "the text is not UTF-8")
	}
	r := newReader()
	var root *yaml.Node
	var faults []sycamorerun.Fault
	if values(text) > whole {
		root, faults = r.openParts(text, size)
	} else {
		root, faults = r.open(text)
	}
	if faults != nil {
		return Subtree{}, faults
	}
	subtree := r.file(root)
	if len(r.faults) > 0 {
		return Subtree{}, r.sorted()
	}
	return subtree, nil
}

// open returns the root node of text.
func (r *reader) open(text []byte) (*yaml.Node, []sycamorerun.Fault) {
	root, faults := decode(text)
	if faults != nil {
		return nil, faults
	}
	if faults := tooManyAliases("", references(root, nil), MaxAliases); faults != nil {
		return nil, faults
	}
	return root, nil
}

// openParts returns a root node whose sections are decoded when they are read.
func (r *reader) openParts(text []byte, size int) (*yaml.Node, []sycamorerun.Fault) {
	s := splitter{partSize: size}
	entries, faults := s.split(text)
	if faults != nil {
		return nil, faults
	}
	root := &yaml.Node{Kind: yaml.MappingNode, Line: 1}
	for _, entry := range entries {
		mapping, faults := r.decoder.decode(entry)
		if faults != nil {
			return nil, faults
		}
		last := len(mapping.Content) - 1
		if mapping.Kind != yaml.MappingNode || last < 0 || entry.items != nil && !null(mapping.Content[last]) {
			return nil, entry.place(tooDense(entry.path()))
		}
		root.Content = append(root.Content, mapping.Content...)
		if entry.items != nil {
			r.items[mapping.Content[last]] = entry.items
		}
	}
	return root, nil
}

// decode returns the root node of the only document in text.
func decode(text []byte) (*yaml.Node, []sycamorerun.Fault) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var document, other yaml.Node
	if err := decoder.Decode(&document); err == io.EOF {
		return nil, one(CodeEmpty, "", "the file has no content")
	} else if err != nil {
		return nil, syntax(err)
	}
	if err := decoder.Decode(&other); err == nil {
		faults := one(CodeDocuments, "", "only one YAML document is allowed")
		faults[0].Line = other.Line
		return nil, faults
	} else if err != io.EOF {
		return nil, syntax(err)
	}
	if len(document.Content) == 0 {
		return nil, one(CodeEmpty, "", "the file has no content")
	}
	return document.Content[0], nil
}

var lineInError = regexp.MustCompile(`line (\d+): `)

// syntax turns an error of the YAML library into a fault.
func syntax(err error) []sycamorerun.Fault {
	reason := strings.TrimPrefix(err.Error(), "yaml: ")
	faults := one(CodeSyntax, "", "%s", lineInError.ReplaceAllString(reason, ""))
	if found := lineInError.FindStringSubmatch(reason); found != nil {
		faults[0].Line, _ = strconv.Atoi(found[1])
	}
	return faults
}

// references appends the lines of anchors and aliases. It does not follow
// aliases, which can form cycles.
func references(node *yaml.Node, lines []int) []int {
	if node.Anchor != "" || node.Kind == yaml.AliasNode {
		lines = append(lines, node.Line)
	}
	for _, child := range node.Content {
		lines = references(child, lines)
	}
	return lines
}

// tooManyAliases refuses more references on lines than are left.
func tooManyAliases(at string, lines []int, left int) []sycamorerun.Fault {
	if len(lines) <= left {
		return nil
	}
	faults := one(CodeTooManyAliases, at, "more than %d anchors and aliases", MaxAliases)
	faults[0].Line = lines[left]
	return faults
}

// file reads the root mapping.
func (r *reader) file(root *yaml.Node) Subtree {
	subtree := Subtree{Items: map[sycamorerun.Path]sycamorerun.Item{}}
	pairs, ok := r.pairs("", root)
	if !ok {
		return subtree
	}
	for _, pair := range pairs {
		if pair.name == frame[0].Name {
			r.text(pair.at, pair.value, &subtree.Team)
			r.take(frame[0].check(pair.at, &subtree.Team))
		}
	}
	if _, ok := r.lines["team"]; !ok {
		r.fault(CodeMissingField, "team", root, "the field is required")
	}
	admin := subtree.Team == sycamorerun.AdminTeam
	for _, pair := range pairs {
		section, known := sections[pair.name]
		switch {
		case pair.name == frame[0].Name:
		case !known:
			r.fault(CodeUnknownField, pair.at, pair.key, "the fields of the file are team, services and routes, or team, teams and limits")
		case subtree.Team != "" && section.admin != admin:
			r.fault(CodeUnknownField, pair.at, pair.key, "the file of team %s has no such field", quote(subtree.Team))
		case section.single:
			r.item(subtree, pair, section)
		default:
			r.section(subtree, pair, section)
		}
	}
	return subtree
}

// section reads the items of one kind.
func (r *reader) section(subtree Subtree, in pair, section section) {
	if items, ok := r.items[in.value]; ok {
		r.parts(subtree, in, section, items)
		return
	}
	pairs, _ := r.pairs(in.at, in.value)
	if limit := int(section.field.High); len(pairs) > limit {
		r.fault(CodeTooMany, in.at, in.value, "%d %s are more than %d", len(pairs), section.field.Unit, limit)
		return
	}
	for _, pair := range pairs {
		r.item(subtree, pair, section)
	}
}

// parts reads the items of one kind that are decoded one after the other.
func (r *reader) parts(subtree Subtree, in pair, section section, items []part) {
	first := map[string]int{}
	for _, p := range items {
		if r.full() {
			return
		}
		mapping, faults := r.decoder.decode(p)
		if faults != nil {
			r.take(faults)
			return
		}
		pairs, _ := r.pairsAfter(first, in.at, mapping)
		if limit := int(section.field.High); len(first) > limit {
			r.fault(CodeTooMany, in.at, mapping, "there are more than %d %s", limit, section.field.Unit)
			return
		}
		for _, pair := range pairs {
			r.item(subtree, pair, section)
		}
	}
}

func (r *reader) item(subtree Subtree, in pair, section section) {
	// The lines of other items are not looked up any more.
	r.lines = map[string]int{in.at: in.key.Line}
	if !section.single {
		r.take(section.field.Format.check(in.at, in.name))
	}
	object := section.make()
	r.object(section.kind, in.at, in.value, object)
	if r.failed[in.at] {
		return
	}
	r.take(check(section.kind, in.at, object))
	item, err := json.Marshal(object)
	if err != nil {
		panic(fmt.Sprintf("marshal %T: %s", object, err))
	}
	if len(item) > MaxItemBytes {
		r.fault(CodeTooLarge, in.at, in.value, "%d bytes are more than %d", len(item), MaxItemBytes)
		return
	}
	if len(r.faults) == 0 {
		subtree.Items[sycamorerun.NewPath(subtree.Team, section.kind, in.name)] = item
	}
}
