package forwarder

import (
	"time"

	"sycamorerun"
)

// Match is the route of a request.
type Match struct {
	Team    string
	Service string
	Class   sycamorerun.Class
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Timeout bounds the whole call, Idle a gap without progress.
	Timeout time.Duration
	Idle    time.Duration
	// Attempts bounds the upstreams that the call is sent to; zero means the
	// node's default.
	Attempts int
	// Objective is the latency within which a response has its full value; zero
	// means none.
	Objective time.Duration
	// Rank orders the calls of a queue, 1 first.
	Rank int
	// Nested says that an upstream makes the call while it runs another one.
	Nested bool
}

// SlotRequest describes a call that asks for a slot.
type SlotRequest struct {
	Rank      int
	Deadline  time.Time
	Objective time.Duration
	// Arrived is when the call entered the fleet.
	Arrived time.Time
	Nested  bool
}

// Rejection is why a call got no slot; it is zero when the call got one.
type Rejection struct {
	Reason string
	// RetryAfter is the time after which capacity is expected; zero means unknown.
	After time.Duration
}

// Query describes the instance that an attempt needs.
type Query struct {
	Service string
	// Tried names the instances that earlier attempts of the call used.
	Tried []string
	// Rank is the call's, since an instance that is full for one rank may take
	// calls of a more urgent one.
	Rank int
	// Objective is the call's. Calls of one rank and objective are expected to
	// take about the same time.
	Objective time.Duration
}

// Observation is the end of an attempt.
type Observation struct {
	Instance string
	Service  string
	// Result is what is known of the attempt, Status the upstream's status if
	// it answered.
	Result sycamorerun.Result
	Reason string
	Status int
	// HeadLatency is the time until the head of the response or the failure.
	HeadLatency time.Duration
	// Load is what the node beside the upstream reported for calls of Rank and
	// Objective, or nil.
	Load *Load
	// RetryAfter is the time after which it expects capacity for calls of Rank; zero
	// means unknown.
	RetryAfter time.Duration
	Rank       int
	Objective  time.Duration
}

// Attempt is a failed attempt that may be repeated.
type Attempt struct {
	Service string
	// Number counts the attempts of this call from 1, Sends those that may have
	// reached an upstream. Sent says that this one may have.
	Number int
	Sends  int
	Sent   bool
	// Limit bounds Sends; zero means the default.
	Limit int
	// SameInstance says that a repetition goes to the same instance.
	SameInstance bool
	// Left is the time until the deadline; zero means that there is none.
	Left time.Duration
	// CallerAttempt is the attempt number that the caller's own request had, which is
	// above 1 when a node nearer to the origin of the call chain is already
	// repeating.
	CallerAttempt int
	Result        sycamorerun.Result
	Reason        string
	Repeatable    bool
	// Consumed says that a part of the request body can't be sent again.
	Consumed bool
	// ResponseStarted says that a part of the response reached the caller.
	ResponseStarted bool
}

// Claim names a call that is about to run.
type Claim struct {
	ID string
	// Key is the idempotency key with its scope, or empty; Print identifies
	// the request that the key stands for.
	Key         string
	Fingerprint uint64
}

// Completion is how a call ended at the upstream.
type Completion struct {
	Result sycamorerun.Result
	// Response is the encoded response if it is small, or nil.
	Response []byte
}

// CallState is what a node knows of a call.
type CallState string

// Values of Progress.
const (
	CallRefused  CallState = "refused"
	CallStarted  CallState = "started"
	CallFinished CallState = "finished"
	CallUnknown  CallState = "unknown"
)
