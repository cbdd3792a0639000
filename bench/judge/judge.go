// Package judge finds violated guarantees of the system. It uses the records of
// the callers, the upstreams and the operator only, never the status that nodes
// report about themselves.
package judge

import (
	"slices"
	"time"

	"sycamorerun/bench/caller"
	"sycamorerun/upstream/recorder"
)

// Promise names a guarantee of the system.
type Promise string

// Promises that Judge checks.
const (
	// Whole means that requests and responses arrive complete and that a caller
	// gets the response to its own request.
	Whole Promise = "whole"
	// NotRun means that an attempt with the result "not run" is never executed, not
	// even later.
	NotRun Promise = "not-run"
	// Once means that a request that must not run twice is executed at most once.
	Once Promise = "once"
	// Departure means that no request reaches an upstream later than the bound
	// after the confirmation of its departure.
	Departure Promise = "departure"
	// Monotonic means that no node returns to an older version of the settings.
	Monotonic Promise = "monotonic"
	// Force means that an accepted version takes effect on every node within the
	// bound.
	Force Promise = "force"
	// Stop means that a planned stop interrupts no request in flight.
	Stop Promise = "stop"
	// Answer means that an attempt ends within the bound after its deadline, with a
	// response or an error.
	Answer Promise = "answer"
	// Release means that an execution ends within the bound after its caller
	// disconnected or its deadline passed.
	Release Promise = "release"
)

// Bounds are the time limits of the promises.
type Bounds struct {
	Departure, Force, Answer, Release time.Duration
}

// DefaultBounds are the limits that the users require.
var DefaultBounds = Bounds{
	Departure: 2500 * time.Millisecond, Force: 7 * time.Second,
	Answer: 500 * time.Millisecond, Release: 500 * time.Millisecond,
}

// Version is an accepted version of the settings. Number is the number that
// caller.MarkerTimeout encodes in the timeout of the marker route.
type Version struct {
	Number   int
	Accepted time.Time
}

// Span is a time interval that concerns a node and the upstream beside it, which
// has the same name. An empty name stands for all nodes and upstreams.
type Span struct {
	Node     string
	From, To time.Time
	// Upstream limits the span to the upstream.
	Upstream bool
}

// OperatorActions are the changes, stops and injected faults of a run.
type OperatorActions struct {
	Versions []Version
	// Stops are the planned stops of nodes and upstreams, each from the signal to
	// the end of the process.
	Stops []Span
	// Faults are the spans in which a node, its upstream or its network was killed,
	// paused, cut off or faulty. They excuse delays and interruptions, but no wrong
	// response, no false "not run", no second execution and no older version.
	Faults []Span
	// Stalls are the spans in which the callers' process did not run. Their length
	// is subtracted from the delays in the callers' records.
	Stalls []Span
}

// Finding is one violation of a promise.
type Finding struct {
	Promise Promise
	// ID is the id of the attempt or of the request, Instance the name of the node
	// or the upstream.
	ID, Instance string
	// Start and End delimit the violation: the start and end of the attempt or the
	// execution, or the start of the time limit and the time of the violation.
	Start, End time.Time
	Detail     string
}

// judgement is the state of one call of Judge.
type judgement struct {
	records  []caller.Record
	operator OperatorActions
	bounds   Bounds
	evidence evidence
	findings []Finding
}

// Judge returns all violations in the order of their start. Each journal belongs
// to the upstreams that ran beside one node.
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

// nodeFaulty reports whether a fault of one of the nodes overlaps an interval.
// Faults of upstreams alone don't count.
func (j *judgement) nodeFaulty(from, to time.Time, nodes ...string) bool {
	return j.overlapsFault(from, to, func(fault Span) bool { return !fault.Upstream && slices.Contains(nodes, fault.Node) })
}

// upstreamFaulty reports whether a fault of an upstream, or of the node beside
// it, overlaps an interval.
func (j *judgement) upstreamFaulty(from, to time.Time, upstream string) bool {
	return j.overlapsFault(from, to, func(fault Span) bool { return fault.Node == upstream })
}

func (j *judgement) overlapsFault(from, to time.Time, affects func(Span) bool) bool {
	return slices.ContainsFunc(j.operator.Faults, func(fault Span) bool {
		return (fault.Node == "" || affects(fault)) && fault.overlaps(from, to)
	})
}

// stallTime returns the time within an interval for which the callers' process
// did not run.
func (j *judgement) stallTime(from, to time.Time) time.Duration {
	var sum time.Duration
	for _, stall := range j.operator.Stalls {
		if stall.overlaps(from, to) {
			sum += min(stall.To.Sub(stall.From), to.Sub(stall.From), stall.To.Sub(from), to.Sub(from))
		}
	}
	return sum
}

func (s Span) overlaps(from, to time.Time) bool { return s.From.Before(to) && s.To.After(from) }

// judgeDepartures finds requests that reached an upstream too long after its
// departure.
func (j *judgement) judgeDepartures() {
	for _, arrival := range j.evidence.late {
		if arrival.Time.Sub(arrival.departed) > j.bounds.Departure && !j.nodeFaulty(arrival.departed, arrival.Time, arrival.Instance) {
			j.add(Finding{Departure, arrival.ID, arrival.Instance, arrival.departed, arrival.Time, "arrived " + arrival.Time.Sub(arrival.departed).String() + " after the confirmed departure"})
		}
	}
}

// Count returns the number of findings by promise.
func Count(findings []Finding) map[Promise]int {
	counts := map[Promise]int{}
	for _, finding := range findings {
		counts[finding.Promise]++
	}
	return counts
}

// sortByTime returns a copy of items in chronological order.
func sortByTime[T any](items []T, at func(T) time.Time) []T {
	copied := slices.Clone(items)
	slices.SortStableFunc(copied, func(a, b T) int { return at(a).Compare(at(b)) })
	return copied
}
