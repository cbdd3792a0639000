package requester

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a response whose head was cut at any byte that is taken for a
// complete one with an empty or short body.
func TestCutHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nContent-Type: text/plain\r\n"
	cases := map[string]string{
		"sized":              head + "Content-Length: 0\r\n\r\n",
		"sized with body":    head + "Content-Length: 10\r\n\r\n",
		"chunked":            head + "Transfer-Encoding: chunked\r\n\r\n",
		"ends with the body": head + "Connection: close\r\n\r\n",
		"after a hint":       "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
	}
	for name, response := range cases {
		for _, resets := range []bool{false, true} {
			t.Run(name+map[bool]string{false: ", closed", true: ", reset"}[resets], func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				cuts := make(chan int, 1)
				upstream := newFakeUpstream(t, func(conn *net.TCPConn, reader *bufio.Reader) {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(conn, response[:<-cuts])
					if resets {
						reset(conn)
					}
				})
				r := New(upstream.address, 1)
				r.Contract = fullContract
				defer r.Close()
				for cut := 1; cut < len(response); cut++ {
					cuts <- cut
					is.Equal(do(r, getRequest(t.Context(), "1")), broken)
				}
			})
		}
	}
}

// Guards against a body without a length that a caller takes for complete
// although the upstream cut it, wherever the transport can tell.
func TestCutChunkedBody(t *testing.T) {
	is := is.New(t)
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	const response = head + "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
	cuts := make(chan int, 1)
	upstream := newFakeUpstream(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = io.WriteString(conn, response[:<-cuts])
		}
	})
	r := New(upstream.address, 1)
	r.Contract = fullContract
	defer r.Close()
	for cut := len(head); cut < len(response); cut++ {
		cuts <- cut
		got := do(r, getRequest(t.Context(), "1"))
		is.Equal(got.status, http.StatusOK)
		is.True(got.bodyFailed)
		is.True(strings.HasPrefix("hello world", got.body))
	}
}
