package injector

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

// Guards against a fault that hits calls it does not select, so that an
// experiment measures something else than it says.
func TestDecide(t *testing.T) {
	second := sycamorerun.Duration(time.Second)
	put := Call{Operation: Put, Key: "log/0001", Caller: "a"}
	cases := map[string]struct {
		rules []Rule
		calls []Call
		want  []Decision
	}{
		"none":      {nil, []Call{put}, []Decision{{}}},
		"refuse":    {[]Rule{{Kind: Refuse}}, []Call{put}, []Decision{{Refuse: true}}},
		"operation": {[]Rule{{Kind: Stall, Operations: []Operation{Get}}}, []Call{put, {Operation: Get}}, []Decision{{}, {Stall: true}}},
		"prefix":    {[]Rule{{Kind: Lose, Prefix: "log/"}}, []Call{put, {Operation: Put, Key: "snapshot"}}, []Decision{{Lose: true}, {}}},
		"caller":    {[]Rule{{Kind: Stale, Caller: "b"}}, []Call{put, {Operation: Get, Caller: "b"}}, []Decision{{}, {Stale: true}}},
		"count":     {[]Rule{{Kind: Refuse, Count: 2}}, []Call{put, put, put}, []Decision{{Refuse: true}, {Refuse: true}, {}}},
		"together":  {[]Rule{{Kind: Delay, Delay: second}, {Kind: Lose}}, []Call{put}, []Decision{{Lose: true, Delay: time.Second}}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := New(1)
			is.NoErr(i.Set(Plan{Rules: test.rules}))
			for n, call := range test.calls {
				is.Equal(i.Decide(time.Unix(0, 0), call), test.want[n])
			}
		})
	}
}

// Guards against rate limits that let more calls pass than the platform's.
func TestRates(t *testing.T) {
	is := is.New(t)
	i := New(1)
	passed := func(now time.Time, operation Operation) (n int) {
		for range 3000 {
			if !i.Decide(now, Call{Operation: operation}).Limited {
				n++
			}
		}
		return n
	}
	start := time.Unix(100, 0)
	is.Equal(passed(start, Put), DefaultWrites)
	is.Equal(passed(start, Delete), 0)
	is.Equal(passed(start.Add(999*time.Millisecond), Watch), DefaultReads)
	is.Equal(passed(start.Add(time.Second), Put), DefaultWrites)
	is.NoErr(i.Set(Plan{Writes: -1}))
	is.Equal(passed(start, Put), 3000)
}

// Guards against a mistyped plan that silently injects nothing.
func TestVerify(t *testing.T) {
	cases := map[string]Rule{
		"kind":      {Kind: "refused"},
		"operation": {Kind: Refuse, Operations: []Operation{"PUT"}},
		"fraction":  {Kind: Refuse, Fraction: 1.5},
		"count":     {Kind: Refuse, Count: -1},
	}
	for name, rule := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(New(1).Set(Plan{Rules: []Rule{rule}}) != nil)
		})
	}
}
