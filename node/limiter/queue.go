package limiter

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// MaxRank is the least urgent rank. Ranks outside of 1 to MaxRank count as MaxRank.
const MaxRank = 16

// waiter is a call that requests a slot.
type waiter struct {
	callKind
	request Request
	// late says that the call can no longer meet its objective. It starts after
	// the calls of its rank that can, since under overload each slot for a late
	// call would make another call late.
	late bool
	// waitDeadline is the time until which the call may wait; zero means no limit.
	waitDeadline time.Time
	// tag orders the calls of accounts that had more than their share.
	tag tag
	// decision receives exactly one value and is buffered.
	decision chan Refusal
	// running is set before a zero Refusal is sent to decision.
	running *runningCall
}

func newWaiter(now time.Time, request Request) *waiter {
	if request.Arrived.IsZero() {
		request.Arrived = now
	}
	return &waiter{request: request, callKind: newCallKind(request.Rank, request.Objective), decision: make(chan Refusal, 1)}
}

// clampRank maps ranks outside of 1 to MaxRank to MaxRank.
func clampRank(rank int) int {
	if rank < 1 || rank > MaxRank {
		return MaxRank
	}
	return rank
}

// queue holds the waiting calls of each rank in the order in which they start:
// nested calls first, then those of accounts that are not ahead of their share, then
// calls that can meet their objectives, then by the end of the objective.
type queue struct {
	waiters [MaxRank + 1][]*waiter
	length  int
}

func (q *queue) count(rank int) int { return len(q.waiters[rank]) }

// countAhead returns the number of waiting calls of rank that start before w.
func (q *queue) countAhead(rank int, w *waiter) int {
	if rank < w.rank {
		return len(q.waiters[rank])
	}
	return q.insertIndex(w)
}

// insertIndex returns the index of w among the calls of its rank.
func (q *queue) insertIndex(w *waiter) int {
	waiters := q.waiters[w.rank]
	at := len(waiters)
	for at > 0 && startsBefore(w, waiters[at-1]) {
		at--
	}
	return at
}

func startsBefore(a, b *waiter) bool {
	if a.request.Nested != b.request.Nested {
		return a.request.Nested
	}
	if a.tag.ahead != b.tag.ahead {
		return b.tag.ahead
	}
	if a.late != b.late {
		return b.late
	}
	if a.tag.ahead && a.tag.start != b.tag.start {
		return a.tag.start < b.tag.start
	}
	return a.objectiveDeadline().Before(b.objectiveDeadline())
}

// defaultObjective is the objective assumed for calls that have none, to order
// them among the others.
const defaultObjective = time.Second

// objectiveDeadline returns the time at which the objective of the call ends.
func (w *waiter) objectiveDeadline() time.Time {
	return w.request.Arrived.Add(cmp.Or(w.request.Objective, defaultObjective))
}

func (q *queue) push(w *waiter) {
	q.waiters[w.rank] = slices.Insert(q.waiters[w.rank], q.insertIndex(w), w)
	q.length++
	if w.tag.account != nil {
		w.tag.account.waiting++
	}
}

// head returns the first waiting call of rank that may start, or nil. Calls that
// wait for the transfer of other bodies may not start if transfers is false.
func (q *queue) head(rank int, transfers bool) *waiter {
	for _, w := range q.waiters[rank] {
		if transfers || !w.request.transfers() {
			return w
		}
	}
	return nil
}

// firstAhead returns the first waiting call of rank that may start and whose account
// is ahead of its share, or nil.
func (q *queue) firstAhead(rank int, transfers bool) *waiter {
	for _, w := range q.waiters[rank] {
		if w.tag.ahead && (transfers || !w.request.transfers()) {
			return w
		}
	}
	return nil
}

// ahead returns the waiting calls that start before w.
func (q *queue) ahead(w *waiter) iter.Seq[*waiter] {
	return func(yield func(*waiter) bool) {
		for rank := 1; rank <= w.rank; rank++ {
			for _, other := range q.waiters[rank][:q.countAhead(rank, w)] {
				if !yield(other) {
					return
				}
			}
		}
	}
}

// tail returns the last waiting call of the least urgent rank that matches, or nil.
// That call has waited the least and is the least likely to meet its deadline.
func (q *queue) tail(matches func(rank int) bool) *waiter {
	for rank := MaxRank; rank > 0; rank-- {
		if waiters := q.waiters[rank]; len(waiters) > 0 && matches(rank) {
			return waiters[len(waiters)-1]
		}
	}
	return nil
}

// remove removes w from the queue and reports whether it was queued.
func (q *queue) remove(w *waiter) bool {
	at := slices.Index(q.waiters[w.rank], w)
	if at < 0 {
		return false
	}
	q.waiters[w.rank] = slices.Delete(q.waiters[w.rank], at, at+1)
	q.length--
	if w.tag.account != nil {
		w.tag.account.waiting--
	}
	return true
}

// earliestWaitDeadline returns the earliest wait deadline of all waiting calls, or
// zero if no wait is bounded.
func (q *queue) earliestWaitDeadline() time.Time {
	var earliest time.Time
	for _, waiters := range q.waiters {
		for _, w := range waiters {
			if !w.waitDeadline.IsZero() && (earliest.IsZero() || w.waitDeadline.Before(earliest)) {
				earliest = w.waitDeadline
			}
		}
	}
	return earliest
}

// overdue returns the calls whose wait deadline has passed.
func (q *queue) overdue(now time.Time) []*waiter {
	var result []*waiter
	for _, waiters := range q.waiters {
		for _, w := range waiters {
			if expired(now, w.waitDeadline) {
				result = append(result, w)
			}
		}
	}
	return result
}
