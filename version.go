package sycamorerun

import "strconv"

// Version numbers the accepted configurations. Zero means none.
type Version uint64

// String formats v as a decimal number.
func (v Version) String() string { return strconv.FormatUint(uint64(v), 10) }
