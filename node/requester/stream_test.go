package requester

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

var errAborted = errors.New("caller aborted the upload")

// large does not fit into the buffers of a connection.
var large = strings.Repeat("0123456789abcdef", 1<<16)

// pausedBody is a body that pauses in the middle until resume is closed. It
// then fails with err, or continues if err is nil.
type pausedBody struct {
	reader     io.Reader
	untilPause int
	resume     chan struct{}
	err        error
}

func newPausedBody(text string, err error) *pausedBody {
	return &pausedBody{reader: strings.NewReader(text), untilPause: len(text) / 2, resume: make(chan struct{}), err: err}
}

func (b *pausedBody) Read(p []byte) (int, error) {
	if b.untilPause == 0 {
		<-b.resume
		if b.err != nil {
			return 0, b.err
		}
		return b.reader.Read(p)
	}
	n, err := b.reader.Read(p[:min(len(p), b.untilPause)])
	b.untilPause -= n
	return n, err
}

// Guards against losing or corrupting the rest of a request body that the
// upstream reads after sending its response.
func TestEarlyResponse(t *testing.T) {
	cases := map[string]struct {
		length int64
		err    error
		// readFirst reads the response to its end before the body continues.
		readFirst   bool
		complete    bool
		connections int64
	}{
		"sized":                        {length: int64(len(large)), complete: true, connections: 1},
		"chunked":                      {length: -1, complete: true, connections: 1},
		"sized, response complete":     {length: int64(len(large)), readFirst: true, complete: true, connections: 1},
		"chunked, response complete":   {length: -1, readFirst: true, complete: true, connections: 1},
		"broken off":                   {length: -1, err: errAborted, connections: 2},
		"broken off after response":    {length: int64(len(large)), readFirst: true, err: errAborted, connections: 2},
		"chunked, off after response":  {length: -1, readFirst: true, err: errAborted, connections: 2},
		"shorter than stated":          {length: int64(len(large)) + 1, connections: 2},
		"shorter, response complete":   {length: int64(len(large)) + 1, readFirst: true, connections: 2},
		"longer, the rest is not sent": {length: int64(len(large)) - 1, complete: true, connections: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			got := make(chan string, 2)
			upstream := newFakeUpstream(t, func(conn *net.TCPConn, reader *bufio.Reader) {
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, okResponse("early"))
					data, err := io.ReadAll(request.Body)
					if err != nil {
						got <- "broken"
						return
					}
					got <- string(data)
				}
			})
			r := New(upstream.address, 2)
			defer r.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			body := newPausedBody(large, c.err)
			response, err := r.RoundTrip(postRequest(ctx, body, c.length))
			is.NoErr(err)
			if c.readFirst {
				data, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(string(data), "early")
				is.Equal(idleCount(&r.pool), 0) // the body is still being sent
			}
			close(body.resume)
			if !c.readFirst {
				time.Sleep(10 * time.Millisecond) // a failed body must not affect the response
				data, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(string(data), "early")
			}
			want := "broken"
			if c.complete {
				want = large[:min(int64(len(large)), max(c.length, c.length&(1<<40)))]
			}
			is.True(<-got == want)
			for c.complete && idleCount(&r.pool) == 0 && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(5 * time.Millisecond)
			is.Equal(idleCount(&r.pool) > 0, c.complete)
			is.Equal(do(r, getRequest(ctx, "")).body, "early")
			is.Equal(<-got, "")
			is.Equal(upstream.accepted.Load(), c.connections)
		})
	}
}

// Guards against an upload whose first part is buffered until the rest arrives.
func TestBodyIsNotBuffered(t *testing.T) {
	for name, length := range map[string]int64{"sized": 4, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := newPausedBody("abcd", nil)
			upstream := newFakeUpstream(t, func(conn *net.TCPConn, reader *bufio.Reader) {
				request, err := http.ReadRequest(reader)
				if err == nil {
					_, err = io.ReadFull(request.Body, make([]byte, 2))
				}
				close(body.resume)
				if err == nil {
					_, err = io.Copy(io.Discard, request.Body)
				}
				if err == nil {
					_, _ = io.WriteString(conn, okResponse("a"))
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			is.Equal(do(New(upstream.address, 1), postRequest(ctx, body, length)).status, 200)
		})
	}
}

// Guards against an incomplete body that counts as complete, and against losing
// the response of an upstream that rejects the rest of a body.
func TestBodyFails(t *testing.T) {
	const sized = "HTTP/1.1 413 Large\r\nContent-Length: 2\r\n\r\nno"
	unknown := outcome{execution: PossiblyExecuted, reason: ReasonBroken}
	cases := map[string]struct {
		body   io.Reader
		length int64
		serve  func(conn *net.TCPConn, reader *bufio.Reader)
		want   outcome
	}{
		"caller breaks off": {
			body: io.MultiReader(strings.NewReader("half"), abortedBody{}), length: -1, want: unknown,
		},
		"shorter than stated": {body: strings.NewReader("half"), length: 9, want: unknown},
		"refused and closed": {
			body: strings.NewReader(large), length: int64(len(large)), want: outcome{status: 413, body: "no"},
			serve: func(conn *net.TCPConn, _ *bufio.Reader) {
				_, _ = io.WriteString(conn, sized)
				time.Sleep(20 * time.Millisecond)
				_ = conn.Close() // sends a reset, since the body was not read
			},
		},
		"without length, closed while the body is sent": {
			body: strings.NewReader(large), length: -1, want: outcome{status: 200, body: "ab"},
			serve: func(conn *net.TCPConn, reader *bufio.Reader) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nab")
				_ = conn.CloseWrite()
				_, _ = io.Copy(io.Discard, reader)
			},
		},
		"without length, reset while the body is sent": {
			body: &endlessBody{}, length: -1, want: outcome{status: 200, body: "ab", bodyFailed: true},
			serve: func(conn *net.TCPConn, _ *bufio.Reader) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nab")
				reset(conn)
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			got := make(chan error, 1)
			upstream := newFakeUpstream(t, func(conn *net.TCPConn, reader *bufio.Reader) {
				request, err := http.ReadRequest(reader)
				if err != nil {
					got <- err
					return
				}
				if c.serve != nil {
					c.serve(conn, reader)
				}
				_, err = io.Copy(io.Discard, request.Body)
				got <- err
			})
			r := New(upstream.address, 2)
			is.Equal(do(r, postRequest(t.Context(), c.body, c.length)), c.want)
			is.True(c.serve != nil || <-got != nil) // the body must not look complete to the upstream
		})
	}
}

// Guards against losing the rest of a response when the request body fails, and
// against an upstream that waits for the rest of that body.
func TestResponseAfterBrokenBody(t *testing.T) {
	is := is.New(t)
	upstream := newFakeUpstream(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
		if _, err = io.Copy(io.Discard, request.Body); err != nil {
			_, _ = io.WriteString(conn, "cd")
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	body := newPausedBody("half", errAborted)
	response, err := New(upstream.address, 1).RoundTrip(postRequest(ctx, body, -1))
	is.NoErr(err)
	close(body.resume)
	data, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(data), "abcd")
}

// abortedBody is the end of a body whose caller has disconnected.
type abortedBody struct{}

func (abortedBody) Read([]byte) (int, error) { return 0, errAborted }

// Guards against a reset that looks like the clean end of a response because a
// concurrent write got the error of the connection. The writes race with the
// read.
func TestResetDuringWrites(t *testing.T) {
	is := is.New(t)
	upstream := newFakeUpstream(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nab")
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	r := New(upstream.address, 64)
	for range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		got := do(r, postRequest(ctx, strings.NewReader(large), -1))
		cancel()
		is.True(got.bodyFailed || got.execution == PossiblyExecuted)
	}
}

// Guards against closing a connection when the call's context ends right after
// the response to an upload. The sender may not have noticed yet that it is
// done.
func TestUploadsKeepConnections(t *testing.T) {
	is := is.New(t)
	upstream := newFakeUpstream(t, echo)
	r := New(upstream.address, 2)
	defer r.Close()
	for n := range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		length := int64(60000)
		if n%2 == 0 {
			length = -1
		}
		is.Equal(do(r, postRequest(ctx, strings.NewReader(large[:60000]), length)).status, 200)
		cancel()
		for idleCount(&r.pool) == 0 && openCount(&r.pool) > 0 {
			time.Sleep(10 * time.Microsecond)
		}
	}
	is.Equal(upstream.accepted.Load(), int64(1))
}

// Guards against the user timeout failing an upload because the upstream reads
// it slowly.
func TestSlowUpstream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	upstream := newFakeUpstream(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		time.Sleep(userTimeout + time.Second)
		echo(conn, reader)
	})
	is.Equal(do(New(upstream.address, 1), postRequest(t.Context(), strings.NewReader(strings.Repeat(large, 8)), -1)).status, 200)
}

// failingConn is a connection that looks open but fails its next write.
type failingConn struct {
	*net.TCPConn
	failing atomic.Bool
}

func (c *failingConn) Write(p []byte) (int, error) {
	if c.failing.Load() {
		return 0, syscall.ECONNRESET
	}
	return c.TCPConn.Write(p)
}

// blockedConn is a connection whose read fails while its first write is in
// progress. That write writes nothing.
type blockedConn struct {
	*net.TCPConn
	writing, closed chan struct{}
	once            sync.Once
}

func (c *blockedConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.closed
	return 0, syscall.ECONNRESET
}

func (c *blockedConn) Read([]byte) (int, error) {
	<-c.writing
	return 0, syscall.ECONNRESET
}

func (c *blockedConn) Close() error {
	c.once.Do(func() {
		time.AfterFunc(20*time.Millisecond, func() { close(c.closed) })
	})
	return c.TCPConn.Close()
}

// Guards against reporting a request as possibly executed because its first
// write, which writes nothing, has not returned when the read fails.
func TestNothingWrittenYet(t *testing.T) {
	is := is.New(t)
	upstream := newFakeUpstream(t, func(_ *net.TCPConn, reader *bufio.Reader) { _, _ = readRequest(reader) })
	r := New(upstream.address, 1)
	defer r.Close()
	dial := r.Dial
	r.Dial = func(ctx context.Context) (net.Conn, error) {
		conn, err := dial(ctx)
		if err != nil {
			return nil, err
		}
		return &blockedConn{TCPConn: conn.(*net.TCPConn), writing: make(chan struct{}), closed: make(chan struct{})}, nil
	}
	is.Equal(do(r, postRequest(t.Context(), strings.NewReader("abc"), -1)), outcome{execution: NotExecuted, reason: ReasonUnreachable})
}

// Guards against losing or truncating a request of which nothing was written on
// a reused connection. It must be sent over another connection, or reported as
// not executed.
func TestNothingWritten(t *testing.T) {
	cases := map[string]struct {
		request func(ctx context.Context) *http.Request
		want    outcome
	}{
		"no body": {func(ctx context.Context) *http.Request { return getRequest(ctx, "") }, outcome{status: 200}},
		"in memory": {func(ctx context.Context) *http.Request {
			request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://upstream/", bytes.NewReader([]byte(large[:20000])))
			return request
		}, outcome{status: 200, body: large[:20000]}},
		"stream": {func(ctx context.Context) *http.Request {
			return postRequest(ctx, strings.NewReader("abc"), -1)
		}, outcome{execution: NotExecuted, reason: ReasonUnreachable}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			upstream := newFakeUpstream(t, echo)
			r := New(upstream.address, 2)
			defer r.Close()
			dial, opened := r.Dial, []*failingConn{}
			r.Dial = func(ctx context.Context) (net.Conn, error) {
				conn, err := dial(ctx)
				if err != nil {
					return nil, err
				}
				opened = append(opened, &failingConn{TCPConn: conn.(*net.TCPConn)})
				return opened[len(opened)-1], nil
			}
			is.Equal(do(r, getRequest(t.Context(), "")).status, 200)
			opened[0].failing.Store(true)
			is.Equal(do(r, c.request(t.Context())), c.want)
		})
	}
}
