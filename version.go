package sycamorerun

import "strconv"

// Version is the number of an accepted configuration. Zero means none.
type Version uint64

// String formats v as a decimal number.
func (v Version) String() string { return strconv.FormatUint(uint64(v), 10) }
