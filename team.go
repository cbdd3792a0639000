package sycamorerun

import "time"

// Values of Team.Mode.
const (
	ModeFlow   = "flow"
	ModeReview = "review"
)

// Team is the item that declares a team: the mode in which its changes are
// accepted, and its operators.
type Team struct {
	Mode      string     `json:"mode"`
	Operators []Operator `json:"operators,omitempty"`
}

// Operator is a person or program that may change its team's subtree. Hash is
// "sha256:" followed by the hex SHA-256 of the operator's token.
type Operator struct {
	Name string `json:"name"`
	Hash string `json:"hash"`
}

// Hold is the item that blocks changes to a team's subtree. If Until is zero,
// the hold does not expire and must be released.
type Hold struct {
	Operator string    `json:"operator"`
	Reason   string    `json:"reason"`
	Since    time.Time `json:"since"`
	Until    time.Time `json:"until,omitzero"`
}

// Active reports whether the hold has not expired at now.
func (h Hold) Active(now time.Time) bool {
	return h.Until.IsZero() || now.Before(h.Until)
}
