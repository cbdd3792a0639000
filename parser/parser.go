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
	make  func() any
}

var sections = map[string]section{
	"teams":    {frame[1], sycamorerun.KindTeam, true, func() any { return new(sycamorerun.Team) }},
	"services": {frame[2], sycamorerun.KindService, false, func() any { return new(sycamorerun.Service) }},
	"routes":   {frame[3], sycamorerun.KindRoute, false, func() any { return new(sycamorerun.Route) }},
}

// Parse reads a team's or the administrators' settings file. It returns either
// the subtree or at least one fault, at most Faults of them in the order of
// the text.
func Parse(text []byte) (Subtree, []sycamorerun.Fault) {
	root, faults := parseDocument(text)
	if faults != nil {
		return Subtree{}, faults
	}
	r := newReader()
	subtree := r.file(root)
	if len(r.faults) > 0 {
		return Subtree{}, r.sorted()
	}
	return subtree, nil
}

// parseDocument returns the root node of the only document in text.
func parseDocument(text []byte) (*yaml.Node, []sycamorerun.Fault) {
	if len(text) > TextBytes {
		return nil, one(CodeTooLong, "", "%d bytes are more than %d", len(text), TextBytes)
	}
	if !utf8.Valid(text) {
		return nil, one(CodeNotUTF8, "", "the text is not UTF-8")
	}
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
	if count := references(&document); count > Aliases {
		return nil, one(CodeTooManyAliases, "", "%d anchors and aliases are more than %d", count, Aliases)
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

// references counts anchors and aliases. It does not follow aliases, which
// can form cycles.
func references(node *yaml.Node) int {
	count := 0
	if node.Anchor != "" || node.Kind == yaml.AliasNode {
		count++
	}
	for _, child := range node.Content {
		count += references(child)
	}
	return count
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
			r.fault(CodeUnknownField, pair.at, pair.key, "the fields of the file are team, services and routes, or team and teams")
		case subtree.Team != "" && section.admin != admin:
			r.fault(CodeUnknownField, pair.at, pair.key, "the file of team %s has no such field", quote(subtree.Team))
		default:
			r.section(subtree, pair, section)
		}
	}
	return subtree
}

// section reads the items of one kind.
func (r *reader) section(subtree Subtree, in pair, section section) {
	pairs, _ := r.pairs(in.at, in.value)
	if limit := int(section.field.High); len(pairs) > limit {
		r.fault(CodeTooMany, in.at, in.value, "%d %s are more than %d", len(pairs), section.field.Unit, limit)
		return
	}
	for _, pair := range pairs {
		r.take(section.field.Format.check(pair.at, pair.name))
		object := section.make()
		r.object(section.kind, pair.at, pair.value, object)
		if r.failed[pair.at] {
			continue
		}
		r.take(check(section.kind, pair.at, object))
		item, err := json.Marshal(object)
		if err != nil {
			panic(fmt.Sprintf("marshal %T: %s", object, err))
		}
		if len(item) > ItemBytes {
			r.fault(CodeTooLarge, pair.at, pair.value, "%d bytes are more than %d", len(item), ItemBytes)
			continue
		}
		subtree.Items[sycamorerun.NewPath(subtree.Team, section.kind, pair.name)] = item
	}
}
