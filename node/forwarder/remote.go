package forwarder

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
)

// sendToPeer sends the call to the node beside another upstream. A pooled stream
// may have been lost without notice. If the peer did not start the call and none
// of its body was read, the call is sent again over a new stream within the same
// attempt.
func (f *Forwarder) sendToPeer(ctx context.Context, watchdog *watchdog, c *call, to sycamorerun.Instance, tried []string, n int, attemptNumber uint32) (*attemptResponse, *failure) {
	id := c.attemptID(n)
	if frames := f.pool.get(f.Now(), to.Address); frames != nil {
		out, failed := f.sendOnStream(ctx, watchdog, c, to, frames, id, attemptNumber)
		if failed == nil || !f.canResend(ctx, c, to, id, failed) {
			return out, failed
		}
		id += "+"
	}
	conn, err := f.openStream(ctx, c, to, tried)
	if err != nil {
		return nil, notRun(endReason(ctx, reasonPeerUnreachable))
	}
	return f.sendOnStream(ctx, watchdog, c, to, &frameStream{conn: conn}, id, attemptNumber)
}

// canResend reports whether a call whose pooled stream was lost is sent again to
// the same instance.
func (f *Forwarder) canResend(ctx context.Context, c *call, to sycamorerun.Instance, id string, failed *failure) bool {
	if !failed.unseen || ctx.Err() != nil {
		return false
	}
	body := c.revokeBody()
	f.Scope.Tagged(map[string]string{"body": string(body)}).Counter("call_resends").Inc(1)
	_ = level.Debug(f.Logger).Log("msg", "call not seen by the peer", "request", id, "peer", to.Name,
		"reason", failed.reason, "body", body, "sent_again", body != bodyRead)
	return body != bodyRead
}

// openTimeout bounds the opening of a stream when the call can go to another
// instance. The largest round trip between regions is about 40 ms, and setting
// up a session takes only a few of them. A lost packet costs a second.
const openTimeout = 250 * time.Millisecond

// openStream opens a stream for a call. Nothing has been sent at that point, so
// after a timeout the call can go to another instance even if it is not
// repeatable.
func (f *Forwarder) openStream(ctx context.Context, c *call, to sycamorerun.Instance, tried []string) (net.Conn, error) {
	if c.key == "" && f.HasOtherInstance(c.match.Service, append(tried[:len(tried):len(tried)], to.Name)) {
		openCtx, cancel := context.WithTimeout(ctx, openTimeout)
		defer cancel()
		ctx = openCtx
	}
	type openResult struct {
		conn net.Conn
		err  error
	}
	// Opening a stream blocks, regardless of ctx, while the connection of its
	// session accepts no data.
	result := make(chan openResult, 1)
	go func() {
		conn, err := f.Open(ctx, to.Address, KindCall)
		result <- openResult{conn, err}
	}()
	select {
	case o := <-result:
		return o.conn, o.err
	case <-ctx.Done():
		go func() {
			if o := <-result; o.err == nil {
				_ = o.conn.Close()
			}
		}()
		return nil, context.Cause(ctx)
	}
}

// sendOnStream sends the call over a stream.
func (f *Forwarder) sendOnStream(ctx context.Context, watchdog *watchdog, c *call, to sycamorerun.Instance, frames *frameStream, id string, attemptNumber uint32) (*attemptResponse, *failure) {
	sent := sentAttempt{id: id, session: remoteSession(frames.conn), sequence: f.lastSequence.Add(1)}
	stopCancel := context.AfterFunc(ctx, func() { frames.cancel(time.Now()) })
	body := &peerBody{
		frames: frames, watchdog: watchdog, stopCancel: stopCancel,
		returnToPool: func() { f.pool.put(f.Now(), to.Address, frames) },
	}
	frames.setAwaiting(true)
	out, failed := f.exchangeFrames(ctx, body, c, sent, attemptNumber)
	if failed != nil && ctx.Err() != nil {
		// Closing a stream can block while the peer is silent, but the caller
		// must get the result at once.
		go body.Close()
	} else if failed != nil {
		body.Close()
	}
	if failed != nil && failed.reason == reasonCanceled {
		// The peer saw only a cancellation; the reason for it is known on this
		// node.
		failed.reason = endReason(ctx, failed.reason)
	}
	if failed != nil && failed.reason == reasonPeerLost {
		failed = f.queryLostCall(ctx, c, to, sent)
	}
	return out, failed
}

// exchangeFrames sends the head of the call and waits for the head of the
// response.
func (f *Forwarder) exchangeFrames(ctx context.Context, body *peerBody, c *call, sent sentAttempt, attemptNumber uint32) (*attemptResponse, *failure) {
	head := toHead(f.Now(), c, sent, attemptNumber)
	if head == nil {
		return nil, notRun(reasonHeadersTooLarge)
	}
	if err := body.frames.sendContext(ctx, &Frame{Kind: &Frame_Head{Head: head}}); errors.Is(err, net.ErrClosed) {
		// The stream was already closed and nothing was sent.
		return nil, &failure{result: sycamorerun.NotRun, reason: endReason(ctx, reasonPeerUnreachable), unseen: true}
	} else if err != nil {
		return nil, unknown(reasonPeerLost)
	}
	for {
		frame, err := body.frames.receive()
		if err != nil {
			return nil, unknown(reasonPeerLost)
		}
		body.watchdog.recordProgress()
		switch kind := frame.GetKind().(type) {
		case *Frame_Admitted:
			if !c.buffered {
				body.startUpload(c)
			}
		case *Frame_Refused:
			body.complete, body.reusable = true, kind.Refused.GetKeep()
			failed := &failure{
				result: sycamorerun.Result(kind.Refused.GetResult()),
				reason: kind.Refused.GetReason(), load: kind.Refused.GetLoad(), sent: kind.Refused.GetSent(),
				retryAfter: time.Duration(kind.Refused.GetRetryMs()) * time.Millisecond,
			}
			if failed.result != sycamorerun.NotRun {
				failed.result, failed.sent = sycamorerun.Unknown, true
			}
			if c.upload != nil && c.upload.tooLarge.Load() {
				failed.reason = reasonBodyTooLarge
			}
			return nil, failed
		case *Frame_Response:
			out := fromResponse(kind.Response)
			body.reusable = kind.Response.GetKeep()
			out.headAt = f.Now()
			out.uploaded = body.answered()
			if !kind.Response.GetWhole() {
				out.body = body
			} else {
				body.complete = true
				body.Close()
			}
			return out, nil
		default:
			return nil, unknown(reasonPeerLost)
		}
	}
}

// lateQueryTimeout bounds the wait for a query after the deadline. It covers a
// round trip between two regions, which is enough to tell most callers whose
// calls were queued that their calls did not run.
const lateQueryTimeout = 50 * time.Millisecond

// queryLostCall queries the peer about a call whose stream was lost before a
// response. After the deadline it waits for at most lateQueryTimeout. The query
// continues in the background, since it keeps a request that is still in transit
// from running.
func (f *Forwarder) queryLostCall(ctx context.Context, c *call, to sycamorerun.Instance, sent sentAttempt) *failure {
	reason := endReason(ctx, reasonPeerLost)
	if reason == reasonCanceled {
		return unknown(reason)
	}
	result := make(chan CallState, 1)
	go func() {
		queryCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.QueryTimeout)
		defer cancel()
		state, err := f.query(queryCtx, to, sent)
		if err != nil {
			state = CallUnknown
		}
		result <- state
	}()
	wait, timeoutReason := f.QueryTimeout, reason
	if !c.deadline.IsZero() {
		if left := max(0, c.deadline.Sub(f.Now())) + lateQueryTimeout; left < wait {
			wait, timeoutReason = left, reasonDeadlineExceeded
		}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	// The context has already ended if the attempt was idle for too long, but
	// the call goes on.
	canceled := ctx.Done()
	if ctx.Err() != nil {
		canceled = nil
	}
	select {
	case state := <-result:
		return resolveLostCall(state, reason)
	case <-canceled:
		return unknown(endReason(ctx, reason))
	case <-timer.C:
		return unknown(timeoutReason)
	}
}

// resolveLostCall returns the failure of a call whose stream was lost, which the
// peer knows in a state.
func resolveLostCall(state CallState, reason string) *failure {
	resolved := func(known string) string {
		if reason == reasonPeerLost {
			return known
		}
		return reason
	}
	switch state {
	case CallRefused:
		return &failure{result: sycamorerun.NotRun, reason: resolved(reasonPeerNotStarted), unseen: true}
	case CallRejected:
		return &failure{result: sycamorerun.NotRun, reason: resolved(reasonRejected), sent: true}
	default:
		return unknown(reason)
	}
}

// toHead returns the head frame of the call for a peer, or nil if the header is
// too large for a frame.
func toHead(now time.Time, c *call, sent sentAttempt, attemptNumber uint32) *Head {
	head := &Head{
		Id: sent.id, Sequence: sent.sequence, Call: c.id, Service: c.match.Service, Class: string(c.match.Class), Method: c.method, Host: []byte(c.host),
		Target: []byte(c.target), Fields: toFields(c.header), Trailers: c.trailers, Length: c.length,
		Body: c.body, Whole: c.buffered, Repeatable: c.match.Repeatable, Key: []byte(c.key), Print: c.fingerprint,
		IdleMs: c.match.Idle.Milliseconds(), Attempt: attemptNumber, Rank: uint32(c.match.Rank),
		ObjectiveMs: c.match.Objective.Milliseconds(), Nested: c.match.Nested, AgeMs: now.Sub(c.arrived).Milliseconds(),
		Account: c.match.Account,
	}
	if !c.deadline.IsZero() {
		head.DeadlineMs = max(1, c.deadline.Sub(now).Milliseconds())
	}
	if len(c.target)+headerSize(c.header) > maxHeaderBytes+requestLineBytes {
		return nil
	}
	return head
}
