package judge

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/bench/caller"
	"sycamorerun/upstream/recorder"
)

// at returns the time ms milliseconds after the start of the test's clock.
func at(ms int) time.Time { return time.UnixMilli(int64(1_000_000 + ms)) }

func span(node string, from, to int) Span { return Span{Node: node, From: at(from), To: at(to)} }

// newAttempt returns an attempt at node n from 0 to 100 ms.
func newAttempt(result sycamorerun.Result, changes ...func(*caller.Attempt)) caller.Attempt {
	attempt := caller.Attempt{ID: "r.0", Node: "n", Start: at(0), End: at(100), Result: result, Limit: time.Second}
	if result == sycamorerun.Answered {
		attempt.Status, attempt.Whole = http.StatusOK, true
	}
	for _, change := range changes {
		change(&attempt)
	}
	return attempt
}

func withTimes(from, to int) func(*caller.Attempt) {
	return func(a *caller.Attempt) { a.Start, a.End = at(from), at(to) }
}

func withVersion(version int) func(*caller.Attempt) {
	return func(a *caller.Attempt) { a.Version, a.ID, a.Limit = version, "v", 0 }
}

func disconnected(a *caller.Attempt) { a.Disconnected = true }
func withoutLimit(a *caller.Attempt) { a.Limit = 0 }
func damaged(a *caller.Attempt)      { a.Whole = false }
func withSecondID(a *caller.Attempt) { a.ID = "r.1" }

// events parses the journal of upstream u from words such as "start:r.0@5", which
// is the step, the id of the request and the time in ms.
func events(t *testing.T, words string) []recorder.Event {
	t.Helper()
	var events []recorder.Event
	for word := range strings.FieldsSeq(words) {
		head, ms, _ := strings.Cut(word, "@")
		step, id, _ := strings.Cut(head, ":")
		after, err := time.ParseDuration(ms + "ms")
		if err != nil {
			t.Fatal(err)
		}
		events = append(events, recorder.Event{Step: recorder.Step(step), Instance: "u", ID: id, Time: at(0).Add(after)})
	}
	return events
}

// Guards against violations that the judge misses and against false findings.
func TestJudge(t *testing.T) {
	const (
		answered = sycamorerun.Answered
		notRun   = sycamorerun.NotRun
		unknown  = sycamorerun.Unknown
		ran      = "boot@-9 start:r.0@5 end:r.0@90"
	)
	oneVersion := []Version{{1, at(0)}}
	twoVersions := []Version{{1, at(0)}, {2, at(0)}}
	cases := map[string]struct {
		attempts []caller.Attempt
		journal  string
		operator OperatorActions
		want     Promise // Empty if no finding is expected.
	}{
		"answered":                   {[]caller.Attempt{newAttempt(answered)}, ran, OperatorActions{}, ""},
		"response broken":            {[]caller.Attempt{newAttempt(answered, damaged)}, ran, OperatorActions{}, Whole},
		"answered and did not run":   {[]caller.Attempt{newAttempt(answered)}, "", OperatorActions{}, Whole},
		"request damaged":            {[]caller.Attempt{newAttempt(unknown)}, "damage:r.0@5", OperatorActions{}, Whole},
		"not run":                    {[]caller.Attempt{newAttempt(notRun), newAttempt(answered, withSecondID)}, "start:r.1@5 end:r.1@9", OperatorActions{}, ""},
		"not run and ran":            {[]caller.Attempt{newAttempt(notRun)}, ran, OperatorActions{}, NotRun},
		"not run and ran later":      {[]caller.Attempt{newAttempt(notRun, withoutLimit)}, "start:r.0@20000", OperatorActions{}, NotRun},
		"not run, then answered":     {[]caller.Attempt{newAttempt(notRun), newAttempt(answered)}, ran, OperatorActions{}, ""},
		"ran twice in two attempts":  {[]caller.Attempt{newAttempt(unknown), newAttempt(answered, withSecondID)}, "start:r.0@5 end:r.0@6 start:r.1@7 end:r.1@8", OperatorActions{}, Once},
		"ran twice in one attempt":   {[]caller.Attempt{newAttempt(unknown)}, "start:r.0@5 break:r.0@6 start:r.0@7 end:r.0@8", OperatorActions{Faults: []Span{span("", 0, 99)}}, Once},
		"arrived after departure":    {[]caller.Attempt{newAttempt(answered, withTimes(2400, 2600))}, "leave@0 start:r.0@2501 end:r.0@2590", OperatorActions{}, Departure},
		"shed after departure":       {[]caller.Attempt{newAttempt(notRun, withTimes(2400, 2600))}, "leave@0 shed:r.0@2501", OperatorActions{}, Departure},
		"arrived soon enough":        {[]caller.Attempt{newAttempt(answered)}, "leave@0 start:r.0@90 end:r.0@95", OperatorActions{}, ""},
		"arrived at the next boot":   {[]caller.Attempt{newAttempt(answered, withTimes(2600, 2900))}, "leave@0 boot@2550 start:r.0@2600 end:r.0@2601", OperatorActions{}, ""},
		"arrived when ready again":   {[]caller.Attempt{newAttempt(answered, withTimes(2600, 2900))}, "leave@0 ready@2550 start:r.0@2600 end:r.0@2601", OperatorActions{}, ""},
		"older version":              {[]caller.Attempt{newAttempt(answered, withVersion(2), withTimes(0, 5)), newAttempt(answered, withVersion(1), withTimes(6, 9))}, "start:v@1 start:v@7", OperatorActions{}, Monotonic},
		"older version, concurrent":  {[]caller.Attempt{newAttempt(answered, withVersion(2), withTimes(0, 5)), newAttempt(answered, withVersion(1), withTimes(4, 9))}, "start:v@1 start:v@7", OperatorActions{}, ""},
		"version late":               {[]caller.Attempt{newAttempt(answered, withVersion(1), withTimes(7001, 7009))}, "start:v@7002", OperatorActions{Versions: twoVersions}, Force},
		"version in time":            {[]caller.Attempt{newAttempt(answered, withVersion(1), withTimes(6999, 7009)), newAttempt(answered, withVersion(2), withTimes(7010, 7011))}, "start:v@7002", OperatorActions{Versions: twoVersions}, ""},
		"version late after a fault": {[]caller.Attempt{newAttempt(answered, withVersion(1), withTimes(12001, 12009))}, "start:v@12002", OperatorActions{Versions: twoVersions, Faults: []Span{span("n", 1000, 5000)}}, Force},
		"version after a fault":      {[]caller.Attempt{newAttempt(answered, withVersion(1), withTimes(11999, 12009))}, "start:v@12002", OperatorActions{Versions: twoVersions, Faults: []Span{span("n", 1000, 5000)}}, ""},
		"version shown":              {[]caller.Attempt{newAttempt(answered, withVersion(1), withTimes(9000, 9001))}, "start:v@9000", OperatorActions{Versions: oneVersion}, ""},
		"interrupted at its node":    {[]caller.Attempt{newAttempt(unknown)}, "", OperatorActions{Stops: []Span{span("n", 50, 500)}}, Stop},
		"interrupted at an upstream": {[]caller.Attempt{newAttempt(unknown)}, "start:r.0@60 break:r.0@70", OperatorActions{Stops: []Span{span("u", 50, 500)}}, Stop},
		"another attempt ran":        {[]caller.Attempt{newAttempt(unknown, withTimes(60, 61)), newAttempt(answered, withTimes(70, 90))}, "start:r.0@75 end:r.0@80", OperatorActions{Stops: []Span{span("n", 50, 500)}}, ""},
		"faulty upstream":            {[]caller.Attempt{newAttempt(unknown)}, "start:r.0@60 break:r.0@70", OperatorActions{Stops: []Span{span("n", 50, 500)}, Faults: []Span{{Node: "u", From: at(0), To: at(99), Upstream: true}}}, ""},
		"came during a stop":         {[]caller.Attempt{newAttempt(unknown)}, "", OperatorActions{Stops: []Span{span("n", -50, 500)}}, ""},
		"refused by a stop":          {[]caller.Attempt{newAttempt(notRun)}, "", OperatorActions{Stops: []Span{span("n", 50, 500)}}, ""},
		"interrupted by a fault":     {[]caller.Attempt{newAttempt(unknown)}, "", OperatorActions{Stops: []Span{span("n", 50, 500)}, Faults: []Span{span("n", 90, 95)}}, ""},
		"told late":                  {[]caller.Attempt{newAttempt(unknown, withTimes(0, 1501))}, "", OperatorActions{}, Answer},
		"callers stalled":            {[]caller.Attempt{newAttempt(unknown, withTimes(0, 1599))}, "", OperatorActions{Stalls: []Span{span("", 900, 1000)}}, ""},
		"callers stalled too little": {[]caller.Attempt{newAttempt(unknown, withTimes(0, 1601))}, "", OperatorActions{Stalls: []Span{span("", 900, 1000), span("", 1700, 1800)}}, Answer},
		"told in time":               {[]caller.Attempt{newAttempt(unknown, withTimes(0, 1499))}, "", OperatorActions{}, ""},
		"told late by a paused node": {[]caller.Attempt{newAttempt(unknown, withTimes(0, 1501))}, "", OperatorActions{Faults: []Span{span("n", 500, 900)}}, ""},
		"ran on without its caller":  {[]caller.Attempt{newAttempt(unknown, disconnected)}, "start:r.0@5 break:r.0@601", OperatorActions{}, Release},
		"runs on without its caller": {[]caller.Attempt{newAttempt(unknown, disconnected)}, "start:r.0@5 start:x@601", OperatorActions{}, Release},
		"crashed with its caller":    {[]caller.Attempt{newAttempt(unknown, disconnected)}, "start:r.0@5 boot@601", OperatorActions{}, ""},
		"ended with its caller":      {[]caller.Attempt{newAttempt(unknown, disconnected)}, "start:r.0@5 break:r.0@599", OperatorActions{}, ""},
		"ran on after the deadline":  {[]caller.Attempt{newAttempt(unknown, withTimes(0, 1010))}, "start:r.0@5 end:r.0@1501", OperatorActions{}, Release},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			record := caller.Record{ID: "r", AtMostOnce: true, Attempts: test.attempts}
			if test.attempts[0].Version > 0 {
				record.AtMostOnce = false
			}
			findings := Judge([]caller.Record{record}, [][]recorder.Event{events(t, test.journal)}, test.operator, DefaultBounds)
			if test.want == "" {
				is.Equal(findings, nil)
				return
			}
			is.Equal(Count(findings), map[Promise]int{test.want: 1})
			is.True(findings[0].ID != "" && findings[0].Instance != "" && !findings[0].Start.IsZero() && !findings[0].End.IsZero())
		})
	}
}

// Guards against journal lines that are lost or parsed as another event.
func TestEvents(t *testing.T) {
	is := is.New(t)
	var journal strings.Builder
	upstream := recorder.New()
	upstream.Journal, upstream.Instance = &journal, "u"
	upstream.LogEvent(at(0), recorder.StepBoot, "")
	upstream.RecordRun("key")
	upstream.LogEvent(at(5), recorder.StepStart, "r.0")
	got, err := recorder.Events(strings.NewReader(journal.String() + "end 12"))
	is.NoErr(err)
	is.Equal(len(got), 2)
	is.Equal(got[1], recorder.Event{Step: recorder.StepStart, Instance: "u", ID: "r.0", Time: time.Unix(0, at(5).UnixNano())})
	records, err := recorder.Replay(strings.NewReader(journal.String()))
	is.NoErr(err)
	is.Equal(records.Runs, map[string]int{"key": 1})
	_, err = recorder.Events(strings.NewReader("start x u r.0\n"))
	is.True(err != nil)
}
