// Package judge finds broken promises of the system. It decides from the
// records of callers, upstreams and the operator alone, never from what nodes
// say about themselves.
package judge

import (
	"slices"
	"time"

	"sycamorerun/bench/caller"
	"sycamorerun/upstream/recorder"
)

// Promise is a promise of the system.
type Promise string

// Promises that are judged.
const (
	// Whole: responses and requests arrive complete and are those of the caller.
	Whole Promise = "whole"
	// NotRun: what was "not run" did not run and does not run later.
	NotRun Promise = "not-run"
	// Once: a request that must not run twice runs at most once.
	Once Promise = "once"
	// Departure: no request reaches an upstream some time after its departure
	// was confirmed.
	Departure Promise = "departure"
	// Monotonic: no node has an older version in effect after a newer one.
	Monotonic Promise = "monotonic"
	// Force: an accepted version is in effect on every node in time.
	Force Promise = "force"
	// Stop: a planned stop interrupts no request in flight.
	Stop Promise = "stop"
	// Answer: a caller is told something at its deadline.
	Answer Promise = "answer"
	// Release: work ends soon after its caller left or its deadline passed.
	Release Promise = "release"
)

// Bounds are the times within which promises must be kept.
type Bounds struct {
	Departure, Force, Answer, Release time.Duration
}

// DefaultBounds are those of the users' brief.
var DefaultBounds = Bounds{
	Departure: 2500 * time.Millisecond, Force: 7 * time.Second,
	Answer: 500 * time.Millisecond, Release: 500 * time.Millisecond,
}

// Version is an accepted version by the number of its marker.
type Version struct {
	Number   int
	Accepted time.Time
}

// Span is a time in which something happened to a node and the upstream beside
// it, which has the same name. An empty name stands for all of them.
type Span struct {
	Node     string
	From, To time.Time
	// Upstream says that only the upstream is concerned.
	Upstream bool
}

// OperatorActions is what the operator did.
type OperatorActions struct {
	Versions []Version
	// Stops are planned stops of a node or its upstream, from the signal to the
	// end of the process.
	Stops []Span
	// Faults are times in which a node, its upstream or its network was killed,
	// paused, cut off or faulty. They excuse what could not be in time and what
	// was interrupted, but no wrong response, no false "not run", no second run
	// and no older version.
	Faults []Span
	// Stalls are times in which the callers did not run. What they saw late is
	// taken to have been in time by as much.
	Stalls []Span
}

// Finding is one broken promise.
type Finding struct {
	Promise Promise
	// ID is that of the attempt or of the request, Instance the node or the
	// upstream concerned.
	ID, Instance string
	// Start and End are the times that show it: those of the attempt or of the
	// execution, or the time from which and that at which it was due.
	Start, End time.Time
	Detail     string
}

// judgement is one judgement in progress.
type judgement struct {
	records  []caller.Record
	operator OperatorActions
	bounds   Bounds
	evidence evidence
	findings []Finding
}

// Judge returns all broken promises in the order of their start. Each journal
// is that of the upstreams that ran beside one node.
func Judge(records []caller.Record, journals [][]recorder.Event, operator OperatorActions, bounds Bounds) []Finding {
	j := &judgement{records: records, operator: operator, bounds: bounds, evidence: collect(journals)}
	for _, record := range records {
		j.judgeRecord(record)
		for _, attempt := range record.Attempts {
			j.judgeAttempt(attempt)
			j.judgeStop(attempt)
			j.judgeRelease(attempt)
		}
	}
	for _, event := range j.evidence.damaged {
		j.add(Finding{Whole, event.ID, event.Instance, event.Time, event.Time, "the body of the request is not its own"})
	}
	j.judgeDepartures()
	j.judgeVersions()
	slices.SortStableFunc(j.findings, func(a, b Finding) int { return a.Start.Compare(b.Start) })
	return j.findings
}

func (j *judgement) add(finding Finding) { j.findings = append(j.findings, finding) }

// excused reports whether a fault of one of the nodes overlaps a time.
func (j *judgement) excused(from, to time.Time, nodes ...string) bool {
	return j.faulty(from, to, func(fault Span) bool { return !fault.Upstream && slices.Contains(nodes, fault.Node) })
}

// interrupted reports whether a fault of an upstream overlaps a time.
func (j *judgement) interrupted(from, to time.Time, upstream string) bool {
	return j.faulty(from, to, func(fault Span) bool { return fault.Node == upstream })
}

func (j *judgement) faulty(from, to time.Time, concerns func(Span) bool) bool {
	return slices.ContainsFunc(j.operator.Faults, func(fault Span) bool {
		return (fault.Node == "" || concerns(fault)) && fault.overlaps(from, to)
	})
}

// stalled returns for how long the callers did not run within a time.
func (j *judgement) stalled(from, to time.Time) time.Duration {
	var sum time.Duration
	for _, stall := range j.operator.Stalls {
		if stall.overlaps(from, to) {
			sum += min(stall.To.Sub(stall.From), to.Sub(stall.From), stall.To.Sub(from), to.Sub(from))
		}
	}
	return sum
}

func (s Span) overlaps(from, to time.Time) bool { return s.From.Before(to) && s.To.After(from) }

// judgeDepartures finds arrivals at upstreams that left.
func (j *judgement) judgeDepartures() {
	for _, arrival := range j.evidence.late {
		if arrival.Time.Sub(arrival.left) > j.bounds.Departure && !j.excused(arrival.left, arrival.Time, arrival.Instance) {
			j.add(Finding{Departure, arrival.ID, arrival.Instance, arrival.left, arrival.Time, "arrived " + arrival.Time.Sub(arrival.left).String() + " after the confirmed departure"})
		}
	}
}

// Count returns the number of findings for each promise.
func Count(findings []Finding) map[Promise]int {
	counts := map[Promise]int{}
	for _, finding := range findings {
		counts[finding.Promise]++
	}
	return counts
}

// sorted returns a copy of items in an order by time.
func sorted[T any](items []T, at func(T) time.Time) []T {
	copied := slices.Clone(items)
	slices.SortStableFunc(copied, func(a, b T) int { return at(a).Compare(at(b)) })
	return copied
}
