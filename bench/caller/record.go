package caller

import (
	"net/http"
	"time"

	"sycamorerun"
)

// Record is the record of one request and its attempts.
type Record struct {
	ID, Kind, Zone string
	// AtMostOnce marks a request that must not run twice.
	AtMostOnce bool
	// Objective is the target response time of the kind.
	Objective time.Duration
	// Start is the time when the request was due, even if it was sent later.
	Start, End time.Time
	Attempts   []Attempt
}

// Attempt is one attempt of a request and its outcome as the caller saw it.
type Attempt struct {
	ID         string
	Node       string
	Start, End time.Time
	// Limit is the time within which the caller must get a response, or zero for no
	// limit.
	Limit  time.Duration
	Status int
	Result sycamorerun.Result
	// Reason is the reason that the node stated, or the error of the HTTP client.
	Reason string
	// Whole says that the response was complete and belonged to this attempt.
	Whole bool
	// Disconnected says that the caller disconnected before it got a response.
	Disconnected bool
	// Version is the version of the settings in effect at the node that received the
	// request, or zero if the response does not show it.
	Version int
}

// Answered reports whether the attempt got a response with status 200 from the
// upstream.
func (a Attempt) Answered() bool {
	return a.Result == sycamorerun.Answered && a.Status == http.StatusOK
}

// Served reports whether an attempt got a complete response.
func (r Record) Served() bool {
	for _, attempt := range r.Attempts {
		if attempt.Answered() && attempt.Whole {
			return true
		}
	}
	return false
}

// Latency returns the time from when the request was due until it ended.
func (r Record) Latency() time.Duration { return r.End.Sub(r.Start) }
