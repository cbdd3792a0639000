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

var errBroke = errors.New("the caller broke off")

// large does not fit in the buffers of a connection.
var large = strings.Repeat("0123456789abcdef", 1<<16)

// gate is a body that pauses after half of it until it is opened, and then ends
// with err if there is one.
type gate struct {
	rest io.Reader
	half int
	open chan struct{}
	err  error
}

func newGate(text string, err error) *gate {
	return &gate{rest: strings.NewReader(text), half: len(text) / 2, open: make(chan struct{}), err: err}
}

func (g *gate) Read(p []byte) (int, error) {
	if g.half == 0 {
		<-g.open
		if g.err != nil {
			return 0, g.err
		}
		return g.rest.Read(p)
	}
	n, err := g.rest.Read(p[:min(len(p), g.half)])
	g.half -= n
	return n, err
}

// Guards the rest of a body that the upstream reads after its response: it
// arrives unchanged, and no other bytes in its place.
func TestEarlyResponse(t *testing.T) {
	cases := map[string]struct {
		length int64
		err    error
		// first has the response read to its end before the body goes on.
		first       bool
		whole       bool
		connections int64
	}{
		"sized":                        {length: int64(len(large)), whole: true, connections: 1},
		"chunked":                      {length: -1, whole: true, connections: 1},
		"sized, response complete":     {length: int64(len(large)), first: true, whole: true, connections: 1},
		"chunked, response complete":   {length: -1, first: true, whole: true, connections: 1},
		"broken off":                   {length: -1, err: errBroke, connections: 2},
		"broken off after response":    {length: int64(len(large)), first: true, err: errBroke, connections: 2},
		"chunked, off after response":  {length: -1, first: true, err: errBroke, connections: 2},
		"shorter than stated":          {length: int64(len(large)) + 1, connections: 2},
		"shorter, response complete":   {length: int64(len(large)) + 1, first: true, connections: 2},
		"longer, the rest is not sent": {length: int64(len(large)) - 1, whole: true, connections: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			got := make(chan string, 2)
			upstream := newFake(t, func(conn *net.TCPConn, reader *bufio.Reader) {
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, ok("early"))
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
			body := newGate(large, c.err)
			response, err := r.RoundTrip(post(ctx, body, c.length))
			is.NoErr(err)
			if c.first {
				data, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(string(data), "early")
				is.Equal(kept(&r.pool), 0) // the body is still being sent
			}
			close(body.open)
			if !c.first {
				time.Sleep(10 * time.Millisecond) // a body that broke off does not spoil the response
				data, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(string(data), "early")
			}
			want := "broken"
			if c.whole {
				want = large[:min(int64(len(large)), max(c.length, c.length&(1<<40)))]
			}
			is.True(<-got == want)
			for c.whole && kept(&r.pool) == 0 && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(5 * time.Millisecond)
			is.Equal(kept(&r.pool) > 0, c.whole)
			is.Equal(do(r, get(ctx, "")).body, "early")
			is.Equal(<-got, "")
			is.Equal(upstream.accepted.Load(), c.connections)
		})
	}
}

// Guards an upload against waiting in a buffer for the rest of it.
func TestBodyIsNotHeldBack(t *testing.T) {
	for name, length := range map[string]int64{"sized": 4, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := newGate("abcd", nil)
			upstream := newFake(t, func(conn *net.TCPConn, reader *bufio.Reader) {
				request, err := http.ReadRequest(reader)
				if err == nil {
					_, err = io.ReadFull(request.Body, make([]byte, 2))
				}
				close(body.open)
				if err == nil {
					_, err = io.Copy(io.Discard, request.Body)
				}
				if err == nil {
					_, _ = io.WriteString(conn, ok("a"))
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			is.Equal(do(New(upstream.address, 1), post(ctx, body, length)).status, 200)
		})
	}
}

// Guards the end of a body before there is a response, and a response whose
// upstream refuses the rest of the body.
func TestBodyBreaks(t *testing.T) {
	const sized = "HTTP/1.1 413 Large\r\nContent-Length: 2\r\n\r\nno"
	unknown := outcome{ran: Unknown, reason: ReasonBroken}
	cases := map[string]struct {
		body   io.Reader
		length int64
		serve  func(conn *net.TCPConn, reader *bufio.Reader)
		want   outcome
	}{
		"caller breaks off": {
			body: io.MultiReader(strings.NewReader("half"), broken{}), length: -1, want: unknown,
		},
		"shorter than stated": {body: strings.NewReader("half"), length: 9, want: unknown},
		"refused and closed": {
			body: strings.NewReader(large), length: int64(len(large)), want: outcome{status: 413, body: "no"},
			serve: func(conn *net.TCPConn, _ *bufio.Reader) {
				_, _ = io.WriteString(conn, sized)
				time.Sleep(20 * time.Millisecond)
				_ = conn.Close() // a reset, since the body was not read
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
			body: &slow{}, length: -1, want: outcome{status: 200, body: "ab", broken: true},
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
			upstream := newFake(t, func(conn *net.TCPConn, reader *bufio.Reader) {
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
			is.Equal(do(r, post(t.Context(), c.body, c.length)), c.want)
			is.True(c.serve != nil || <-got != nil) // not complete for the upstream
		})
	}
}

// Guards the rest of a response against the end of the caller's body, and the
// upstream against waiting for it.
func TestResponseAfterBrokenBody(t *testing.T) {
	is := is.New(t)
	upstream := newFake(t, func(conn *net.TCPConn, reader *bufio.Reader) {
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
	body := newGate("half", errBroke)
	response, err := New(upstream.address, 1).RoundTrip(post(ctx, body, -1))
	is.NoErr(err)
	close(body.open)
	data, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(data), "abcd")
}

// broken is the end of a body whose caller has gone.
type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, errBroke }

// Guards against a reset that looks like the clean end of a response because a
// write took the error of the connection. The writes race with the read.
func TestResetDuringWrites(t *testing.T) {
	is := is.New(t)
	upstream := newFake(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nab")
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	r := New(upstream.address, 64)
	for range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		got := do(r, post(ctx, strings.NewReader(large), -1))
		cancel()
		is.True(got.broken || got.ran == Unknown)
	}
}

// Guards the connections against the end of the call right after the response
// to an upload: the sender may not have noticed yet that it is done.
func TestUploadsKeepConnections(t *testing.T) {
	is := is.New(t)
	upstream := newFake(t, echo)
	r := New(upstream.address, 2)
	defer r.Close()
	for n := range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		length := int64(60000)
		if n%2 == 0 {
			length = -1
		}
		is.Equal(do(r, post(ctx, strings.NewReader(large[:60000]), length)).status, 200)
		cancel()
		for kept(&r.pool) == 0 && count(&r.pool) > 0 {
			time.Sleep(10 * time.Microsecond)
		}
	}
	is.Equal(upstream.accepted.Load(), int64(1))
}

// Guards an upload to an upstream that takes its time against the limit for
// connections that have gone silent.
func TestSlowUpstream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	upstream := newFake(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		time.Sleep(userTimeout + time.Second)
		echo(conn, reader)
	})
	is.Equal(do(New(upstream.address, 1), post(t.Context(), strings.NewReader(strings.Repeat(large, 8)), -1)).status, 200)
}

// lost is a connection whose next write fails although it looked open.
type lost struct {
	*net.TCPConn
	failing atomic.Bool
}

func (l *lost) Write(p []byte) (int, error) {
	if l.failing.Load() {
		return 0, syscall.ECONNRESET
	}
	return l.TCPConn.Write(p)
}

// crossing is a connection whose read ends while its first write is under way,
// which writes nothing.
type crossing struct {
	*net.TCPConn
	writing, closed chan struct{}
	once            sync.Once
}

func (c *crossing) Write([]byte) (int, error) {
	close(c.writing)
	<-c.closed
	return 0, syscall.ECONNRESET
}

func (c *crossing) Read([]byte) (int, error) {
	<-c.writing
	return 0, syscall.ECONNRESET
}

func (c *crossing) Close() error {
	c.once.Do(func() {
		time.AfterFunc(20*time.Millisecond, func() { close(c.closed) })
	})
	return c.TCPConn.Close()
}

// Guards against a request that counts as one that may have run because its
// first write, which writes nothing, has not returned when the read fails.
func TestNothingWrittenYet(t *testing.T) {
	is := is.New(t)
	upstream := newFake(t, func(_ *net.TCPConn, reader *bufio.Reader) { _, _ = take(reader) })
	r := New(upstream.address, 1)
	defer r.Close()
	dial := r.Dial
	r.Dial = func(ctx context.Context) (net.Conn, error) {
		conn, err := dial(ctx)
		if err != nil {
			return nil, err
		}
		return &crossing{TCPConn: conn.(*net.TCPConn), writing: make(chan struct{}), closed: make(chan struct{})}, nil
	}
	is.Equal(do(r, post(t.Context(), strings.NewReader("abc"), -1)), outcome{ran: NotExecuted, reason: ReasonUnreachable})
}

// Guards a request of which nothing was written: it is sent over another
// connection, whole, or is not run.
func TestNothingWritten(t *testing.T) {
	cases := map[string]struct {
		request func(ctx context.Context) *http.Request
		want    outcome
	}{
		"no body": {func(ctx context.Context) *http.Request { return get(ctx, "") }, outcome{status: 200}},
		"in memory": {func(ctx context.Context) *http.Request {
			request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://upstream/", bytes.NewReader([]byte(large[:20000])))
			return request
		}, outcome{status: 200, body: large[:20000]}},
		"stream": {func(ctx context.Context) *http.Request {
			return post(ctx, strings.NewReader("abc"), -1)
		}, outcome{ran: NotExecuted, reason: ReasonUnreachable}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			upstream := newFake(t, echo)
			r := New(upstream.address, 2)
			defer r.Close()
			dial, opened := r.Dial, []*lost{}
			r.Dial = func(ctx context.Context) (net.Conn, error) {
				conn, err := dial(ctx)
				if err != nil {
					return nil, err
				}
				opened = append(opened, &lost{TCPConn: conn.(*net.TCPConn)})
				return opened[len(opened)-1], nil
			}
			is.Equal(do(r, get(t.Context(), "")).status, 200)
			opened[0].failing.Store(true)
			is.Equal(do(r, c.request(t.Context())), c.want)
		})
	}
}
