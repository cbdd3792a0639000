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
type frameStream struct {
	conn net.Conn
	// buffer and chunk hold the frame received last.
	readBuffer []byte
	chunk      Frame_Chunk
	// received counts the bytes since the last shrink.
	receivedBytes atomic.Int64
	mutex         sync.Mutex
	writeBuffer   []byte
}

func (s *frameStream) send(frame *Frame) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, err := encoder.Write(s.conn, frame)
	return err
}

// sendUntil sends a frame, and returns when ctx ends also if the frame has not
// been sent: a session whose connection takes no bytes blocks a write for
// longer than its deadline.
func (s *frameStream) sendContext(ctx context.Context, frame *Frame) error {
	sent := make(chan error, 1)
	go func() { sent <- s.send(frame) }()
	select {
	case err := <-sent:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// receive reads a frame. The bytes of a chunk are valid until the next call.
func (s *frameStream) receive() (*Frame, error) {
	var prefix [4]byte
	if _, err := io.ReadFull(s.conn, prefix[:]); err != nil {
		return nil, wrapReadError(err)
	}
	size := int(binary.BigEndian.Uint32(prefix[:]))
	if size > maxFrameBytes {
		return nil, errors.Wrapf(encoder.ErrTooLarge, "%d bytes", size)
	}
	if cap(s.readBuffer) < size {
		s.readBuffer = make([]byte, size)
	}
	s.receivedBytes.Add(int64(size))
	data := s.readBuffer[:size]
	if _, err := io.ReadFull(s.conn, data); err != nil {
		return nil, wrapReadError(err)
	}
	if chunk, ok := parseChunk(data); ok {
		s.chunk.Chunk = chunk
		return &Frame{Kind: &s.chunk}, nil
	}
	frame := &Frame{}
	if cap(s.readBuffer) > maxIdleBufferBytes {
		s.readBuffer = nil // a stream that waits for its next call keeps no large buffer
	}
	return frame, errors.Wrap(proto.Unmarshal(data, frame), "decode frame")
}

// shrink frees the buffers of a stream that waits for its next call. The
// receive buffer of small calls is kept, since each would allocate it again.
func (s *frameStream) shrink() {
	s.mutex.Lock()
	s.writeBuffer = nil
	s.mutex.Unlock()
	if s.receivedBytes.Swap(0) <= maxIdleBufferBytes {
		return
	}
	if shrinker, ok := s.conn.(interface{ Shrink() }); ok {
		shrinker.Shrink()
	}
}

// await tells the session whether a call waits on the stream.
func (s *frameStream) setAwaiting(awaiting bool) {
	if waiter, ok := s.conn.(interface{ Await(bool) }); ok {
		waiter.Await(awaiting)
	}
}

// broken describes the end of a stream. It is never io.EOF, which stands for
// the end of a complete body.
func wrapReadError(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return errors.Wrap(err, "read frame")
}

// smallBytes is the size of the buffer that a waiting stream may keep.
const maxIdleBufferBytes = 4 << 10

// chunkField is the number of the field chunk of Frame.
const chunkFieldNumber = 5

// chunkOf returns the bytes of a frame that is exactly one chunk. Chunks are
// the bulk of the traffic, and proto.Unmarshal would copy them.
func parseChunk(data []byte) ([]byte, bool) {
	number, kind, n := protowire.ConsumeTag(data)
	if n < 0 || number != chunkFieldNumber || kind != protowire.BytesType {
		return nil, false
	}
	chunk, rest := protowire.ConsumeBytes(data[n:])
	return chunk, rest >= 0 && n+rest == len(data)
}

// sendChunk sends a frame with a chunk, in the form of encoder.Write but with a
// buffer that is used again.
func (s *frameStream) sendChunk(data []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	frame := append(s.writeBuffer[:0], 0, 0, 0, 0)
	frame = protowire.AppendTag(frame, chunkFieldNumber, protowire.BytesType)
	frame = protowire.AppendBytes(frame, data)
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-4))
	s.writeBuffer = frame
	_, err := s.conn.Write(frame)
	return errors.Wrap(err, "write chunk")
}

// cancel tells the other side that the call is no longer awaited, if the
// stream takes the frame at once, and closes the stream, which means the same.
func (s *frameStream) cancel(now time.Time) {
	_ = s.conn.SetReadDeadline(now) // whoever waits for a response waits no longer
	_ = s.conn.SetWriteDeadline(now.Add(cancelTimeout))
	if s.mutex.TryLock() {
		_, _ = encoder.Write(s.conn, &Frame{Kind: &Frame_Cancel{Cancel: &Cancel{}}})
		s.mutex.Unlock()
	}
	_ = s.conn.Close()
}

// cancelWait bounds the write of a cancel frame.
const cancelTimeout = 50 * time.Millisecond

// sendBody sends the chunks of a body and its end. A body that breaks off has
// an end that is not complete.
func (s *frameStream) sendBody(next func() ([]byte, error), trailer func() http.Header, onProgress func()) error {
	for {
		data, err := next()
		if err == io.EOF {
			return s.send(&Frame{Kind: &Frame_End{End: &End{Complete: true, Trailers: toFields(trailer())}}})
		}
		if err != nil {
			_ = s.send(&Frame{Kind: &Frame_End{End: &End{}}})
			return err
		}
		if err := s.sendChunk(data); err != nil {
			return err
		}
		onProgress()
	}
}
