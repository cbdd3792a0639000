package judge

import (
	"fmt"
	"time"

	"sycamorerun"
	"sycamorerun/bench/caller"
)

// judgeRecord finds second runs, and runs of what was not run. Attempts can
// have the same id, of which the truth is then told together.
func (j *judgement) judgeRecord(record caller.Record) {
	ids := map[string]bool{}
	var runs []*run
	for _, attempt := range record.Attempts {
		if ids[attempt.ID] {
			continue
		}
		ids[attempt.ID] = true
		executed := j.evidence.runs[attempt.ID]
		runs = append(runs, executed...)
		if told(record, attempt.ID) == sycamorerun.NotRun && len(executed) > 0 {
			j.add(Finding{NotRun, attempt.ID, executed[0].instance, executed[0].start, executed[0].end, fmt.Sprintf("told not-run (%d %s) and ran", attempt.Status, attempt.Reason)})
		}
	}
	if record.AtMostOnce && len(runs) > 1 {
		runs = sorted(runs, func(r *run) time.Time { return r.start })
		j.add(Finding{Once, record.ID, runs[1].instance, runs[0].start, runs[1].start, fmt.Sprintf("ran %d times, first at %s", len(runs), runs[0].instance)})
	}
}

// told returns what all attempts with an id were told, unknown if that differs.
func told(record caller.Record, id string) sycamorerun.Result {
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

// judgeAttempt finds wrong and late responses.
func (j *judgement) judgeAttempt(attempt caller.Attempt) {
	took := attempt.End.Sub(attempt.Start)
	finding := Finding{ID: attempt.ID, Instance: attempt.Node, Start: attempt.Start, End: attempt.End}
	if attempt.Answered() {
		finding.Promise = Whole
		switch {
		case !attempt.Whole:
			finding.Detail = "the response is not whole or not the caller's own"
			j.add(finding)
		case len(j.evidence.runs[attempt.ID]) == 0:
			finding.Detail = "was answered and did not run"
			j.add(finding)
		}
	}
	if attempt.Limit > 0 && !attempt.Disconnected && took-j.stalled(attempt.Start, attempt.End) > attempt.Limit+j.bounds.Answer && !j.excused(attempt.Start, attempt.End, attempt.Node) {
		finding.Promise, finding.Detail = Answer, fmt.Sprintf("told after %s, limit %s", took, attempt.Limit)
		j.add(finding)
	}
}

// judgeStop finds attempts that were interrupted by a planned stop: those in
// flight when it began, and those that ran during it and were not answered.
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
		for _, run := range j.evidence.runs[attempt.ID] {
			// Another attempt with the same id can have run.
			own := !run.start.Before(attempt.Start) && run.start.Before(attempt.End)
			if own && (run.instance == stop.Node || attempt.Node == stop.Node && !stop.Upstream) && stop.overlaps(run.start, run.end) {
				interrupted, instance = true, run.instance
			}
		}
		if interrupted && !j.excused(attempt.Start, attempt.End, attempt.Node) && !j.interrupted(attempt.Start, attempt.End, instance) {
			j.add(Finding{Stop, attempt.ID, instance, attempt.Start, attempt.End, fmt.Sprintf("entered at %s, told unknown (%d %s) during the stop of %s", attempt.Node, attempt.Status, attempt.Reason, stop.Node)})
		}
	}
}

// judgeRelease finds runs that go on after their caller left or after the
// deadline.
func (j *judgement) judgeRelease(attempt caller.Attempt) {
	var over time.Time
	if attempt.Limit > 0 {
		over = attempt.Start.Add(attempt.Limit)
	}
	if attempt.Disconnected {
		over = attempt.End
	}
	if over.IsZero() {
		return
	}
	due := over.Add(j.bounds.Release)
	for _, run := range j.evidence.runs[attempt.ID] {
		if run.end.Sub(due) <= j.stalled(over, run.end) || j.excused(attempt.Start, run.end, attempt.Node) || j.interrupted(attempt.Start, run.end, run.instance) {
			continue
		}
		detail := "ended"
		if !run.ended {
			detail = "was still running"
		}
		j.add(Finding{Release, attempt.ID, run.instance, over, run.end, fmt.Sprintf("%s %s after its caller left or its deadline", detail, run.end.Sub(over))})
	}
}
