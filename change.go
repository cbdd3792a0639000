package sycamorerun

import "time"

// ChangeKind says what a change does.
type ChangeKind string

// Kinds of changes.
const (
	Apply       ChangeKind = "apply"
	PlaceHold   ChangeKind = "hold"
	ReleaseHold ChangeKind = "release"
	Revert      ChangeKind = "revert"
	Approve     ChangeKind = "approve"
	Reject      ChangeKind = "reject"
)

// Change is an operator's request to change its team's subtree.
type Change struct {
	// ID is chosen by the client and makes the change idempotent.
	ID       string
	Kind     ChangeKind
	Team     string
	Operator string
	// Base is the version that the operator looked at; zero skips the check.
	Base Version
	// Items is the whole new subtree of the team, for Apply.
	Items map[Path]Item
	// Hold is the hold to place, for Place.
	Hold Hold
	// Target is the version whose subtree returns, for Revert.
	Target Version
	// Proposal and Content name the reviewed change, for Approve and Reject.
	Proposal string
	Content  Hash
}

// Status says how a change ended.
type Status string

// Statuses of a change.
const (
	StatusAccepted Status = "accepted"
	StatusPending  Status = "pending"
	StatusRefused  Status = "refused"
	StatusConflict Status = "conflict"
	StatusUnknown  Status = "unknown"
)

// Outcome is the result of a change.
type Outcome struct {
	ID      string
	Status  Status
	Version Version
	Faults  []Fault
	// Retry is how long to wait before asking again, for StatusUnknown.
	Retry time.Duration
}

// Fault is one reason to refuse a settings file or a change.
type Fault struct {
	// Code is stable, such as "unknown-field".
	Code string
	// Path locates the fault, such as "quoting/route/quotes" or
	// "routes.quotes.split[0].service".
	Path string
	// Line is the line in the settings file, zero when unknown.
	Line   int
	Reason string
}
