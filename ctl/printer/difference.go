package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"sycamorerun/api/gen/settings"
)

// Differences writes one line per item and, for a changed item, one further line
// per field that differs.
func Differences(w io.Writer, differences []*settings.Difference) {
	for _, difference := range differences {
		switch {
		case difference.Before == nil && difference.After == nil:
			fmt.Fprintf(w, "? %s\n", difference.Path)
		case difference.Before == nil:
			fmt.Fprintf(w, "+ %s %s\n", difference.Path, *difference.After)
		case difference.After == nil:
			fmt.Fprintf(w, "- %s %s\n", difference.Path, *difference.Before)
		default:
			fmt.Fprintf(w, "~ %s\n", difference.Path)
			writeFieldChanges(w, *difference.Before, *difference.After)
		}
	}
}

// writeFieldChanges writes the fields that differ between two items, which are
// JSON objects. It writes items of other forms as a whole.
func writeFieldChanges(w io.Writer, before, after string) {
	var oldFields, newFields map[string]json.RawMessage
	if json.Unmarshal([]byte(before), &oldFields) != nil || json.Unmarshal([]byte(after), &newFields) != nil {
		fmt.Fprintf(w, "    - %s\n    + %s\n", before, after)
		return
	}
	names := map[string]bool{}
	for name := range oldFields {
		names[name] = true
	}
	for name := range newFields {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if string(oldFields[name]) != string(newFields[name]) {
			fmt.Fprintf(w, "    %s: %s -> %s\n", name, formatField(oldFields[name]), formatField(newFields[name]))
		}
	}
}

func formatField(value json.RawMessage) string {
	if value == nil {
		return "(none)"
	}
	return string(value)
}
