package sycamorerun

import "time"

// ChangeKind is the operation of a change.
type ChangeKind string

// Change kinds.
const (
	Apply       ChangeKind = "apply"
	PlaceHold   ChangeKind = "hold"
	ReleaseHold ChangeKind = "release"
	Revert      ChangeKind = "revert"
	Approve     ChangeKind = "approve"
	Reject      ChangeKind = "reject"
)

// Change is an operator's request to change the subtree of a team.
type Change struct {
	// ID is chosen by the client and makes the submission idempotent.
	ID       string
	Kind     ChangeKind
	Team     string
	Operator string
	// Base is the version on which the change is based. The change conflicts if
	// the team's subtree has changed since. Zero skips the check.
	Base Version
	// Items is the complete new subtree of the team, for Apply.
	Items map[Path]Item
	// Hold is the hold to place, for PlaceHold.
	Hold Hold
	// Target is the version whose subtree is restored, for Revert.
	Target Version
	// Proposal and Content identify the reviewed change, for Approve and Reject.
	Proposal string
	Content  Hash
}

// Status is the status of a change.
type Status string

// Change statuses.
const (
	StatusAccepted Status = "accepted"
	StatusPending  Status = "pending"
	StatusRefused  Status = "refused"
	StatusConflict Status = "conflict"
	StatusUnknown  Status = "unknown"
)

// Outcome is the reply to a submitted change.
type Outcome struct {
	ID      string
	Status  Status
	Version Version
	Faults  []Fault
	// Retry is the delay before the client should ask again, for StatusUnknown.
	Retry time.Duration
}

// Fault is a reason for the rejection of a settings file or a change.
type Fault struct {
	// Code is a stable identifier, such as "unknown-field".
	Code string
	// Path is the location of the fault, such as "quoting/route/quotes" or
	// "routes.quotes.split[0].service".
	Path string
	// Line is the line in the settings file, zero if unknown.
	Line int
	// Reason is a human-readable explanation.
	Reason string
}
