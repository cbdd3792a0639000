package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// earlyUpload is what an upstream that answers early got.
type earlyUpload struct {
	data string
	err  error
}

// Guards against an upload that is cut off, although its caller sends all of it, because
// the upstream answered before it had read the body.
func TestUploadAfterEarlyResponse(t *testing.T) {
	cases := map[string]struct {
		chunked bool
		// response is the size of the response, 2 if zero. A large one is streamed.
		response int
		// pause is the time before the caller sends the rest, readPause that before
		// the upstream reads it.
		pause, readPause time.Duration
	}{
		"sized":                {pause: 20 * time.Millisecond},
		"in chunks":            {chunked: true, pause: 20 * time.Millisecond},
		"slow caller":          {chunked: true, pause: 2 * discardTimeout},
		"slow upstream":        {readPause: 2 * discardTimeout},
		"large response":       {response: 1 << 20, pause: 20 * time.Millisecond},
		"large, slow upstream": {response: 1 << 20, readPause: 2 * discardTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			forBothPaths(t, func(t *testing.T, local bool) {
				t.Parallel()
				is := is.New(t)
				size := max(c.response, len("ok"))
				answered, got := make(chan struct{}), make(chan earlyUpload, 2)
				fx := newFixture(t, local, func(w http.ResponseWriter, r *http.Request) {
					control := http.NewResponseController(w)
					_ = control.EnableFullDuplex()
					w.Header().Set("Content-Length", strconv.Itoa(size))
					_, _ = io.WriteString(w, strings.Repeat("x", size))
					_ = control.Flush()
					time.Sleep(c.readPause)
					data, err := io.ReadAll(r.Body)
					got <- earlyUpload{string(data), err}
				})
				reader, writer := io.Pipe()
				r, err := http.NewRequest(http.MethodPost, fx.callerServer.URL+"/x", reader)
				is.NoErr(err)
				if !c.chunked {
					r.ContentLength = int64(len(largeBody))
				}
				go func() {
					_, _ = io.WriteString(writer, largeBody[:1000])
					<-answered
					time.Sleep(c.pause)
					_, _ = io.WriteString(writer, largeBody[1000:])
					_ = writer.Close()
				}()
				response, err := fx.callerServer.Client().Do(r)
				is.NoErr(err)
				defer func() { _ = response.Body.Close() }()
				is.Equal(response.StatusCode, http.StatusOK)
				close(answered)
				upload := <-got
				is.NoErr(upload.err)
				is.True(upload.data == largeBody)
				text, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(len(text), size)
				// The stream and the connections take further calls.
				is.Equal(fx.send(http.MethodPost, "/next", strings.NewReader("next")).status, http.StatusOK)
				is.Equal((<-got).data, "next")
			})
		})
	}
}

// Guards against a caller whose answer waits, or a node whose drain does, because the
// upstream that answered early has closed its connection, and against an upload that was
// cut without a trace.
func TestUpstreamClosesAfterEarlyResponse(t *testing.T) {
	forBothPaths(t, func(t *testing.T, local bool) {
		is := is.New(t)
		fx := newFixture(t, local, respondAndReset("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		scope := tally.NewTestScope("", nil)
		fx.upstreamNode.Scope = scope
		start := time.Now()
		got := fx.send(http.MethodPost, "/x", &slowBody{left: 50})
		is.Equal(got.body, "ok")
		is.True(time.Since(start) < time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.NoErr(fx.upstreamNode.Drain(ctx))
		cut, counted := scope.Snapshot().Counters()["uploads_cut+"]
		is.True(counted && cut.Value() == 1)
	})
}

// slowBody is a body whose chunks come every 10 ms.
type slowBody struct{ left int }

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left--; b.left < 0 {
		return 0, io.EOF
	}
	time.Sleep(10 * time.Millisecond)
	return copy(p, strings.Repeat("x", 1000)), nil
}
