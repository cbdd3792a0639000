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

// cannedConn is a connection whose upstream sends the given bytes and closes
// it.
type cannedConn struct {
	net.Conn
	*bytes.Reader
}

func (c cannedConn) Read(p []byte) (int, error)        { return c.Reader.Read(p) }
func (c cannedConn) Write(p []byte) (int, error)       { return len(p), nil }
func (c cannedConn) Close() error                      { return nil }
func (c cannedConn) SetReadDeadline(time.Time) error   { return nil }
func (c cannedConn) SetWriteDeadline(time.Time) error  { return nil }
func (c cannedConn) WriteTo(io.Writer) (int64, error)  { panic("not used") }
func (c cannedConn) ReadFrom(io.Reader) (int64, error) { panic("not used") }
func (c cannedConn) SetDeadline(time.Time) error       { return nil }

// FuzzResponse guards against upstream data that blocks a request, leaks a
// connection, or passes on a response that belongs to another request or lacks
// a signature.
func FuzzResponse(f *testing.F) {
	signed := withHeader(withHeader(okResponse("ab"), "X-Id: 1"), "X-Signature: s")
	chunked := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nT: 1\r\n\r\n"
	for _, seed := range []string{
		signed, withHeader(signed, "X-Id: 0") + signed, chunked, chunked[:len(chunked)-2], okResponse("a"), "220 mail ready\r\n",
		"HTTP/1.1 103 Early\r\n\r\n" + signed, "HTTP/1.0 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n\r\nab",
		strings.Replace(signed, "200", "421", 1), withHeader(signed, "X-Unexecuted: 1"), withHeader(signed, "Keep-Alive: timeout=1"),
	} {
		for _, method := range []string{http.MethodGet, http.MethodHead} {
			f.Add([]byte(seed), method == http.MethodHead)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, head bool) {
		r := &Requester{Contract: fullContract, pool: pool{maxOpen: 1}}
		r.Dial = func(context.Context) (net.Conn, error) { return cannedConn{Reader: bytes.NewReader(data)}, nil }
		request := getRequest(t.Context(), "1")
		if head {
			request.Method = http.MethodHead
		}
		response, err := r.RoundTrip(request)
		if err == nil {
			status := response.StatusCode
			if response.Header.Get("X-Id") != "1" || status < 200 || status/100 == 2 && response.Header.Get("X-Signature") == "" {
				t.Fatal("response passed on without the request ID or signature, or with an invalid status:", status, response.Header)
			}
			body, err := io.ReadAll(response.Body)
			if length := response.ContentLength; err == nil && !head && length >= 0 && int64(len(body)) != length && status != 204 && status != 304 {
				t.Fatalf("body has %d of %d bytes", len(body), length)
			}
			_ = response.Body.Close()
		} else if failure := err.(*Failure); failure.Execution == NotExecuted && failure.Reason != ReasonRejected && failure.Reason != ReasonMisdirected {
			t.Fatal("request reported as not executed although it was written:", failure)
		}
		if openCount(&r.pool) != 0 {
			t.Fatal("connection still open after the exchange")
		}
	})
}
