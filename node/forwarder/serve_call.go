package forwarder

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
)

// ServeCall handles a stream of kind call. It sends each call to the upstream
// beside this node and returns the response. A stream carries one call at a time
// and stays open for the next one if a call ended cleanly.
func (f *Forwarder) ServeCall(ctx context.Context, stream net.Conn) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errDone)
	frames := &frameStream{conn: stream}
	receiver := &callReceiver{frames: frames, session: localSession(stream), calls: make(chan *inboundCall, 1)}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		err := receiver.run()
		if errors.Is(err, errBodySize) {
			f.recordWrongSize(receiver.current.head, err)
		}
		cancel(err)
	}()
	defer func() {
		_ = stream.Close()
		<-finished
		close(receiver.calls)
		for unhandled := range receiver.calls {
			f.End(f.Now(), unhandled.id)
		}
	}()
	next, ok := receiver.next(ctx, headTimeout)
	for ok && f.handleCall(ctx, frames, next) {
		f.idlePeerStreams.Add(1)
		frames.shrink()
		next, ok = receiver.next(ctx, serverIdleTimeout)
		f.idlePeerStreams.Add(-1)
	}
}

// recordWrongSize counts and logs a request body that a peer sent in part as if it were
// whole.
func (f *Forwarder) recordWrongSize(head *Head, err error) {
	f.Scope.Counter("bodies_wrong_size").Inc(1)
	_ = level.Error(f.Logger).Log("msg", "request body from a peer is not the whole one", "request", head.GetId(),
		"service", head.GetService(), "err", err)
}

// canKeepStream reports whether a stream may stay open for another call.
func (f *Forwarder) canKeepStream() bool { return f.idlePeerStreams.Load() < maxIdlePeerStreams }

// handleCall handles one call and reports whether the stream can carry another
// one.
func (f *Forwarder) handleCall(ctx context.Context, frames *frameStream, inbound *inboundCall) bool {
	now := f.Now()
	c := fromHead(now, inbound.head)
	ctx, watchdog, stop := withWatchdog(ctx, c.deadline, c.match.Idle)
	end := func() {
		stop(errDone)
		f.End(f.Now(), inbound.id)
		inbound.close()
	}
	if !f.drain.beginPeer(watchdog, func() callEnd { return f.expectedEnd(now, c) }) {
		defer end()
		return f.sendRefusal(frames, Match{}, notRun(reasonDraining))
	}
	finish := func() {
		f.drain.end(watchdog)
		end()
	}
	inbound.watchdog.Store(watchdog)
	onAdmitted := func() error {
		if c.buffered {
			return nil
		}
		return frames.send(&Frame{Kind: &Frame_Admitted{Admitted: &Admitted{}}})
	}
	out, failed := f.execute(ctx, watchdog, c, inbound.id, inbound.requestBody(c), inbound.head.GetAttempt(), onAdmitted)
	if failed != nil {
		defer finish()
		_ = level.Debug(f.Logger).Log("msg", "call from a peer failed", "request", inbound.head.GetId(),
			"service", c.match.Service, "result", failed.result, "reason", failed.reason)
		return f.sendRefusal(frames, c.match, failed)
	}
	_ = level.Debug(f.Logger).Log("msg", "call from a peer answered", "request", inbound.head.GetId(),
		"service", c.match.Service, "status", out.status)
	keep := f.sendResponse(ctx, watchdog, frames, c, out)
	if !out.isUploading() {
		finish()
		return keep
	}
	// The rest of the body goes to the upstream while the stream carries the next
	// call.
	go func() {
		defer finish()
		f.awaitUpload(ctx, c, out)
	}()
	return keep
}

// sendResponse sends the response to a peer, and reports whether the stream can carry
// another call.
func (f *Forwarder) sendResponse(ctx context.Context, watchdog *watchdog, frames *frameStream, c *call, out *attemptResponse) bool {
	defer out.body.Close()
	// Unblocks a write to a peer that stopped reading.
	release := context.AfterFunc(ctx, func() { _ = frames.conn.Close() })
	defer release()
	keep := f.canKeepStream()
	buffered, inMemory := out.body.(*bufferedBody)
	var data []byte
	if inMemory {
		data = *buffered
	}
	response := toResponse(out, data, inMemory)
	response.Keep = keep
	f.Pacer.Charge(f.Now(), len(data)+headerSize(out.header))
	err := frames.send(&Frame{Kind: &Frame_Response{Response: response}})
	if err == nil && !inMemory {
		end := func() *End { return &End{Complete: true, Trailers: toFields(out.body.Trailer())} }
		err = frames.sendBody(f.pace(ctx, c, out.body).Next, end, watchdog.recordProgress)
	}
	return err == nil && keep
}

// sendRefusal tells the peer that its call gets no response, and reports whether
// the stream can carry another call.
func (f *Forwarder) sendRefusal(frames *frameStream, match Match, failed *failure) bool {
	keep := f.canKeepStream()
	_ = frames.conn.SetWriteDeadline(f.Now().Add(headTimeout))
	err := frames.send(&Frame{Kind: &Frame_Refused{Refused: &Refusal{
		Result: string(failed.result), Reason: failed.reason, Load: f.Load(match), Keep: keep,
		RetryMs: failed.retryAfter.Milliseconds(), Sent: failed.sent,
	}}})
	_ = frames.conn.SetWriteDeadline(time.Time{})
	return err == nil && keep
}

// maxReplyMargin is how long before the deadline a call leaves the queue, so
// that the peer knows at the deadline that the call did not run. It covers a
// round trip between two regions.
const maxReplyMargin = 50 * time.Millisecond

func fromHead(now time.Time, head *Head) *call {
	c := &call{
		match: Match{
			Service: head.GetService(), Class: sycamorerun.Class(head.GetClass()), Repeatable: head.GetRepeatable(),
			Idle:      time.Duration(head.GetIdleMs()) * time.Millisecond,
			Objective: time.Duration(head.GetObjectiveMs()) * time.Millisecond, Rank: int(head.GetRank()), Nested: head.GetNested(),
			Account: head.GetAccount(),
		},
		arrived: now.Add(-time.Duration(head.GetAgeMs()) * time.Millisecond),
		id:      head.GetCall(), method: head.GetMethod(), host: string(head.GetHost()), target: string(head.GetTarget()),
		header: fromFields(head.GetFields()), trailers: head.GetTrailers(), length: head.GetLength(),
		buffered: head.GetWhole(), body: head.GetBody(), key: string(head.GetKey()), fingerprint: head.GetPrint(),
	}
	c.trailer = emptyTrailer(c.trailers)
	if c.buffered {
		c.length = int64(len(c.body))
	}
	if left := head.GetDeadlineMs(); left > 0 {
		c.deadline = now.Add(time.Duration(left) * time.Millisecond)
		c.replyMargin = min(maxReplyMargin, time.Duration(left)*time.Millisecond/10)
	}
	return c
}
