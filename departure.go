package sycamorerun

import "time"

// Departure is the departure of an upstream that its node confirmed to it. It binds
// the next processes of the node as well.
type Departure struct {
	ID string
	// Boot is zero if the id left, which does not say which boot of it did. Such a
	// departure binds for a short time all boots up to Last, or all if Last is zero.
	Boot, Last int64
	// Deleted is set if a delete ended the boot. It names no boot, so that it may be a
	// late one of an earlier boot.
	Deleted bool
	At      time.Time
}
