// Package encoder writes and reads length-prefixed protobuf messages.
package encoder

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const prefixBytes = 4

// ErrTooLarge means that a frame exceeds the reader's limit.
var ErrTooLarge = errors.New("frame too large")

// Message is a pointer to a generated protobuf struct T.
type Message[T any] interface {
	*T
	proto.Message
}

// Write sends message as one frame in one call of w.Write.
func Write(w io.Writer, message proto.Message) (int, error) {
	frame := make([]byte, prefixBytes, prefixBytes+proto.Size(message))
	frame, err := proto.MarshalOptions{}.MarshalAppend(frame, message)
	if err != nil {
		return 0, errors.Wrap(err, "encode frame")
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-prefixBytes))
	n, err := w.Write(frame)
	return n, errors.Wrap(err, "write frame")
}

// Read receives one frame of at most limit bytes into a new T.
func Read[T any, M Message[T]](r io.Reader, limit int) (M, error) {
	var prefix [prefixBytes]byte
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
