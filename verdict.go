package sycamorerun

// Verdict says whether a call may start.
type Verdict int

// Verdicts.
const (
	// VerdictRun permits the call to start; it is recorded as started.
	VerdictRun Verdict = iota
	// VerdictRefused means that the call must not start, and has not.
	VerdictRefused
	// VerdictMismatch means that the key stands for a different request.
	VerdictMismatch
	// VerdictRecorded means that the key's request has run and its response is known.
	VerdictRecorded
	// VerdictUncertain means that the request runs, has run or may have run.
	VerdictUncertain
)

// Decision is a verdict with its reason and the recorded response.
type Decision struct {
	Verdict  Verdict
	Reason   string
	Response []byte
}
