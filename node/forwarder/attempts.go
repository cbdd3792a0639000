package forwarder

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"sycamorerun"
)

// attempts sends the call until an attempt is answered or may not be repeated.
func (f *Forwarder) attempts(ctx context.Context, watch *watch, c *call) (*answer, *failure) {
	var tried []string
	var last *failure
	sends := 0
	for n := 1; ; n++ {
		now := f.Now()
		to, ok := f.choose(now, c, tried)
		if !ok {
			if last == nil {
				last = notRun(reasonNoUpstream)
			}
			return nil, last
		}
		limited, cancel := watch.attempt(ctx, c)
		out, failed := f.attempt(limited, watch, c, to, tried, n)
		if failed == nil {
			// The context ends with the call, after the body.
			if c.key == "" {
				out.body = f.observed(limited, now, c, to, out)
			}
			return out, nil
		}
		cancel(errDone)
		if c.key == "" {
			f.Observe(f.Now(), Observation{
				Instance: to.Name, Service: c.match.Service, Result: failed.result,
				Reason: failed.reason, HeadLatency: f.Now().Sub(now), Load: failed.load,
				RetryAfter: failed.after, Rank: c.match.Rank, Objective: c.match.Objective,
			})
		}
		last = merge(last, failed)
		if failed.sent {
			sends++
		}
		delay, again := f.again(c, n, sends, failed)
		if !again || sleep(ctx, delay) != nil {
			return nil, last
		}
		tried = append(tried, to.Name)
	}
}

// choose returns the instance for the next attempt. A call with a key has one
// instance only, whatever its load.
func (f *Forwarder) choose(now time.Time, c *call, tried []string) (sycamorerun.Instance, bool) {
	if c.key != "" {
		return f.Owner(c.match.Service, c.key)
	}
	return f.Pick(now, Query{Service: c.match.Service, Tried: tried, Rank: c.match.Rank, Objective: c.match.Objective})
}

// merge returns the failure of the whole call: once an attempt may have run,
// no later attempt makes the call not run. It expects capacity when the first of
// the instances does.
func merge(last, failed *failure) *failure {
	if last != nil && last.after > 0 && (failed.after == 0 || last.after < failed.after) {
		failed.after = last.after
	}
	if last != nil && last.result == sycamorerun.Unknown && failed.result == sycamorerun.NotRun {
		return last
	}
	return failed
}

// again asks whether the call may be sent again.
func (f *Forwarder) again(c *call, n, sends int, failed *failure) (time.Duration, bool) {
	if failed.fault() || failed.reason == reasonCanceled {
		return 0, false
	}
	consumed := c.stream != nil && c.stream.revoke()
	// A key of a node whose upstream leaves is about to change hands.
	moved := failed.reason == reasonMoved || c.key != "" && failed.reason == reasonDraining
	if moved && !consumed && n <= len(moveDelays) {
		return moveDelays[n-1]/2 + rand.N(moveDelays[n-1]/2), true
	}
	now := f.Now()
	attempt := Attempt{
		Service: c.match.Service, Number: n, Sends: sends, Sent: failed.sent, Limit: c.match.Attempts, CallerAttempt: c.level,
		Result: failed.result, Reason: failed.reason, Repeatable: c.match.Repeatable, Consumed: consumed, SameInstance: c.key != "",
	}
	if !c.deadline.IsZero() {
		if attempt.Left = c.deadline.Sub(now); attempt.Left <= 0 {
			return 0, false
		}
	}
	return f.AllowRetry(now, attempt)
}

// moveDelays are the pauses after which a call whose key has changed hands is
// sent again: the new owner's announcement takes a moment to arrive here. These
// attempts take nothing from the retry budget, since the node that refused did
// no work and an upstream sees none of them.
var moveDelays = []time.Duration{
	20 * time.Millisecond, 40 * time.Millisecond, 80 * time.Millisecond,
	160 * time.Millisecond, 320 * time.Millisecond, 640 * time.Millisecond,
}

// attempt sends the call to one instance.
func (f *Forwarder) attempt(ctx context.Context, watch *watch, c *call, to sycamorerun.Instance, tried []string, n int) (*answer, *failure) {
	if ctx.Err() != nil {
		return nil, notRun(ended(ctx, ""))
	}
	level := uint32(max(c.level, n))
	if to.Name == f.Self {
		return f.execute(ctx, watch, c, c.identity(n), c.source(), level, func() error { return nil })
	}
	return f.remote(ctx, watch, c, to, tried, n, level)
}

// source returns the body for the upstream beside this node.
func (c *call) source() io.ReadCloser {
	if !c.complete {
		return c.stream.forAttempt()
	}
	return c.reader()
}

// observed wraps the body of out so that the attempt is observed once, when
// the body ends.
func (f *Forwarder) observed(ctx context.Context, began time.Time, c *call, to sycamorerun.Instance, out *answer) source {
	return &observedBody{source: out.body, ctx: ctx, done: func(result sycamorerun.Result, reason string) {
		f.Observe(f.Now(), Observation{
			Instance: to.Name, Service: c.match.Service, Result: result, Reason: reason, Status: out.status,
			Load: out.load, HeadLatency: out.at.Sub(began), Rank: c.match.Rank, Objective: c.match.Objective,
		})
	}}
}

// observedBody reports how its source ended.
type observedBody struct {
	source
	ctx    context.Context
	done   func(sycamorerun.Result, string)
	broken bool
	seen   bool
}

// Next implements source.
func (b *observedBody) Next() ([]byte, error) {
	data, err := b.source.Next()
	if err == io.EOF {
		b.report(sycamorerun.Answered, "")
	}
	b.broken = err != nil
	return data, err
}

// Close implements source.
func (b *observedBody) Close() {
	b.source.Close()
	reason := reasonCanceled // the caller took no more of the response
	if b.broken {
		reason = ended(b.ctx, reasonTruncated)
	}
	b.report(sycamorerun.Unknown, reason)
}

func (b *observedBody) report(result sycamorerun.Result, reason string) {
	if !b.seen {
		b.seen = true
		b.done(result, reason)
	}
}
