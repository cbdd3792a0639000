package requester

import (
	"fmt"
	"strings"
	"time"
)

// Kind says how a request failed.
type Kind string

// Kinds of failures.
const (
	// Unreachable means that no node answered.
	Unreachable Kind = "unreachable"
	// Unauthorized means that the token is missing, unknown or of another team.
	Unauthorized Kind = "unauthorized"
	// Invalid means that the node refused the request as malformed.
	Invalid Kind = "invalid"
	// Missing means that nothing has the requested name.
	Missing Kind = "missing"
	// Unknown means that a change may or may not have been accepted.
	Unknown Kind = "unknown"
	// Late means that the fleet did not converge in time.
	Late Kind = "late"
	// Broken means that an answer does not follow the API.
	Broken Kind = "broken"
)

// Failure is a request that did not produce an answer.
type Failure struct {
	Kind   Kind
	Server string
	// ID is the change, for Unknown.
	ID     string
	Code   string
	Reason string
	Retry  time.Duration
	// Sent means that a node may have received the request.
	Sent bool
}

// Error describes the failure for a person.
func (f *Failure) Error() string {
	parts := []string{string(f.Kind)}
	if f.Server != "" {
		parts = append(parts, f.Server)
	}
	if f.Code != "" {
		parts = append(parts, f.Code)
	}
	parts = append(parts, f.Reason)
	if f.Kind == Unknown {
		parts = append(parts, fmt.Sprintf("query it with: srctl outcome %s", f.ID))
	}
	return strings.Join(parts, ": ")
}
