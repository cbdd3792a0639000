package parser

// Fault codes of a settings file or an item.
const (
	CodeTooLong        = "too-long"
	CodeNotUTF8        = "not-utf8"
	CodeSyntax         = "syntax"
	CodeEmpty          = "empty"
	CodeDocuments      = "several-documents"
	CodeTooManyAliases = "too-many-aliases"
	CodeUnknownField   = "unknown-field"
	CodeMissingField   = "missing-field"
	CodeWrongType      = "wrong-type"
	CodeMissingUnit    = "missing-unit"
	CodeWrongUnit      = "wrong-unit"
	CodeOutOfBounds    = "out-of-bounds"
	CodeBadName        = "bad-name"
	CodeBadValue       = "bad-value"
	CodeDuplicate      = "duplicate"
	CodeTooMany        = "too-many"
	CodeTooLarge       = "too-large"
	CodeMalformed      = "malformed"
	CodeBadPath        = "bad-path"
)

// Codes maps each fault code of this package to its meaning.
var Codes = map[string]string{
	CodeTooLong:        "the text exceeds its size limit",
	CodeNotUTF8:        "the text is not UTF-8",
	CodeSyntax:         "the text is not YAML",
	CodeEmpty:          "the text has no content",
	CodeDocuments:      "the text has more than one YAML document",
	CodeTooManyAliases: "anchors and aliases, or what they expand to, exceed their limit",
	CodeUnknownField:   "the object has no such field",
	CodeMissingField:   "a required field is absent",
	CodeWrongType:      "the value has another type than the field",
	CodeMissingUnit:    "a duration has no unit",
	CodeWrongUnit:      "a duration has a unit other than ms, s, m or h",
	CodeOutOfBounds:    "a number, duration or length is out of bounds",
	CodeBadName:        "a name has a wrong length or characters",
	CodeBadValue:       "a text is not one of the allowed values or forms",
	CodeDuplicate:      "a key or element occurs twice",
	CodeTooMany:        "there are more items than allowed",
	CodeTooLarge:       "an item exceeds its size limit",
	CodeMalformed:      "an item is not the canonical JSON of its kind",
	CodeBadPath:        "an item's path has a wrong form",
}
