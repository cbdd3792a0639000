package parser

import (
	"bytes"
	"regexp"
	"slices"

	"go.yaml.in/yaml/v3"

	"sycamorerun"
)

// MaxValues is the maximum number of YAML values in memory at once, as counted
// by estimateValues. The decoder allocates up to 350 bytes for each value;
// decoding a hostile text of 1 MiB as a whole took 181 MB. The largest item has
// about 1,000 values and 5,000 quoted characters that the estimate also counts.
const MaxValues = 1 << 14

// part is a piece of a text that is decoded separately: a top-level entry of
// the file or one or more items of a section.
type part struct {
	// section is the top-level field that contains the items. It is empty for
	// a top-level entry.
	section string
	// name is the key of the entry or of the first item.
	name string
	// linesBefore is the number of lines of the text before the part.
	linesBefore int
	text        []byte
	// items are the parts of a section whose items begin on separate lines.
	items []part
}

func (p part) path() string { return joinPath(p.section, truncateKey(p.name)) }

// estimateValues returns an upper bound of the number of YAML values in text,
// since each value follows one of these characters. It also counts comments,
// which the decoder keeps in memory, and such characters inside quotes.
func estimateValues(text []byte) int {
	count := 0
	for i, c := range text {
		switch c {
		case ',', ':', '?', '[', '{', '#':
			count++
		case '-':
			// A dash before a visible ASCII character is not a list indicator.
			if i+1 == len(text) || text[i+1] <= ' ' || text[i+1] >= 0x7f {
				count++
			}
		}
	}
	return count
}

var (
	keyLinePattern     = regexp.MustCompile(`^ *(?:"([\w.-]+)"|'([\w.-]+)'|([\w.-]+)):(?:[ \t\r].*)?$`)
	sectionLinePattern = regexp.MustCompile(`^["']?\w+["']?:[ \t]*(#.*)?\r?$`)
)

// splitter splits a text at the lines on which entries and items begin.
type splitter struct {
	parts []part
	// current is the part to which the next line is appended.
	current *part
	// targetPartValues is the estimated number of values at which the next item
	// begins a new part.
	targetPartValues int
	// itemIndent is the indentation of the items in the current section, 0
	// before the first item, or noSection.
	itemIndent int
	// currentValues is the estimated number of values in the current part.
	currentValues int
}

const (
	// noSection is the itemIndent outside of a section that is split.
	noSection = -1
	// defaultPartValues is the estimated number of values at which a part is
	// complete. Decoding each item separately doubled the allocations.
	defaultPartValues = 512
	// maxEntries is the maximum number of top-level entries in a file that is
	// split. Only six fields are defined.
	maxEntries = 16
)

// split returns the top-level entries of text.
func (s *splitter) split(text []byte) ([]part, []sycamorerun.Fault) {
	line := 0
	s.itemIndent = noSection
	for rest := bytes.TrimPrefix(text, []byte("\ufeff")); len(rest) > 0; line++ {
		end := bytes.IndexByte(rest, '\n') + 1
		if end == 0 {
			end = len(rest)
		}
		if faults := s.addLine(rest[:end], line); faults != nil {
			faults[0].Line = line + 1
			return nil, faults
		}
		rest = rest[end:]
	}
	if len(s.parts) == 0 {
		return nil, newFaults(CodeEmpty, "", "the file has no content")
	}
	return s.parts, nil
}

// addLine adds the next line of the text to the current part or to a new one.
func (s *splitter) addLine(line []byte, linesBefore int) []sycamorerun.Fault {
	content := bytes.TrimLeft(line, " ")
	indent := len(line) - len(content)
	visible := bytes.TrimSpace(content)
	switch {
	case len(visible) == 0 || visible[0] == '#':
	case indent == 0 && string(visible) == "---":
		if len(s.parts) > 0 {
			return newFaults(CodeDocuments, "", "only one YAML document is allowed")
		}
		return nil
	case indent == 0:
		name, ok := parseKey(line)
		if !ok {
			return tooManyValues("")
		}
		if len(s.parts) == maxEntries {
			return newFaults(CodeUnknownField, truncateKey(name), "the file has more than %d fields", maxEntries)
		}
		s.parts = append(s.parts, part{name: name, linesBefore: linesBefore})
		s.current, s.itemIndent = &s.parts[len(s.parts)-1], noSection
		if section, known := sections[name]; known && !section.single && sectionLinePattern.Match(bytes.TrimRight(line, "\n")) {
			s.itemIndent = 0
		}
	case s.current == nil:
		return tooManyValues("")
	case s.itemIndent == 0 || indent <= s.itemIndent:
		section := &s.parts[len(s.parts)-1]
		name, ok := parseKey(line)
		if !ok || s.itemIndent > 0 && indent < s.itemIndent {
			return tooManyValues(section.path())
		}
		if s.itemIndent == 0 || s.currentValues >= s.targetPartValues {
			section.items = append(section.items, part{section: section.name, name: name, linesBefore: linesBefore})
			s.current, s.currentValues = &section.items[len(section.items)-1], 0
		}
		s.itemIndent = indent
	}
	if s.current != nil {
		s.current.text = extendText(s.current.text, line)
		s.currentValues += estimateValues(line)
	}
	return nil
}

// extendText extends text by line, which directly follows it in the same
// array, without copying.
func extendText(text, line []byte) []byte {
	if text == nil {
		return line
	}
	return text[:len(text)+len(line)]
}

// parseKey returns the key at the start of a line.
func parseKey(line []byte) (string, bool) {
	found := keyLinePattern.FindSubmatch(bytes.TrimRight(line, "\n"))
	if found == nil {
		return "", false
	}
	return string(found[1]) + string(found[2]) + string(found[3]), true
}

func tooManyValues(path string) []sycamorerun.Fault {
	return newFaults(CodeTooMany, path, "more than %d values and comments together; begin each service, route or team on a line of its own, with equal indentation", MaxValues)
}

// partDecoder decodes the parts of one text and resolves aliases across parts.
type partDecoder struct {
	// anchorParts are the decoded parts that contain anchors or aliases.
	anchorParts []part
	// referenceCount is the number of anchors and aliases in the decoded parts.
	referenceCount int
	// redecodes counts the parts that were decoded a second time, together with
	// the anchors of other parts.
	redecodes int
}

// decode returns the mapping of part p, with line numbers relative to the whole
// text.
func (d *partDecoder) decode(p part) (*yaml.Node, []sycamorerun.Fault) {
	if estimateValues(p.text) > MaxValues {
		return nil, p.setLine(tooManyValues(p.path()))
	}
	mapping, faults := decodeLast([]part{p})
	if faults != nil && len(d.anchorParts) > 0 && bytes.IndexByte(p.text, '*') >= 0 {
		mapping, faults = d.decodeWithAnchors(p)
	}
	if faults != nil {
		return nil, faults
	}
	lines := referenceLines(mapping, nil)
	if faults := checkAliasCount(p.section, lines, MaxAliases-d.referenceCount); faults != nil {
		return nil, faults
	}
	if d.referenceCount += len(lines); len(lines) > 0 {
		d.anchorParts = append(d.anchorParts, p)
	}
	return mapping, nil
}

// decodeWithAnchors decodes p together with the preceding parts whose anchors
// it may refer to.
func (d *partDecoder) decodeWithAnchors(p part) (*yaml.Node, []sycamorerun.Fault) {
	parts := slices.DeleteFunc(slices.Clone(d.anchorParts), func(other part) bool { return other.linesBefore > p.linesBefore })
	parts = append(parts, p)
	slices.SortFunc(parts, func(a, b part) int { return a.linesBefore - b.linesBefore })
	total := 0
	for _, other := range parts {
		total += estimateValues(other.text)
	}
	if d.redecodes++; d.redecodes > MaxAliases || total > MaxValues {
		return nil, p.setLine(newFaults(CodeTooManyAliases, p.path(), "the anchors of the file and the items with them are too large together"))
	}
	return decodeLast(parts)
}

// setLine sets the line of the first fault to the first line of the part.
func (p part) setLine(faults []sycamorerun.Fault) []sycamorerun.Fault {
	faults[0].Line = p.linesBefore + 1
	return faults
}

// decodeLast decodes parts as a single document and returns the mapping of the
// last part.
func decodeLast(parts []part) (*yaml.Node, []sycamorerun.Fault) {
	last := parts[len(parts)-1]
	if len(parts) == 1 {
		return decodeShifted(last.text, last, 0)
	}
	var text []byte
	before := 0 // Number of lines in text before the last part.
	for _, p := range parts {
		text = append(text, "-\n"...)
		before = bytes.Count(text, []byte("\n"))
		entry := p.text
		if p.section == "" {
			// A top-level entry must be indented to become a list element.
			entry = append([]byte(" "), bytes.ReplaceAll(entry, []byte("\n"), []byte("\n "))...)
		}
		text = append(append(text, entry...), '\n')
	}
	list, faults := decodeShifted(text, last, before)
	if faults != nil || list.Kind != yaml.SequenceNode || len(list.Content) != len(parts) {
		return list, faults
	}
	return list.Content[len(parts)-1], nil
}

// decodeShifted decodes text, in which part p is preceded by before lines, and
// converts the lines of nodes and faults to lines of the settings file.
func decodeShifted(text []byte, p part, before int) (*yaml.Node, []sycamorerun.Fault) {
	root, faults := decode(text)
	switch {
	case faults == nil:
		shiftLines(root, p.linesBefore-before)
		return root, nil
	case faults[0].Line == 0:
		return nil, p.setLine(faults)
	}
	faults[0].Line += p.linesBefore - before
	return nil, faults
}

// shiftLines adds lines to the line number of node and its descendants. It does
// not follow aliases.
func shiftLines(node *yaml.Node, lines int) {
	node.Line = max(1, node.Line+lines)
	for _, child := range node.Content {
		shiftLines(child, lines)
	}
}
