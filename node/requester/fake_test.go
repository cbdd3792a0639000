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

// fakeUpstream is an upstream whose behavior is scripted by a test.
type fakeUpstream struct {
	address  netip.AddrPort
	accepted atomic.Int64
}

// newFakeUpstream calls serve for each connection and closes the connection
// when serve returns.
func newFakeUpstream(t testing.TB, serve func(conn *net.TCPConn, reader *bufio.Reader)) *fakeUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	f := &fakeUpstream{address: netip.MustParseAddrPort(listener.Addr().String())}
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

// readRequest reads a request with its body.
func readRequest(reader *bufio.Reader) (*http.Request, error) {
	request, err := http.ReadRequest(reader)
	if err == nil {
		_, err = io.Copy(io.Discard, request.Body)
	}
	return request, err
}

// serveRequests answers each request of a connection until the connection ends.
func serveRequests(conn *net.TCPConn, reader *bufio.Reader, answer func(body string) string) {
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

// echo answers each request of a connection with the body of the request.
func echo(conn *net.TCPConn, reader *bufio.Reader) { serveRequests(conn, reader, okResponse) }

// reset resets a connection after a delay in which the other side can read what
// was written.
func reset(conn *net.TCPConn) {
	time.Sleep(20 * time.Millisecond)
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// outcome is the result of a request as its sender sees it.
type outcome struct {
	status int
	body   string
	// bodyFailed is set if reading the body ended with an error.
	bodyFailed bool
	execution  Execution
	reason     string
}

// do sends a request and reads the whole response.
func do(r http.RoundTripper, request *http.Request) outcome {
	response, err := r.RoundTrip(request)
	var failure *Failure
	if errors.As(err, &failure) {
		return outcome{execution: failure.Execution, reason: failure.Reason}
	}
	if err != nil {
		return outcome{reason: err.Error()}
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		_, err = response.Body.Read(make([]byte, 1)) // a second read must return the same error
	}
	_ = response.Body.Close()
	return outcome{status: response.StatusCode, body: string(data), bodyFailed: err != nil && err != io.EOF}
}

// getRequest returns a GET request, with an ID unless that is empty.
func getRequest(ctx context.Context, id string) *http.Request {
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://upstream/x", nil)
	if id != "" {
		request.Header.Set("X-Id", id)
	}
	return request
}

// postRequest returns a POST request with a streamed body.
func postRequest(ctx context.Context, body io.Reader, length int64) *http.Request {
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://upstream/x", struct{ io.Reader }{body})
	request.ContentLength = length
	return request
}

func okResponse(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

// withHeader adds a header line to a response.
func withHeader(response, line string) string {
	return strings.Replace(response, "\r\n", "\r\n"+line+"\r\n", 1)
}
