package forwarder

import (
	"bytes"
	"context"
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// TestPacedBody guards against bytes that are lost, repeated or out of order when a
// large body is cut into chunks, and against a body that waits on after its call has
// ended.
func TestPacedBody(t *testing.T) {
	is := is.New(t)
	f := New("n")
	is.True(f.pace(context.Background(), &call{}, nil) == nil) // nothing is paced by default
	f.Pacer.Rate = 1e9
	want := bytes.Repeat([]byte("0123456789abcdef"), 20_000)
	source := bufferedBody(want)
	body := f.pace(context.Background(), &call{}, &source)
	var got []byte
	for {
		data, err := body.Next()
		if err == io.EOF {
			break
		}
		is.NoErr(err)
		is.True(len(data) <= f.Pacer.Chunk())
		got = append(got, data...)
	}
	is.True(bytes.Equal(got, want))

	f = New("n")
	f.Pacer.Rate = 1
	source = bufferedBody(want)
	ctx, cancel := context.WithCancelCause(context.Background())
	body = f.pace(ctx, &call{}, &source)
	_, err := body.Next()
	is.NoErr(err) // the link is free
	cancel(errDone)
	_, err = body.Next()
	is.True(errors.Is(err, errDone))
}
