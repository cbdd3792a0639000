package player

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/bench/caller"
	"sycamorerun/bench/experimenter"
)

var start = time.Unix(1_000_000, 0)

func afterStart(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestConverge guards against a convergence time that hides a slow or missing
// node, or that includes a node that the player had paused.
func TestConverge(t *testing.T) {
	faulty := func(node string, from, to time.Time) bool {
		return node == "paused" && from.Before(afterStart(500)) && to.After(afterStart(300))
	}
	cases := map[string]struct {
		applied map[string]time.Time
		want    Change
	}{
		"everywhere": {
			map[string]time.Time{"a": afterStart(0), "b": afterStart(10), "paused": afterStart(20)},
			Change{Median: ms(10), Last: ms(20)},
		},
		"a slow node": {
			map[string]time.Time{"a": afterStart(0), "b": afterStart(900), "paused": afterStart(20)},
			Change{Median: ms(20), Last: ms(900)},
		},
		"a paused node": {
			map[string]time.Time{"a": afterStart(0), "b": afterStart(10), "paused": afterStart(600)},
			Change{Median: ms(0), Last: ms(10), Faulty: 1, LastFaulty: ms(600)},
		},
		"a missing node": {
			map[string]time.Time{"a": afterStart(0), "paused": afterStart(20)},
			Change{Median: ms(0), Last: ms(20), Missing: []string{"b"}},
		},
		"applied before the operator knew": {
			map[string]time.Time{"a": afterStart(-30), "b": afterStart(10), "paused": afterStart(20)},
			Change{Median: ms(40), Last: ms(50)},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var change Change
			change.setConvergence(afterStart(0), c.applied, []string{"a", "b", "paused"}, faulty)
			is.Equal(change, c.want)
		})
	}
}

func ms(n int) sycamorerun.Duration {
	return sycamorerun.Duration(n) * sycamorerun.Duration(time.Millisecond)
}

// record returns a request with a scheduled start and a latency in milliseconds.
func record(due, latency int, result sycamorerun.Result) caller.Record {
	attempt := caller.Attempt{Result: result}
	if result == sycamorerun.Answered {
		attempt.Status, attempt.Whole = http.StatusOK, true
	}
	return caller.Record{
		Kind: "status", Objective: 100 * time.Millisecond, Start: afterStart(due), End: afterStart(due + latency), Attempts: []caller.Attempt{attempt},
	}
}

// TestSummarize guards against requests that are counted in two spans, failed
// requests in the latencies, and refused requests that count as unknown.
func TestSummarize(t *testing.T) {
	is := is.New(t)
	records := []caller.Record{
		record(0, 10, sycamorerun.Answered), record(500, 200, sycamorerun.Answered), record(999, 30, sycamorerun.Answered),
		record(600, 5, sycamorerun.NotRun), record(700, 5, sycamorerun.Unknown),
		record(1000, 50, sycamorerun.Answered), record(-1, 50, sycamorerun.Answered),
	}
	got := summarize([]string{"other", "status"}, records, afterStart(0), afterStart(1000))
	is.Equal(got[0], Summary{})
	is.Equal(got[1], Summary{Requests: 5, Served: 3, WithinObjective: 2, Refused: 1, Median: ms(30), P99: ms(200), Worst: ms(200)})
	is.Equal(got[1].Share(), 0.6)
}

// TestPhases guards against phases that overlap or leave a gap.
func TestPhases(t *testing.T) {
	is := is.New(t)
	x := experimenter.Experiment{
		Duration: 10 * time.Second, Load: []experimenter.Kind{{Name: "status"}},
		Events: []experimenter.Event{
			{Kind: experimenter.Load, At: 2 * time.Second, For: 3 * time.Second, Factor: 2},
			{Kind: experimenter.Cut, At: time.Second, For: time.Second},
		},
	}
	got := phases(x, []caller.Record{record(2000, 10, sycamorerun.Answered)}, start)
	is.Equal(len(got), 3)
	is.Equal([]float64{got[0].To, got[1].To, got[2].To}, []float64{2, 5, 10})
	is.Equal(got[1].Name, "load 2")
	is.Equal(got[1].Kinds[0].Served, 1)
}

// TestCounterIncrease guards against a negative increase after a restart of a
// process.
func TestCounterIncrease(t *testing.T) {
	is := is.New(t)
	is.Equal(counterIncrease(10, 15), 5.0)
	is.Equal(counterIncrease(10, 3), 3.0)
}
