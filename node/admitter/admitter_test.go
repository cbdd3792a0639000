package admitter

import (
	"cmp"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// Kinds of calls.
var (
	short   = Kind{Rank: 2, Objective: 250 * ms}
	long    = Kind{Rank: 2, Objective: 800 * ms}
	relaxed = Kind{Rank: 3, Objective: 250 * ms}
)

var runTimes = map[Kind]time.Duration{short: 50 * ms, long: 200 * ms, relaxed: 50 * ms}

// record records calls of a kind, of which some were accepted.
func record(a *Admitter, kind Kind, calls, accepted int) {
	for at := range calls {
		a.Record(start, Outcome{Service: "s", Kind: kind, Accepted: at < accepted, RunTime: runTimes[kind], After: 100 * ms})
	}
}

// TestAdmit guards against calls that are refused although there is room, and against
// refusing those that cost callers more for the same work.
func TestAdmit(t *testing.T) {
	cases := map[string]struct {
		// Calls of each kind and how many of them were accepted.
		short, long, relaxed [2]int
		elapsed              time.Duration
		call                 Call
		want                 float64 // the share that is refused
	}{
		"nothing known":                 {call: Call{Service: "other", Kind: long}},
		"all accepted":                  {long: [2]int{100, 100}, call: Call{Kind: long}},
		"few refused":                   {long: [2]int{100, 81}, call: Call{Kind: long}},
		"few calls":                     {long: [2]int{9, 0}, call: Call{Kind: long}},
		"half accepted":                 {long: [2]int{100, 50}, call: Call{Kind: long}, want: 0.25},
		"none accepted":                 {long: [2]int{100, 0}, call: Call{Kind: long}, want: 0.9},
		"kind without outcomes":         {long: [2]int{100, 50}, call: Call{Kind: short}},
		"less work goes first":          {long: [2]int{100, 50}, short: [2]int{100, 50}, call: Call{Kind: short}},
		"more work gets the rest":       {long: [2]int{100, 50}, short: [2]int{100, 50}, call: Call{Kind: long}, want: 0.3125},
		"less urgent goes last":         {long: [2]int{100, 50}, relaxed: [2]int{100, 50}, call: Call{Kind: relaxed}, want: 0.75},
		"more urgent with more work":    {long: [2]int{100, 50}, relaxed: [2]int{400, 200}, call: Call{Kind: long}},
		"returned":                      {long: [2]int{100, 50}, call: Call{Kind: long, Returned: true}, want: 0.25 * 0.25},
		"returned late":                 {long: [2]int{100, 50}, call: Call{Kind: long, Returned: true, Late: true}, want: 0.25},
		"soon after":                    {long: [2]int{100, 50}, elapsed: time.Second, call: Call{Kind: long}, want: 0.25},
		"long after":                    {long: [2]int{100, 50}, elapsed: 4 * time.Second, call: Call{Kind: long}},
		"a quarter of the overall rate": {long: [2]int{100, 60}, relaxed: [2]int{20, 0}, call: Call{Kind: relaxed}, want: 0.75},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, draw := range []float64{max(0, c.want-0.01), c.want + 0.01} {
				a := New()
				a.Random = func() float64 { return draw }
				record(a, short, c.short[0], c.short[1])
				record(a, long, c.long[0], c.long[1])
				record(a, relaxed, c.relaxed[0], c.relaxed[1])
				c.call.Service = cmp.Or(c.call.Service, "s")
				after, ok := a.Admit(start.Add(c.elapsed), c.call)
				is.Equal(ok, draw >= c.want)
				is.True(ok == (after == 0))
				is.True(after <= maxAfter)
			}
		})
	}
}

// Guards against state that grows with the number of services that ever were.
func TestServicesAreBounded(t *testing.T) {
	is := is.New(t)
	a := New()
	names := make([]byte, 8)
	for at := range 4 * maxServices {
		names[at%8]++
		a.Record(start.Add(time.Duration(at)*time.Second), Outcome{Service: string(names), Kind: long})
	}
	is.True(len(a.services) <= maxServices)
	_, ok := a.services[string(names)]
	is.True(ok)
}

func BenchmarkAdmit(b *testing.B) {
	for name, accepted := range map[string]int{"room": 100, "overloaded": 50} {
		b.Run(name, func(b *testing.B) {
			a := New()
			now := start
			record(a, long, 100, accepted)
			record(a, short, 100, accepted)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Microsecond)
				if _, ok := a.Admit(now, Call{Service: "s", Kind: long}); ok {
					a.Record(now, Outcome{Service: "s", Kind: long, Accepted: true, RunTime: 200 * ms})
				}
			}
		})
	}
}
