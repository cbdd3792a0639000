package limiter

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newLearnedLimiter returns a limiter whose slots were all taken at start and whose
// mean run time for interactive calls is known.
func newLearnedLimiter(limits Limits, mean time.Duration) (*Limiter, []func()) {
	l, releases := newFullLimiter(limits)
	for range 20 {
		l.runTimes.add(callKind{rank: interactive}, mean)
	}
	return l, releases
}

// TestEarlyRefusal guards against queueing a call that can't be served in time,
// refusing one that can, and telling the caller a wrong time to retry.
func TestEarlyRefusal(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]struct {
		slots, queued int
		// nested says that the queued calls are nested and start before the others.
		nested bool
		want   Request
		reason string
		after  time.Duration
	}{
		"no bound":                       {slots: 1, queued: 9, want: Request{Rank: interactive}},
		"first in the queue":             {slots: 1, want: Request{Rank: interactive, Deadline: start.Add(201 * ms)}},
		"no time left to run":            {slots: 1, want: Request{Rank: interactive, Deadline: start.Add(199 * ms)}, reason: Busy, after: 100 * ms},
		"behind others":                  {slots: 1, queued: 3, want: Request{Rank: interactive, Deadline: start.Add(499 * ms)}, reason: Busy, after: 400 * ms},
		"behind others, in time":         {slots: 1, queued: 3, want: Request{Rank: interactive, Deadline: start.Add(501 * ms)}},
		"more slots":                     {slots: 2, queued: 4, want: Request{Rank: interactive, Deadline: start.Add(401 * ms)}},
		"many slots, one is free soon":   {slots: 10, want: Request{Rank: interactive, Objective: 250 * ms}},
		"many slots, too many queued":    {slots: 10, queued: 9, nested: true, want: Request{Rank: interactive, Objective: 250 * ms}, reason: Busy, after: 100 * ms},
		"before others by rank":          {slots: 1, queued: 3, want: Request{Rank: 1, Deadline: start.Add(201 * ms)}},
		"before others as nested":        {slots: 1, queued: 3, want: Request{Rank: interactive, Nested: true, Deadline: start.Add(201 * ms)}},
		"before others by arrival":       {slots: 1, queued: 3, want: Request{Rank: interactive, Arrived: start.Add(-ms), Deadline: start.Add(201 * ms)}},
		"before others by objective":     {slots: 1, queued: 3, want: Request{Rank: interactive, Objective: 301 * ms}},
		"late already, goes last":        {slots: 1, queued: 1, want: Request{Rank: interactive, Objective: time.Second, Arrived: start.Add(-950 * ms)}, reason: Busy, after: 200 * ms},
		"not late yet, goes first":       {slots: 1, queued: 1, want: Request{Rank: interactive, Objective: time.Second, Arrived: start.Add(-850 * ms)}},
		"two runs before the objective":  {slots: 1, want: Request{Rank: interactive, Objective: 301 * ms}},
		"less than two runs before it":   {slots: 1, want: Request{Rank: interactive, Objective: 299 * ms}, reason: Busy, after: 100 * ms},
		"part of the objective":          {slots: 1, queued: 1, nested: true, want: Request{Rank: interactive, Objective: 501 * ms}},
		"more than this part":            {slots: 1, queued: 1, nested: true, want: Request{Rank: interactive, Objective: 499 * ms}, reason: Busy, after: 200 * ms},
		"objective, but deadline nearer": {slots: 1, queued: 1, want: Request{Rank: interactive, Objective: time.Hour, Deadline: start.Add(299 * ms)}, reason: Busy, after: 200 * ms},
		"full queue":                     {slots: 1, queued: 10, want: Request{Rank: interactive}, reason: QueueFull, after: 1100 * ms},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, _ := newLearnedLimiter(Limits{Slots: c.slots, Queue: 10}, 100*ms)
			ctx, cancel := context.WithCancel(context.Background())
			for range c.queued {
				acquireAsync(ctx, l, Request{Rank: interactive, Nested: c.nested})
			}
			call := acquireAsync(ctx, l, c.want)
			if c.reason == "" {
				is.Equal(l.Load().Queued, c.queued+1)
				cancel()
				is.Equal(call.wait(), Canceled)
				return
			}
			is.Equal(call.wait(), c.reason)
			is.Equal(call.refusal.After, c.after)
			cancel()
		})
	}
}

// Guards against a wait that is expected to be long since calls of other kinds take
// long, and not those that start before the call.
func TestWaitBehindShortCalls(t *testing.T) {
	const ms = time.Millisecond
	is := is.New(t)
	l, _ := newLearnedLimiter(Limits{Slots: 1, Queue: 10}, 100*ms)
	short := Request{Rank: interactive, Objective: 250 * ms}
	for range 20 {
		l.runTimes.add(newCallKind(short.Rank, short.Objective), 20*ms)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range 3 {
		acquireAsync(ctx, l, Request{Rank: interactive, Objective: short.Objective, Nested: true})
	}
	_, refusal := l.Acquire(ctx, start, short)
	is.Equal(refusal, Refusal{Reason: Busy, After: l.runTimes.all.value + 3*20*ms})
}

// TestWaitsEnd guards against calls that stay queued until their deadlines because
// the expected wait was too short, and against granting a slot to a call that can no
// longer meet its deadline.
func TestWaitsEnd(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]struct {
		want   Request
		at     time.Duration
		freed  bool
		reason string
	}{
		"objective":                {Request{Rank: interactive, Objective: 400 * ms}, 160 * ms, false, Busy},
		"deadline":                 {Request{Rank: interactive, Deadline: start.Add(400 * ms)}, 300 * ms, false, Busy},
		"its turn, but too late":   {Request{Rank: interactive, Deadline: start.Add(400 * ms)}, 392 * ms, true, Expired},
		"its turn, with some time": {Request{Rank: interactive, Deadline: start.Add(400 * ms)}, 380 * ms, true, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, releases := newLearnedLimiter(Limits{Slots: 1, Queue: 1}, 100*ms)
			call := acquireAsync(context.Background(), l, c.want)
			if c.freed {
				// The timer has not expired the wait, since l.Now returned start.
				l.mutex.Lock()
				l.Now = func() time.Time { return start.Add(c.at) }
				l.mutex.Unlock()
				releases[0]()
			} else {
				l.expireWaits(start.Add(c.at - ms))
				is.Equal(l.Load().Queued, 1)
				l.expireWaits(start.Add(c.at))
			}
			is.Equal(call.wait(), c.reason)
		})
	}
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	l := New(Limits{Slots: 1, Queue: 2})
	_, refusal := l.Acquire(ctx, time.Now(), Request{})
	is.Equal(refusal, Refusal{})
	later := acquireAsync(ctx, l, Request{Objective: time.Hour})
	began := time.Now()
	_, refusal = l.Acquire(ctx, began, Request{Objective: 40 * ms}) // by the timer
	is.Equal(refusal.Reason, Busy)
	is.True(time.Since(began) >= 16*ms)
	is.Equal(l.Load().Queued, 1)
	cancel()
	is.Equal(later.wait(), Canceled)
}

// TestRanksUnderOverload guards against unfair service under overload: no rank is
// served much less often than a less urgent one, and none falls below a quarter of
// the overall rate.
func TestRanksUnderOverload(t *testing.T) {
	cases := map[string]struct {
		rates [3]int // calls per 100 ms at ranks 1, 5 and 9
		queue int
	}{
		"alike":            {[3]int{10, 10, 10}, 8},
		"mostly urgent":    {[3]int{30, 3, 3}, 8},
		"mostly last":      {[3]int{3, 3, 30}, 8},
		"few of the last":  {[3]int{20, 0, 1}, 8},
		"far too many":     {[3]int{40, 40, 40}, 8},
		"urgent alone fit": {[3]int{9, 9, 9}, 8},
		"short queue":      {[3]int{60, 6, 6}, 2},
		"queue of one":     {[3]int{200, 10, 10}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := start
			var elapsed atomic.Int64 // read by the queue's timer
			l := New(Limits{Slots: 2, Queue: c.queue})
			l.Now = func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
			random := rand.New(rand.NewPCG(1, 2))
			ranks := [3]int{1, 5, 9}
			var asked, served [3]int
			var waiting []*waiter
			collectDecisions := func() {
				var left []*waiter
				for _, w := range waiting {
					select {
					case refusal := <-w.decision:
						if refusal.Reason == "" {
							served[(w.rank-1)/4]++
						}
					default:
						left = append(left, w)
					}
				}
				waiting = left
			}
			// Each step takes 1 ms and each call 20 ms, so the two slots complete
			// 10 calls per 100 ms.
			for range 30_000 {
				now = start.Add(time.Duration(elapsed.Add(int64(time.Millisecond))))
				l.expireWaits(now)
				for r := range l.running {
					if now.Sub(r.startedAt) >= 20*time.Millisecond {
						l.release(r, true)
					}
				}
				for at, rate := range c.rates {
					if random.Float64() < float64(rate)/100 {
						asked[at]++
						w := newWaiter(now, Request{Rank: ranks[at], Objective: 200 * time.Millisecond, Deadline: now.Add(time.Second)})
						if l.admit(now, w).Reason == "" {
							waiting = append(waiting, w)
						}
					}
				}
				collectDecisions()
			}
			var all, got float64
			var rates [3]float64
			for at := range c.rates {
				all, got = all+float64(asked[at]), got+float64(served[at])
				rates[at] = float64(served[at]) / float64(max(1, asked[at]))
			}
			t.Logf("asked %v, served %v, rates %.2f, overall %.2f", asked, served, rates, got/all)
			for at := range c.rates {
				if asked[at] == 0 {
					continue
				}
				is.True(rates[at] >= got/all/4)
				for less := at + 1; less < 3; less++ {
					is.True(rates[at] >= rates[less]-0.05)
				}
			}
			is.True(got >= 0.95*min(3000, all)) // the slots are not idle
		})
	}
}
