package injector

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

// Guards against a rule that affects calls it doesn't select, which would make an
// experiment inject other faults than its plan describes.
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
		"late":      {[]Rule{{Kind: Late, Delay: second}}, []Call{put, {Operation: Get}}, []Decision{{Late: time.Second}, {}}},
		"forget":    {[]Rule{{Kind: Forget}}, []Call{put, {Operation: Watch}}, []Decision{{}, {Forget: true}}},
		"silence":   {[]Rule{{Kind: Silence}}, []Call{put, {Opened: time.Unix(-1, 0)}, {Opened: time.Unix(1, 0)}}, []Decision{{}, {Silence: true}, {}}},
		"mute":      {[]Rule{{Kind: Mute}}, []Call{put}, []Decision{{Mute: true}}},
		"together":  {[]Rule{{Kind: Delay, Delay: second}, {Kind: Lose}}, []Call{put}, []Decision{{Lose: true, Delay: time.Second}}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := New(1)
			is.NoErr(i.Set(time.Unix(0, 0), Plan{Rules: test.rules}))
			for n, call := range test.calls {
				is.Equal(i.Decide(time.Unix(0, 0), call), test.want[n])
			}
		})
	}
}

// Guards against rate limits that allow more calls than the platform's store.
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
	is.NoErr(i.Set(time.Unix(0, 0), Plan{Writes: -1}))
	is.Equal(passed(start, Put), 3000)
}

// Guards against accepting a mistyped plan that injects nothing.
func TestValidate(t *testing.T) {
	cases := map[string]Rule{
		"kind":      {Kind: "refused"},
		"operation": {Kind: Refuse, Operations: []Operation{"PUT"}},
		"fraction":  {Kind: Refuse, Fraction: 1.5},
		"count":     {Kind: Refuse, Count: -1},
		"share":     {Kind: Refuse, Share: 1.5},
		"silence":   {Kind: Silence, Fraction: 0.5},
	}
	for name, rule := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(New(1).Set(time.Unix(0, 0), Plan{Rules: []Rule{rule}}) != nil)
		})
	}
}

// Guards against an outage for a share of the callers that affects different
// callers at each call, or all of them.
func TestShare(t *testing.T) {
	is := is.New(t)
	i := New(1)
	is.NoErr(i.Set(time.Unix(0, 0), Plan{Rules: []Rule{{Kind: Refuse, Share: 0.3}}}))
	refused := func() (names []string) {
		for n := range 200 {
			name := strconv.Itoa(n)
			if i.Decide(time.Unix(0, 0), Call{Caller: name}).Refuse {
				names = append(names, name)
			}
		}
		return names
	}
	first := refused()
	is.True(len(first) > 40 && len(first) < 80)
	is.Equal(first, refused())
}
