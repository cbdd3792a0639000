package forwarder

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"sycamorerun/encoder"
)

var errProtocol = errors.New("frame out of order")

// link writes and reads the frames of one stream.
type link struct {
	conn net.Conn
	// buffer and chunk hold the frame received last.
	buffer []byte
	chunk  Frame_Chunk
	// received counts the bytes since the last shrink.
	received atomic.Int64
	mutex    sync.Mutex
	out      []byte
}

func (l *link) send(frame *Frame) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, err := encoder.Write(l.conn, frame)
	return err
}

// sendUntil sends a frame, and returns when ctx ends also if the frame has not
// been sent: a session whose connection takes no bytes blocks a write for
// longer than its deadline.
func (l *link) sendUntil(ctx context.Context, frame *Frame) error {
	sent := make(chan error, 1)
	go func() { sent <- l.send(frame) }()
	select {
	case err := <-sent:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// receive reads a frame. The bytes of a chunk are valid until the next call.
func (l *link) receive() (*Frame, error) {
	var prefix [4]byte
	if _, err := io.ReadFull(l.conn, prefix[:]); err != nil {
		return nil, broken(err)
	}
	size := int(binary.BigEndian.Uint32(prefix[:]))
	if size > frameBytes {
		return nil, errors.Wrapf(encoder.ErrTooLarge, "%d bytes", size)
	}
	if cap(l.buffer) < size {
		l.buffer = make([]byte, size)
	}
	l.received.Add(int64(size))
	data := l.buffer[:size]
	if _, err := io.ReadFull(l.conn, data); err != nil {
		return nil, broken(err)
	}
	if chunk, ok := chunkOf(data); ok {
		l.chunk.Chunk = chunk
		return &Frame{Kind: &l.chunk}, nil
	}
	frame := &Frame{}
	if cap(l.buffer) > smallBytes {
		l.buffer = nil // a stream that waits for its next call keeps no large buffer
	}
	return frame, errors.Wrap(proto.Unmarshal(data, frame), "decode frame")
}

// shrink frees the buffers of a stream that waits for its next call. The
// receive buffer of small calls is kept, since each would allocate it again.
func (l *link) shrink() {
	l.mutex.Lock()
	l.out = nil
	l.mutex.Unlock()
	if l.received.Swap(0) <= smallBytes {
		return
	}
	if shrinker, ok := l.conn.(interface{ Shrink() }); ok {
		shrinker.Shrink()
	}
}

// await tells the session whether a call waits on the stream.
func (l *link) await(waits bool) {
	if waiter, ok := l.conn.(interface{ SetAwaiting(bool) }); ok {
		waiter.SetAwaiting(waits)
	}
}

// broken describes the end of a stream. It is never io.EOF, which stands for
// the end of a complete body.
func broken(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return errors.Wrap(err, "read frame")
}

// smallBytes is the size of the buffer that a waiting stream may keep.
const smallBytes = 4 << 10

// chunkField is the number of the field chunk of Frame.
const chunkField = 5

// chunkOf returns the bytes of a frame that is exactly one chunk. Chunks are
// the bulk of the traffic, and proto.Unmarshal would copy them.
func chunkOf(data []byte) ([]byte, bool) {
	number, kind, n := protowire.ConsumeTag(data)
	if n < 0 || number != chunkField || kind != protowire.BytesType {
		return nil, false
	}
	chunk, rest := protowire.ConsumeBytes(data[n:])
	return chunk, rest >= 0 && n+rest == len(data)
}

// sendChunk sends a frame with a chunk, in the form of encoder.Write but with a
// buffer that is used again.
func (l *link) sendChunk(data []byte) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	frame := append(l.out[:0], 0, 0, 0, 0)
	frame = protowire.AppendTag(frame, chunkField, protowire.BytesType)
	frame = protowire.AppendBytes(frame, data)
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-4))
	l.out = frame
	_, err := l.conn.Write(frame)
	return errors.Wrap(err, "write chunk")
}

// cancel tells the other side that the call is no longer awaited, if the
// stream takes the frame at once, and closes the stream, which means the same.
func (l *link) cancel(now time.Time) {
	_ = l.conn.SetReadDeadline(now) // whoever waits for a response waits no longer
	_ = l.conn.SetWriteDeadline(now.Add(cancelWait))
	if l.mutex.TryLock() {
		_, _ = encoder.Write(l.conn, &Frame{Kind: &Frame_Cancel{Cancel: &Cancel{}}})
		l.mutex.Unlock()
	}
	_ = l.conn.Close()
}

// cancelWait bounds the write of a cancel frame.
const cancelWait = 50 * time.Millisecond

// sendBody sends the chunks of a body and its end. A body that breaks off has
// an end that is not complete.
func (l *link) sendBody(next func() ([]byte, error), trailer func() http.Header, progress func()) error {
	for {
		data, err := next()
		if err == io.EOF {
			return l.send(&Frame{Kind: &Frame_End{End: &End{Complete: true, Trailers: toFields(trailer())}}})
		}
		if err != nil {
			_ = l.send(&Frame{Kind: &Frame_End{End: &End{}}})
			return err
		}
		if err := l.sendChunk(data); err != nil {
			return err
		}
		progress()
	}
}
