package retrier

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/node/divider"
)

var start = time.Unix(1000, 0)

func newTestRetrier(ratio float64) *Retrier {
	r := New(func(string) float64 { return ratio })
	r.Random = func(n int64) int64 { return n - 1 }
	return r
}

// TestPermitted guards against retries that are unsafe, useless or multiply along a
// call chain.
func TestPermitted(t *testing.T) {
	cases := map[string]struct {
		attempt Attempt
		ratio   float64
		want    bool
	}{
		"not run":                         {Attempt{Number: 1, Sends: 1, Sent: true, Result: sycamorerun.NotRun}, 0.2, true},
		"unknown, not repeatable":         {Attempt{Number: 1, Sends: 1, Sent: true, Result: sycamorerun.Unknown}, 0.2, false},
		"unknown, repeatable":             {Attempt{Number: 1, Sends: 1, Sent: true, Result: sycamorerun.Unknown, Repeatable: true}, 0.2, true},
		"answered":                        {Attempt{Number: 1, Sends: 1, Sent: true, Result: sycamorerun.Answered, Repeatable: true}, 0.2, false},
		"a part was passed on":            {Attempt{Number: 1, Sends: 1, Sent: true, Result: sycamorerun.Unknown, Repeatable: true, ResponseStarted: true}, 0.2, false},
		"the body is gone":                {Attempt{Number: 1, Sends: 1, Sent: true, Result: sycamorerun.NotRun, Consumed: true}, 0.2, false},
		"third attempt":                   {Attempt{Number: 3, Sends: 3, Sent: true, Result: sycamorerun.NotRun}, 0.2, false},
		"third attempt, of five":          {Attempt{Number: 3, Sends: 3, Sent: true, Limit: 5, Result: sycamorerun.NotRun}, 0.2, true},
		"second attempt, of two":          {Attempt{Number: 2, Sends: 2, Sent: true, Limit: 2, Result: sycamorerun.NotRun}, 0.2, false},
		"third refusal by a node":         {Attempt{Number: 3, Result: sycamorerun.NotRun}, 0.2, true},
		"fourth refusal by a node":        {Attempt{Number: 4, Result: sycamorerun.NotRun}, 0.2, false},
		"refused by the only node":        {Attempt{Number: 1, SameInstance: true, Result: sycamorerun.NotRun}, 0.2, true},
		"sends and refusals":              {Attempt{Number: 5, Sends: 2, Result: sycamorerun.NotRun}, 0.2, true},
		"refused, no retries allowed":     {Attempt{Number: 1, Result: sycamorerun.NotRun}, 0, true},
		"refused below a repeated one":    {Attempt{Number: 1, ParentAttempt: 2, Result: sycamorerun.NotRun}, 0.2, true},
		"too little time":                 {Attempt{Number: 1, Result: sycamorerun.NotRun, TimeLeft: 50 * time.Millisecond}, 0.2, false},
		"deadline passed":                 {Attempt{Number: 1, Result: sycamorerun.NotRun, TimeLeft: -1}, 0.2, false},
		"time enough":                     {Attempt{Number: 1, Result: sycamorerun.NotRun, TimeLeft: 51 * time.Millisecond}, 0.2, true},
		"time enough, but not to wait":    {Attempt{Number: 1, Sends: 1, Sent: true, Result: sycamorerun.NotRun, TimeLeft: 59 * time.Millisecond}, 0.2, false},
		"stems from a repeated request":   {Attempt{Number: 1, Sends: 1, Sent: true, ParentAttempt: 2, Result: sycamorerun.NotRun}, 0.2, false},
		"stems from a first request":      {Attempt{Number: 1, Sends: 1, Sent: true, ParentAttempt: 1, Result: sycamorerun.NotRun}, 0.2, true},
		"the service allows no retries":   {Attempt{Number: 1, Sends: 1, Sent: true, Result: sycamorerun.NotRun}, 0, false},
		"second attempt, longer max wait": {Attempt{Number: 2, Sends: 2, Sent: true, Result: sycamorerun.NotRun}, 0.2, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newTestRetrier(c.ratio)
			r.RecordRunTime(start, c.attempt.Service, 100*time.Millisecond)
			delay, ok := r.Allow(start, c.attempt)
			is.Equal(ok, c.want)
			if ok && !c.attempt.Sent && !c.attempt.SameInstance {
				is.Equal(delay, time.Duration(0))
			} else if ok {
				is.Equal(delay, baseDelay<<(c.attempt.Number-1)-1)
			}
		})
	}
}

// retry requests a retry that is charged to the budget.
func retry(r *Retrier, now time.Time) bool {
	_, ok := r.Allow(now, Attempt{Service: "s", Number: 1, Sends: 1, Sent: true, Result: sycamorerun.NotRun})
	return ok
}

// TestBudget guards against a single node that exceeds its budget: beyond the slack,
// the retries stay below divider.UsableFraction of the ratio of calls.
func TestBudget(t *testing.T) {
	is := is.New(t)
	r := newTestRetrier(0.25)
	made := 0
	for retry(r, start) {
		made++
	}
	is.Equal(made, 8)
	for range 400 {
		r.RecordCall(start, "s")
		if retry(r, start) {
			made++
		}
	}
	is.Equal(made, 8+80)
	for range 100 { // attempts that were not sent are not charged
		_, ok := r.Allow(start, Attempt{Service: "s", Number: 1, Result: sycamorerun.NotRun})
		is.True(ok)
	}
	r.RecordCall(start.Add(2*idleRetention), "other")
	is.Equal(len(r.services), 1) // unused budgets are deleted
}

// TestFleetBudget guards against a fleet that exceeds its budget in some window while
// the load changes. All nodes make every retry that they may.
func TestFleetBudget(t *testing.T) {
	const step = 50 * time.Millisecond
	cases := map[string]struct {
		nodes int
		slack float64
		// calls returns the number of calls of a node in a step.
		calls func(node, step int) int
		// idle says that no call fails in a step.
		idle func(step int) bool
	}{
		"steady":                       {13, 64, func(int, int) int { return 2 }, nil},
		"no calls":                     {13, 64, func(int, int) int { return 0 }, nil},
		"slack below the members":      {13, 10, func(int, int) int { return 0 }, nil},
		"load that ends":               {13, 64, func(_, step int) int { return 4 * (step / 400 % 2) }, nil},
		"failures when load has ended": {13, 64, func(_, step int) int { return 4 * (step / 400 % 2) }, func(step int) bool { return step/400%2 == 1 }},
		"short bursts":                 {13, 64, func(_, step int) int { return 100 / (step%100*100 + 1) }, nil},
		"one node with all the calls":  {13, 10, func(node, _ int) int { return 20 / (node*100 + 1) }, nil},
		"alone":                        {1, 10, func(_, step int) int { return step % 3 }, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var fleet []*Retrier
			for place := range c.nodes {
				r := newTestRetrier(0.2)
				r.Budget.Slack = c.slack
				r.Members, r.MemberIndex = func() int { return c.nodes }, func() int { return place }
				fleet = append(fleet, r)
			}
			const steps, window = 3000, 200
			calls, charges := make([]int, steps), make([]int, steps)
			// The clocks differ by up to 3 s, which is less than half a window.
			skew := func(node int) time.Duration { return time.Duration(node%4) * time.Second }
			for at := range steps {
				for node, r := range fleet {
					now := start.Add(time.Duration(at)*step + skew(node))
					for range c.calls(node, at) {
						r.RecordCall(now, "s")
						calls[at]++
					}
					for (c.idle == nil || !c.idle(at)) && retry(r, now) {
						charges[at]++
					}
				}
			}
			worst, all := 0.0, 0
			for from := range steps - window {
				made, called := 0, 0
				for at := from; at < from+window; at++ {
					made, called = made+charges[at], called+calls[at]
				}
				worst = max(worst, float64(made)-0.2*float64(called))
				all = max(all, made)
			}
			t.Logf("most charges in a window %d, beyond the ratio %.1f", all, worst)
			is.True(worst <= c.slack)
			is.True(all > 0)
		})
	}
}

// TestMembersLost guards against a node that loses contact with the others and takes
// over their shares.
func TestMembersLost(t *testing.T) {
	is := is.New(t)
	r := newTestRetrier(0.2)
	count := 4
	r.Members = func() int { return count }
	made := func(now time.Time) int {
		n := 0
		for retry(r, now) {
			n++
		}
		return n
	}
	is.Equal(made(start), 2)
	count = 1
	is.Equal(made(start.Add(50*time.Second)), 1) // the bucket is empty
	is.Equal(made(start.Add(3*divider.Retention)), 4)
}

// TestChain guards against attempts that multiply along a deep call chain when its
// last level fails: their number may only grow linearly with the depth.
func TestChain(t *testing.T) {
	is := is.New(t)
	const depth = 28
	r := newTestRetrier(1)
	calls := 0
	var call func(level, at int) bool
	call = func(level, at int) bool {
		if at == depth {
			calls++
			return false
		}
		for n := 1; ; n++ {
			r.RecordCall(start, "s")
			if call(max(level, n), at+1) {
				return true
			}
			if _, ok := r.Allow(start, Attempt{Service: "s", Number: n, Sends: n, Sent: true, ParentAttempt: level, Result: sycamorerun.NotRun}); !ok {
				return false
			}
		}
	}
	call(1, 0)
	is.True(calls <= 1+depth*(defaultMaxSends-1)) // 3 to the power of 28 without ParentAttempt
}
