package forwarder

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

// lateBody is a response body whose call ends at its deadline when reads of the
// body have returned. Further reads fail, as those of a canceled stream do.
type lateBody struct {
	data       []byte
	reads      int
	onDeadline func()
}

// Next implements bodySource.
func (b *lateBody) Next() ([]byte, error) {
	data := b.data
	b.data = nil
	if b.reads--; b.reads == 0 {
		b.onDeadline()
	}
	if data == nil {
		return nil, io.ErrUnexpectedEOF
	}
	return data, nil
}

// Trailer implements bodySource.
func (b *lateBody) Trailer() http.Header { return nil }

// Close implements bodySource.
func (b *lateBody) Close() {}

// Guards against a caller's connection that is aborted at the deadline before a
// byte of the response was sent. Callers such as http.Transport then send a GET
// again on a new connection, with the full deadline.
func TestDeadlineBeforeResponseIsSent(t *testing.T) {
	const whole = "the whole response"
	large := strings.Repeat("x", chunkBytes)
	cases := map[string]struct {
		data   string
		length int64
		// reads is the number of reads of the body before the deadline. A body
		// that is in memory is complete at the deadline.
		reads    int
		inMemory bool
		status   int
		// broken says that the response must not look complete.
		broken bool
	}{
		"complete in memory":                 {data: whole, length: int64(len(whole)), inMemory: true, status: 200},
		"complete in memory, large":          {data: large, length: int64(len(large)), inMemory: true, status: 200},
		"empty in memory":                    {inMemory: true, status: 200},
		"known length, small first bytes":    {data: "part", length: 1 << 20, reads: 1, status: 504},
		"known length, large first bytes":    {data: large, length: 1 << 20, reads: 1, status: 504},
		"unknown length, before the body":    {data: "part", length: -1, status: 504},
		"known length, after a small part":   {data: "part", length: 1 << 20, reads: 2, status: 200, broken: true},
		"known length, after a large part":   {data: large, length: 1 << 20, reads: 2, status: 200, broken: true},
		"unknown length, after a small part": {data: "part", length: -1, reads: 2, status: 200, broken: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := New("n")
			f.Observe = func(time.Time, Observation) {}
			var requests atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/first" {
					return
				}
				requests.Add(1)
				ctx, watchdog, stop := withWatchdog(r.Context(), f.Now().Add(time.Minute), 0)
				defer stop(errDone)
				body := bufferedBody(c.data)
				out := &attemptResponse{status: http.StatusOK, header: http.Header{}, length: c.length, body: &body}
				if !c.inMemory {
					out.body = &lateBody{data: body, reads: c.reads, onDeadline: func() { stop(context.DeadlineExceeded) }}
				}
				if c.reads == 0 {
					stop(context.DeadlineExceeded)
				}
				call := &call{buffered: true}
				out.body = f.observeBody(ctx, f.Now(), call, sycamorerun.Instance{}, out)
				f.writeResponse(ctx, watchdog, w, http.NewResponseController(w), call, out)
			}))
			server.Config.ErrorLog = discardLog
			defer server.Close()
			first, err := server.Client().Get(server.URL + "/first") // only requests on a reused connection are sent again
			is.NoErr(err)
			is.NoErr(first.Body.Close())
			response, err := server.Client().Get(server.URL)
			is.Equal(requests.Load(), int64(1))
			is.NoErr(err)
			data, err := io.ReadAll(response.Body)
			is.NoErr(response.Body.Close())
			is.Equal(response.StatusCode, c.status)
			is.Equal(err != nil, c.broken)
			if c.status == http.StatusGatewayTimeout {
				is.Equal(response.Header.Get(sycamorerun.HeaderOutcome), "unknown")
				is.Equal(response.Header.Get(sycamorerun.HeaderReason), "deadline")
				return
			}
			is.Equal(response.Header.Get(sycamorerun.HeaderOutcome), "answered")
			is.Equal(string(data), c.data)
		})
	}
}

// Guards against an answer of an upstream that is not passed on, with the caller's
// connection aborted, because the deadline passes when all of it has arrived.
func TestAnswerAtDeadline(t *testing.T) {
	for name, key := range map[string]string{"without a key": "", "with a key": "k"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fx := newFixtureWith(t, true, reply("answer"), useMemoryListener)
				fx.match.Timeout = 300 * time.Millisecond
				is.Equal(fx.send(http.MethodGet, "/x", nil).body, "answer")
				finish := fx.entry.Finish
				fx.entry.Finish = func(now time.Time, claim Claim, completion Completion) {
					finish(now, claim, completion)
					time.Sleep(fx.match.Timeout + time.Millisecond)
				}
				got := fx.send(http.MethodGet, "/x", nil, sycamorerun.HeaderKey, key)
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.outcome, "answered")
				is.Equal(got.body, "answer")
				is.Equal(fx.executed.Load(), int64(2))
			})
		})
	}
}
