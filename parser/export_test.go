package parser

import "sycamorerun"

// ParseParts is Parse with each item decoded in a separate part.
func ParseParts(text []byte) (Subtree, []sycamorerun.Fault) { return parse(text, -1, 0) }
