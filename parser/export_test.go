package parser

import "sycamorerun"

// ParseParts is Parse with every item in a part of its own.
func ParseParts(text []byte) (Subtree, []sycamorerun.Fault) { return parse(text, -1, 0) }
