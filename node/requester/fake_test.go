package requester

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// fake is an upstream that a test scripts.
type fake struct {
	address  netip.AddrPort
	accepted atomic.Int64
}

// newFake has serve handle each connection, and closes it afterwards.
func newFake(t testing.TB, serve func(conn *net.TCPConn, reader *bufio.Reader)) *fake {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	f := &fake{address: netip.MustParseAddrPort(listener.Addr().String())}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			f.accepted.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn.(*net.TCPConn), bufio.NewReader(conn))
			}()
		}
	}()
	return f
}

// take reads a request with its body.
func take(reader *bufio.Reader) (*http.Request, error) {
	request, err := http.ReadRequest(reader)
	if err == nil {
		_, err = io.Copy(io.Discard, request.Body)
	}
	return request, err
}

// serving answers each request of a connection until that ends, which it returns.
func serving(conn *net.TCPConn, reader *bufio.Reader, answer func(body string) string) {
	for {
		request, err := http.ReadRequest(reader)
		var data []byte
		if err == nil {
			data, err = io.ReadAll(request.Body)
		}
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer(string(data)))
	}
}

// echo answers each request of a connection with its body.
func echo(conn *net.TCPConn, reader *bufio.Reader) { serving(conn, reader, ok) }

// reset closes a connection so that its other side sees no clean end, after the
// other side had the time to read what was written.
func reset(conn *net.TCPConn) {
	time.Sleep(20 * time.Millisecond)
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// outcome is what the sender of a request sees.
type outcome struct {
	status int
	body   string
	// broken says that the body ended with an error.
	broken bool
	ran    Execution
	reason string
}

// do sends a request and reads the whole response.
func do(r http.RoundTripper, request *http.Request) outcome {
	response, err := r.RoundTrip(request)
	var failed *Failure
	if errors.As(err, &failed) {
		return outcome{ran: failed.Execution, reason: failed.Reason}
	}
	if err != nil {
		return outcome{reason: err.Error()}
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		_, err = response.Body.Read(make([]byte, 1)) // the end does not change
	}
	_ = response.Body.Close()
	return outcome{status: response.StatusCode, body: string(data), broken: err != nil && err != io.EOF}
}

// get returns a request with an id, if it has one.
func get(ctx context.Context, id string) *http.Request {
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://upstream/x", nil)
	if id != "" {
		request.Header.Set("X-Id", id)
	}
	return request
}

// post returns a request whose body streams.
func post(ctx context.Context, body io.Reader, length int64) *http.Request {
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://upstream/x", struct{ io.Reader }{body})
	request.ContentLength = length
	return request
}

func ok(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

// with adds a header line to a response.
func with(response, line string) string {
	return strings.Replace(response, "\r\n", "\r\n"+line+"\r\n", 1)
}
