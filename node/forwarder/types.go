package forwarder

import (
	"time"

	"sycamorerun"
	"sycamorerun/node/estimator"
	"sycamorerun/node/pacer"
)

// Match is the route of a request.
type Match struct {
	Team    string
	Service string
	Class   sycamorerun.Class
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Timeout bounds the whole call, Idle the time without progress.
	Timeout time.Duration
	Idle    time.Duration
	// Attempts bounds the number of upstreams that the call is sent to; zero
	// means the default of the node.
	Attempts int
	// Objective is the latency up to which a response has its full value; zero
	// means none.
	Objective time.Duration
	// Rank is the priority of the call in the queue; 1 is the most urgent.
	Rank int
	// Nested says that an upstream makes the call while it runs another one.
	Nested bool
	// Access says whether the request may use the route.
	Access Access
	// Account is the client account of the request; empty means none. Label is
	// the name of the account for upstreams. Metered says that the account has a
	// rate, so that its requests are charged.
	Account string
	Label   string
	Metered bool
}

// Access says whether a request may use its route.
type Access int

// Values of Access.
const (
	// AccessOpen means that the configuration has no client accounts. The field
	// Authorization belongs to the upstream.
	AccessOpen Access = iota
	// AccessPublic means that requests on the route need no key.
	AccessPublic
	// AccessGranted means that the key of the request is known.
	AccessGranted
	// AccessDenied means that the request lacks a known key.
	AccessDenied
)

// kind returns the kind of calls that are expected to take about the same time.
func (m Match) kind() estimator.Kind {
	return estimator.Kind{Service: m.Service, Rank: m.Rank, Objective: m.Objective}
}

// sizeKind returns the kind of calls whose responses have about the same size.
func (m Match) sizeKind() pacer.Kind {
	return pacer.Kind{Service: m.Service, Rank: m.Rank, Objective: m.Objective}
}

// SlotRequest describes a call that requests a slot.
type SlotRequest struct {
	Rank      int
	Deadline  time.Time
	Objective time.Duration
	// Arrived is when the call reached the first node.
	Arrived time.Time
	Nested  bool
	// Account is the client account of the call; empty means none.
	Account string
	// BodyReceived is closed when a streamed body has arrived at this node. It is
	// nil if the body is in memory.
	BodyReceived <-chan struct{}
}

// Rejection says why a call got no slot. It is zero if the call got one.
type Rejection struct {
	Reason string
	// After is the time after which capacity is expected; zero means unknown.
	After time.Duration
}

// Query describes the instance that an attempt needs.
type Query struct {
	Service string
	// Tried names the instances that earlier attempts of the call used.
	Tried []string
	// LastReason is the reason why the last attempt failed, or empty.
	LastReason string
	// Rank is the rank of the call. An instance that is full for one rank may
	// accept calls of a more urgent one.
	Rank int
	// Objective is the latency objective of the call. Calls of the same rank and
	// objective are expected to take about the same time.
	Objective time.Duration
}

// Observation describes the end of an attempt.
type Observation struct {
	// Instance is the record of the instance at the start of the attempt.
	Instance sycamorerun.Instance
	Started  time.Time
	Service  string
	// Result says whether the attempt ran. Status is the status of the
	// upstream's response, if there was one.
	Result sycamorerun.Result
	Reason string
	Status int
	// HeadLatency is the time until the head of the response or the failure.
	HeadLatency time.Duration
	// Load is the load that the node beside the upstream reported for calls of
	// Rank and Objective, or nil.
	Load *Load
	// RetryAfter is the time after which the instance expects capacity for calls
	// of Rank; zero means unknown.
	RetryAfter time.Duration
	// Bytes is the size of the bodies of the request and the response if the
	// response is complete.
	Bytes     int64
	Rank      int
	Objective time.Duration
}

// Attempt is a failed attempt that may be repeated.
type Attempt struct {
	Service string
	// Number is the number of this attempt of the call, starting at 1. Sends
	// counts the attempts that may have reached an upstream. Sent says that this
	// one may have.
	Number int
	Sends  int
	Sent   bool
	// Limit bounds Sends; zero means the default.
	Limit int
	// SameInstance says that the retry goes to the same instance.
	SameInstance bool
	// TimeLeft is the time until the deadline; zero means that there is none.
	TimeLeft time.Duration
	// ParentAttempt is the attempt number of the request that caused this call.
	// It is above 1 if a node closer to the origin of the call chain is already
	// retrying.
	ParentAttempt int
	Result        sycamorerun.Result
	Reason        string
	Repeatable    bool
	// Consumed says that a part of the request body can't be sent again.
	Consumed bool
	// ResponseStarted says that a part of the response reached the caller.
	ResponseStarted bool
}

// Claim identifies a call that is about to run.
type Claim struct {
	// ID is zero if the call did not arrive from a peer.
	ID sycamorerun.CallID
	// Key is the idempotency key with its scope, or empty. Fingerprint
	// identifies the request that the key belongs to.
	Key         string
	Fingerprint uint64
}

// Completion describes how a call ended at the upstream.
type Completion struct {
	Result sycamorerun.Result
	// Sent says that the upstream may have got the call, even if it rejected it.
	Sent bool
	// Response is the encoded response if it is small, or nil.
	Response []byte
}

// CallState is the state of a call as a node knows it.
type CallState string

// Values of CallState.
const (
	// CallRefused means that the upstream has not got the call and never will.
	CallRefused CallState = "refused"
	// CallRejected means that the upstream may have got the call, and that it did
	// not run.
	CallRejected CallState = "rejected"
	CallStarted  CallState = "started"
	CallFinished CallState = "finished"
	CallUnknown  CallState = "unknown"
)
