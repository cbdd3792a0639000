package forwarder

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"sycamorerun"
)

// attempts sends the call until an attempt is answered or may not be repeated.
func (f *Forwarder) sendWithRetries(ctx context.Context, watchdog *watchdog, c *call) (*attemptResponse, *failure) {
	var tried []string
	var lastFailure *failure
	sends := 0
	for n := 1; ; n++ {
		now := f.Now()
		to, ok := f.chooseInstance(now, c, tried)
		if !ok {
			if lastFailure == nil {
				lastFailure = notRun(reasonNoUpstream)
			}
			return nil, lastFailure
		}
		attemptCtx, cancel := watchdog.startAttempt(ctx, c)
		out, failed := f.sendAttempt(attemptCtx, watchdog, c, to, tried, n)
		if failed == nil {
			// The context ends with the call, after the body.
			if c.key == "" {
				out.body = f.observeBody(attemptCtx, now, c, to, out)
			}
			return out, nil
		}
		cancel(errDone)
		if c.key == "" {
			f.Observe(f.Now(), Observation{
				Instance: to.Name, Service: c.match.Service, Result: failed.result,
				Reason: failed.reason, HeadLatency: f.Now().Sub(now), Load: failed.load,
				RetryAfter: failed.retryAfter, Rank: c.match.Rank, Objective: c.match.Objective,
			})
		}
		lastFailure = mergeFailures(lastFailure, failed)
		if failed.sent {
			sends++
		}
		delay, retry := f.retryDelay(c, n, sends, failed)
		if !retry || sleep(ctx, delay) != nil {
			return nil, lastFailure
		}
		tried = append(tried, to.Name)
	}
}

// choose returns the instance for the next attempt. A call with a key has one
// instance only, whatever its load.
func (f *Forwarder) chooseInstance(now time.Time, c *call, tried []string) (sycamorerun.Instance, bool) {
	if c.key != "" {
		return f.Owner(c.match.Service, c.key)
	}
	return f.Pick(now, Query{Service: c.match.Service, Tried: tried, Rank: c.match.Rank, Objective: c.match.Objective})
}

// merge returns the failure of the whole call: once an attempt may have run,
// no later attempt makes the call not run. It expects capacity when the first of
// the instances does.
func mergeFailures(last, failed *failure) *failure {
	if last != nil && last.retryAfter > 0 && (failed.retryAfter == 0 || last.retryAfter < failed.retryAfter) {
		failed.retryAfter = last.retryAfter
	}
	if last != nil && last.result == sycamorerun.Unknown && failed.result == sycamorerun.NotRun {
		return last
	}
	return failed
}

// again asks whether the call may be sent again.
func (f *Forwarder) retryDelay(c *call, n, sends int, failed *failure) (time.Duration, bool) {
	if failed.isRequestError() || failed.reason == reasonCanceled {
		return 0, false
	}
	consumed := c.upload != nil && c.upload.revoke()
	// A key of a node whose upstream leaves is about to change hands.
	ownerMoved := failed.reason == reasonKeyElsewhere || c.key != "" && failed.reason == reasonDraining
	if ownerMoved && !consumed && n <= len(ownerChangeDelays) {
		return ownerChangeDelays[n-1]/2 + rand.N(ownerChangeDelays[n-1]/2), true
	}
	now := f.Now()
	attempt := Attempt{
		Service: c.match.Service, Number: n, Sends: sends, Sent: failed.sent, Limit: c.match.Attempts, CallerAttempt: c.callerAttempt,
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
var ownerChangeDelays = []time.Duration{
	20 * time.Millisecond, 40 * time.Millisecond, 80 * time.Millisecond,
	160 * time.Millisecond, 320 * time.Millisecond, 640 * time.Millisecond,
}

// attempt sends the call to one instance.
func (f *Forwarder) sendAttempt(ctx context.Context, watchdog *watchdog, c *call, to sycamorerun.Instance, tried []string, n int) (*attemptResponse, *failure) {
	if ctx.Err() != nil {
		return nil, notRun(endReason(ctx, ""))
	}
	attemptNumber := uint32(max(c.callerAttempt, n))
	if to.Name == f.Self {
		return f.execute(ctx, watchdog, c, c.attemptID(n), c.requestBody(), attemptNumber, func() error { return nil })
	}
	return f.sendToPeer(ctx, watchdog, c, to, tried, n, attemptNumber)
}

// source returns the body for the upstream beside this node.
func (c *call) requestBody() io.ReadCloser {
	if !c.buffered {
		return c.upload.forAttempt()
	}
	return c.bodyReader()
}

// observed wraps the body of out so that the attempt is observed once, when
// the body ends.
func (f *Forwarder) observeBody(ctx context.Context, start time.Time, c *call, to sycamorerun.Instance, out *attemptResponse) bodySource {
	return &observedBody{bodySource: out.body, ctx: ctx, onEnd: func(result sycamorerun.Result, reason string) {
		f.Observe(f.Now(), Observation{
			Instance: to.Name, Service: c.match.Service, Result: result, Reason: reason, Status: out.status,
			Load: out.load, HeadLatency: out.headAt.Sub(start), Rank: c.match.Rank, Objective: c.match.Objective,
		})
	}}
}

// observedBody reports how its source ended.
type observedBody struct {
	bodySource
	ctx      context.Context
	onEnd    func(sycamorerun.Result, string)
	failed   bool
	reported bool
}

// Next implements source.
func (b *observedBody) Next() ([]byte, error) {
	data, err := b.bodySource.Next()
	if err == io.EOF {
		b.report(sycamorerun.Answered, "")
	}
	b.failed = err != nil
	return data, err
}

// Close implements source.
func (b *observedBody) Close() {
	b.bodySource.Close()
	reason := reasonCanceled // the caller took no more of the response
	if b.failed {
		reason = endReason(b.ctx, reasonResponseIncomplete)
	}
	b.report(sycamorerun.Unknown, reason)
}

func (b *observedBody) report(result sycamorerun.Result, reason string) {
	if !b.reported {
		b.reported = true
		b.onEnd(result, reason)
	}
}
