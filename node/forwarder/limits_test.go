package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/node/limiter"
)

// Guards against a body without a length that is beyond the limit and runs all
// the same, or whose caller is told that it may try again.
func TestLongChunkedBody(t *testing.T) {
	const limit = 100 << 10
	chunk := func(bytes int) string { return fmt.Sprintf("%x\r\n%s\r\n", bytes, strings.Repeat("x", bytes)) }
	const end = "0\r\n\r\n"
	cases := map[string]struct {
		body     string
		status   int
		complete bool
	}{
		"at the limit":       {chunk(limit) + end, 200, true},
		"a byte beyond":      {chunk(limit+1) + end, 413, false},
		"in a second chunk":  {chunk(limit) + chunk(1) + end, 413, false},
		"far beyond":         {chunk(40*limit) + end, 413, false},
		"caller sends on":    {chunk(limit) + chunk(1), 413, false},
		"caller is too slow": {chunk(10), 504, false},
	}
	paths(t, func(t *testing.T, local bool) {
		for name, c := range cases {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				complete := make(chan bool, 1)
				b := newBed(t, local, func(w http.ResponseWriter, r *http.Request) {
					_, err := io.Copy(io.Discard, r.Body)
					complete <- err == nil
					_, _ = io.WriteString(w, "ok")
				})
				b.match.Idle = 10 * time.Second
				b.entry.BodyWait = 5 * time.Second
				if c.status == 504 {
					b.entry.BodyWait = 200 * time.Millisecond
				}
				b.match.Repeatable, b.retries = true, 2
				b.entry.SetLimits(sycamorerun.Limits{Header: headerBytes, Body: limit})
				begun := time.Now()
				conn, reader, err := raw(b, "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+c.body)
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				is.Equal(response.StatusCode, c.status)
				is.Equal(response.Close, !c.complete) // the rest is no request
				is.Equal(<-complete, c.complete)
				is.Equal(b.executed.Load(), int64(1))
				if c.status == 413 {
					is.Equal(response.Header.Get(sycamorerun.HeaderReason), "body-too-large")
					is.True(time.Since(begun) < 4*time.Second) // no timer was awaited
				}
			})
		}
	})
}

// Guards against a header that tells callers to keep a connection which closes.
func TestKeepAlive(t *testing.T) {
	cases := map[string]struct {
		idle    time.Duration
		request string
		want    string
	}{
		"kept":           {90500 * time.Millisecond, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "timeout=90"},
		"below a second": {900 * time.Millisecond, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", ""},
		"no limit":       {0, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", ""},
		"caller closes":  {time.Minute, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", ""},
		"unread body":    {time.Minute, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", ""},
		"HTTP/1.0":       {time.Minute, "GET / HTTP/1.0\r\nHost: h\r\n\r\n", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBed(t, true, reply("ok"))
			b.match.Idle = 100 * time.Millisecond
			b.entry.SetLimits(sycamorerun.Limits{Body: 4000, Idle: sycamorerun.Duration(c.idle)})
			conn, reader, err := raw(b, c.request)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.Header.Get("Keep-Alive"), c.want)
		})
	}
}

// Guards against a refused request whose caller sends its body slowly or not at
// all and so keeps its connection, or loses the response because it still sends.
func TestRefusedBody(t *testing.T) {
	const most = 4 * time.Second
	cases := map[string]struct {
		head   string
		status int
	}{
		"no route":         {"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", 404},
		"no route, chunks": {"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", 404},
		"bad path":         {"POST /../x HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", 400},
		"too long":         {"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 50000000\r\n\r\n", 413},
		"header":           {"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\nX: " + strings.Repeat("x", 5000) + "\r\n\r\n", 431},
	}
	senders := map[string]func(conn io.Writer){
		"nothing": func(io.Writer) {},
		"slowly": func(conn io.Writer) {
			for range 1000 {
				if _, err := io.WriteString(conn, "x"); err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		},
		"all": func(conn io.Writer) {
			for range 50 {
				if _, err := io.WriteString(conn, strings.Repeat("x", 1<<20)); err != nil {
					return
				}
			}
		},
	}
	for name, c := range cases {
		for way, send := range senders {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				b := newBed(t, true, reply("ok"))
				b.routed = c.status != 404
				b.entry.SetLimits(sycamorerun.Limits{Header: 4 << 10, Body: 1 << 20})
				begun := time.Now()
				conn, reader, err := raw(b, c.head)
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				go send(conn)
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				is.Equal(response.StatusCode, c.status)
				is.True(response.Close)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				is.True(time.Since(begun) < most/2)
				_, _ = reader.ReadByte() // until the connection has ended
				is.True(time.Since(begun) < most)
				is.Equal(b.executed.Load(), int64(0))
			})
		}
	}
}

// Guards against a caller that sends nothing of its body for the idle time of
// the service, which is for upstreams and can be minutes.
func TestBodyWait(t *testing.T) {
	paths(t, func(t *testing.T, local bool) {
		for name, c := range map[string]struct {
			head     string
			status   int
			executed int64
		}{
			"small":    {"Content-Length: 10\r\n\r\nhalf", 408, 0},
			"large":    {"Content-Length: 900000\r\n\r\nhalf", 504, 1},
			"chunks":   {"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", 504, 1},
			"no chunk": {"Transfer-Encoding: chunked\r\n\r\n", 504, 1},
		} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				b := newBed(t, local, reply("ok"))
				b.match.Idle, b.match.Timeout = time.Minute, time.Minute
				b.entry.BodyWait = 200 * time.Millisecond
				begun := time.Now()
				conn, reader, err := raw(b, "POST /x HTTP/1.1\r\nHost: h\r\n"+c.head)
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				is.Equal(response.StatusCode, c.status)
				is.True(response.Close)
				is.True(time.Since(begun) < 5*time.Second)
				b.reached(t, c.executed)
				for b.limiter.Load().Running > 0 { // the slot is free again
					is.True(time.Since(begun) < 5*time.Second)
					time.Sleep(time.Millisecond)
				}
			})
		}
	})
}

// Guards against a body that is cut because the call waits for a slot, or the
// upstream reads late, and not its caller.
func TestBodyWaitCountsReads(t *testing.T) {
	paths(t, func(t *testing.T, local bool) {
		is := is.New(t)
		b := newBed(t, local, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(500 * time.Millisecond)
			reply("ok")(w, r)
		})
		b.limiter.Resize(limiter.Limits{Slots: 1, Queue: 2, Connections: 130})
		b.entry.BodyWait = 200 * time.Millisecond
		results := make(chan result, 2)
		for range 2 {
			go func() {
				results <- b.send(http.MethodPost, "/x", io.MultiReader(strings.NewReader(strings.Repeat(large, 8))))
			}()
		}
		for range 2 {
			is.Equal((<-results).status, 200)
		}
	})
}
