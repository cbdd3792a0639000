package sycamorerun

import "time"

// Entry is one accepted version: its difference to the version before it and,
// in the log, the changes that it contains.
type Entry struct {
	Version Version
	// Base is the version that the difference starts from. Zero means the
	// preceding number.
	Base Version
	// Hash is the hash of the whole tree at Version.
	Hash       Hash
	Difference Difference
	Changes    []Accepted
	Time       time.Time
}

// BaseVersion returns the version that the difference starts from.
func (e Entry) BaseVersion() Version {
	if e.Base > 0 || e.Version == 0 {
		return e.Base
	}
	return e.Version - 1
}

// Difference turns one tree into another.
type Difference struct {
	Put    map[Path]Item
	Remove []Path
}

// Accepted names a change that an entry contains.
type Accepted struct {
	ID       string
	Team     string
	Operator string
	Kind     ChangeKind
}
