package requester

import (
	"fmt"
	"strings"
	"time"
)

// Kind classifies a failure.
type Kind string

// Kinds of failures.
const (
	// Unreachable means that no node responded, or that none could serve the
	// request.
	Unreachable Kind = "unreachable"
	// Unauthorized means that the token is missing or unknown, or that its
	// operator may not do this.
	Unauthorized Kind = "unauthorized"
	// Invalid means that the node refused the request as malformed.
	Invalid Kind = "invalid"
	// NotFound means that the requested object does not exist.
	NotFound Kind = "missing"
	// OutcomeUnknown means that a change may have been accepted or not.
	OutcomeUnknown Kind = "unknown"
	// NotConverged means that the fleet did not converge before the timeout.
	NotConverged Kind = "late"
	// InvalidResponse means that a response does not conform to the API.
	InvalidResponse Kind = "broken"
)

// Failure is the error of a request that produced no result.
type Failure struct {
	Kind   Kind
	Server string
	// ChangeID is the id of the change, for OutcomeUnknown.
	ChangeID string
	Code     string
	Reason   string
	// RetryAfter is the delay that the node asks for, zero for none.
	RetryAfter time.Duration
	// Sent means that a node may have received the request.
	Sent bool
}

// Error implements error.
func (f *Failure) Error() string {
	parts := []string{string(f.Kind)}
	if f.Server != "" {
		parts = append(parts, f.Server)
	}
	if f.Code != "" {
		parts = append(parts, f.Code)
	}
	parts = append(parts, f.Reason)
	if f.Kind == OutcomeUnknown {
		parts = append(parts, fmt.Sprintf("query it with: srctl outcome %s", f.ChangeID))
	}
	return strings.Join(parts, ": ")
}
