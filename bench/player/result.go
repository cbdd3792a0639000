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

// Units are those of the numbers in results; times are texts with a unit.
var Units = map[string]string{
	"at": "s from the start of the load", "rate": "requests/s", "zone": "B/s", "region": "B/s", "cross": "B/s",
	"store": "B/s", "calls": "calls/s", "load": "load average of the machine over 1 min", "share": "of 1",
}

// Result is what an experiment showed.
type Result struct {
	Name     string               `json:"name"`
	About    string               `json:"about"`
	Seed     uint64               `json:"seed"`
	Began    time.Time            `json:"began"`
	Duration sycamorerun.Duration `json:"duration"`
	Units    map[string]string    `json:"units"`
	// Kinds are the names of the kinds of requests in the order of all lists.
	Kinds    []string  `json:"kinds"`
	Variants []Variant `json:"variants"`
}

// Broken returns the number of broken promises.
func (r Result) Broken() int {
	total := 0
	for _, variant := range r.Variants {
		for _, count := range variant.Broken {
			total += count
		}
	}
	return total
}

// Variant is what one run showed.
type Variant struct {
	Name     string                 `json:"name"`
	Settings []experimenter.Setting `json:"settings"`
	// Before and After are the machine's load averages.
	Before float64 `json:"before"`
	After  float64 `json:"after"`
	// Kinds has the whole run, Phases the spans between changes of the load.
	Kinds   []Summary `json:"kinds"`
	Phases  []Phase   `json:"phases"`
	Samples []Sample  `json:"samples"`
	Marks   []Mark    `json:"marks"`
	Changes []Change  `json:"changes"`
	// Broken counts the judge's findings for each promise. Findings has the
	// first ones.
	Broken   map[judge.Promise]int `json:"broken"`
	Findings []judge.Finding       `json:"findings"`
	// Stalled is the time for which the callers did not run: the machine was
	// short of processor time, for the nodes as well.
	Stalled sycamorerun.Duration `json:"stalled"`
	// Attempts is the number of attempts that were judged.
	Attempts int `json:"attempts"`
	// Logs is the directory of the logs and journals, if promises were broken.
	Logs string `json:"logs,omitempty"`
}

// Summary is what the callers of a kind saw in a span.
type Summary struct {
	Requests int `json:"requests"`
	Served   int `json:"served"`
	// InTime are the served ones within the objective, all of them if there is
	// none.
	InTime int `json:"intime"`
	// Refused were told last that they did not run, the other ones that are not
	// served have an unknown outcome.
	Refused int `json:"refused"`
	// Latencies are those of the served requests from the time at which they
	// were due.
	Median sycamorerun.Duration `json:"median"`
	P99    sycamorerun.Duration `json:"p99"`
	Worst  sycamorerun.Duration `json:"worst"`
}

// Share returns the share of the requests that were served, 1 without any.
func (s Summary) Share() float64 {
	if s.Requests == 0 {
		return 1
	}
	return float64(s.Served) / float64(s.Requests)
}

// Phase is a span with the same load.
type Phase struct {
	From  float64   `json:"from"`
	To    float64   `json:"to"`
	Name  string    `json:"name"`
	Kinds []Summary `json:"kinds"`
}

// Sample is one second of a run.
type Sample struct {
	// At is the end of the second.
	At    float64   `json:"at"`
	Kinds []Summary `json:"kinds"`
	// Zone, Region and Cross are control bytes that nodes sent to nodes of the
	// same availability zone, of another one in the region, and of another
	// region: the streams of membership and distribution.
	Zone   float64 `json:"zone"`
	Region float64 `json:"region"`
	Cross  float64 `json:"cross"`
	// Store are the bytes between the store and nodes of other regions.
	Store float64 `json:"store"`
	// Calls are the store's reads, writes and waiting watches.
	Calls float64 `json:"calls"`
}

// Mark is an event as it was played.
type Mark struct {
	Label string  `json:"label"`
	From  float64 `json:"from"`
	To    float64 `json:"to"`
	// Fault is false for a change of the load.
	Fault bool `json:"fault"`
}

// Change is a version that the operator wrote.
type Change struct {
	At float64 `json:"at"`
	// Node is the one that the operator asked first.
	Node    string `json:"node"`
	Number  int    `json:"number"`
	Status  string `json:"status"`
	Version uint64 `json:"version"`
	// Accepted is the time until the operator knew the outcome.
	Accepted sycamorerun.Duration `json:"accepted"`
	// Median and Last are the times from the acceptance until half and all of
	// the nodes without a fault had applied the version.
	Median sycamorerun.Duration `json:"median"`
	Last   sycamorerun.Duration `json:"last"`
	// Faulty are the nodes that had a fault before they applied it. LastFaulty
	// is the time until all of them had.
	Faulty     int                  `json:"faulty,omitempty"`
	LastFaulty sycamorerun.Duration `json:"lastfaulty,omitempty"`
	// Missing are the nodes that did not apply it until the end.
	Missing []string `json:"missing,omitempty"`
}

// converge fills in when nodes applied the change. A node can apply it before
// the operator knows the outcome, so the acceptance is the earlier one of the
// first application and the operator's knowledge.
func (c *Change) converge(known time.Time, applied map[string]time.Time, nodes []string, faulty func(node string, from, to time.Time) bool) {
	accepted := known
	for _, at := range applied {
		if at.Before(accepted) {
			accepted = at
		}
	}
	var delays []time.Duration
	for _, node := range nodes {
		at, has := applied[node]
		switch delay := at.Sub(accepted); {
		case !has:
			c.Missing = append(c.Missing, node)
		case faulty(node, accepted, at):
			c.Faulty++
			c.LastFaulty = max(c.LastFaulty, sycamorerun.Duration(delay))
		default:
			delays = append(delays, delay)
		}
	}
	slices.Sort(delays)
	c.Median, c.Last = quantile(delays, 0.5), quantile(delays, 1)
}

// summarize returns a summary for each kind from the requests that were due
// from one time up to another.
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
			s.InTime++
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

// quantile returns the smallest value that at least a share of the sorted
// values does not exceed.
func quantile(sorted []time.Duration, share float64) sycamorerun.Duration {
	if len(sorted) == 0 {
		return 0
	}
	index := int(share*float64(len(sorted))+0.999999) - 1
	return sycamorerun.Duration(sorted[min(max(index, 0), len(sorted)-1)])
}

// phases are the spans between changes of the load.
func phases(x experimenter.Experiment, records []caller.Record, start time.Time) []Phase {
	edges := map[time.Duration]bool{0: true, x.Duration: true}
	for _, event := range x.Events {
		if event.Kind == experimenter.Load {
			edges[event.At], edges[event.End()] = true, true
		}
	}
	var result []Phase
	times := slices.Sorted(maps.Keys(edges))
	for i := range len(times) - 1 {
		from, to := times[i], times[i+1]
		phase := Phase{From: from.Seconds(), To: to.Seconds(), Name: "base load"}
		for _, event := range x.Events {
			if event.Kind == experimenter.Load && event.At <= from && event.End() >= to {
				phase.Name = event.String()
			}
		}
		phase.Kinds = summarize(kindNames(x), records, start.Add(from), start.Add(to))
		result = append(result, phase)
	}
	return result
}

// kindNames returns the names of the kinds, without the one that reads the
// version in force.
func kindNames(x experimenter.Experiment) []string {
	var names []string
	for _, kind := range x.Load {
		names = append(names, kind.Name)
	}
	return names
}

// sortMarks orders marks by their start.
func sortMarks(marks []Mark) {
	slices.SortFunc(marks, func(a, b Mark) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Label, b.Label)) })
}
