package sycamorerun

import "time"

// Entry is one accepted version in the log: its difference to the version
// before it and the changes that it contains.
type Entry struct {
	Version Version
	// Hash is the hash of the whole tree at Version.
	Hash       Hash
	Difference Difference
	Changes    []Accepted
	Time       time.Time
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
