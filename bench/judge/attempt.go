package judge

import (
	"fmt"
	"time"

	"sycamorerun"
	"sycamorerun/bench/caller"
)

// judgeRecord finds repeated executions and executions of attempts that were
// reported as not run. Attempts with the same id are judged together, since the
// journals don't tell them apart.
func (j *judgement) judgeRecord(record caller.Record) {
	ids := map[string]bool{}
	var executions []*execution
	for _, attempt := range record.Attempts {
		if ids[attempt.ID] {
			continue
		}
		ids[attempt.ID] = true
		executed := j.evidence.executions[attempt.ID]
		executions = append(executions, executed...)
		if reportedResult(record, attempt.ID) == sycamorerun.NotRun && len(executed) > 0 {
			j.add(Finding{NotRun, attempt.ID, executed[0].instance, executed[0].start, executed[0].end, fmt.Sprintf("told not-run (%d %s) and ran", attempt.Status, attempt.Reason)})
		}
	}
	if record.AtMostOnce && len(executions) > 1 {
		executions = sortByTime(executions, func(e *execution) time.Time { return e.start })
		j.add(Finding{Once, record.ID, executions[1].instance, executions[0].start, executions[1].start, fmt.Sprintf("ran %d times, first at %s", len(executions), executions[0].instance)})
	}
}

// reportedResult returns the result that the attempts with an id were given, or
// Unknown if their results differ.
func reportedResult(record caller.Record, id string) sycamorerun.Result {
	var result sycamorerun.Result
	for _, attempt := range record.Attempts {
		switch {
		case attempt.ID != id:
		case result == "" || result == attempt.Result:
			result = attempt.Result
		default:
			return sycamorerun.Unknown
		}
	}
	return result
}

// judgeAttempt finds wrong responses and attempts that end too long after their
// deadline.
func (j *judgement) judgeAttempt(attempt caller.Attempt) {
	elapsed := attempt.End.Sub(attempt.Start)
	finding := Finding{ID: attempt.ID, Instance: attempt.Node, Start: attempt.Start, End: attempt.End}
	if attempt.Answered() {
		finding.Promise = Whole
		switch {
		case !attempt.Whole:
			finding.Detail = "the response is not whole or not the caller's own"
			j.add(finding)
		case len(j.evidence.executions[attempt.ID]) == 0:
			finding.Detail = "was answered and did not run"
			j.add(finding)
		}
	}
	if attempt.Limit > 0 && !attempt.Disconnected && elapsed-j.stallTime(attempt.Start, attempt.End) > attempt.Limit+j.bounds.Answer && !j.nodeFaulty(attempt.Start, attempt.End, attempt.Node) {
		finding.Promise, finding.Detail = Answer, fmt.Sprintf("told after %s, limit %s", elapsed, attempt.Limit)
		j.add(finding)
	}
}

// judgeStop finds attempts that a planned stop interrupted: those in flight at
// the stopped node when the stop began, and those that executed during the stop
// and got no response.
func (j *judgement) judgeStop(attempt caller.Attempt) {
	expired := attempt.Limit > 0 && attempt.End.Sub(attempt.Start) >= attempt.Limit
	if attempt.Result != sycamorerun.Unknown || attempt.Disconnected || expired {
		return
	}
	for _, stop := range j.operator.Stops {
		if !stop.overlaps(attempt.Start, attempt.End) {
			continue
		}
		instance := stop.Node
		interrupted := attempt.Node == stop.Node && attempt.Start.Before(stop.From) && !stop.Upstream
		for _, execution := range j.evidence.executions[attempt.ID] {
			// The execution may belong to another attempt with the same id.
			ownExecution := !execution.start.Before(attempt.Start) && execution.start.Before(attempt.End)
			if ownExecution && (execution.instance == stop.Node || attempt.Node == stop.Node && !stop.Upstream) && stop.overlaps(execution.start, execution.end) {
				interrupted, instance = true, execution.instance
			}
		}
		if interrupted && !j.nodeFaulty(attempt.Start, attempt.End, attempt.Node) && !j.upstreamFaulty(attempt.Start, attempt.End, instance) {
			j.add(Finding{Stop, attempt.ID, instance, attempt.Start, attempt.End, fmt.Sprintf("entered at %s, told unknown (%d %s) during the stop of %s", attempt.Node, attempt.Status, attempt.Reason, stop.Node)})
		}
	}
}

// judgeRelease finds executions that continue after the caller disconnected or
// the deadline passed.
func (j *judgement) judgeRelease(attempt caller.Attempt) {
	var abandoned time.Time
	if attempt.Limit > 0 {
		abandoned = attempt.Start.Add(attempt.Limit)
	}
	if attempt.Disconnected {
		abandoned = attempt.End
	}
	if abandoned.IsZero() {
		return
	}
	due := abandoned.Add(j.bounds.Release)
	for _, execution := range j.evidence.executions[attempt.ID] {
		if execution.end.Sub(due) <= j.stallTime(abandoned, execution.end) || j.nodeFaulty(attempt.Start, execution.end, attempt.Node) || j.upstreamFaulty(attempt.Start, execution.end, execution.instance) {
			continue
		}
		detail := "ended"
		if !execution.ended {
			detail = "was still running"
		}
		j.add(Finding{Release, attempt.ID, execution.instance, abandoned, execution.end, fmt.Sprintf("%s %s after its caller left or its deadline", detail, execution.end.Sub(abandoned))})
	}
}
