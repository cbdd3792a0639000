package sycamorerun

import "time"

// Modes of a team.
const (
	ModeFlow   = "flow"
	ModeReview = "review"
)

// Team is the item that declares a team: how its changes are accepted and who
// its operators are.
type Team struct {
	Mode      string     `json:"mode"`
	Operators []Operator `json:"operators,omitempty"`
}

// Operator may change its team's subtree. Hash is "sha256:" and the hex
// SHA-256 of the operator's token.
type Operator struct {
	Name string `json:"name"`
	Hash string `json:"hash"`
}

// Hold is the item that blocks changes to a team's subtree. A zero Until means
// that the hold stays until it is released.
type Hold struct {
	Operator string    `json:"operator"`
	Reason   string    `json:"reason"`
	Since    time.Time `json:"since"`
	Until    time.Time `json:"until,omitzero"`
}

// Active reports whether the hold is in force at now.
func (h Hold) Active(now time.Time) bool {
	return h.Until.IsZero() || now.Before(h.Until)
}
