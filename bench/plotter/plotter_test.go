package plotter_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/bench/judge"
	"sycamorerun/bench/player"
	"sycamorerun/bench/plotter"
)

// TestWrite guards against a failure to plot results without served requests,
// accepted changes or counted bytes, and against a table that omits findings.
func TestWrite(t *testing.T) {
	is := is.New(t)
	served := player.Summary{Requests: 4, Served: 3, WithinObjective: 2, Refused: 1, Median: sycamorerun.Duration(12 * time.Millisecond)}
	result := player.Result{
		Name: "trial", Seed: 7, Duration: sycamorerun.Duration(3 * time.Second), Kinds: []string{"status"},
		Variants: []player.Variant{
			{
				Name: "busy", Kinds: []player.Summary{served}, Attempts: 9,
				Phases:         []player.Phase{{To: 3, Kinds: []player.Summary{served}}},
				Samples:        []player.Sample{{At: 1, Kinds: []player.Summary{served}, CrossRegionBytes: 2000}, {At: 2, Kinds: []player.Summary{{Requests: 1}}}, {At: 3, Kinds: []player.Summary{{}}}},
				Marks:          []player.Mark{{Label: "cut on north", From: 1, To: 2, Fault: true}},
				Changes:        []player.Change{{At: 1, Status: "accepted", Version: 4, Last: sycamorerun.Duration(15 * time.Millisecond)}, {At: 2, Version: 5, Missing: []string{"n1"}}},
				BrokenPromises: map[judge.Promise]int{judge.Once: 2},
				Findings:       []judge.Finding{{Promise: judge.Once, ID: "status-1", Instance: "n1", Detail: "ran 2 times"}},
			},
			{Name: "empty", Kinds: []player.Summary{{}}},
		},
	}
	directory := t.TempDir()
	is.NoErr(plotter.Write(directory, result))
	is.Equal(result.BrokenPromises(), 2)
	table, err := os.ReadFile(filepath.Join(directory, "trial.md"))
	is.NoErr(err)
	for _, wanted := range []string{"| busy | status | 4 | 75.00 | 50.00 | 1 | 0 | 12.0 |", "broken promises in 9 attempts: once 2", "status-1 at n1", "| 2.0 |"} {
		is.True(strings.Contains(string(table), wanted)) // the table contains the value
	}
	text, err := os.ReadFile(filepath.Join(directory, "trial.json"))
	is.NoErr(err)
	var read player.Result
	is.NoErr(json.Unmarshal(text, &read))
	is.Equal(read.Variants[0].Samples[0].CrossRegionBytes, 2000.0)
	for _, name := range []string{"trial-busy.png", "trial-empty.png"} {
		image, err := os.ReadFile(filepath.Join(directory, name))
		is.NoErr(err)
		is.True(strings.HasPrefix(string(image), "\x89PNG"))
	}
}
