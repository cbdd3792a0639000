package requester

// Execution says whether a request that failed has run at the upstream.
type Execution string

// Values of Execution.
const (
	// NotExecuted means that the request has not run and will not.
	NotExecuted Execution = "no"
	// Unknown means that it may have run.
	Unknown Execution = "unknown"
)

// Values of Failure.Reason.
const (
	// ReasonRequest is a request that can't be written.
	ReasonRequest = "bad-request"
	// ReasonUnreachable means that no connection could be opened, or that nothing
	// was written to the one that was.
	ReasonUnreachable = "upstream-unreachable"
	// ReasonFull means that all connections are in use.
	ReasonFull = "connections-full"
	// ReasonRejected means that the upstream says that it did not run the request.
	ReasonRejected = "rejected"
	// ReasonMisdirected means that another instance answers at the address.
	ReasonMisdirected = "misdirected"
	// ReasonBroken means that the connection ended, or carried no HTTP.
	ReasonBroken = "upstream-broken"
	// ReasonUnsigned is a response without signature.
	ReasonUnsigned = "response-unsigned"
	// ReasonUnidentified is a response without the id of its request.
	ReasonUnidentified = "response-unidentified"
)

// Failure is the end of a request without a response.
type Failure struct {
	Execution Execution
	Reason    string
	// Cause is the error behind it, or nil.
	Cause error
}

// Error implements error.
func (f *Failure) Error() string {
	text := "request failed (ran: " + string(f.Execution) + "): " + f.Reason
	if f.Cause != nil {
		text += ": " + f.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }
