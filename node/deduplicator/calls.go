package deduplicator

import (
	"time"

	"sycamorerun"
	"sycamorerun/node/queuer"
)

// calls holds the records of calls by id.
type calls struct {
	states   map[string]State
	finished queuer.Queue[string]
	refused  queuer.Queue[string]
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
	c.finished.Push(now, id)
}

// refuse records a refusal unless the call is known. A refusal guarantees that the
// call does not run, so it is never dropped before its TTL; without room for
// another one, the state is unknown.
func (c *calls) refuse(now time.Time, id string, age time.Duration, limit int) State {
	if state, known := c.states[id]; known {
		return state
	}
	if !now.Add(-age).After(c.horizon) || c.refused.Len() >= limit {
		return StateUnknown
	}
	c.states[id] = StateRefused
	c.refused.Push(now, id)
	return StateRefused
}

func (c *calls) expire(now time.Time, limits Limits) {
	for c.finished.Exceeds(now, limits.Calls, limits.CallTTL) {
		delete(c.states, c.finished.Oldest())
		if finishedAt := now.Add(-c.finished.Age(now)); finishedAt.After(c.horizon) {
			c.horizon = finishedAt
		}
		c.finished.Drop()
	}
	for c.refused.Len() > 0 && c.refused.Age(now) >= limits.KeyTTL {
		delete(c.states, c.refused.Oldest())
		c.refused.Drop()
	}
}
