package sycamorerun

// Verdict is the decision whether a call may start.
type Verdict int

// Verdicts on a call.
const (
	// VerdictRun means that the call may start. It has been recorded as started.
	VerdictRun Verdict = iota
	// VerdictRefused means that the call has not started and must not start.
	VerdictRefused
	// VerdictMismatch means that the key was used for a different request.
	VerdictMismatch
	// VerdictRecorded means that the request has run and its response is recorded.
	VerdictRecorded
	// VerdictUncertain means that the request is running, has run without a
	// recorded response, or may have run.
	VerdictUncertain
)

// Decision is a verdict with its reason and the recorded response, if any.
type Decision struct {
	Verdict  Verdict
	Reason   string
	Response []byte
}
