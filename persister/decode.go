package persister

import (
	"encoding/json"

	"github.com/pkg/errors"
)

const (
	// maxNesting is the nesting of the values that are read from an undecodable
	// response. No format of the product has more than a dozen levels.
	maxNesting = 1000
	// minRepairNesting is the nesting from which on scalars that aren't JSON are
	// replaced. A response that isn't JSON on its outer levels is not from a store.
	minRepairNesting = 2
)

// decode decodes a response into result. encoding/json rejects a whole text if
// any value in it is nested more than 10,000 levels deep or is not JSON. Objects
// of other writers may contain such a value, which is replaced, so that the rest
// of the response remains readable.
func decode(body []byte, result any) error {
	err := json.Unmarshal(body, result)
	if syntax := (*json.SyntaxError)(nil); errors.As(err, &syntax) {
		err = json.Unmarshal(repair(body, maxNesting), result)
	}
	return err
}

// repair returns data with null in place of each array and object that is nested
// more than limit levels deep, and with false in place of each scalar within
// objects that isn't JSON, such as the number Infinity. False fits no field that is
// read from an object, so it is not taken for a value. The function does not
// recurse, and its result has at most about three times the size of data.
func repair(data []byte, limit int) []byte {
	repaired := make([]byte, 0, len(data))
	for depth := 0; len(data) > 0; {
		token := data[:tokenLength(data)]
		data = data[len(token):]
		opens, closes := token[0] == '[' || token[0] == '{', token[0] == ']' || token[0] == '}'
		if opens {
			depth++
		}
		switch {
		case depth > limit && opens && depth == limit+1:
			repaired = append(repaired, "null"...)
		case depth > limit:
		case depth >= minRepairNesting && !isDelimiter(token[0]) && !json.Valid(token):
			repaired = append(repaired, "false"...)
		default:
			repaired = append(repaired, token...)
		}
		if closes {
			depth--
		}
	}
	return repaired
}

// tokenLength returns the length of the text, delimiter or scalar at the start of
// data.
func tokenLength(data []byte) int {
	switch {
	case data[0] == '"':
		return textLength(data)
	case isDelimiter(data[0]):
		return 1
	}
	length := 1
	for length < len(data) && !isDelimiter(data[length]) {
		length++
	}
	return length
}

// isDelimiter reports whether c ends a scalar.
func isDelimiter(c byte) bool {
	switch c {
	case '[', ']', '{', '}', ',', ':', '"', ' ', '\t', '\r', '\n':
		return true
	}
	return false
}

// textLength returns the length of the quoted text at the start of data.
func textLength(data []byte) int {
	for i := 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(data)
}
