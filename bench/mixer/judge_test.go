package mixer

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"sycamorerun"
)

// Guards against a judge that lets a broken promise pass.
func TestJudge(t *testing.T) {
	answered := Told{Result: sycamorerun.Answered, Status: http.StatusOK, Whole: true}
	notRun := Told{Result: sycamorerun.NotRun, Status: http.StatusServiceUnavailable}
	unknown := Told{Result: sycamorerun.Unknown}
	cases := map[string]struct {
		kind     Kind
		told     []Told
		executed int
		faults   int
	}{
		"answered and ran":                {Order, []Told{answered}, 1, 0},
		"unknown and ran":                 {Order, []Told{unknown}, 1, 0},
		"unknown and did not run":         {Order, []Told{unknown, notRun}, 0, 0},
		"ran twice":                       {Order, []Told{unknown, answered}, 2, 1},
		"not run and ran":                 {Order, []Told{notRun, notRun}, 1, 1},
		"answered and did not run":        {Order, []Told{answered}, 0, 1},
		"read ran twice":                  {Status, []Told{answered}, 2, 0},
		"read was not run and ran":        {Count, []Told{notRun}, 1, 1},
		"upload repeated":                 {Upload, []Told{unknown, answered}, 2, 0},
		"upload ran for a not-run":        {Upload, []Told{notRun, answered}, 2, 1},
		"upload answered and not stored":  {Upload, []Told{answered}, 0, 1},
		"history cut off":                 {History, []Told{{Result: sycamorerun.Answered, Status: http.StatusOK}}, 0, 1},
		"history broke off and was known": {History, []Told{unknown}, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			item := &Item{Kind: c.kind, ID: "id", Sum: "sum", Told: c.told}
			records := Records{Runs: map[string]int{"id": c.executed}}
			if c.kind == Upload && c.executed > 0 {
				records.Uploads = map[string]int{"sum": c.executed}
			}
			is.Equal(len(Judge([]*Item{item}, records)), c.faults)
		})
	}
	is.New(t).Equal(len(Judge(nil, Records{Uploads: map[string]int{"part": 1}})), 1)
}
