// Package encoder encodes entries and trees as protobuf messages and reads and
// writes length-prefixed frames.
package encoder

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// lengthPrefixBytes is the size of the big-endian length before each frame.
const lengthPrefixBytes = 4

// ErrTooLarge means that a frame is longer than the limit of Read.
var ErrTooLarge = errors.New("frame too large")

// Message is a pointer to a generated protobuf struct T.
type Message[T any] interface {
	*T
	proto.Message
}

// Write writes message as one frame in a single call of w.Write. It returns the
// number of bytes written.
func Write(w io.Writer, message proto.Message) (int, error) {
	frame := make([]byte, lengthPrefixBytes, lengthPrefixBytes+proto.Size(message))
	frame, err := proto.MarshalOptions{}.MarshalAppend(frame, message)
	if err != nil {
		return 0, errors.Wrap(err, "encode frame")
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthPrefixBytes))
	n, err := w.Write(frame)
	return n, errors.Wrap(err, "write frame")
}

// Read reads one frame and decodes it into a new T. It returns ErrTooLarge if
// the frame has more than limit bytes.
func Read[T any, M Message[T]](r io.Reader, limit int) (M, error) {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, errors.Wrap(err, "read frame length")
	}
	size := int(binary.BigEndian.Uint32(prefix[:]))
	if size > limit {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes, limit %d", size, limit)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, errors.Wrap(err, "read frame")
	}
	message := M(new(T))
	if err := proto.Unmarshal(body, message); err != nil {
		return nil, errors.Wrap(err, "decode frame")
	}
	return message, nil
}
