package retrier

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

var start = time.Unix(1000, 0)

func fixed(ratio float64) *Retrier {
	r := New(func(string) float64 { return ratio })
	r.Random = func(n int64) int64 { return n - 1 }
	return r
}

// Guards against repetitions that are unsafe, useless or multiply in a chain.
func TestPermitted(t *testing.T) {
	cases := map[string]struct {
		attempt Attempt
		ratio   float64
		want    bool
	}{
		"not run":                         {Attempt{Number: 1, Result: sycamorerun.NotRun}, 0.2, true},
		"unknown, not repeatable":         {Attempt{Number: 1, Result: sycamorerun.Unknown}, 0.2, false},
		"unknown, repeatable":             {Attempt{Number: 1, Result: sycamorerun.Unknown, Repeatable: true}, 0.2, true},
		"answered":                        {Attempt{Number: 1, Result: sycamorerun.Answered, Repeatable: true}, 0.2, false},
		"a part was passed on":            {Attempt{Number: 1, Result: sycamorerun.Unknown, Repeatable: true, Passed: true}, 0.2, false},
		"the body is gone":                {Attempt{Number: 1, Result: sycamorerun.NotRun, Consumed: true}, 0.2, false},
		"third attempt":                   {Attempt{Number: 3, Result: sycamorerun.NotRun}, 0.2, false},
		"stems from a repeated request":   {Attempt{Number: 1, Level: 2, Result: sycamorerun.NotRun}, 0.2, false},
		"stems from a first request":      {Attempt{Number: 1, Level: 1, Result: sycamorerun.NotRun}, 0.2, true},
		"the service allows no retries":   {Attempt{Number: 1, Result: sycamorerun.NotRun}, 0, false},
		"second attempt, longer max wait": {Attempt{Number: 2, Result: sycamorerun.NotRun}, 0.2, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			delay, ok := fixed(c.ratio).Allow(start, c.attempt)
			is.Equal(ok, c.want)
			if ok {
				is.Equal(delay, delayBase<<(c.attempt.Number-1)-1)
			}
		})
	}
}

// Guards the budget: beyond the burst, retries stay below the ratio of calls.
func TestBudget(t *testing.T) {
	is := is.New(t)
	r := fixed(0.25)
	retry := func() bool {
		_, ok := r.Allow(start, Attempt{Service: "s", Number: 1, Result: sycamorerun.NotRun})
		return ok
	}
	made := 0
	for retry() {
		made++
	}
	is.Equal(made, burst)
	made = 0
	for range 400 {
		r.Call(start, "s")
		if retry() {
			made++
		}
	}
	is.Equal(made, 100)
	r.Call(start.Add(2*idleMax), "other")
	is.Equal(len(r.budgets), 1) // unused budgets are forgotten
}

// Guards a deep chain of calls against multiplied attempts when its last level
// fails: attempts grow by a fixed number per level.
func TestChain(t *testing.T) {
	is := is.New(t)
	const depth = 28
	r := fixed(1)
	calls := 0
	var call func(level, at int) bool
	call = func(level, at int) bool {
		if at == depth {
			calls++
			return false
		}
		for n := 1; ; n++ {
			r.Call(start, "s")
			if call(max(level, n), at+1) {
				return true
			}
			if _, ok := r.Allow(start, Attempt{Service: "s", Number: n, Level: level, Result: sycamorerun.NotRun}); !ok {
				return false
			}
		}
	}
	call(1, 0)
	is.True(calls <= 1+depth*(attemptsMax-1)) // 3 to the power of 28 without the header
}
