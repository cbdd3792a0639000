// Package printer writes the output of commands as text for people or as JSON
// for programs.
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

// Output formats.
const (
	Text = "text"
	JSON = "json"
)

// Printer writes values in one output format.
type Printer struct {
	Out    io.Writer
	Format string
}

// Print writes value as JSON, or what text writes when the format is text.
func (p Printer) Print(value any, text func(io.Writer)) error {
	if p.Format == JSON {
		return p.writeJSON(value)
	}
	var buffer bytes.Buffer
	text(&buffer)
	_, err := io.WriteString(p.Out, Sanitize(buffer.String()))
	return errors.Wrap(err, "write output")
}

// writeJSON writes value with the API's field names. These are the Go names in
// lower case, since every field name of the API is a single word.
func (p Printer) writeJSON(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode output")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	// A float64 can't represent every version.
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
	return errors.Wrap(encoder.Encode(normalize(generic)), "write output")
}

// normalize converts object keys to lower case and drops null members.
func normalize(value any) any {
	switch value := value.(type) {
	case map[string]any:
		object := make(map[string]any, len(value))
		for key, element := range value {
			if element != nil {
				object[strings.ToLower(key)] = normalize(element)
			}
		}
		return object
	case []any:
		for i := range value {
			value[i] = normalize(value[i])
		}
	}
	return value
}

// Sanitize replaces control characters, because texts of other operators could
// otherwise send escape sequences to the terminal.
func Sanitize(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) && r != '\n' && r != '\t' {
			return '?'
		}
		return r
	}, text)
}

// Table writes rows in aligned columns below a heading, whose column names are
// separated by spaces.
func Table(w io.Writer, heading string, rows [][]any) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, strings.ReplaceAll(heading, " ", "\t"))
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(table, "\t")
			}
			// A tab or line break within a cell would misalign the columns.
			fmt.Fprint(table, strings.NewReplacer("\t", " ", "\n", " ").Replace(fmt.Sprint(cell)))
		}
		fmt.Fprintln(table)
	}
	table.Flush()
}
