package forwarder

import (
	"context"
	"time"

	"sycamorerun"
)

// fullReasons are the reasons for which a call that did not run found no room at an
// upstream. Other refusals say nothing about its load: an upstream that rejects
// calls itself may do so because of a fault.
var fullReasons = map[string]bool{
	reasonQueueFull: true, reasonShed: true, reasonBusy: true, reasonDeadlineExceeded: true, reasonConnectionsFull: true,
}

// sendAdmitted sends the call if its service is expected to have room for it. A call
// with an idempotency key can go to one instance only, whose load the outcomes of
// other calls don't show.
func (f *Forwarder) sendAdmitted(ctx context.Context, now time.Time, watchdog *watchdog, c *call) (*attemptResponse, *failure) {
	if c.key != "" {
		return f.sendWithRetries(ctx, watchdog, c)
	}
	admission := Admission{
		Service: c.match.Service, Rank: c.match.Rank, Objective: c.match.Objective,
		Returned: c.arrived.Before(c.startedAt), Late: f.isLate(now, c),
	}
	if after, ok := f.Admit(now, admission); !ok {
		failed := notRun(reasonOverloaded)
		failed.retryAfter = after
		return nil, failed
	}
	out, failed := f.sendWithRetries(ctx, watchdog, c)
	result := AdmissionResult{Service: admission.Service, Rank: admission.Rank, Objective: admission.Objective}
	switch {
	case failed == nil:
		result.Accepted, result.RunTime = true, time.Duration(out.load.GetRunUs())*time.Microsecond
	case failed.result != sycamorerun.NotRun:
		result.Accepted = true
	case fullReasons[failed.reason]:
		result.After = failed.retryAfter
	default:
		return out, failed
	}
	f.RecordAdmission(f.Now(), result)
	return out, failed
}

// isLate reports whether the call is expected to miss its objective even if it is
// answered as fast as most calls of its kind are.
func (f *Forwarder) isLate(now time.Time, c *call) bool {
	if c.match.Objective <= 0 {
		return false
	}
	return now.Add(f.answerTimes.Mean(c.match.kind())).After(c.arrived.Add(c.match.Objective))
}
