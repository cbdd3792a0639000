package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answerRaw returns a handler that writes text as the answer, resets the connection
// if reset is set and closes it otherwise.
func answerRaw(text string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		if socket, ok := conn.(*net.TCPConn); ok && reset {
			_ = socket.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// uploads are the ways in which a caller sends a body.
var uploads = map[string]func() (body io.Reader, length int64){
	"no body":        func() (io.Reader, int64) { return http.NoBody, 0 },
	"in memory":      func() (io.Reader, int64) { return strings.NewReader(strings.Repeat("u", 1000)), 1000 },
	"streamed":       func() (io.Reader, int64) { return strings.NewReader(strings.Repeat("u", 1<<20)), 1 << 20 },
	"unknown length": func() (io.Reader, int64) { return io.MultiReader(strings.NewReader(strings.Repeat("u", 1<<20))), -1 },
}

// Guards against an answer with a status that HTTP does not have, or with a status
// line that was cut, which a caller gets as the upstream's answer.
func TestOddStatus(t *testing.T) {
	const rest = " Odd\r\nContent-Length: 2\r\n\r\nok"
	statuses := map[string]string{
		"zero": "HTTP/1.1 000" + rest, "below 100": "HTTP/1.1 099" + rest, "two digits": "HTTP/1.1 20" + rest,
		"four digits": "HTTP/1.1 2000" + rest, "minus": "HTTP/1.1 -20" + rest, "plus": "HTTP/1.1 +20" + rest,
		"above 599": "HTTP/1.1 600" + rest, "far above": "HTTP/1.1 999" + rest, "letters": "HTTP/1.1 2OO" + rest,
		"no status": "HTTP/1.1 \r\n\r\n", "cut in the version": "HTTP/1.", "cut in the status": "HTTP/1.1 20",
		"cut after the status": "HTTP/1.1 200", "cut before the fields": "HTTP/1.1 200 OK\r\n",
	}
	forBothPaths(t, func(t *testing.T, local bool) {
		for name, answer := range statuses {
			for upload, body := range uploads {
				t.Run(name+", "+upload, func(t *testing.T) {
					is := is.New(t)
					fx := newFixture(t, local, answerRaw(answer, false))
					text, length := body()
					status, _, _ := fx.upload(t, text, length)
					is.Equal(status, http.StatusBadGateway)
				})
			}
		}
	})
}

// Guards against a part of an answer without a length that a caller gets as the whole
// one, since the upstream reset the connection while the upload was still written.
func TestResetAnswerWithoutLength(t *testing.T) {
	forBothPaths(t, func(t *testing.T, local bool) {
		for name, answer := range map[string]string{
			"head": "HTTP/1.1 200 OK\r\n\r\n", "part of the body": "HTTP/1.1 200 OK\r\n\r\npart",
			"much of the body": "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("p", 100_000),
		} {
			for upload, body := range uploads {
				t.Run(name+", "+upload, func(t *testing.T) {
					is := is.New(t)
					fx := newFixture(t, local, answerRaw(answer, true))
					text, length := body()
					status, _, complete := fx.upload(t, text, length)
					is.True(status != http.StatusOK || !complete)
				})
			}
		}
	})
}

// upload sends a request on a connection of its own. It returns the status of the
// response, its body, and whether the body looks complete.
func (fx *fixture) upload(t *testing.T, body io.Reader, length int64) (status int, data []byte, complete bool) {
	t.Helper()
	conn, err := net.Dial("tcp", fx.callerServer.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	request := httptest.NewRequest(http.MethodPut, "http://x/upload", body)
	request.ContentLength = length
	go func() { _ = request.Write(conn) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return 0, nil, false
	}
	data, err = io.ReadAll(response.Body)
	return response.StatusCode, data, err == nil
}
