package forwarder

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// inbound is a call that a peer sends. Its body arrives through a pipe unless
// the head has it.
type inbound struct {
	head  *Head
	watch atomic.Pointer[watch]
	in    *io.PipeReader
	out   *io.PipeWriter
	// trailer is set before out is closed and read after.
	trailer http.Header
}

func newInbound(head *Head) *inbound {
	b := &inbound{head: head}
	if !head.GetWhole() {
		b.in, b.out = io.Pipe()
	}
	return b
}

// reader returns the request body for the upstream.
func (b *inbound) reader(c *call) io.ReadCloser {
	if b.in != nil {
		return &body{PipeReader: b.in, inbound: b, call: c}
	}
	return c.reader()
}

func (b *inbound) close() {
	if b.in != nil {
		_ = b.in.CloseWithError(errDone)
	}
}

// body is the request body for the upstream. It sets the trailers in the read
// that ends it, which is when net/http permits that.
type body struct {
	*io.PipeReader
	inbound *inbound
	call    *call
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.PipeReader.Read(p)
	if err == io.EOF {
		b.call.fill(b.inbound.trailer)
	}
	return n, err
}

// intake receives the frames of a peer.
type intake struct {
	link  *link
	calls chan *inbound
	// current is the last call received; open says that its body has not ended.
	current *inbound
	open    bool
}

// next waits for a call.
func (i *intake) next(ctx context.Context, wait time.Duration) (*inbound, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case call := <-i.calls:
		return call, ctx.Err() == nil
	case <-ctx.Done():
	case <-timer.C:
	}
	return nil, false
}

// run passes calls and their bodies on until the stream ends or a call is
// canceled, and returns why.
func (i *intake) run() error {
	for {
		frame, err := i.link.receive()
		if err != nil {
			return i.abort(errCanceled)
		}
		switch kind := frame.GetKind().(type) {
		case *Frame_Head:
			if err := i.begin(kind.Head); err != nil {
				return i.abort(err)
			}
		case *Frame_Chunk:
			if !i.open {
				return i.abort(errProtocol)
			}
			i.progress()
			// A write fails when the upstream wants no more of the body; the
			// stream is still read for a cancellation.
			_, _ = i.current.out.Write(kind.Chunk)
		case *Frame_End:
			if !i.open || !kind.End.GetComplete() {
				return i.abort(errCanceled)
			}
			i.progress()
			i.open = false
			i.current.trailer = fromFields(kind.End.GetTrailers())
			_ = i.current.out.Close()
		default:
			return i.abort(errCanceled)
		}
	}
}

// begin hands a call over. The peer sends the next head only after the
// response, so at most one call waits while the one before it is closed.
func (i *intake) begin(head *Head) error {
	if i.open {
		// A call that was refused before its body was sent has none.
		_ = i.current.out.CloseWithError(io.ErrUnexpectedEOF)
	}
	i.current, i.open = newInbound(head), !head.GetWhole()
	select {
	case i.calls <- i.current:
		return nil
	default:
		return errProtocol
	}
}

func (i *intake) progress() {
	if watch := i.current.watch.Load(); watch != nil {
		watch.progress()
	}
}

// abort ends a body without its end mark, which makes the transport close the
// upstream's connection instead of completing the request.
func (i *intake) abort(err error) error {
	if i.open {
		_ = i.current.out.CloseWithError(io.ErrUnexpectedEOF)
	}
	return err
}
