package forwarder

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"sycamorerun/encoder"
)

var errProtocol = errors.New("unexpected frame on a call stream")

// frameStream reads and writes the frames of one stream.
type frameStream struct {
	conn net.Conn
	// readBuffer and chunk hold the frame received last.
	readBuffer []byte
	chunk      Frame_Chunk
	// receivedBytes counts the bytes received since the last shrink.
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

// sendContext sends a frame, but returns early when ctx is done. The deadline of
// a write is not enough: a session whose connection accepts no data blocks the
// write for longer.
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
		return nil, errors.Wrapf(encoder.ErrTooLarge, "frame of %d bytes", size)
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
		s.readBuffer = nil // an idle stream keeps no large buffer
	}
	return frame, errors.Wrap(proto.Unmarshal(data, frame), "decode call frame")
}

// shrink frees the buffers of a stream that waits for its next call. After small
// calls the receive buffer is kept, since each call would allocate it again.
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

// setAwaiting tells the session whether a call waits on the stream.
func (s *frameStream) setAwaiting(awaiting bool) {
	if waiter, ok := s.conn.(interface{ SetAwaiting(bool) }); ok {
		waiter.SetAwaiting(awaiting)
	}
}

// wrapReadError wraps an error that ended a stream. The result is never io.EOF,
// which means the end of a complete body.
func wrapReadError(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return errors.Wrap(err, "read call frame")
}

// maxIdleBufferBytes bounds the buffer that an idle stream keeps.
const maxIdleBufferBytes = 4 << 10

// chunkFieldNumber is the number of the field chunk of Frame.
const chunkFieldNumber = 5

// parseChunk returns the bytes of a frame that consists of exactly one chunk.
// Chunks are most of the traffic, and proto.Unmarshal would copy them.
func parseChunk(data []byte) ([]byte, bool) {
	number, kind, n := protowire.ConsumeTag(data)
	if n < 0 || number != chunkFieldNumber || kind != protowire.BytesType {
		return nil, false
	}
	chunk, rest := protowire.ConsumeBytes(data[n:])
	return chunk, rest >= 0 && n+rest == len(data)
}

// sendChunk sends a chunk frame, encoded as encoder.Write does but in a reused
// buffer.
func (s *frameStream) sendChunk(data []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	frame := append(s.writeBuffer[:0], 0, 0, 0, 0)
	frame = protowire.AppendTag(frame, chunkFieldNumber, protowire.BytesType)
	frame = protowire.AppendBytes(frame, data)
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-4))
	s.writeBuffer = frame
	_, err := s.conn.Write(frame)
	return errors.Wrap(err, "write chunk frame")
}

// cancel sends a cancel frame if the stream accepts it at once, and closes the
// stream. The peer takes the closed stream as a cancellation too.
func (s *frameStream) cancel(now time.Time) {
	_ = s.conn.SetReadDeadline(now) // unblocks a pending receive
	_ = s.conn.SetWriteDeadline(now.Add(cancelTimeout))
	if s.mutex.TryLock() {
		_, _ = encoder.Write(s.conn, &Frame{Kind: &Frame_Cancel{Cancel: &Cancel{}}})
		s.mutex.Unlock()
	}
	_ = s.conn.Close()
}

// cancelTimeout bounds the write of a cancel frame.
const cancelTimeout = 50 * time.Millisecond

// sendBody sends a body in chunks, followed by its end. The end frame of a body
// that fails is not marked complete.
func (s *frameStream) sendBody(next func() ([]byte, error), end func() *End, onProgress func()) error {
	for {
		data, err := next()
		if err == io.EOF {
			return s.send(&Frame{Kind: &Frame_End{End: end()}})
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
