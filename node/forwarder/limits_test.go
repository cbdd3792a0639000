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
				b.match.Idle = time.Second
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
					is.True(time.Since(begun) < 900*time.Millisecond) // no timer was awaited
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
