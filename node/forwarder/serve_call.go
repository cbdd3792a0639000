package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"sycamorerun"
)

// ServeCall handles a stream of kind call: it admits the call, sends it to the
// upstream beside this node and the response back.
func (f *Forwarder) ServeCall(ctx context.Context, stream net.Conn) {
	defer func() { _ = stream.Close() }()
	peer := &link{conn: stream}
	_ = stream.SetReadDeadline(f.Now().Add(headWait))
	frame, err := peer.receive()
	if err != nil || frame.GetHead() == nil {
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	if !f.drain.enter() {
		f.turn(peer, notRun(reasonDraining))
		return
	}
	defer f.drain.leave()
	head := frame.GetHead()
	c := fromHead(f.Now(), head)
	ctx, watch, stop := bound(ctx, c.deadline, c.match.Idle)
	defer stop(errDone)
	body := newIntake(peer, c, watch)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		stop(body.run())
	}()
	defer func() {
		_ = stream.Close()
		<-finished
	}()
	defer body.close()
	f.serve(ctx, watch, peer, c, head, body)
}

func (f *Forwarder) serve(ctx context.Context, watch *watch, peer *link, c *call, head *Head, body *intake) {
	admitted := func() error {
		if c.complete {
			return nil
		}
		return peer.send(&Frame{Kind: &Frame_Admitted{Admitted: &Admitted{}}})
	}
	out, failed := f.execute(ctx, watch, c, head.GetId(), body.reader(), head.GetAttempt(), admitted)
	if failed != nil {
		f.turn(peer, failed)
		return
	}
	defer out.body.Close()
	// Unblocks a write to a peer that stopped reading.
	release := context.AfterFunc(ctx, func() { _ = peer.conn.Close() })
	defer release()
	if held, ok := out.body.(*whole); ok {
		_ = peer.send(&Frame{Kind: &Frame_Response{Response: toResponse(out, *held, true)}})
		return
	}
	if peer.send(&Frame{Kind: &Frame_Response{Response: toResponse(out, nil, false)}}) == nil {
		_ = peer.sendBody(out.body.Next, out.body.Trailer, watch.progress)
	}
}

// turn tells the peer that there is no response.
func (f *Forwarder) turn(peer *link, failed *failure) {
	_ = peer.conn.SetWriteDeadline(f.Now().Add(headWait))
	_ = peer.send(&Frame{Kind: &Frame_Refused{Refused: &Refusal{
		Result: string(failed.result), Reason: failed.reason, Load: f.Load(),
	}}})
}

func fromHead(now time.Time, head *Head) *call {
	c := &call{
		match: Match{
			Service: head.GetService(), Class: sycamorerun.Class(head.GetClass()), Repeatable: head.GetRepeatable(),
			Idle: time.Duration(head.GetIdleMs()) * time.Millisecond,
		},
		id: head.GetCall(), method: head.GetMethod(), host: string(head.GetHost()), target: string(head.GetTarget()),
		header: fromFields(head.GetFields()), trailers: head.GetTrailers(), length: head.GetLength(),
		complete: head.GetWhole(), body: head.GetBody(), key: string(head.GetKey()), print: head.GetPrint(),
	}
	c.trailer = blank(c.trailers)
	if c.complete {
		c.length = int64(len(c.body))
	}
	if left := head.GetDeadlineMs(); left > 0 {
		c.deadline = now.Add(time.Duration(left) * time.Millisecond)
	}
	return c
}

// intake receives the frames of a caller's node after the head.
type intake struct {
	link  *link
	call  *call
	watch *watch
	in    *io.PipeReader
	out   *io.PipeWriter
	// trailer is set before out is closed and read after.
	trailer http.Header
}

func newIntake(peer *link, c *call, watch *watch) *intake {
	i := &intake{link: peer, call: c, watch: watch}
	if !c.complete {
		i.in, i.out = io.Pipe()
	}
	return i
}

// reader returns the request body for the upstream.
func (i *intake) reader() io.ReadCloser {
	if i.in != nil {
		return &body{PipeReader: i.in, intake: i}
	}
	return i.call.reader()
}

// body is the request body for the upstream. It sets the trailers in the read
// that ends it, which is when http.Transport permits that.
type body struct {
	*io.PipeReader
	intake *intake
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.PipeReader.Read(p)
	if err == io.EOF {
		b.intake.call.fill(b.intake.trailer)
	}
	return n, err
}

// run passes the body on until the stream ends or the call is canceled, and
// returns why.
func (i *intake) run() error {
	open := i.out != nil
	for {
		frame, err := i.link.receive()
		if err != nil {
			return i.abort(open, errCanceled)
		}
		i.watch.progress()
		switch kind := frame.GetKind().(type) {
		case *Frame_Chunk:
			if !open {
				return errProtocol
			}
			// A write fails when the upstream wants no more of the body; the
			// stream is still read for a cancellation.
			_, _ = i.out.Write(kind.Chunk)
		case *Frame_End:
			if !open || !kind.End.GetComplete() {
				return i.abort(open, errCanceled)
			}
			open = false
			i.trailer = fromFields(kind.End.GetTrailers())
			_ = i.out.Close()
		default:
			return i.abort(open, errCanceled)
		}
	}
}

// abort ends a body without its end mark, which makes the transport close the
// upstream's connection instead of completing the request.
func (i *intake) abort(open bool, err error) error {
	if open {
		_ = i.out.CloseWithError(io.ErrUnexpectedEOF)
	}
	return err
}

func (i *intake) close() {
	if i.in != nil {
		_ = i.in.CloseWithError(errDone)
	}
}
