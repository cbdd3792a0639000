package forwarder

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"sycamorerun"
)

// sendWithRetries sends the call until an attempt gets a response or no further
// retry is permitted.
func (f *Forwarder) sendWithRetries(ctx context.Context, watchdog *watchdog, c *call) (*attemptResponse, *failure) {
	var tried []string
	var lastFailure *failure
	sends := 0
	for n := 1; ; n++ {
		now := f.Now()
		to, ok := f.chooseInstance(now, c, tried, lastFailure)
		if !ok {
			if lastFailure == nil {
				lastFailure = notRun(reasonNoUpstream)
			}
			return nil, lastFailure
		}
		attemptCtx, cancel := watchdog.startAttempt(ctx, c)
		out, failed := f.sendAttempt(attemptCtx, watchdog, c, to, tried, n)
		if failed == nil {
			// The attempt context must outlive the response body; it ends with
			// the call.
			if c.key == "" {
				out.body = f.observeBody(attemptCtx, now, c, to, out)
			}
			return out, nil
		}
		cancel(errDone)
		if c.key == "" {
			f.Observe(f.Now(), Observation{
				Instance: to, Started: now, Service: c.match.Service, Result: failed.result,
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

// chooseInstance returns the instance for the next attempt. A call with an
// idempotency key always goes to the owner of the key, whatever its load.
func (f *Forwarder) chooseInstance(now time.Time, c *call, tried []string, last *failure) (sycamorerun.Instance, bool) {
	if c.key != "" {
		return f.Owner(c.match.Service, c.key)
	}
	query := Query{Service: c.match.Service, Tried: tried, Rank: c.match.Rank, Objective: c.match.Objective}
	if last != nil {
		query.LastReason = last.reason
	}
	return f.Pick(now, query)
}

// mergeFailures returns the failure of the whole call. Once an attempt may have
// run, the result stays unknown even if a later attempt did not run. The
// shortest known retry delay is kept, since capacity at any of the instances is
// enough.
func mergeFailures(last, failed *failure) *failure {
	if last != nil && last.retryAfter > 0 && (failed.retryAfter == 0 || last.retryAfter < failed.retryAfter) {
		failed.retryAfter = last.retryAfter
	}
	if last != nil && last.result == sycamorerun.Unknown && failed.result == sycamorerun.NotRun {
		return last
	}
	return failed
}

// retryDelay reports whether the call may be sent again, and after which delay.
func (f *Forwarder) retryDelay(c *call, n, sends int, failed *failure) (time.Duration, bool) {
	if failed.isRequestError() || failed.reason == reasonCanceled {
		return 0, false
	}
	consumed := c.revokeBody() == bodyRead
	// The keys of a node whose upstream is draining are about to get a new
	// owner.
	ownerMoved := failed.reason == reasonKeyElsewhere || c.key != "" && failed.reason == reasonDraining
	if ownerMoved && !consumed && n <= len(ownerChangeDelays) {
		return ownerChangeDelays[n-1]/2 + rand.N(ownerChangeDelays[n-1]/2), true
	}
	now := f.Now()
	attempt := Attempt{
		Service: c.match.Service, Number: n, Sends: sends, Sent: failed.sent, Limit: c.match.Attempts, ParentAttempt: c.parentAttempt,
		Result: failed.result, Reason: failed.reason, Repeatable: c.match.Repeatable, Consumed: consumed, SameInstance: c.key != "",
	}
	if !c.deadline.IsZero() {
		if attempt.TimeLeft = c.deadline.Sub(now); attempt.TimeLeft <= 0 {
			return 0, false
		}
	}
	return f.AllowRetry(now, attempt)
}

// ownerChangeDelays are the delays before a call is sent again while the
// ownership of its key is being transferred, since the announcement of the new
// owner takes some time to reach this node. These attempts are not charged to the retry budget: the node that
// refused the call did no work and no upstream has seen it.
var ownerChangeDelays = []time.Duration{
	20 * time.Millisecond, 40 * time.Millisecond, 80 * time.Millisecond,
	160 * time.Millisecond, 320 * time.Millisecond, 640 * time.Millisecond,
}

// sendAttempt sends the call to one instance.
func (f *Forwarder) sendAttempt(ctx context.Context, watchdog *watchdog, c *call, to sycamorerun.Instance, tried []string, n int) (*attemptResponse, *failure) {
	if ctx.Err() != nil {
		return nil, notRun(endReason(ctx, ""))
	}
	attemptNumber := uint32(max(c.parentAttempt, n))
	if to.Name == f.Self {
		return f.execute(ctx, watchdog, c, sycamorerun.CallID{}, c.requestBody(), attemptNumber, func() error { return nil })
	}
	return f.sendToPeer(ctx, watchdog, c, to, tried, n, attemptNumber)
}

// requestBody returns the request body for the upstream beside this node.
func (c *call) requestBody() io.ReadCloser {
	if !c.buffered {
		return c.upload.forAttempt()
	}
	return c.bodyReader()
}

// observeBody wraps the body of out, so that Observe is called once, when the
// body ends.
func (f *Forwarder) observeBody(ctx context.Context, start time.Time, c *call, to sycamorerun.Instance, out *attemptResponse) bodySource {
	observed := &observedBody{bodySource: out.body, ctx: ctx, bytes: max(0, c.length)}
	observed.onEnd = func(result sycamorerun.Result, reason string) {
		if result == sycamorerun.Answered {
			f.answerTimes.Record(c.match.kind(), out.headAt.Sub(start))
		}
		f.Observe(f.Now(), Observation{
			Instance: to, Started: start, Service: c.match.Service, Result: result, Reason: reason, Status: out.status,
			Load: out.load, HeadLatency: out.headAt.Sub(start), Rank: c.match.Rank, Objective: c.match.Objective,
			Bytes: observed.bytes,
		})
	}
	return observed
}

// observedBody calls onEnd once with the result of its bodySource.
type observedBody struct {
	bodySource
	ctx   context.Context
	onEnd func(sycamorerun.Result, string)
	// bytes is the size of the request's body and of what was read.
	bytes    int64
	failed   bool
	reported bool
}

// Next implements bodySource.
func (b *observedBody) Next() ([]byte, error) {
	data, err := b.bodySource.Next()
	b.bytes += int64(len(data))
	if err == io.EOF {
		b.report(sycamorerun.Answered, "")
	}
	b.failed = err != nil
	return data, err
}

// Close implements bodySource.
func (b *observedBody) Close() {
	b.bodySource.Close()
	reason := reasonCanceled // closed by the caller before the end
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
