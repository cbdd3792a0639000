package parser_test

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/parser"
)

// heapLimit is the peak memory allowed for Parse. A node uses 28 to 45 MB and
// must stay below 64 MB.
const heapLimit = 16 << 20

// peakMemory returns the peak memory during run above that before it. It samples
// once per millisecond and misses shorter peaks.
func peakMemory(run func()) uint64 {
	defer debug.SetGCPercent(debug.SetGCPercent(10))
	runtime.GC()
	var memory runtime.MemStats
	used := func() uint64 {
		runtime.ReadMemStats(&memory)
		return memory.HeapAlloc + memory.StackInuse
	}
	before, highest := used(), uint64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for {
		highest = max(highest, used())
		select {
		case <-done:
			return highest - min(highest, before)
		case <-ticker.C:
		}
	}
}

// fillText returns a text of the maximum size that repeats unit.
func fillText(head, unit, tail string) string {
	return head + strings.Repeat(unit, (parser.MaxTextBytes-len(head)-len(tail))/len(unit)) + tail
}

// manyItems returns a section of number items, or as many as a text may contain.
func manyItems(section string, number int, format string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s:\n", section)
	for i := range number {
		line := fmt.Sprintf(format, i)
		if text.Len()+len(line) > parser.MaxTextBytes-100 {
			break
		}
		text.WriteString(line)
	}
	return text.String()
}

func hosts(number int) string {
	var names []string
	for i := range number {
		names = append(names, string(rune('a'+i%26))+string(rune('a'+i/26)))
	}
	return strings.Join(names, ",")
}

func operators(number int) string {
	var list []string
	for i := range number {
		list = append(list, fmt.Sprintf(`{name: n%[1]d, hash: "sha256:%064[1]d"}`, i))
	}
	return strings.Join(list, ", ")
}

// TestParseMemory guards against hostile texts of 1 MiB that exhaust the node's
// memory, and against rejecting the largest valid files. Decoding these texts
// as a whole took up to 181 MB.
func TestParseMemory(t *testing.T) {
	for name, test := range map[string]struct {
		text, code, path string
		line             int
	}{
		"every field": {"team: a\n" + manyItems("services", 1024, "  s%d: {slots: 6, queue: 12, connections: 130, timeout: 2s, idle: 10s, warmup: 5s, retries: 0.2}\n") +
			manyItems("routes", 4096, "  r%d: {hosts: [h.example], prefix: /q, methods: [GET, PUT], headers: {x-channel: agent}, class: bulk, repeat: default, split: [{service: s, weight: 100}, {service: t}]}\n"), "", "", 0},
		"many hosts":           {"team: a\n" + manyItems("routes", 4096, "  r%d: {hosts: ["+hosts(64)+"], split: [{service: s}]}\n"), "", "", 0},
		"many operators":       {"team: admin\n" + manyItems("teams", 512, "  t%d: {operators: ["+operators(20)+"]}\n"), "", "", 0},
		"long header":          {"team: a\n" + manyItems("routes", 4096, "  r%d: {headers: {x: \""+strings.Repeat(",", 256)+"\"}, split: [{service: s}]}\n"), "", "", 0},
		"flow list":            {fillText("team: a\nroutes: {r: {hosts: [", "a,", "]}}"), "too-many", "routes", 2},
		"list of an item":      {fillText("team: a\nroutes:\n  r: {hosts: [", "a,", "]}"), "too-many", "routes.r", 3},
		"lines of an item":     {fillText("team: a\nroutes:\n  r:\n    hosts:\n", "    - a\n", ""), "too-many", "routes.r", 3},
		"flow map":             {fillText("team: a\nroutes: {r: {", "a,", "}}"), "too-many", "routes", 2},
		"empty keys":           {fillText("team: a\nroutes: {r: {", "? ,", "}}"), "too-many", "routes", 2},
		"pairs in a list":      {fillText("team: a\nroutes: {r: [", "a: ,", "]}"), "too-many", "routes", 2},
		"empty lists":          {fillText("team: a\nroutes: {r: [", "[],", "]}"), "too-many", "routes", 2},
		"keys at the bound":    {"team: a\nroutes: {r: {" + strings.Repeat("a,", parser.MaxValues-9) + "}}", "duplicate", "routes.r.a", 2},
		"pairs at the bound":   {"team: a\nroutes: {r: [" + strings.Repeat("a: ,", parser.MaxValues/2-9) + "]}", "wrong-type", "routes.r", 2},
		"items at the bound":   {"team: a\n" + manyItems("routes", 4096, "  r%d: {headers: {"+strings.Repeat("? ,", parser.MaxValues/2-9)+"}}\n"), "duplicate", "routes.r0.headers.", 3},
		"anchors at the bound": {"team: &x a\n" + manyItems("routes", 31, "  r%d: {split: [{service: s}], hosts: [*x, &x a"+strings.Repeat(",a", 1000)+"]}\n"), "out-of-bounds", "routes.r0.hosts", 3},
		"deep flow":            {fillText("team: a\nroutes: ", "[", ""), "too-many", "routes", 2},
		"flow of 9990":         {"team: a\nroutes: " + strings.Repeat("[", 9990) + strings.Repeat("]", 9990), "wrong-type", "routes", 2},
		"block of 9990":        {"team: a\nroutes:\n" + strings.Repeat("- ", 9990), "wrong-type", "routes", 3},
		"deep blocks":          {fillText("team: a\nroutes:\n", strings.Repeat("- ", 1000)+"\n", ""), "too-many", "", 3},
		"block list":           {fillText("team: a\nroutes:\n", "-\n", ""), "too-many", "", 3},
		"block keys":           {fillText("team: a\nroutes:\n", " a:\n", ""), "duplicate", "routes.a", 4},
		"file keys":            {fillText("team: a\n", "a:\n", ""), "unknown-field", "a", 17},
		"question marks":       {fillText("team: a\nroutes:\n", "? a\n", ""), "too-many", "", 3},
		"line comments":        {fillText("team: a\nroutes:\n", " a: #\n", ""), "duplicate", "routes.a", 4},
		"flow comments":        {fillText("team: a\nroutes: [", "a, #\n", "]"), "too-many", "", 3},
		"comment lines":        {fillText("team: a\n", "#\n\n", ""), "too-many", "team", 1},
		"comment":              {fillText("team: a #", "x", ""), "", "", 0},
		"anchors":              {fillText("team: a\nroutes: [", "&a ,", "]"), "too-many", "routes", 2},
		"aliases":              {fillText("team: &a a\nroutes: [", "*a,", "]"), "too-many", "routes", 2},
		"aliases of items":     {"team: &a a\n" + manyItems("routes", 4096, "  r%d: {prefix: /, class: bulk, split: [{service: *a, weight: 1}]}\n"), "too-many-aliases", "routes", 66},
		"aliases of a list":    {"team: a\nroutes:\n  r: {hosts: &x [" + strings.Repeat("a,", 8000) + "]}\n" + strings.Repeat("  s: {hosts: *x}\n", 60), "missing-field", "routes.r.split", 3},
		"tags":                 {fillText("team: a\nroutes: [", "! ,", "]"), "too-many", "routes", 2},
		"quoted text":          {fillText("team: \"", "\\n", "\""), "bad-name", "team", 1},
		"block text":           {fillText("team: |\n", " x\n", ""), "bad-name", "team", 1},
		"empty lines":          {fillText("team: a\n", "\n", ""), "", "", 0},
		"documents":            {fillText("team: a\n", "---\n", ""), "several-documents", "", 2},
		"directives":           {fillText("", "%TAG !a! b\n", "---\nteam: a"), "syntax", "", 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var code, path, reason string
			var line int
			highest := peakMemory(func() {
				_, faults := parser.Parse([]byte(test.text))
				if len(faults) > 0 {
					code, path, line, reason = faults[0].Code, faults[0].Path, faults[0].Line, faults[0].Reason
				}
			})
			t.Logf("%d bytes of text, %.1f MB: %s", len(test.text), float64(highest)/1e6, reason)
			is.True(highest < heapLimit)
			is.Equal(code, test.code)
			is.Equal(path, test.path)
			is.Equal(line, test.line)
		})
	}
}

// TestParseParts guards against a text that is read differently when it is
// decoded in parts.
func TestParseParts(t *testing.T) {
	const wide = "{prefix: /, split: [{service: s}]}"
	for name, test := range map[string]struct {
		text, code, path string
		line             int
	}{
		"example":             {example, "", "", 0},
		"admins":              {adminExample, "", "", 0},
		"start of document":   {"---\n# x\n" + example, "", "", 0},
		"carriage returns":    {strings.ReplaceAll(example, "\n", "\r\n"), "", "", 0},
		"quoted names":        {"team: a\nservices:\n  \"007\": {}\n  'null':\n    slots: 1\n", "", "", 0},
		"comments":            {"# x\nteam: a # x\nservices: # x\n# x\n  # x\n  s: {}\n# x\n\n  t:\n    # x\n    slots: 1 # x\n", "", "", 0},
		"anchors of items":    {"team: a\nroutes:\n  q: &x " + wide + "\n  r: *x\n  s: *x\n", "", "", 0},
		"anchors of sections": {"team: &x a\nservices: {t: &y {slots: 1}}\nroutes:\n  r: {split: [{service: *x}]}\n", "", "", 0},
		"anchor defined anew": {"routes:\n  q: {prefix: &x /a, split: [{service: s}]}\n  r: {prefix: *x, split: [{service: s}]}\n  s: {prefix: &x /b, split: [{service: s}]}\n  t: {prefix: *x, split: [{service: s}]}\nteam: a\n", "", "", 0},
		"later anchor":        {"routes:\n  q: {prefix: *x, split: [{service: s}]}\nteam: &x a\n", "syntax", "", 2},
		"brackets over lines": {"team: a\nroutes:\n  q: {prefix: /,\n    split: [\n      {service: s}]}\n", "", "", 0},
		"bracket not closed":  {"team: a\nroutes:\n  q: {prefix: /, split: [\n  r: a]}\n", "syntax", "", 3},
		"duplicate item":      {"team: a\nservices:\n  s: {}\n  t: {}\n  s: {}\n", "duplicate", "services.s", 5},
		"duplicate section":   {"team: a\nservices:\n  s: {}\nservices:\n  t: {}\n", "duplicate", "services", 4},
		"fault in an item":    {"team: a\nservices:\n  s: {}\n  t:\n    slots: 0\n", "out-of-bounds", "services.t.slots", 5},
		"syntax in an item":   {"team: a\nservices:\n  s: {}\n  t:\n    slots: [\n  u: {}\n", "syntax", "", 5},
		"second document":     {"team: a\n---\nteam: b\n", "several-documents", "", 2},
		"unequal indentation": {"team: a\nservices:\n    s: {}\n  t: {}\n", "too-many", "services", 4},
		"list":                {"team: a\nservices:\n- s\n", "too-many", "", 3},
		"too many services":   {"team: a\n" + manyItems("services", parser.MaxServices+1, "  s%d: {}\n"), "too-many", "services", parser.MaxServices + 3},
		"comment only":        {"# nothing", "empty", "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			subtree, faults := parser.ParseParts([]byte(test.text))
			if test.code == "" {
				is.Equal(faults, nil)
				whole, faults := parser.Parse([]byte(test.text))
				is.Equal(faults, nil)
				is.Equal(subtree, whole)
				return
			}
			is.True(len(faults) > 0)
			is.Equal(faults[0].Code, test.code)
			is.Equal(faults[0].Path, test.path)
			is.Equal(faults[0].Line, test.line)
		})
	}
}
