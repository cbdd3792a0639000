package parser

import (
	"bytes"
	"regexp"
	"slices"

	"go.yaml.in/yaml/v3"

	"sycamorerun"
)

// MaxValues bounds the YAML values that are in memory at once, by the estimate of
// values. The decoder takes up to 350 bytes for each, and all of them came to
// 181 MB for a hostile text of 1 MiB. The largest item has about 1,000 values,
// and 5,000 more characters in quotes that the estimate can't tell from them.
const MaxValues = 1 << 14

// part is a piece of a text that is decoded alone: one entry of the file or
// one item of a section.
type part struct {
	// section is the field of the file that has the item, empty for an entry
	// of the file.
	section string
	name    string
	// line is the number of lines before the part.
	line int
	text []byte
	// items are the parts of a section that has each item on lines of its own.
	items []part
}

func (p part) path() string { return join(p.section, bounded(p.name)) }

// values estimates how many values a text has, never too low: each value
// follows one of these characters. It also counts comments, which the decoder
// keeps, and such characters inside quotes.
func values(text []byte) int {
	count := 0
	for i, c := range text {
		switch c {
		case ',', ':', '?', '[', '{', '#':
			count++
		case '-':
			// A dash inside a name is followed by a visible ASCII character.
			if i+1 == len(text) || text[i+1] <= ' ' || text[i+1] >= 0x7f {
				count++
			}
		}
	}
	return count
}

var (
	keyLine     = regexp.MustCompile(`^ *(?:"([\w.-]+)"|'([\w.-]+)'|([\w.-]+)):(?:[ \t\r].*)?$`)
	sectionLine = regexp.MustCompile(`^["']?\w+["']?:[ \t]*(#.*)?\r?$`)
)

// splitter cuts a text at the lines on which its entries and items begin.
type splitter struct {
	parts []part
	// current is the part that the next line belongs to.
	current *part
	// partSize is the estimate of values from which the next item begins a new
	// part.
	partSize int
	// depth is the indentation of the items of the open section, 0 before its
	// first one, or closed.
	depth int
	// size is the estimate of the values in the current part.
	size int
}

const (
	// closed is the depth outside of sections.
	closed = -1
	// partValues is the size of a part. A decoder for each item took twice the
	// allocations.
	partValues = 512
	// entriesMax bounds the entries of a file in parts; four are known.
	entriesMax = 16
)

// split returns the entries of a text.
func (s *splitter) split(text []byte) ([]part, []sycamorerun.Fault) {
	line := 0
	s.depth = closed
	for rest := bytes.TrimPrefix(text, []byte("\ufeff")); len(rest) > 0; line++ {
		end := bytes.IndexByte(rest, '\n') + 1
		if end == 0 {
			end = len(rest)
		}
		if faults := s.add(rest[:end], line); faults != nil {
			faults[0].Line = line + 1
			return nil, faults
		}
		rest = rest[end:]
	}
	if len(s.parts) == 0 {
		return nil, one(CodeEmpty, "", "the file has no content")
	}
	return s.parts, nil
}

// add takes the next line, which has a number of lines before it.
func (s *splitter) add(line []byte, before int) []sycamorerun.Fault {
	content := bytes.TrimLeft(line, " ")
	indent := len(line) - len(content)
	visible := bytes.TrimSpace(content)
	switch {
	case len(visible) == 0 || visible[0] == '#':
	case indent == 0 && string(visible) == "---":
		if len(s.parts) > 0 {
			return one(CodeDocuments, "", "only one YAML document is allowed")
		}
		return nil
	case indent == 0:
		name, ok := key(line)
		if !ok {
			return tooDense("")
		}
		if len(s.parts) == entriesMax {
			return one(CodeUnknownField, bounded(name), "the file has more than %d fields", entriesMax)
		}
		s.parts = append(s.parts, part{name: name, line: before})
		s.current, s.depth = &s.parts[len(s.parts)-1], closed
		if section, known := sections[name]; known && !section.single && sectionLine.Match(bytes.TrimRight(line, "\n")) {
			s.depth = 0
		}
	case s.current == nil:
		return tooDense("")
	case s.depth == 0 || indent <= s.depth:
		section := &s.parts[len(s.parts)-1]
		name, ok := key(line)
		if !ok || s.depth > 0 && indent < s.depth {
			return tooDense(section.path())
		}
		if s.depth == 0 || s.size >= s.partSize {
			section.items = append(section.items, part{section: section.name, name: name, line: before})
			s.current, s.size = &section.items[len(section.items)-1], 0
		}
		s.depth = indent
	}
	if s.current != nil {
		s.current.text = extend(s.current.text, line)
		s.size += values(line)
	}
	return nil
}

// extend lengthens text by the line that follows it in memory.
func extend(text, line []byte) []byte {
	if text == nil {
		return line
	}
	return text[:len(text)+len(line)]
}

// key returns the key that a line begins with.
func key(line []byte) (string, bool) {
	found := keyLine.FindSubmatch(bytes.TrimRight(line, "\n"))
	if found == nil {
		return "", false
	}
	return string(found[1]) + string(found[2]) + string(found[3]), true
}

func tooDense(at string) []sycamorerun.Fault {
	return one(CodeTooMany, at, "more than %d values and comments together; begin each service, route or team on a line of its own, with equal indentation", MaxValues)
}

// partDecoder decodes the parts of one text in their order.
type partDecoder struct {
	// anchored are the earlier parts that define anchors.
	anchored   []part
	references int
	// repeats counts the parts decoded again for an anchor of earlier ones.
	repeats int
}

// decode returns the mapping that part consists of, with the lines of the
// whole text.
func (d *partDecoder) decode(p part) (*yaml.Node, []sycamorerun.Fault) {
	if values(p.text) > MaxValues {
		return nil, p.place(tooDense(p.path()))
	}
	mapping, faults := decodeAll([]part{p})
	if faults != nil && len(d.anchored) > 0 && bytes.IndexByte(p.text, '*') >= 0 {
		mapping, faults = d.again(p)
	}
	if faults != nil {
		return nil, faults
	}
	lines := references(mapping, nil)
	if faults := tooManyAliases(p.section, lines, MaxAliases-d.references); faults != nil {
		return nil, faults
	}
	if d.references += len(lines); len(lines) > 0 {
		d.anchored = append(d.anchored, p)
	}
	return mapping, nil
}

// again decodes a part together with the anchors that it may refer to.
func (d *partDecoder) again(p part) (*yaml.Node, []sycamorerun.Fault) {
	parts := slices.DeleteFunc(slices.Clone(d.anchored), func(other part) bool { return other.line > p.line })
	parts = append(parts, p)
	slices.SortFunc(parts, func(a, b part) int { return a.line - b.line })
	total := 0
	for _, other := range parts {
		total += values(other.text)
	}
	if d.repeats++; d.repeats > MaxAliases || total > MaxValues {
		return nil, p.place(one(CodeTooManyAliases, p.path(), "the anchors of the file and the items with them are too large together"))
	}
	return decodeAll(parts)
}

// place gives faults the line of the part.
func (p part) place(faults []sycamorerun.Fault) []sycamorerun.Fault {
	faults[0].Line = p.line + 1
	return faults
}

// decodeAll decodes parts as one document and returns the mapping of the last
// one.
func decodeAll(parts []part) (*yaml.Node, []sycamorerun.Fault) {
	last := parts[len(parts)-1]
	if len(parts) == 1 {
		return decodeAt(last.text, last, 0)
	}
	var text []byte
	before := 0 // Lines of text before the last part.
	for _, p := range parts {
		text = append(text, "-\n"...)
		before = bytes.Count(text, []byte("\n"))
		entry := p.text
		if p.section == "" {
			// The entries of a list are indented.
			entry = append([]byte(" "), bytes.ReplaceAll(entry, []byte("\n"), []byte("\n "))...)
		}
		text = append(append(text, entry...), '\n')
	}
	list, faults := decodeAt(text, last, before)
	if faults != nil || list.Kind != yaml.SequenceNode || len(list.Content) != len(parts) {
		return list, faults
	}
	return list.Content[len(parts)-1], nil
}

// decodeAt decodes a document that ends with part p behind some lines, and
// gives its nodes and faults the lines of the whole text.
func decodeAt(text []byte, p part, before int) (*yaml.Node, []sycamorerun.Fault) {
	root, faults := decode(text)
	switch {
	case faults == nil:
		shift(root, p.line-before)
		return root, nil
	case faults[0].Line == 0:
		return nil, p.place(faults)
	}
	faults[0].Line += p.line - before
	return nil, faults
}

// shift adds lines to the line of each node. It does not follow aliases.
func shift(node *yaml.Node, lines int) {
	node.Line = max(1, node.Line+lines)
	for _, child := range node.Content {
		shift(child, lines)
	}
}
