package limiter

import (
	"cmp"
	"slices"
	"time"
)

// RankMax is the last rank; ranks outside of 1 to RankMax count as this one.
const RankMax = 16

type waiter struct {
	work
	want Request
	// late says that the call can't meet its objective any more. It goes after
	// the calls of its rank that can: under overload each slot for it would make
	// one of those late as well.
	late bool
	// until is when the wait has become too long; zero means never.
	until time.Time
	// settled receives exactly one value, and has room for it.
	settled chan Refusal
	// run is set before an empty refusal is sent.
	run *run
}

func newWaiter(now time.Time, want Request) *waiter {
	if want.Arrived.IsZero() {
		want.Arrived = now
	}
	return &waiter{want: want, work: newWork(want.Rank, want.Objective), settled: make(chan Refusal, 1)}
}

// clamp returns the rank as which rank counts.
func clamp(rank int) int {
	if rank < 1 || rank > RankMax {
		return RankMax
	}
	return rank
}

// queue holds the waiting calls of each rank in the order in which they start:
// nested calls first, then by the end of their objectives.
type queue struct {
	waiters [RankMax + 1][]*waiter
	length  int
}

func (q *queue) count(rank int) int { return len(q.waiters[rank]) }

// ahead returns the number of waiting calls of rank that start before w.
func (q *queue) ahead(rank int, w *waiter) int {
	if rank < w.rank {
		return len(q.waiters[rank])
	}
	return q.place(w)
}

// place returns the index of w among the calls of its rank.
func (q *queue) place(w *waiter) int {
	waiters := q.waiters[w.rank]
	at := len(waiters)
	for at > 0 && before(w, waiters[at-1]) {
		at--
	}
	return at
}

func before(a, b *waiter) bool {
	if a.want.Nested != b.want.Nested {
		return a.want.Nested
	}
	if a.late != b.late {
		return b.late
	}
	return a.due().Before(b.due())
}

// objectiveDefault orders the calls without an objective among the others.
const objectiveDefault = time.Second

// due is when the objective of the call ends.
func (w *waiter) due() time.Time {
	return w.want.Arrived.Add(cmp.Or(w.want.Objective, objectiveDefault))
}

func (q *queue) push(w *waiter) {
	q.waiters[w.rank] = slices.Insert(q.waiters[w.rank], q.place(w), w)
	q.length++
}

// oldest returns the first call of rank.
func (q *queue) oldest(rank int) *waiter { return q.waiters[rank][0] }

// top returns the most urgent rank with a waiting call.
func (q *queue) top() int {
	for rank := 1; rank < RankMax; rank++ {
		if len(q.waiters[rank]) > 0 {
			return rank
		}
	}
	return RankMax
}

// newest returns the last call of the least urgent rank that fits, or nil. It has
// waited least and is the least likely to meet its deadline.
func (q *queue) newest(fits func(rank int) bool) *waiter {
	for rank := RankMax; rank > 0; rank-- {
		if waiters := q.waiters[rank]; len(waiters) > 0 && fits(rank) {
			return waiters[len(waiters)-1]
		}
	}
	return nil
}

// remove takes w out of the queue and reports whether it was there.
func (q *queue) remove(w *waiter) bool {
	at := slices.Index(q.waiters[w.rank], w)
	if at < 0 {
		return false
	}
	q.waiters[w.rank] = slices.Delete(q.waiters[w.rank], at, at+1)
	q.length--
	return true
}

// first returns when the first wait becomes too long, or zero.
func (q *queue) first() time.Time {
	var first time.Time
	for _, waiters := range q.waiters {
		for _, w := range waiters {
			if !w.until.IsZero() && (first.IsZero() || w.until.Before(first)) {
				first = w.until
			}
		}
	}
	return first
}

// overdue returns the calls whose wait is too long.
func (q *queue) overdue(now time.Time) []*waiter {
	var result []*waiter
	for _, waiters := range q.waiters {
		for _, w := range waiters {
			if expired(now, w.until) {
				result = append(result, w)
			}
		}
	}
	return result
}
