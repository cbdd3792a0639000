package sycamorerun

import "time"

// Entry describes an accepted version by its difference from an earlier version.
// In the log, it also contains the changes that were accepted with it.
type Entry struct {
	Version Version
	// Base is the version to which the difference applies. Zero means
	// Version - 1.
	Base Version
	// Hash is the hash of the whole tree at Version.
	Hash       Hash
	Difference Difference
	Changes    []Accepted
	Time       time.Time
}

// BaseVersion returns the version to which the difference applies.
func (e Entry) BaseVersion() Version {
	if e.Base > 0 || e.Version == 0 {
		return e.Base
	}
	return e.Version - 1
}

// Difference is the set of items to put and paths to remove to turn one tree
// into another.
type Difference struct {
	Put    map[Path]Item
	Remove []Path
}

// Accepted identifies a change in an entry.
type Accepted struct {
	ID       string
	Team     string
	Operator string
	Kind     ChangeKind
}
