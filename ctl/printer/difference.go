package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"sycamorerun/api/gen/settings"
)

// Differences writes one line for each item and, for a changed item, one for
// each field that differs.
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
			fields(w, *difference.Before, *difference.After)
		}
	}
}

func fields(w io.Writer, before, after string) {
	var old, next map[string]json.RawMessage
	if json.Unmarshal([]byte(before), &old) != nil || json.Unmarshal([]byte(after), &next) != nil {
		fmt.Fprintf(w, "    - %s\n    + %s\n", before, after)
		return
	}
	names := map[string]bool{}
	for name := range old {
		names[name] = true
	}
	for name := range next {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if string(old[name]) != string(next[name]) {
			fmt.Fprintf(w, "    %s: %s -> %s\n", name, absent(old[name]), absent(next[name]))
		}
	}
}

func absent(value json.RawMessage) string {
	if value == nil {
		return "(none)"
	}
	return string(value)
}
