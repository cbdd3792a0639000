// Package parser reads and writes settings files and defines the default and
// bounds of every field.
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

// Subtree holds the items of one settings file.
type Subtree struct {
	Team  string
	Items map[sycamorerun.Path]sycamorerun.Item
}

// section describes a top-level field whose value is items of one kind.
type section struct {
	field Field
	kind  string
	// admin means that the field belongs in the administrators' file, not in a
	// team's.
	admin bool
	// single means that the field's value is itself the only item.
	single    bool
	newObject func() any
}

var sections = map[string]section{
	"teams":    {fileFields[1], sycamorerun.KindTeam, true, false, func() any { return new(sycamorerun.Team) }},
	"services": {fileFields[2], sycamorerun.KindService, false, false, func() any { return new(sycamorerun.Service) }},
	"routes":   {fileFields[3], sycamorerun.KindRoute, false, false, func() any { return new(sycamorerun.Route) }},
	"limits":   {fileFields[4], sycamorerun.KindLimits, true, true, func() any { return new(sycamorerun.Limits) }},
	"accounts": {fileFields[5], sycamorerun.KindAccount, true, false, func() any { return new(sycamorerun.Account) }},
}

// Parse reads a settings file of a team or of the administrators. It returns
// either the subtree or between 1 and MaxFaults faults, sorted by line. A text
// with more than MaxValues values is decoded in parts to bound memory.
func Parse(text []byte) (Subtree, []sycamorerun.Fault) {
	return parse(text, MaxValues, defaultPartValues)
}

// parse decodes a text in parts of about partValues values if its estimated
// number of values exceeds maxWholeValues.
func parse(text []byte, maxWholeValues, partValues int) (Subtree, []sycamorerun.Fault) {
	if len(text) > MaxTextBytes {
		return Subtree{}, newFaults(CodeTooLong, "", "%d bytes are more than %d", len(text), MaxTextBytes)
	}
	if !utf8.Valid(text) {
		return Subtree{}, newFaults(CodeNotUTF8, "", "the text is not UTF-8")
	}
	r := newReader()
	var root *yaml.Node
	var faults []sycamorerun.Fault
	if estimateValues(text) > maxWholeValues {
		root, faults = r.decodeParts(text, partValues)
	} else {
		root, faults = r.decodeWhole(text)
	}
	if faults != nil {
		return Subtree{}, faults
	}
	subtree := r.readFile(root)
	if len(r.faults) > 0 {
		return Subtree{}, r.sortedFaults()
	}
	return subtree, nil
}

// decodeWhole decodes text at once and returns the root node.
func (r *reader) decodeWhole(text []byte) (*yaml.Node, []sycamorerun.Fault) {
	root, faults := decode(text)
	if faults != nil {
		return nil, faults
	}
	if faults := checkAliasCount("", referenceLines(root, nil), MaxAliases); faults != nil {
		return nil, faults
	}
	return root, nil
}

// decodeParts returns a root node whose sections are decoded later, when they
// are read.
func (r *reader) decodeParts(text []byte, partValues int) (*yaml.Node, []sycamorerun.Fault) {
	s := splitter{targetPartValues: partValues}
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
		if mapping.Kind != yaml.MappingNode || last < 0 || entry.items != nil && !isNull(mapping.Content[last]) {
			return nil, entry.setLine(tooManyValues(entry.path()))
		}
		root.Content = append(root.Content, mapping.Content...)
		if entry.items != nil {
			r.deferredParts[mapping.Content[last]] = entry.items
		}
	}
	return root, nil
}

// decode returns the root node of text, which must be a single document.
func decode(text []byte) (*yaml.Node, []sycamorerun.Fault) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var document, other yaml.Node
	if err := decoder.Decode(&document); err == io.EOF {
		return nil, newFaults(CodeEmpty, "", "the file has no content")
	} else if err != nil {
		return nil, syntaxFault(err)
	}
	if err := decoder.Decode(&other); err == nil {
		faults := newFaults(CodeDocuments, "", "only one YAML document is allowed")
		faults[0].Line = other.Line
		return nil, faults
	} else if err != io.EOF {
		return nil, syntaxFault(err)
	}
	if len(document.Content) == 0 {
		return nil, newFaults(CodeEmpty, "", "the file has no content")
	}
	return document.Content[0], nil
}

var errorLinePattern = regexp.MustCompile(`line (\d+): `)

// syntaxFault converts an error of the YAML library to a fault.
func syntaxFault(err error) []sycamorerun.Fault {
	reason := strings.TrimPrefix(err.Error(), "yaml: ")
	faults := newFaults(CodeSyntax, "", "%s", errorLinePattern.ReplaceAllString(reason, ""))
	if found := errorLinePattern.FindStringSubmatch(reason); found != nil {
		faults[0].Line, _ = strconv.Atoi(found[1])
	}
	return faults
}

// referenceLines appends the lines of anchors and aliases to lines. It does
// not follow aliases because they can form cycles.
func referenceLines(node *yaml.Node, lines []int) []int {
	if node.Anchor != "" || node.Kind == yaml.AliasNode {
		lines = append(lines, node.Line)
	}
	for _, child := range node.Content {
		lines = referenceLines(child, lines)
	}
	return lines
}

// checkAliasCount returns a fault if there are more anchors and aliases, given
// by their lines, than remaining.
func checkAliasCount(path string, lines []int, remaining int) []sycamorerun.Fault {
	if len(lines) <= remaining {
		return nil
	}
	faults := newFaults(CodeTooManyAliases, path, "more than %d anchors and aliases", MaxAliases)
	faults[0].Line = lines[remaining]
	return faults
}

// readFile reads the root mapping and all items below it.
func (r *reader) readFile(root *yaml.Node) Subtree {
	subtree := Subtree{Items: map[sycamorerun.Path]sycamorerun.Item{}}
	pairs, ok := r.readPairs("", root)
	if !ok {
		return subtree
	}
	for _, pair := range pairs {
		if pair.name == fileFields[0].Name {
			r.readText(pair.path, pair.value, &subtree.Team)
			r.addFaults(fileFields[0].check(pair.path, &subtree.Team))
		}
	}
	if _, ok := r.lineByPath["team"]; !ok {
		r.addFault(CodeMissingField, "team", root, "the field is required")
	}
	admin := subtree.Team == sycamorerun.AdminTeam
	for _, pair := range pairs {
		section, known := sections[pair.name]
		switch {
		case pair.name == fileFields[0].Name:
		case !known:
			r.addFault(CodeUnknownField, pair.path, pair.key, "the fields of the file are team, services and routes, or team, teams, limits and accounts")
		case subtree.Team != "" && section.admin != admin:
			r.addFault(CodeUnknownField, pair.path, pair.key, "the file of team %s has no such field", quote(subtree.Team))
		case section.single:
			r.readItem(subtree, pair, section)
		default:
			r.readSection(subtree, pair, section)
		}
	}
	return subtree
}

// readSection reads the items of one section.
func (r *reader) readSection(subtree Subtree, entry pair, section section) {
	if items, ok := r.deferredParts[entry.value]; ok {
		r.readParts(subtree, entry, section, items)
		return
	}
	pairs, _ := r.readPairs(entry.path, entry.value)
	if limit := int(section.field.High); len(pairs) > limit {
		r.addFault(CodeTooMany, entry.path, entry.value, "%d %s are more than %d", len(pairs), section.field.Unit, limit)
		return
	}
	for _, pair := range pairs {
		r.readItem(subtree, pair, section)
	}
}

// readParts reads the items of one section, decoding one part at a time.
func (r *reader) readParts(subtree Subtree, entry pair, section section, items []part) {
	firstLines := map[string]int{}
	for _, p := range items {
		if r.limitReached() {
			return
		}
		mapping, faults := r.decoder.decode(p)
		if faults != nil {
			r.addFaults(faults)
			return
		}
		pairs, _ := r.readContinuedPairs(firstLines, entry.path, mapping)
		if limit := int(section.field.High); len(firstLines) > limit {
			r.addFault(CodeTooMany, entry.path, mapping, "there are more than %d %s", limit, section.field.Unit)
			return
		}
		for _, pair := range pairs {
			r.readItem(subtree, pair, section)
		}
	}
}

func (r *reader) readItem(subtree Subtree, entry pair, section section) {
	// Lines of earlier items are no longer needed.
	r.lineByPath = map[string]int{entry.path: entry.key.Line}
	if !section.single {
		r.addFaults(section.field.Format.check(entry.path, entry.name))
	}
	object := section.newObject()
	r.readObject(section.kind, entry.path, entry.value, object)
	if r.failedPaths[entry.path] {
		return
	}
	r.addFaults(checkObject(section.kind, entry.path, object))
	item, err := json.Marshal(object)
	if err != nil {
		panic(fmt.Sprintf("marshal %T: %s", object, err))
	}
	if len(item) > MaxItemBytes {
		r.addFault(CodeTooLarge, entry.path, entry.value, "%d bytes are more than %d", len(item), MaxItemBytes)
		return
	}
	if len(r.faults) == 0 {
		subtree.Items[sycamorerun.NewPath(subtree.Team, section.kind, entry.name)] = item
	}
}
