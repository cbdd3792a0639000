package caller

import (
	"net/http"
	"time"

	"sycamorerun"
)

// Record is one request of a caller with its attempts.
type Record struct {
	ID, Kind, Zone string
	// AtMostOnce says that the request must not run twice.
	AtMostOnce bool
	// Objective is the response time that the kind aims at.
	Objective time.Duration
	// Start is when the request was due, whenever it was sent.
	Start, End time.Time
	Attempts   []Attempt
}

// Attempt is one try of a request and what the caller saw.
type Attempt struct {
	ID         string
	Node       string
	Start, End time.Time
	// Limit is the time after which the caller must have been told something;
	// zero: none.
	Limit  time.Duration
	Status int
	Result sycamorerun.Result
	// Reason is the node's reason, or the caller's own error.
	Reason string
	// Whole says that the response was complete and the caller's own.
	Whole bool
	// Disconnected says that the caller disconnected before it was told anything.
	Disconnected bool
	// Version is the marker of the configuration in force where the request
	// entered, zero if the kind does not show it.
	Version int
}

// Answered reports whether the attempt brought a response of the upstream other
// than an error status.
func (a Attempt) Answered() bool {
	return a.Result == sycamorerun.Answered && a.Status == http.StatusOK
}

// Served reports whether an attempt was answered with a whole response.
func (r Record) Served() bool {
	for _, attempt := range r.Attempts {
		if attempt.Answered() && attempt.Whole {
			return true
		}
	}
	return false
}

// Latency counts from the time at which the request was due.
func (r Record) Latency() time.Duration { return r.End.Sub(r.Start) }
