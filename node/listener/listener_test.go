package listener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

// serve runs a server with the limits and returns its address.
func serve(t *testing.T, limits sycamorerun.Limits, handler http.HandlerFunc) (*Listener, string) {
	t.Helper()
	l := New()
	return l, serveOn(t, l, limits, handler)
}

// serveOn is serve with a Listener.
func serveOn(t *testing.T, l *Listener, limits sycamorerun.Limits, handler http.HandlerFunc) (address string) {
	t.Helper()
	l.ErrorResponse = func(status int) []byte { return fmt.Appendf(nil, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status) }
	l.SetLimits(limits)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := &http.Server{Handler: handler, MaxHeaderBytes: 1 << 20, Protocols: new(http.Protocols)}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	l.Configure(server)
	go func() { _ = server.Serve(l.Wrap(inner)) }()
	t.Cleanup(func() {
		_ = server.Close()
		l.waitEmpty(t, 5*time.Second)
	})
	return inner.Addr().String()
}

// waitEmpty waits until no connection is tracked.
func (l *Listener) waitEmpty(t *testing.T, limit time.Duration) {
	for start := time.Now(); ; time.Sleep(time.Millisecond) {
		l.mutex.Lock()
		open := len(l.conns)
		l.mutex.Unlock()
		if open == 0 {
			return
		}
		is.New(t).True(time.Since(start) < limit)
	}
}

// callerConn is the caller's end of a connection.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *callerConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &callerConn{c, bufio.NewReader(c)}
}

// get sends a text and returns the status of the response, or zero if the
// connection ends without one.
func (c *callerConn) get(text string) int {
	_, _ = io.WriteString(c, text)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// expectClosed checks that the connection ends after minWait and before
// maxWait, and not by a reset, which could discard a response.
func (c *callerConn) expectClosed(t *testing.T, minWait, maxWait time.Duration) {
	t.Helper()
	is, start := is.New(t), time.Now()
	_, err := c.reader.ReadByte()
	is.Equal(err, io.EOF)
	is.True(time.Since(start) >= minWait)
	is.True(time.Since(start) < maxWait)
}

func discardBody(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }

const simpleRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func milliseconds(n int) sycamorerun.Duration {
	return sycamorerun.Duration(time.Duration(n) * time.Millisecond)
}

// Guards against headers that exceed the limits and hold a connection, or whose
// caller gets no error response, on new and on reused connections.
func TestHeader(t *testing.T) {
	short := sycamorerun.Limits{Header: 8 << 10, Wait: milliseconds(150), Idle: milliseconds(20000)}
	long := sycamorerun.Limits{Header: 8 << 10, Wait: milliseconds(20000), Idle: milliseconds(20000)}
	partialHeader := func(bytes int) string { return "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", bytes) }
	cases := map[string]struct {
		limits sycamorerun.Limits
		text   string
		status int
	}{
		"at the limit": {long, partialHeader(8<<10-100) + "\r\n\r\n", 200},
		"body behind":  {long, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 60000), 200},
		"too large":    {long, partialHeader(13<<10) + "\r\n\r\n", 431},
		"huge":         {long, partialHeader(900<<10) + "\r\n\r\n", 431},
		"no end":       {long, partialHeader(64 << 10), 431},
		"half":         {short, partialHeader(10), 408},
		"one byte":     {short, "G", 408},
	}
	for name, c := range cases {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept %t", name, kept), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				l, address := serve(t, long, discardBody)
				if !kept {
					l.SetLimits(c.limits)
				}
				caller := dial(t, address)
				if kept {
					is.Equal(caller.get(simpleRequest), 200)
					l.SetLimits(c.limits)
					time.Sleep(200 * time.Millisecond) // idle time must not count towards the time limit of the header
				}
				start := time.Now()
				is.Equal(caller.get(c.text), c.status)
				is.True(c.status != 408 || time.Since(start) >= 100*time.Millisecond)
				if c.status != 200 {
					caller.expectClosed(t, 0, 5*time.Second)
				}
			})
		}
	}
	t.Run("nothing", func(t *testing.T) {
		t.Parallel()
		_, address := serve(t, short, discardBody)
		dial(t, address).expectClosed(t, 100*time.Millisecond, 5*time.Second)
	})
}

// Guards against a malformed request whose caller loses the error response,
// because it sends the body first and the connection is reset in the meantime.
// Without reading after the response, 18 to 24 of 50 responses were lost.
func TestMalformed(t *testing.T) {
	for head, status := range map[string]int{
		"Host: h\r\nbad line\r\nContent-Length: 300000":            400,
		"Host: h\r\nContent-Length: 300000\r\nContent-Length: 4":   400,
		"Content-Length: 300000":                                   400,
		"Host: h\r\nTransfer-Encoding: x":                          501,
		"Host: h\r\nExpect: something\r\nContent-Length: 300000":   417,
		"Host: h\r\nTransfer-Encoding: chunked, x\r\nX: something": 501,
	} {
		t.Run(head, func(t *testing.T) {
			t.Parallel()
			_, address := serve(t, sycamorerun.Limits{Header: 8 << 10}, discardBody)
			for range 20 {
				caller := dial(t, address)
				_, _ = io.WriteString(caller, "POST / HTTP/1.1\r\n"+head+"\r\n\r\n")
				is.New(t).Equal(caller.get(strings.Repeat("x", 300000)), status)
				caller.expectClosed(t, 0, 5*time.Second)
			}
		})
	}
}

// Guards against closing connections that callers may still use, and against
// never closing them. A fifth of the idle time is the margin for a busy
// machine.
func TestIdle(t *testing.T) {
	const idleTimeout = 1500 * time.Millisecond
	limits := sycamorerun.Limits{Wait: milliseconds(100), Idle: sycamorerun.Duration(idleTimeout)}
	t.Run("HTTP/1", func(t *testing.T) {
		t.Parallel()
		_, address := serve(t, limits, discardBody)
		caller := dial(t, address)
		for range 2 {
			is.New(t).Equal(caller.get(simpleRequest), 200)
			time.Sleep(idleTimeout * 4 / 5)
		}
		is.New(t).Equal(caller.get(simpleRequest), 200)
		caller.expectClosed(t, idleTimeout-10*time.Millisecond, idleTimeout+time.Second)
	})
	t.Run("HTTP/2", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		l, address := serve(t, limits, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(idleTimeout + 100*time.Millisecond) // exceeds every limit
			discardBody(w, r)
		})
		transport := &http.Transport{Protocols: new(http.Protocols)}
		transport.Protocols.SetUnencryptedHTTP2(true)
		response, err := (&http.Client{Transport: transport}).Get("http://" + address)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.ProtoMajor, 2)
		start := time.Now()
		l.waitEmpty(t, idleTimeout+time.Second)
		is.True(time.Since(start) >= idleTimeout*4/5)
	})
}

// Guards against limits that take effect late or interrupt open connections: a
// longer time applies to idle connections at once, a shorter one only to the
// next request, and a request in flight completes undisturbed.
func TestChange(t *testing.T) {
	t.Run("longer", func(t *testing.T) {
		t.Parallel()
		l, address := serve(t, sycamorerun.Limits{Idle: milliseconds(200)}, discardBody)
		caller := dial(t, address)
		is.New(t).Equal(caller.get(simpleRequest), 200)
		l.SetLimits(sycamorerun.Limits{Idle: milliseconds(2000)})
		time.Sleep(600 * time.Millisecond)
		is.New(t).Equal(caller.get(simpleRequest), 200)
	})
	t.Run("shorter", func(t *testing.T) {
		t.Parallel()
		var l *Listener
		change := func(_ http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				l.SetLimits(sycamorerun.Limits{Header: 1, Wait: milliseconds(1), Idle: milliseconds(100)})
				time.Sleep(100 * time.Millisecond)
			}
		}
		l, address := serve(t, sycamorerun.Limits{Idle: milliseconds(20000)}, change)
		caller := dial(t, address)
		is.New(t).Equal(caller.get("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"), 200)
		time.Sleep(400 * time.Millisecond)
		is.New(t).Equal(caller.get(simpleRequest), 200)
		caller.expectClosed(t, 80*time.Millisecond, 3*time.Second)
	})
}
