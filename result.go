package sycamorerun

// Result is the result of a call as reported to the caller.
type Result string

// Call results.
const (
	// Answered means that the upstream responded.
	Answered Result = "answered"
	// NotRun means that no upstream has executed the call.
	NotRun Result = "not-run"
	// Unknown means that an upstream may have executed the call.
	Unknown Result = "unknown"
)

// HTTP headers of proxied requests and responses.
const (
	HeaderOutcome  = "Sycamorerun-Outcome"
	HeaderReason   = "Sycamorerun-Reason"
	HeaderRequest  = "Sycamorerun-Request"
	HeaderDeadline = "Sycamorerun-Deadline"
	// HeaderAccount names the client account of a request to the upstream.
	HeaderAccount = "Sycamorerun-Account"
	HeaderAttempt = "Sycamorerun-Attempt"
	HeaderKey     = "Idempotency-Key"
)
