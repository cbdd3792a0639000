package limiter

import (
	"slices"
	"time"

	"sycamorerun"
)

// ranks orders the classes: a lower index is served first and shed last.
var ranks = []sycamorerun.Class{sycamorerun.Interactive, sycamorerun.Bulk, sycamorerun.Background}

// rankOf returns the index of class in ranks; an unknown class counts as the
// last one.
func rankOf(class sycamorerun.Class) int {
	if rank := slices.Index(ranks, class); rank >= 0 {
		return rank
	}
	return len(ranks) - 1
}

type waiter struct {
	rank     int
	deadline time.Time
	// settled receives exactly one value, and has room for it.
	settled chan Refusal
}

func (w *waiter) settle(refusal Refusal) { w.settled <- refusal }

// queue holds waiting calls, first in first out within a class.
type queue struct {
	waiters [3][]*waiter
}

func (q *queue) length() int {
	total := 0
	for _, waiters := range q.waiters {
		total += len(waiters)
	}
	return total
}

func (q *queue) push(w *waiter) {
	q.waiters[w.rank] = append(q.waiters[w.rank], w)
}

// pop removes the oldest call of the first class that has any.
func (q *queue) pop() *waiter {
	for rank, waiters := range q.waiters {
		if len(waiters) > 0 {
			first := waiters[0]
			q.waiters[rank] = slices.Delete(waiters, 0, 1)
			return first
		}
	}
	return nil
}

// shed removes the newest call of the lowest class below rank, or returns nil
// when every waiting call ranks at least as high. The newest call has waited
// least and is the least likely to meet its deadline.
func (q *queue) shed(rank int) *waiter {
	least := 0
	if rank < len(ranks) {
		least = rank + 1
	}
	for lowest := len(q.waiters) - 1; lowest >= least; lowest-- {
		if waiters := q.waiters[lowest]; len(waiters) > 0 {
			last := waiters[len(waiters)-1]
			q.waiters[lowest] = waiters[:len(waiters)-1]
			return last
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
	return true
}
