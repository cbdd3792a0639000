package judge

import (
	"fmt"
	"time"

	"sycamorerun/bench/caller"
)

// judgeVersions finds nodes that return to an older version or apply an accepted
// version too late. It uses only the attempts that show a version.
func (j *judgement) judgeVersions() {
	observed := map[string][]caller.Attempt{}
	for _, record := range j.records {
		for _, attempt := range record.Attempts {
			if attempt.Version > 0 {
				observed[attempt.Node] = append(observed[attempt.Node], attempt)
			}
		}
	}
	for node, attempts := range observed {
		j.judgeMonotonic(node, attempts)
		for _, attempt := range attempts {
			j.judgeForce(node, attempt)
		}
	}
}

// judgeMonotonic compares each attempt with those that ended before it started.
// Concurrent attempts have no order and are not compared.
func (j *judgement) judgeMonotonic(node string, attempts []caller.Attempt) {
	byEnd := sortByTime(attempts, func(a caller.Attempt) time.Time { return a.End })
	var newest caller.Attempt
	ended := 0
	for _, attempt := range sortByTime(attempts, func(a caller.Attempt) time.Time { return a.Start }) {
		for ; ended < len(byEnd) && byEnd[ended].End.Before(attempt.Start); ended++ {
			if byEnd[ended].Version > newest.Version {
				newest = byEnd[ended]
			}
		}
		if attempt.Version < newest.Version {
			j.add(Finding{Monotonic, attempt.ID, node, newest.End, attempt.Start, fmt.Sprintf("version %d after version %d", attempt.Version, newest.Version)})
		}
	}
}

// judgeForce compares an attempt with the versions that had to be in effect when
// it started.
func (j *judgement) judgeForce(node string, attempt caller.Attempt) {
	for _, version := range j.operator.Versions {
		if due := j.due(node, version); attempt.Version < version.Number && attempt.Start.After(due) {
			j.add(Finding{Force, attempt.ID, node, version.Accepted, attempt.Start, fmt.Sprintf("version %d, accepted %s earlier, and version %d in effect", version.Number, attempt.Start.Sub(version.Accepted), attempt.Version)})
			return
		}
	}
}

// due returns the time by which a version must be in effect on a node. A fault
// within the time limit restarts the limit when the fault ends.
func (j *judgement) due(node string, version Version) time.Time {
	due := version.Accepted.Add(j.bounds.Force)
	for _, fault := range sortByTime(j.operator.Faults, func(s Span) time.Time { return s.From }) {
		extended := fault.To.Add(j.bounds.Force)
		if (fault.Node == "" || fault.Node == node && !fault.Upstream) && fault.From.Before(due) && fault.To.After(version.Accepted) && extended.After(due) {
			due = extended
		}
	}
	return due
}
