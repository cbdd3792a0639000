package forwarder

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a response body that never ends and outlives the deadline, at
// the caller or at the upstream, that looks complete, or that is read faster
// than the caller reads it.
func TestEndlessBody(t *testing.T) {
	const timeout, maxWritten = 300 * time.Millisecond, 64 << 20
	const head = "HTTP/1.1 200 OK\r\n"
	cases := map[string]struct {
		start, block string
		pause        time.Duration
		// unread is set if the caller reads nothing until the deadline.
		unread bool
	}{
		"chunked":                   {start: head + "Transfer-Encoding: chunked\r\n\r\n", block: "400\r\n" + strings.Repeat("x", 0x400) + "\r\n", pause: time.Millisecond},
		"tiny chunks":               {start: head + "Transfer-Encoding: chunked\r\n\r\n", block: "1\r\nx\r\n", pause: time.Millisecond},
		"without length":            {start: head + "\r\n", block: "x", pause: time.Millisecond},
		"excessive length":          {start: head + "Content-Length: 9000000000000\r\n\r\n", block: strings.Repeat("x", 0x1000), pause: time.Millisecond},
		"without length, silent":    {start: head + "\r\n", pause: time.Millisecond},
		"chunked, unread":           {start: head + "Transfer-Encoding: chunked\r\n\r\n", block: "8000\r\n" + strings.Repeat("x", 0x8000) + "\r\n", unread: true},
		"without length, unread":    {start: head + "\r\n", block: strings.Repeat("x", 0x8000), unread: true},
		"tiny chunks, unread":       {start: head + "Transfer-Encoding: chunked\r\n\r\n", block: strings.Repeat("1\r\nx\r\n", 0x1000), unread: true},
		"failure, tiny chunks":      {start: "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n", block: "1\r\nx\r\n", pause: time.Millisecond},
		"failure, excessive length": {start: "HTTP/1.1 500 Failed\r\nContent-Length: 9000000000000\r\n\r\n", block: strings.Repeat("x", 0x1000), pause: time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			forBothPaths(t, func(t *testing.T, local bool) {
				t.Parallel()
				is := is.New(t)
				type end struct {
					at      time.Time
					written int64
				}
				ended := make(chan end, 1)
				fx := newFixture(t, local, func(w http.ResponseWriter, _ *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						return
					}
					defer func() { _ = conn.Close() }()
					n, err := io.WriteString(conn, c.start)
					written := int64(n)
					if c.block == "" {
						_, _ = conn.Read(make([]byte, 1))
						err = io.EOF
					}
					for ; err == nil && written < 1<<30; written += int64(n) {
						time.Sleep(c.pause)
						n, err = io.WriteString(conn, c.block)
					}
					ended <- end{time.Now(), written}
				})
				fx.match.Timeout = timeout
				request, err := http.NewRequest(http.MethodGet, fx.callerServer.URL+"/x", nil)
				is.NoErr(err)
				start := time.Now()
				response, err := fx.callerServer.Client().Do(request)
				is.NoErr(err)
				defer func() { _ = response.Body.Close() }()
				if !c.unread {
					_, err = io.Copy(io.Discard, response.Body)
					is.True(err != nil) // a part must not look complete
					is.True(time.Since(start) < timeout+time.Second)
				}
				upstream := <-ended
				is.True(upstream.at.Sub(start) < timeout+time.Second)
				is.True(upstream.written < maxWritten)
				_, err = io.Copy(io.Discard, response.Body)
				is.True(err != nil)
				is.Equal(fx.executed.Load(), int64(1))
			})
		})
	}
}

// Guards against bytes that arrive slowly, and never become a response, that
// keep a call beyond its deadline or its upstream's connection open after it.
func TestSlowEndlessHeader(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for name, c := range map[string]struct{ start, block string }{
		"no answer":            {block: "x"},
		"header":               {start: "HTTP/1.1 200 OK\r\n", block: "X: y\r\n"},
		"interim response":     {start: "HTTP/1.1 103 Early\r\n", block: "X: y\r\n"},
		"response of another":  {start: "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 100000\r\n\r\n", block: "x"},
		"another's tiny chunk": {start: "HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n", block: "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			forBothPaths(t, func(t *testing.T, local bool) {
				t.Parallel()
				is := is.New(t)
				ended := make(chan time.Time, 1)
				fx := newFixture(t, local, func(w http.ResponseWriter, _ *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						return
					}
					defer func() { _ = conn.Close() }()
					_, err = io.WriteString(conn, c.start)
					for n := 0; err == nil && n < 5000; n++ {
						time.Sleep(time.Millisecond)
						_, err = io.WriteString(conn, c.block)
					}
					ended <- time.Now()
				})
				checkResponses(fx)
				fx.entry.Contract.Identity = "X-Id"
				fx.match.Timeout = timeout
				start := time.Now()
				got := fx.send(http.MethodGet, "/x", nil, "X-Id", "1")
				is.Equal(got.status, http.StatusGatewayTimeout)
				is.Equal(got.reason, "deadline")
				is.True(time.Since(start) < timeout+time.Second)
				is.True((<-ended).Sub(start) < timeout+time.Second)
				is.Equal(fx.executed.Load(), int64(1))
			})
		})
	}
}
