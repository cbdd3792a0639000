package deduplicator

import (
	"time"

	"sycamorerun"
)

// timedItem is an item of a queue with the time at which it was added.
type timedItem[T any] struct {
	at   time.Time
	item T
}

// queue is a FIFO queue whose entries are in order of time.
type queue[T any] struct {
	entries []timedItem[T]
	first   int
}

func (q *queue[T]) push(at time.Time, item T) { q.entries = append(q.entries, timedItem[T]{at, item}) }
func (q *queue[T]) length() int               { return len(q.entries) - q.first }
func (q *queue[T]) oldest() timedItem[T]      { return q.entries[q.first] }

// drop removes the oldest entry. The slice is reallocated when half of its entries
// have been removed.
func (q *queue[T]) drop() {
	q.entries[q.first] = timedItem[T]{}
	q.first++
	if q.first*2 >= len(q.entries) {
		q.entries = append(q.entries[:0:0], q.entries[q.first:]...)
		q.first = 0
	}
}

// calls holds the records of calls by id.
type calls struct {
	states   map[string]State
	finished queue[string]
	refused  queue[string]
	// horizon is the latest end of a call whose record has been dropped. The state
	// of an unrecorded call that was opened at or before it is unknown.
	horizon time.Time
}

func newCalls(now time.Time) calls {
	return calls{states: map[string]State{}, horizon: now}
}

func (c *calls) check(id string) sycamorerun.Decision {
	switch c.states[id] {
	case "":
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictRun}
	case StateRefused:
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictRefused, Reason: ReasonRefused}
	default:
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictUncertain, Reason: ReasonDuplicate}
	}
}

func (c *calls) start(id string) { c.states[id] = StateStarted }

// finish records the result of a started call. A call that did not run is recorded
// as refused, so that Refuse reports with certainty that it did not run.
func (c *calls) finish(now time.Time, id string, result sycamorerun.Result) {
	if c.states[id] != StateStarted {
		return
	}
	c.states[id] = StateFinished
	if result == sycamorerun.NotRun {
		c.states[id] = StateRefused
	}
	c.finished.push(now, id)
}

// refuse records a refusal unless the call is known. A refusal guarantees that the
// call does not run, so it is never dropped before its TTL; without room for
// another one, the state is unknown.
func (c *calls) refuse(now time.Time, id string, age time.Duration, limit int) State {
	if state, known := c.states[id]; known {
		return state
	}
	if !now.Add(-age).After(c.horizon) || c.refused.length() >= limit {
		return StateUnknown
	}
	c.states[id] = StateRefused
	c.refused.push(now, id)
	return StateRefused
}

func (c *calls) expire(now time.Time, limits Limits) {
	for c.finished.length() > limits.Calls ||
		c.finished.length() > 0 && now.Sub(c.finished.oldest().at) >= limits.CallTTL {
		oldest := c.finished.oldest()
		delete(c.states, oldest.item)
		c.finished.drop()
		if oldest.at.After(c.horizon) {
			c.horizon = oldest.at
		}
	}
	for c.refused.length() > 0 && now.Sub(c.refused.oldest().at) >= limits.KeyTTL {
		delete(c.states, c.refused.oldest().item)
		c.refused.drop()
	}
}
