package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"sycamorerun"
)

// Guards against a response that the upstream cut in its head, at any byte, and
// that reaches the caller as a success, or as the end of a failure that promises
// that the request did not run.
func TestCutResponseHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Signature: s\r\n"
	responses := map[string]string{
		"sized":              head + "Content-Length: 4\r\n\r\n",
		"empty":              head + "Content-Length: 0\r\n\r\n",
		"chunked":            head + "Transfer-Encoding: chunked\r\n\r\n",
		"ends with the body": head + "Connection: close\r\n\r\n",
	}
	forBothPaths(t, func(t *testing.T, local bool) {
		for name, response := range responses {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				fx := newFixture(t, local, func(w http.ResponseWriter, r *http.Request) {
					conn, _, err := w.(http.Hijacker).Hijack()
					if err != nil {
						return
					}
					defer func() { _ = conn.Close() }()
					cut, _ := strconv.Atoi(r.URL.Query().Get("cut"))
					_, _ = io.WriteString(conn, response[:cut])
				})
				for cut := 1; cut < len(response); cut++ {
					got := fx.send(http.MethodPost, fmt.Sprintf("/x?cut=%d", cut), nil)
					<-fx.observed
					is.NoErr(got.err)
					is.Equal(got.status, http.StatusBadGateway)
					is.Equal(got.outcome, string(sycamorerun.Unknown))
				}
			})
		}
	})
}
