package requester

// Execution tells whether the upstream executed a request that failed.
type Execution string

// Values of Execution.
const (
	// NotExecuted means that the request was not executed and will not be.
	NotExecuted Execution = "no"
	// PossiblyExecuted means that the request may have been executed.
	PossiblyExecuted Execution = "unknown"
)

// Values of Failure.Reason.
const (
	// ReasonBadRequest means that the request can't be written.
	ReasonBadRequest = "bad-request"
	// ReasonUnreachable means that no connection could be opened, or that nothing
	// could be written to an open one.
	ReasonUnreachable = "upstream-unreachable"
	// ReasonConnectionsFull means that all connections are in use.
	ReasonConnectionsFull = "connections-full"
	// ReasonRejected means that the upstream reported that it did not execute the
	// request.
	ReasonRejected = "rejected"
	// ReasonMisdirected means that another instance answers at the address.
	ReasonMisdirected = "misdirected"
	// ReasonBroken means that the connection ended or did not carry HTTP.
	ReasonBroken = "upstream-broken"
	// ReasonUnsigned means that the response has no signature.
	ReasonUnsigned = "response-unsigned"
	// ReasonUnidentified means that the response lacks the ID of its request.
	ReasonUnidentified = "response-unidentified"
)

// Failure is the error of a request that got no valid response.
type Failure struct {
	Execution Execution
	Reason    string
	// Cause is the underlying error, or nil.
	Cause error
}

// Received reports whether the upstream received the request and said that it did not
// execute it.
func (f *Failure) Received() bool {
	return f.Reason == ReasonRejected || f.Reason == ReasonMisdirected
}

// Error implements error.
func (f *Failure) Error() string {
	text := "request to the upstream failed (executed: " + string(f.Execution) + "): " + f.Reason
	if f.Cause != nil {
		text += ": " + f.Cause.Error()
	}
	return text
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Cause }
