package mixer

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"sycamorerun"
)

// Guards against violations that the judge misses and against false findings.
func TestJudge(t *testing.T) {
	answered := Attempt{Result: sycamorerun.Answered, Status: http.StatusOK, Whole: true}
	notRun := Attempt{Result: sycamorerun.NotRun, Status: http.StatusServiceUnavailable}
	unknown := Attempt{Result: sycamorerun.Unknown}
	cases := map[string]struct {
		kind       Kind
		attempts   []Attempt
		executed   int
		violations int
	}{
		"answered and ran":                {Order, []Attempt{answered}, 1, 0},
		"unknown and ran":                 {Order, []Attempt{unknown}, 1, 0},
		"unknown and did not run":         {Order, []Attempt{unknown, notRun}, 0, 0},
		"ran twice":                       {Order, []Attempt{unknown, answered}, 2, 1},
		"not run and ran":                 {Order, []Attempt{notRun, notRun}, 1, 1},
		"answered and did not run":        {Order, []Attempt{answered}, 0, 1},
		"read ran twice":                  {Status, []Attempt{answered}, 2, 0},
		"read was not run and ran":        {Count, []Attempt{notRun}, 1, 1},
		"upload repeated":                 {Upload, []Attempt{unknown, answered}, 2, 0},
		"upload ran for a not-run":        {Upload, []Attempt{notRun, answered}, 2, 1},
		"upload answered and not stored":  {Upload, []Attempt{answered}, 0, 1},
		"history cut off":                 {History, []Attempt{{Result: sycamorerun.Answered, Status: http.StatusOK}}, 0, 1},
		"history broke off and was known": {History, []Attempt{unknown}, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			call := &Call{Kind: c.kind, ID: "id", Sum: "sum", Attempts: c.attempts}
			records := Records{Runs: map[string]int{"id": c.executed}}
			if c.kind == Upload && c.executed > 0 {
				records.Uploads = map[string]int{"sum": c.executed}
			}
			is.Equal(len(Judge([]*Call{call}, records)), c.violations)
		})
	}
	is.New(t).Equal(len(Judge(nil, Records{Uploads: map[string]int{"part": 1}})), 1)
}
