package persister

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// maxNesting is the nesting of the values that are read from an undecodable
// response. No format of the product has more than a dozen levels.
const maxNesting = 1000

// decode decodes a response into result. encoding/json rejects a whole text if
// any value in it is nested more than 10,000 levels deep. Objects of other writers
// may contain such a value, which is read as null, so that the rest of the
// response remains readable.
func decode(body []byte, result any) error {
	err := json.Unmarshal(body, result)
	if syntax := (*json.SyntaxError)(nil); errors.As(err, &syntax) {
		err = json.Unmarshal(limitNesting(body, maxNesting), result)
	}
	return err
}

// limitNesting returns data with null in place of each array and object that is
// nested more than limit levels deep. It does not recurse, and its result has about
// twice the size of data at most. Text that isn't JSON remains so, except within the
// replaced values.
func limitNesting(data []byte, limit int) []byte {
	var limited []byte
	depth, start := 0, 0
	quoted, escaped := false, false
	for i, c := range data {
		switch {
		case escaped:
			escaped = false
		case quoted && c == '\\':
			escaped = true
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[' || c == '{':
			if depth++; depth == limit+1 {
				limited = append(append(limited, data[start:i]...), "null"...)
				start = len(data)
			}
		case c == ']' || c == '}':
			if depth--; depth == limit {
				start = i + 1
			}
		}
	}
	return append(limited, data[start:]...)
}
