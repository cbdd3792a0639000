package forwarder

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sycamorerun"
)

// inboundCall is a call received from a peer. Its body arrives through a pipe
// unless the head contains it.
type inboundCall struct {
	id         sycamorerun.CallID
	head       *Head
	watchdog   atomic.Pointer[watchdog]
	bodyReader *io.PipeReader
	bodyWriter *io.PipeWriter
	// trailer is set before bodyWriter is closed and read afterwards.
	trailer http.Header
}

func newInboundCall(session uint64, head *Head) *inboundCall {
	b := &inboundCall{id: sycamorerun.CallID{Session: session, Sequence: head.GetSequence()}, head: head}
	if !head.GetWhole() {
		b.bodyReader, b.bodyWriter = io.Pipe()
	}
	return b
}

// requestBody returns the request body for the upstream.
func (b *inboundCall) requestBody(c *call) io.ReadCloser {
	if b.bodyReader != nil {
		return &inboundBody{PipeReader: b.bodyReader, inbound: b, call: c}
	}
	return c.bodyReader()
}

func (b *inboundCall) close() {
	if b.bodyReader != nil {
		_ = b.bodyReader.CloseWithError(errDone)
	}
}

// inboundBody is the request body for the upstream. It sets the trailers in the
// read that returns io.EOF, since net/http permits changing them until then.
type inboundBody struct {
	*io.PipeReader
	inbound *inboundCall
	call    *call
}

// Read implements io.Reader.
func (b *inboundBody) Read(p []byte) (int, error) {
	n, err := b.PipeReader.Read(p)
	if err == io.EOF {
		b.call.setTrailers(b.inbound.trailer)
	}
	return n, err
}

// receivedBody is a request body on its way to the upstream. It closes done when the
// last byte has been read, or a read has failed, and closed when the sender of the body
// has ended.
type receivedBody struct {
	io.ReadCloser
	// remaining is the number of unread bytes, or negative if the length is unknown.
	remaining    int64
	done, closed chan struct{}
	once         sync.Once
	closeOnce    sync.Once
	whole        atomic.Bool
}

func newReceivedBody(body io.ReadCloser, length int64) *receivedBody {
	return &receivedBody{ReadCloser: body, remaining: length, done: make(chan struct{}), closed: make(chan struct{})}
}

// isWhole reports whether all of the body was read.
func (b *receivedBody) isWhole() bool { return b.whole.Load() }

// Close implements io.Closer.
func (b *receivedBody) Close() error {
	defer b.closeOnce.Do(func() { close(b.closed) })
	return b.ReadCloser.Close()
}

// Read implements io.Reader.
func (b *receivedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.remaining >= 0 {
		b.remaining -= int64(n)
	}
	if err == io.EOF && b.remaining < 0 || b.remaining == 0 {
		b.whole.Store(true)
	}
	if err != nil || b.remaining == 0 {
		b.once.Do(func() { close(b.done) })
	}
	return n, err
}

// callReceiver receives the frames that a peer sends on a stream.
type callReceiver struct {
	frames *frameStream
	// session is this node's number of the session of the stream.
	session uint64
	calls   chan *inboundCall
	// current is the call received last. bodyOpen says that its body has not
	// ended.
	current  *inboundCall
	bodyOpen bool
	// bodySize is the size of what has arrived of the current body.
	bodySize uint64
}

// errBodySize means that the end of a request body arrived without all of the body.
var errBodySize = errors.New("size of the request body differs from that at its end")

// next waits for the next call.
func (r *callReceiver) next(ctx context.Context, wait time.Duration) (*inboundCall, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if ctx.Err() != nil {
		return nil, false
	}
	select {
	case call := <-r.calls:
		return call, true
	case <-ctx.Done():
	case <-timer.C:
	}
	return nil, false
}

// run passes on calls and their bodies until the stream ends or a call is
// canceled, and returns the cause.
func (r *callReceiver) run() error {
	for {
		frame, err := r.frames.receive()
		if err != nil {
			return r.abort(errCanceled)
		}
		switch kind := frame.GetKind().(type) {
		case *Frame_Head:
			if err := r.dispatch(kind.Head); err != nil {
				return r.abort(err)
			}
		case *Frame_Chunk:
			if !r.bodyOpen {
				return r.abort(errProtocol)
			}
			r.recordProgress()
			r.bodySize += uint64(len(kind.Chunk))
			// The write fails if the upstream does not read the rest of the
			// body. The stream must still be read to notice a cancellation.
			_, _ = r.current.bodyWriter.Write(kind.Chunk)
		case *Frame_End:
			if !r.bodyOpen || !kind.End.GetComplete() {
				return r.abort(errCanceled)
			}
			if size := kind.End.Size; size != nil && *size != r.bodySize {
				return r.abort(errors.Wrapf(errBodySize, "%d of %d bytes", r.bodySize, *size))
			}
			r.recordProgress()
			r.bodyOpen = false
			r.current.trailer = fromFields(kind.End.GetTrailers())
			_ = r.current.bodyWriter.Close()
		default:
			return r.abort(errCanceled)
		}
	}
}

// dispatch passes on a call. The peer sends the next head only after the
// response, so at most one call is queued while the previous one is being
// closed.
func (r *callReceiver) dispatch(head *Head) error {
	if r.bodyOpen {
		// The previous call was refused before its body was sent, so its body
		// has no end frame.
		_ = r.current.bodyWriter.CloseWithError(io.ErrUnexpectedEOF)
	}
	r.current, r.bodyOpen, r.bodySize = newInboundCall(r.session, head), !head.GetWhole(), 0
	select {
	case r.calls <- r.current:
		return nil
	default:
		return errProtocol
	}
}

func (r *callReceiver) recordProgress() {
	if watchdog := r.current.watchdog.Load(); watchdog != nil {
		watchdog.recordProgress()
	}
}

// abort closes an open body with an error instead of io.EOF. The transport then
// closes the upstream's connection instead of completing the request.
func (r *callReceiver) abort(err error) error {
	if r.bodyOpen {
		_ = r.current.bodyWriter.CloseWithError(io.ErrUnexpectedEOF)
	}
	return err
}
