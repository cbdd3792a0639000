package requester

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// canned is a connection whose upstream sends given bytes and closes it.
type canned struct {
	net.Conn
	*bytes.Reader
}

func (c canned) Read(p []byte) (int, error)        { return c.Reader.Read(p) }
func (c canned) Write(p []byte) (int, error)       { return len(p), nil }
func (c canned) Close() error                      { return nil }
func (c canned) SetReadDeadline(time.Time) error   { return nil }
func (c canned) SetWriteDeadline(time.Time) error  { return nil }
func (c canned) WriteTo(io.Writer) (int64, error)  { panic("not used") }
func (c canned) ReadFrom(io.Reader) (int64, error) { panic("not used") }
func (c canned) SetDeadline(time.Time) error       { return nil }

// FuzzResponse guards the caller against any bytes of an upstream: there is an
// end, no response of another request or without signature is passed on, and
// each connection is given up.
func FuzzResponse(f *testing.F) {
	signed := with(with(ok("ab"), "X-Id: 1"), "X-Signature: s")
	chunked := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nT: 1\r\n\r\n"
	for _, seed := range []string{
		signed, with(signed, "X-Id: 0") + signed, chunked, chunked[:len(chunked)-2], ok("a"), "220 mail ready\r\n",
		"HTTP/1.1 103 Early\r\n\r\n" + signed, "HTTP/1.0 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n\r\nab",
		strings.Replace(signed, "200", "421", 1), with(signed, "X-Unexecuted: 1"), with(signed, "Keep-Alive: timeout=1"),
	} {
		for _, method := range []string{http.MethodGet, http.MethodHead} {
			f.Add([]byte(seed), method == http.MethodHead)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, head bool) {
		r := &Requester{Contract: checks, pool: pool{most: 1}}
		r.Dial = func(context.Context) (net.Conn, error) { return canned{Reader: bytes.NewReader(data)}, nil }
		request := get(t.Context(), "1")
		if head {
			request.Method = http.MethodHead
		}
		response, err := r.RoundTrip(request)
		if err == nil {
			status := response.StatusCode
			if response.Header.Get("X-Id") != "1" || status < 200 || status/100 == 2 && response.Header.Get("X-Signature") == "" {
				t.Fatal("passed on", status, response.Header)
			}
			body, err := io.ReadAll(response.Body)
			if length := response.ContentLength; err == nil && !head && length >= 0 && int64(len(body)) != length && status != 204 && status != 304 {
				t.Fatalf("%d bytes of %d", len(body), length)
			}
			_ = response.Body.Close()
		} else if failed := err.(*Failure); failed.Execution == NotExecuted && failed.Reason != ReasonRejected && failed.Reason != ReasonMisdirected {
			t.Fatal("not run although it was written", failed)
		}
		if count(&r.pool) != 0 {
			t.Fatal("connection kept")
		}
	})
}
