package forwarder

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log/level"

	"sycamorerun"
)

// ServeCall handles a stream of kind call: it admits each call on it, sends it
// to the upstream beside this node and the response back. A stream carries one
// call at a time; it stays open for the next one when a call has ended cleanly.
func (f *Forwarder) ServeCall(ctx context.Context, stream net.Conn) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errDone)
	peer := &link{conn: stream}
	in := &intake{link: peer, calls: make(chan *inbound, 1)}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		cancel(in.run())
	}()
	defer func() {
		_ = stream.Close()
		<-finished
	}()
	next, ok := in.next(ctx, headWait)
	for ok && f.serve(ctx, peer, next) {
		f.waiting.Add(1)
		peer.shrink()
		next, ok = in.next(ctx, parkedServer)
		f.waiting.Add(-1)
	}
}

// keep reports whether a stream may stay open for another call.
func (f *Forwarder) keep() bool { return f.waiting.Load() < waitingMax }

// serve handles one call and reports whether the stream can carry another.
func (f *Forwarder) serve(ctx context.Context, peer *link, in *inbound) bool {
	defer in.close()
	if !f.drain.enterPeer() {
		return f.sendRefusal(peer, Match{}, notRun(reasonDraining))
	}
	defer f.drain.leave()
	c := fromHead(f.Now(), in.head)
	ctx, watch, stop := bound(ctx, c.deadline, c.match.Idle)
	defer stop(errDone)
	in.watch.Store(watch)
	admitted := func() error {
		if c.complete {
			return nil
		}
		return peer.send(&Frame{Kind: &Frame_Admitted{Admitted: &Admitted{}}})
	}
	out, failed := f.execute(ctx, watch, c, in.head.GetId(), in.reader(c), in.head.GetAttempt(), admitted)
	if failed != nil {
		_ = level.Debug(f.Logger).Log("msg", "call of a peer not answered", "request", in.head.GetId(),
			"service", c.match.Service, "result", failed.result, "reason", failed.reason)
		return f.sendRefusal(peer, c.match, failed)
	}
	_ = level.Debug(f.Logger).Log("msg", "call of a peer answered", "request", in.head.GetId(),
		"service", c.match.Service, "status", out.status)
	defer out.body.Close()
	// Unblocks a write to a peer that stopped reading.
	release := context.AfterFunc(ctx, func() { _ = peer.conn.Close() })
	defer release()
	keep := f.keep()
	held, complete := out.body.(*whole)
	var data []byte
	if complete {
		data = *held
	}
	response := toResponse(out, data, complete)
	response.Keep = keep
	err := peer.send(&Frame{Kind: &Frame_Response{Response: response}})
	if err == nil && !complete {
		err = peer.sendBody(out.body.Next, out.body.Trailer, watch.progress)
	}
	return err == nil && keep
}

// sendRefusal tells the peer that there is no response to its call, and
// reports whether the stream can carry another call.
func (f *Forwarder) sendRefusal(peer *link, match Match, failed *failure) bool {
	keep := f.keep()
	_ = peer.conn.SetWriteDeadline(f.Now().Add(headWait))
	err := peer.send(&Frame{Kind: &Frame_Refused{Refused: &Refusal{
		Result: string(failed.result), Reason: failed.reason, Load: f.Load(match), Keep: keep,
		RetryMs: failed.after.Milliseconds(), Sent: failed.sent,
	}}})
	_ = peer.conn.SetWriteDeadline(time.Time{})
	return err == nil && keep
}

// replyTime is the time before the deadline at which a call leaves the queue, so
// that its caller's node knows at the deadline that it did not run. It covers
// the way between two regions and back.
const replyTime = 50 * time.Millisecond

func fromHead(now time.Time, head *Head) *call {
	c := &call{
		match: Match{
			Service: head.GetService(), Class: sycamorerun.Class(head.GetClass()), Repeatable: head.GetRepeatable(),
			Idle:      time.Duration(head.GetIdleMs()) * time.Millisecond,
			Objective: time.Duration(head.GetObjectiveMs()) * time.Millisecond, Rank: int(head.GetRank()), Nested: head.GetNested(),
		},
		arrived: now.Add(-time.Duration(head.GetAgeMs()) * time.Millisecond),
		id:      head.GetCall(), method: head.GetMethod(), host: string(head.GetHost()), target: string(head.GetTarget()),
		header: fromFields(head.GetFields()), trailers: head.GetTrailers(), length: head.GetLength(),
		complete: head.GetWhole(), body: head.GetBody(), key: string(head.GetKey()), print: head.GetPrint(),
	}
	c.trailer = blank(c.trailers)
	if c.complete {
		c.length = int64(len(c.body))
	}
	if left := head.GetDeadlineMs(); left > 0 {
		c.deadline = now.Add(time.Duration(left) * time.Millisecond)
		c.reply = min(replyTime, time.Duration(left)*time.Millisecond/10)
	}
	return c
}
