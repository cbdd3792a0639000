package sycamorerun

// Result is what a caller is told about its call.
type Result string

// Results of a call.
const (
	Answered Result = "answered"
	NotRun   Result = "not-run"
	Unknown  Result = "unknown"
)

// Headers of the data path.
const (
	HeaderOutcome  = "Sycamorerun-Outcome"
	HeaderReason   = "Sycamorerun-Reason"
	HeaderRequest  = "Sycamorerun-Request"
	HeaderDeadline = "Sycamorerun-Deadline"
	HeaderAttempt  = "Sycamorerun-Attempt"
	HeaderKey      = "Idempotency-Key"
)
