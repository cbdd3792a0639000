// Package printer writes answers as text for people or as JSON for programs.
package printer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"

	"github.com/pkg/errors"
)

// Formats of the output.
const (
	Text = "text"
	JSON = "json"
)

// Printer writes in one format.
type Printer struct {
	Out    io.Writer
	Format string
}

// Print writes value as JSON, or calls text for the text format.
func (p Printer) Print(value any, text func(io.Writer)) error {
	if p.Format == JSON {
		return p.json(value)
	}
	var buffer bytes.Buffer
	text(&buffer)
	_, err := io.WriteString(p.Out, Clean(buffer.String()))
	return errors.Wrap(err, "write output")
}

// json writes value with the field names of the API. Those are the Go names
// in lower case, since every field of the API is one word.
func (p Printer) json(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode output")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	// Versions can exceed what a float64 holds.
	decoder.UseNumber()
	var generic any
	if err := decoder.Decode(&generic); err != nil {
		return errors.Wrap(err, "encode output")
	}
	if generic == nil {
		generic = []any{}
	}
	encoder := json.NewEncoder(p.Out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(lower(generic)), "write output")
}

// lower turns keys into lower case and drops absent values.
func lower(value any) any {
	switch value := value.(type) {
	case map[string]any:
		object := make(map[string]any, len(value))
		for key, element := range value {
			if element != nil {
				object[strings.ToLower(key)] = lower(element)
			}
		}
		return object
	case []any:
		for i := range value {
			value[i] = lower(value[i])
		}
	}
	return value
}

// Clean replaces control characters, because texts of other operators could
// otherwise send escape sequences to the terminal.
func Clean(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) && r != '\n' && r != '\t' {
			return '?'
		}
		return r
	}, text)
}

// Table writes rows in columns below a heading.
func Table(w io.Writer, heading string, rows [][]any) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, strings.ReplaceAll(heading, " ", "\t"))
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(table, "\t")
			}
			// A tab or line break within a cell would break the columns.
			fmt.Fprint(table, strings.NewReplacer("\t", " ", "\n", " ").Replace(fmt.Sprint(cell)))
		}
		fmt.Fprintln(table)
	}
	table.Flush()
}
