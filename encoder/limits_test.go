package encoder_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sycamorerun/encoder"
)

// TestFrameLimit guards against a peer that makes a node allocate any amount of
// memory by sending a large frame length.
func TestFrameLimit(t *testing.T) {
	is := is.New(t)
	var stream bytes.Buffer
	message := &encoder.Item{Path: "p", Json: make([]byte, 100)}
	size, err := encoder.Write(&stream, message)
	is.NoErr(err)
	frame, body := stream.Bytes(), size-4
	_, err = encoder.Read[encoder.Item](bytes.NewReader(frame), body)
	is.NoErr(err)
	_, err = encoder.Read[encoder.Item](bytes.NewReader(frame), body-1)
	is.True(errors.Is(err, encoder.ErrTooLarge))
	_, err = encoder.Read[encoder.Item](bytes.NewReader(frame[:len(frame)-1]), body)
	is.True(err != nil)
}

// TestPlainLimit guards against a small message that exhausts memory when it is
// decompressed.
func TestPlainLimit(t *testing.T) {
	is := is.New(t)
	for size, fits := range map[int]bool{encoder.MaxPlainBytes / 2: true, encoder.MaxPlainBytes + 1: false} {
		data, err := encoder.Pack(&encoder.Item{Json: make([]byte, size)})
		is.NoErr(err)
		is.True(len(data) < size/1000)
		_, err = encoder.Unpack[encoder.Item](data)
		is.Equal(err == nil, fits)
	}
}

// TestHashLength guards against a hash of the wrong length that is accepted and
// padded with zeros or truncated.
func TestHashLength(t *testing.T) {
	is := is.New(t)
	for size, valid := range map[int]bool{0: false, 31: false, 32: true, 33: false} {
		_, err := encoder.ToEntry(&encoder.Entry{Hash: make([]byte, size)})
		is.Equal(err == nil, valid)
		_, _, err = encoder.ToTree(&encoder.Snapshot{Hash: make([]byte, size)})
		is.Equal(err == nil, valid)
	}
}
