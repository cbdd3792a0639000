package deduplicator

import (
	"time"

	"sycamorerun"
)

// dated is an entry of a queue in order of time.
type dated[T any] struct {
	at   time.Time
	item T
}

// queue holds entries in order of time.
type queue[T any] struct {
	entries []dated[T]
	first   int
}

func (l *queue[T]) push(at time.Time, item T) { l.entries = append(l.entries, dated[T]{at, item}) }
func (l *queue[T]) length() int               { return len(l.entries) - l.first }
func (l *queue[T]) oldest() dated[T]          { return l.entries[l.first] }

// drop removes the oldest entry, and frees the space of removed entries when
// they are half of the queue.
func (l *queue[T]) drop() {
	l.entries[l.first] = dated[T]{}
	l.first++
	if l.first*2 >= len(l.entries) {
		l.entries = append(l.entries[:0:0], l.entries[l.first:]...)
		l.first = 0
	}
}

// calls are the records of calls by id.
type calls struct {
	states   map[string]State
	finished queue[string]
	refused  queue[string]
	// horizon is the latest time at which a call ended whose record has been
	// dropped. Of a call that was opened before it, nothing can be said.
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

// finish ends a started call. One that did not run after all counts as
// refused, so that a query about it is answered with certainty.
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

// refuse records a refusal unless the call is known. Refusals are promises and
// are never dropped early: when there is no room the answer promises nothing.
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
		c.finished.length() > 0 && now.Sub(c.finished.oldest().at) >= limits.CallAge {
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
