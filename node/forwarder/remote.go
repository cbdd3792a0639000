package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sycamorerun"
)

// remote sends the call to the node beside another upstream. A parked stream
// may have been lost without notice. If the peer has not seen the call, that
// does not count as an attempt.
func (f *Forwarder) remote(ctx context.Context, watch *watch, c *call, to sycamorerun.Instance, tried []string, n int, level uint32) (*answer, *failure) {
	id := c.identity(n)
	if peer := f.pool.take(f.Now(), to.Address); peer != nil {
		out, failed := f.through(ctx, watch, c, to, peer, id, level)
		unseen := failed != nil && (failed.reason == reasonQueried || failed.reason == reasonPeer)
		if !unseen || ctx.Err() != nil {
			return out, failed
		}
		id += "+"
	}
	conn, err := f.open(ctx, c, to, tried)
	if err != nil {
		return nil, notRun(ended(ctx, reasonPeer))
	}
	return f.through(ctx, watch, c, to, &link{conn: conn}, id, level)
}

// openTime bounds the opening of a stream when the call can go to another
// instance. The largest round trip between regions is about 40 ms, and a session
// takes few of them; a packet that is lost on the way costs a second.
const openTime = 250 * time.Millisecond

// open opens a stream for a call. Nothing is sent before that, so a call that
// waits for too long goes elsewhere, whether it may be repeated or not.
func (f *Forwarder) open(ctx context.Context, c *call, to sycamorerun.Instance, tried []string) (net.Conn, error) {
	if c.key == "" && f.HasOtherInstance(c.match.Service, append(tried[:len(tried):len(tried)], to.Name)) {
		limited, cancel := context.WithTimeout(ctx, openTime)
		defer cancel()
		ctx = limited
	}
	type opened struct {
		conn net.Conn
		err  error
	}
	// A session whose connection takes no bytes blocks the opening of a stream,
	// whatever ctx says.
	result := make(chan opened, 1)
	go func() {
		conn, err := f.Open(ctx, to.Address, KindCall)
		result <- opened{conn, err}
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

// through sends the call over a stream.
func (f *Forwarder) through(ctx context.Context, watch *watch, c *call, to sycamorerun.Instance, peer *link, id string, level uint32) (*answer, *failure) {
	began := f.Now()
	release := context.AfterFunc(ctx, func() { peer.cancel(time.Now()) })
	body := &inflow{
		link: peer, watch: watch, release: release,
		park: func() { f.pool.give(f.Now(), to.Address, peer) },
	}
	peer.await(true)
	out, failed := f.exchange(ctx, body, c, id, level)
	if failed != nil && ctx.Err() != nil {
		// Closing a stream can take long when the peer is silent, and the caller is
		// answered at once.
		go body.Close()
	} else if failed != nil {
		body.Close()
	}
	if failed != nil && failed.reason == reasonCanceled {
		// The peer was told to end the call, for a reason that only is known here.
		failed.reason = ended(ctx, failed.reason)
	}
	if failed != nil && failed.reason == reasonLost {
		failed = f.resolve(ctx, c, to, id, began)
	}
	return out, failed
}

// exchange sends the head and waits for the head of the response.
func (f *Forwarder) exchange(ctx context.Context, body *inflow, c *call, id string, level uint32) (*answer, *failure) {
	head := toHead(f.Now(), c, id, level)
	if head == nil {
		return nil, notRun(reasonHeaders)
	}
	if err := body.link.sendUntil(ctx, &Frame{Kind: &Frame_Head{Head: head}}); errors.Is(err, net.ErrClosed) {
		return nil, notRun(ended(ctx, reasonPeer)) // the stream ended before, and nothing was sent
	} else if err != nil {
		return nil, unknown(reasonLost)
	}
	for {
		frame, err := body.link.receive()
		if err != nil {
			return nil, unknown(reasonLost)
		}
		body.watch.progress()
		switch kind := frame.GetKind().(type) {
		case *Frame_Admitted:
			if !c.complete && !body.sending {
				body.upload(c)
			}
		case *Frame_Refused:
			body.ended, body.keep = true, kind.Refused.GetKeep()
			failed := &failure{
				result: sycamorerun.Result(kind.Refused.GetResult()),
				reason: kind.Refused.GetReason(), load: kind.Refused.GetLoad(), sent: kind.Refused.GetSent(),
				after: time.Duration(kind.Refused.GetRetryMs()) * time.Millisecond,
			}
			if failed.result != sycamorerun.NotRun {
				failed.result, failed.sent = sycamorerun.Unknown, true
			}
			if c.stream != nil && c.stream.large.Load() {
				failed.reason = reasonBody
			}
			return nil, failed
		case *Frame_Response:
			out := fromResponse(kind.Response)
			body.keep = kind.Response.GetKeep()
			out.at = f.Now()
			if !kind.Response.GetWhole() {
				out.body = body
			} else {
				body.ended = true
				body.Close()
			}
			return out, nil
		default:
			return nil, unknown(reasonLost)
		}
	}
}

// queryTime bounds the wait for a query after the deadline. It covers the way
// between two regions and back, and tells most callers whose calls waited in a
// queue that these did not run.
const queryTime = 50 * time.Millisecond

// resolve asks the peer about a call whose stream was lost before a response.
// At the deadline the answer waits for the query for queryTime at most. The query
// still runs then, to keep an original that is late from running.
func (f *Forwarder) resolve(ctx context.Context, c *call, to sycamorerun.Instance, id string, began time.Time) *failure {
	reason := ended(ctx, reasonLost)
	if reason == reasonCanceled {
		return unknown(reason)
	}
	result := make(chan CallState, 1)
	go func() {
		asking, stop := context.WithTimeout(context.WithoutCancel(ctx), f.QueryWait)
		defer stop()
		progress, err := f.query(asking, to, id, f.Now().Sub(began))
		if err != nil {
			progress = ProgressUnknown
		}
		result <- progress
	}()
	wait, late := f.QueryWait, reason
	if !c.deadline.IsZero() {
		if left := max(0, c.deadline.Sub(f.Now())) + queryTime; left < wait {
			wait, late = left, reasonExpired
		}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	// An attempt without progress has ended, but its call has not.
	canceled := ctx.Done()
	if ctx.Err() != nil {
		canceled = nil
	}
	select {
	case progress := <-result:
		if progress != ProgressRefused {
			return unknown(reason)
		}
		if reason == reasonLost {
			reason = reasonQueried
		}
		return notRun(reason)
	case <-canceled:
		return unknown(ended(ctx, reason))
	case <-timer.C:
		return unknown(late)
	}
}

// inflow is the response body that a peer sends, and the request body on its
// way there.
type inflow struct {
	link    *link
	watch   *watch
	release func() bool
	// park keeps the stream for another call.
	park    func()
	keep    bool
	sending bool
	// sent says that only the end of the request body is left to send. If that
	// fails, so does the stream.
	sent    atomic.Bool
	trailer http.Header
	ended   bool
	closed  bool
}

// upload sends the request body in the background. It ends when the body has
// been sent, or when the stream is closed.
func (i *inflow) upload(c *call) {
	i.sending = true
	body := c.stream.forAttempt()
	go func() {
		buffer := make([]byte, chunkBytes)
		next := func() ([]byte, error) {
			for {
				n, err := body.Read(buffer)
				if n > 0 {
					return buffer[:n], nil
				}
				if err != nil {
					return nil, err
				}
			}
		}
		_ = i.link.sendBody(next, func() http.Header {
			i.sent.Store(true)
			return c.trailer
		}, i.watch.progress)
	}()
}

// Next implements source.
func (i *inflow) Next() ([]byte, error) {
	if i.ended {
		return nil, io.EOF
	}
	frame, err := i.link.receive()
	if err != nil {
		return nil, err
	}
	i.watch.progress()
	switch kind := frame.GetKind().(type) {
	case *Frame_Chunk:
		return kind.Chunk, nil
	case *Frame_End:
		if !kind.End.GetComplete() {
			return nil, errors.Wrap(io.ErrUnexpectedEOF, "response")
		}
		i.ended, i.trailer = true, fromFields(kind.End.GetTrailers())
		return nil, io.EOF
	default:
		return nil, errProtocol
	}
}

// Trailer implements source.
func (i *inflow) Trailer() http.Header { return i.trailer }

// Close implements source.
func (i *inflow) Close() {
	if i.closed {
		return
	}
	i.closed = true
	i.link.await(false)
	if i.release() && i.ended && i.keep && (!i.sending || i.sent.Load()) {
		i.park()
		return
	}
	_ = i.link.conn.Close()
}

// toHead describes the call for a peer, or returns nil if it does not fit in a
// frame.
func toHead(now time.Time, c *call, id string, level uint32) *Head {
	head := &Head{
		Id: id, Call: c.id, Service: c.match.Service, Class: string(c.match.Class), Method: c.method, Host: []byte(c.host),
		Target: []byte(c.target), Fields: toFields(c.header), Trailers: c.trailers, Length: c.length,
		Body: c.body, Whole: c.complete, Repeatable: c.match.Repeatable, Key: []byte(c.key), Print: c.print,
		IdleMs: c.match.Idle.Milliseconds(), Attempt: level, Rank: uint32(c.match.Rank),
		ObjectiveMs: c.match.Objective.Milliseconds(), Nested: c.match.Nested, AgeMs: now.Sub(c.arrived).Milliseconds(),
	}
	if !c.deadline.IsZero() {
		head.DeadlineMs = max(1, c.deadline.Sub(now).Milliseconds())
	}
	if len(c.target)+size(c.header) > headerMost+lineBytes {
		return nil
	}
	return head
}
