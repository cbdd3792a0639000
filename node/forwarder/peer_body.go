package forwarder

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// uploadState says how far a request body was sent.
type uploadState int

// Values of uploadState.
const (
	// uploadNone means that there is nothing to send.
	uploadNone uploadState = iota
	uploadRunning
	// uploadRead means that the whole body was read and the last frames are being
	// sent.
	uploadRead
	// uploadSent means that the end frame was sent.
	uploadSent
	uploadFailed
)

// peerBody is the response body that a peer sends. It also sends the request
// body over the same stream.
type peerBody struct {
	frames     *frameStream
	watchdog   *watchdog
	stopCancel func() bool
	// returnToPool keeps the stream for another call.
	returnToPool func()
	reusable     bool
	trailer      http.Header
	complete     bool
	closed       bool

	// mutex guards the following fields.
	mutex  sync.Mutex
	upload uploadState
	// uploadEnded is closed at the end of the upload; nil means that there is none.
	uploadEnded chan struct{}
	// isAnswered says that the response has begun. The upstream may read on then.
	isAnswered bool
	// awaitsUpload is set if the response has ended and the stream is released once
	// the end frame of the upload was sent. A frame of the next call must not come
	// before it.
	awaitsUpload bool
}

// startUpload sends the request body in the background, until the body has been
// sent or the stream is closed.
func (b *peerBody) startUpload(c *call) {
	if !b.beginUpload() {
		return
	}
	body := c.upload.forAttempt()
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
		end := func() *End {
			b.setUpload(uploadRead)
			return &End{Complete: true, Trailers: toFields(c.trailer), Size: proto.Uint64(c.upload.size.Load())}
		}
		err := b.frames.sendBody(next, end, b.watchdog.recordProgress)
		b.endUpload(err)
	}()
}

// beginUpload reports whether the upload may start, which it does once.
func (b *peerBody) beginUpload() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.upload != uploadNone {
		return false
	}
	b.upload, b.uploadEnded = uploadRunning, make(chan struct{})
	return true
}

// answered records that the response has begun, and returns a channel that is closed
// at the end of the upload, or nil if there is none.
func (b *peerBody) answered() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.isAnswered = true
	return b.uploadEnded
}

func (b *peerBody) setUpload(state uploadState) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.upload = state
}

// endUpload records the end of the upload, and releases the stream if the response
// has ended before.
func (b *peerBody) endUpload(err error) {
	b.mutex.Lock()
	b.upload = uploadSent
	if err != nil {
		b.upload = uploadFailed
	}
	awaited := b.awaitsUpload
	b.mutex.Unlock()
	if awaited {
		b.release(err == nil && b.reusable)
	}
	close(b.uploadEnded)
}

// release keeps the stream for another call, or closes it.
func (b *peerBody) release(clean bool) {
	if b.stopCancel() && clean {
		b.returnToPool()
		return
	}
	_ = b.frames.conn.Close()
}

// Next implements bodySource.
func (b *peerBody) Next() ([]byte, error) {
	if b.complete {
		return nil, io.EOF
	}
	frame, err := b.frames.receive()
	if err != nil {
		return nil, err
	}
	b.watchdog.recordProgress()
	switch kind := frame.GetKind().(type) {
	case *Frame_Chunk:
		return kind.Chunk, nil
	case *Frame_End:
		if !kind.End.GetComplete() {
			return nil, errors.Wrap(io.ErrUnexpectedEOF, "response body from the peer incomplete")
		}
		b.complete, b.trailer = true, fromFields(kind.End.GetTrailers())
		return nil, io.EOF
	default:
		return nil, errProtocol
	}
}

// Trailer implements bodySource.
func (b *peerBody) Trailer() http.Header { return b.trailer }

// Close implements bodySource.
func (b *peerBody) Close() {
	if b.closed {
		return
	}
	b.closed = true
	b.frames.setAwaiting(false)
	if b.complete && b.awaitUpload() {
		return
	}
	b.release(b.complete && b.reusable && b.isUploaded())
}

// awaitUpload reports whether the end of the upload releases the stream.
func (b *peerBody) awaitUpload() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.awaitsUpload = b.upload == uploadRead || b.upload == uploadRunning && b.isAnswered
	return b.awaitsUpload
}

// isUploaded reports whether no frame of the request body is left to send.
func (b *peerBody) isUploaded() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.upload == uploadNone || b.upload == uploadSent
}
