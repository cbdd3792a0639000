package player

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sycamorerun"
	"sycamorerun/bench/caller"
	"sycamorerun/bench/experimenter"
	"sycamorerun/bench/judge"
)

// Units are the units of the numbers in results. Durations are texts with a
// unit.
var Units = map[string]string{
	"at": "s from the start of the load", "rate": "requests/s", "zone": "B/s", "region": "B/s", "cross": "B/s",
	"store": "B/s", "calls": "calls/s", "load": "load average of the machine over 1 min", "share": "of 1",
}

// Result is the result of an experiment.
type Result struct {
	Name      string               `json:"name"`
	About     string               `json:"about"`
	Seed      uint64               `json:"seed"`
	StartedAt time.Time            `json:"began"`
	Duration  sycamorerun.Duration `json:"duration"`
	Units     map[string]string    `json:"units"`
	// Kinds are the names of the request kinds. Lists of summaries have the same
	// order.
	Kinds    []string  `json:"kinds"`
	Variants []Variant `json:"variants"`
}

// BrokenPromises returns the number of broken promises in all variants.
func (r Result) BrokenPromises() int {
	total := 0
	for _, variant := range r.Variants {
		for _, count := range variant.BrokenPromises {
			total += count
		}
	}
	return total
}

// Variant is the result of one variant.
type Variant struct {
	Name     string                 `json:"name"`
	Settings []experimenter.Setting `json:"settings"`
	// LoadBefore and LoadAfter are the machine's load averages before and after
	// the run.
	LoadBefore float64 `json:"before"`
	LoadAfter  float64 `json:"after"`
	// Kinds summarizes the whole run, Phases the spans between load events.
	Kinds   []Summary `json:"kinds"`
	Phases  []Phase   `json:"phases"`
	Samples []Sample  `json:"samples"`
	Marks   []Mark    `json:"marks"`
	Changes []Change  `json:"changes"`
	// BrokenPromises is the number of the judge's findings for each promise.
	// Findings lists the first of them.
	BrokenPromises map[judge.Promise]int `json:"broken"`
	Findings       []judge.Finding       `json:"findings"`
	// Stalled is the total time in which the callers did not run because the
	// machine was short of processor time, which also delays the nodes.
	Stalled sycamorerun.Duration `json:"stalled"`
	// Attempts is the number of attempts that were judged.
	Attempts int `json:"attempts"`
	// Logs is the directory of the logs and journals, which are kept if a promise
	// was broken.
	Logs string `json:"logs,omitempty"`
}

// Summary aggregates the requests of one kind in a span, as seen by the callers.
type Summary struct {
	Requests int `json:"requests"`
	Served   int `json:"served"`
	// WithinObjective is the number of served requests within the latency
	// objective, or of all served requests if there is none.
	WithinObjective int `json:"intime"`
	// Refused is the number of requests whose last attempt was reported as not
	// executed. Other requests that were not served have an unknown outcome.
	Refused int `json:"refused"`
	// Median, P99 and Worst are latencies of served requests, measured from the
	// scheduled start.
	Median sycamorerun.Duration `json:"median"`
	P99    sycamorerun.Duration `json:"p99"`
	Worst  sycamorerun.Duration `json:"worst"`
}

// Share returns the served share of the requests, or 1 if there are none.
func (s Summary) Share() float64 {
	if s.Requests == 0 {
		return 1
	}
	return float64(s.Served) / float64(s.Requests)
}

// Phase is a span with constant load.
type Phase struct {
	From  float64   `json:"from"`
	To    float64   `json:"to"`
	Name  string    `json:"name"`
	Kinds []Summary `json:"kinds"`
}

// Sample has the measurements of one second of a run.
type Sample struct {
	// At is the end of the second, as an offset from the start of the load.
	At    float64   `json:"at"`
	Kinds []Summary `json:"kinds"`
	// ZoneBytes, RegionBytes and CrossRegionBytes are control bytes (membership
	// and distribution streams) that nodes sent within an availability zone, to
	// other zones of the region, and to other regions.
	ZoneBytes        float64 `json:"zone"`
	RegionBytes      float64 `json:"region"`
	CrossRegionBytes float64 `json:"cross"`
	// StoreBytes are the bytes between the store and nodes of other regions.
	StoreBytes float64 `json:"store"`
	// StoreCalls are the reads, writes and blocking watches at the store.
	StoreCalls float64 `json:"calls"`
}

// Mark is an event with the times at which it was in effect.
type Mark struct {
	Label string  `json:"label"`
	From  float64 `json:"from"`
	To    float64 `json:"to"`
	// Fault is false for load events.
	Fault bool `json:"fault"`
}

// Change is a settings change that the operator submitted.
type Change struct {
	At float64 `json:"at"`
	// Node is the node that received the first attempt.
	Node string `json:"node"`
	// Number is the number of the marker version, which callers read.
	Number int    `json:"number"`
	Status string `json:"status"`
	// Version is the settings version at which the change was accepted, or 0 if
	// the outcome has none.
	Version uint64 `json:"version"`
	// AcceptanceLatency is the time from the submission until the operator
	// received the outcome.
	AcceptanceLatency sycamorerun.Duration `json:"accepted"`
	// Median and Last are the times from the acceptance until half and all of
	// the nodes without a fault had applied the version.
	Median sycamorerun.Duration `json:"median"`
	Last   sycamorerun.Duration `json:"last"`
	// Faulty is the number of nodes that had a fault between the acceptance and
	// applying the version, LastFaulty the time until all of them had applied it.
	Faulty     int                  `json:"faulty,omitempty"`
	LastFaulty sycamorerun.Duration `json:"lastfaulty,omitempty"`
	// Missing are the nodes that had not applied the version by the end.
	Missing []string `json:"missing,omitempty"`
}

// setConvergence sets the convergence times of the change. A node can apply it
// before the operator receives the outcome, so the time of acceptance is the
// earlier of outcomeKnown and the first application.
func (c *Change) setConvergence(outcomeKnown time.Time, appliedAt map[string]time.Time, nodes []string, hadFault func(node string, from, to time.Time) bool) {
	accepted := outcomeKnown
	for _, at := range appliedAt {
		if at.Before(accepted) {
			accepted = at
		}
	}
	var delays []time.Duration
	for _, node := range nodes {
		at, ok := appliedAt[node]
		switch delay := at.Sub(accepted); {
		case !ok:
			c.Missing = append(c.Missing, node)
		case hadFault(node, accepted, at):
			c.Faulty++
			c.LastFaulty = max(c.LastFaulty, sycamorerun.Duration(delay))
		default:
			delays = append(delays, delay)
		}
	}
	slices.Sort(delays)
	c.Median, c.Last = quantile(delays, 0.5), quantile(delays, 1)
}

// summarize returns, for each kind, a summary of the requests whose scheduled
// start is in [from, to).
func summarize(kinds []string, records []caller.Record, from, to time.Time) []Summary {
	summaries := make([]Summary, len(kinds))
	latencies := make([][]time.Duration, len(kinds))
	for _, record := range records {
		i := slices.Index(kinds, record.Kind)
		if i < 0 || record.Start.Before(from) || !record.Start.Before(to) {
			continue
		}
		s := &summaries[i]
		s.Requests++
		if !record.Served() {
			if last := len(record.Attempts) - 1; last >= 0 && record.Attempts[last].Result == sycamorerun.NotRun {
				s.Refused++
			}
			continue
		}
		s.Served++
		if record.Objective == 0 || record.Latency() <= record.Objective {
			s.WithinObjective++
		}
		latencies[i] = append(latencies[i], record.Latency())
	}
	for i := range summaries {
		slices.Sort(latencies[i])
		summaries[i].Median = quantile(latencies[i], 0.5)
		summaries[i].P99 = quantile(latencies[i], 0.99)
		summaries[i].Worst = quantile(latencies[i], 1)
	}
	return summaries
}

// quantile returns the nearest-rank quantile for a share from 0 to 1 of the sorted
// values, or 0 if there are none.
func quantile(sorted []time.Duration, share float64) sycamorerun.Duration {
	if len(sorted) == 0 {
		return 0
	}
	index := int(share*float64(len(sorted))+0.999999) - 1
	return sycamorerun.Duration(sorted[min(max(index, 0), len(sorted)-1)])
}

// phases returns summaries for the spans between the starts and ends of load
// events.
func phases(experiment experimenter.Experiment, records []caller.Record, start time.Time) []Phase {
	boundaries := map[time.Duration]bool{0: true, experiment.Duration: true}
	for _, event := range experiment.Events {
		if event.Kind == experimenter.Load {
			boundaries[event.At], boundaries[event.End()] = true, true
		}
	}
	var result []Phase
	times := slices.Sorted(maps.Keys(boundaries))
	for i := range len(times) - 1 {
		from, to := times[i], times[i+1]
		phase := Phase{From: from.Seconds(), To: to.Seconds(), Name: "base load"}
		for _, event := range experiment.Events {
			if event.Kind == experimenter.Load && event.At <= from && event.End() >= to {
				phase.Name = event.String()
			}
		}
		phase.Kinds = summarize(kindNames(experiment), records, start.Add(from), start.Add(to))
		result = append(result, phase)
	}
	return result
}

// kindNames returns the names of the experiment's request kinds, which do not
// include the marker kind.
func kindNames(experiment experimenter.Experiment) []string {
	var names []string
	for _, kind := range experiment.Load {
		names = append(names, kind.Name)
	}
	return names
}

// sortMarks sorts marks by their start and label.
func sortMarks(marks []Mark) {
	slices.SortFunc(marks, func(a, b Mark) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Label, b.Label)) })
}
