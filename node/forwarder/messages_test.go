package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/encoder"
)

// sendRaw sends a text on a new connection to the entry node and returns the
// connection with a reader of the response.
func sendRaw(fx *fixture, text string) (net.Conn, *bufio.Reader, error) {
	conn, err := net.Dial("tcp", fx.callerServer.Listener.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	_, err = io.WriteString(conn, text)
	return conn, bufio.NewReader(conn), err
}

// Guards against request smuggling: net/http must reject requests that two
// parsers would delimit differently before they reach the forwarder.
func TestSmuggling(t *testing.T) {
	cases := map[string]string{
		"two lengths":            "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"length list":            "Content-Length: 3, 4\r\n\r\nabcd",
		"signed length":          "Content-Length: +3\r\n\r\nabc",
		"unknown encoding":       "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"two encodings":          "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
		"folded encoding":        "Transfer-Encoding:\r\n\x0bchunked\r\n\r\n0\r\n\r\n",
		"space before the colon": "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		"bare line feed chunk":   "Transfer-Encoding: chunked\r\n\r\n3;\nabc\r\n0\r\n\r\n",
		"signed chunk":           "Transfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n",
	}
	for name, rest := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t, true, reply("ok"))
			conn, reader, err := sendRaw(fx, "POST /x HTTP/1.1\r\nHost: h\r\n"+rest)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			is.True(response.StatusCode != http.StatusOK)
			is.NoErr(response.Body.Close())
		})
	}
}

// Guards against a request with both a length and chunks whose remaining bytes
// run as a request of their own: net/http uses the chunks and drops the length.
func TestSmuggledRequest(t *testing.T) {
	is := is.New(t)
	requests := make(chan string, 2)
	fx := newFixture(t, false, func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		requests <- r.Method + " " + r.URL.Path + " " + string(data) + " " + r.Header.Get("Content-Length")
		_, _ = io.WriteString(w, "ok")
	})
	conn, reader, err := sendRaw(fx, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /evil HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	_, err = io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(<-requests, "POST /x  ")
}

// Guards against the rest of an unread body running as the next request.
func TestUnreadBodyIsNoRequest(t *testing.T) {
	forBothPaths(t, func(t *testing.T, local bool) {
		is := is.New(t)
		fx := newFixture(t, local, func(w http.ResponseWriter, r *http.Request) {
			r.Body = http.NoBody // the response does not wait for the body
			respondAndClose("HTTP/1.1 418 Teapot\r\nContent-Length: 0\r\n\r\n")(w, r)
		})
		conn, reader, err := sendRaw(fx, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n")
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusTeapot)
		is.Equal(response.Close, true)
		_, _ = io.WriteString(conn, "GET /evil HTTP/1.1\r\nHost: h\r\n\r\n")
		_, err = io.Copy(io.Discard, reader) // until the connection is closed
		is.True(err == nil || !strings.Contains(err.Error(), "timeout"))
		is.Equal(fx.executed.Load(), int64(1))
	})
}

// Guards against callers and upstreams that forge internal headers, and against
// hop-by-hop headers that are forwarded.
func TestHeaders(t *testing.T) {
	forBothPaths(t, func(t *testing.T, local bool) {
		is := is.New(t)
		seen := make(chan http.Header, 1)
		fx := newFixture(t, local, func(w http.ResponseWriter, r *http.Request) {
			seen <- r.Header.Clone()
			w.Header().Set(sycamorerun.HeaderOutcome, "not-run")
			w.Header().Set("Sycamorerun-Forged", "1")
			w.Header().Set("Sycamorerun-Load", "1,0,6")
			w.Header().Set("Connection", "X-Secret")
			w.Header().Set("X-Secret", "1")
			w.Header().Set("X-Kept", "2")
		})
		fx.entry.Contract.Load, fx.upstreamNode.Contract.Load = "Sycamorerun-Load", "Sycamorerun-Load"
		r, err := http.NewRequest(http.MethodGet, fx.callerServer.URL+"/x?q=%2F", nil)
		is.NoErr(err)
		for name, value := range map[string]string{
			sycamorerun.HeaderRequest: "forged", "Sycamorerun-Forged": "1", sycamorerun.HeaderDeadline: "4000",
			"Connection": "X-Hop, keep-alive", "X-Hop": "1", "X-Kept": "1", "Upgrade": "h2c", "Te": "trailers",
			"Proxy-Authorization": "secret", sycamorerun.HeaderAttempt: "2",
		} {
			r.Header.Set(name, value)
		}
		response, err := fx.callerServer.Client().Do(r)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		got := <-seen
		for _, name := range []string{"Sycamorerun-Forged", "X-Hop", "Upgrade", "Te", "Proxy-Authorization"} {
			is.Equal(got.Get(name), "") // removed
		}
		is.Equal(got.Get("X-Kept"), "1")
		is.Equal(got.Get(sycamorerun.HeaderAttempt), "2") // an attempt sent by a caller can only reduce the retries
		is.True(got.Get(sycamorerun.HeaderRequest) != "forged")
		is.Equal(got.Get(sycamorerun.HeaderRequest), response.Header.Get(sycamorerun.HeaderRequest))
		left, err := strconv.Atoi(got.Get(sycamorerun.HeaderDeadline))
		is.NoErr(err)
		is.True(left > 0 && left <= 4000)
		is.Equal(response.Header.Get(sycamorerun.HeaderOutcome), "answered")
		is.Equal(response.Header.Get("Sycamorerun-Forged"), "")
		is.Equal(response.Header.Get("X-Secret"), "")
		is.Equal(response.Header.Get("X-Kept"), "2")
		is.Equal(response.Header.Get("Sycamorerun-Load"), "1,0,6") // forwarded because the contract names it
	})
}

// Guards responses without a body, and values that are not UTF-8, which a
// protobuf string can't hold.
func TestUnusualResponses(t *testing.T) {
	forBothPaths(t, func(t *testing.T, local bool) {
		for method, status := range map[string]int{
			http.MethodHead: http.StatusOK, http.MethodGet: http.StatusNotModified, http.MethodDelete: http.StatusNoContent,
		} {
			t.Run(method, func(t *testing.T) {
				is := is.New(t)
				fx := newFixture(t, local, func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("X-Name", r.Header.Get("X-Name"))
					if status != http.StatusNoContent {
						w.Header().Set("Content-Length", "70000")
					}
					w.WriteHeader(status)
				})
				r, err := http.NewRequest(method, fx.callerServer.URL+"/x", nil)
				is.NoErr(err)
				r.Header.Set("X-Name", "caf\xe9")
				response, err := fx.callerServer.Client().Do(r)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				is.Equal(response.StatusCode, status)
				is.Equal(response.Header.Get("X-Name"), "caf\xe9")
				is.Equal(response.ContentLength == 70000, method == http.MethodHead)
			})
		}
	})
}

// Guards against work for a caller that has disconnected, and against an upload
// that the upstream treats as complete although it is not.
func TestCallerDisconnects(t *testing.T) {
	forBothPaths(t, func(t *testing.T, local bool) {
		for name, head := range map[string]string{
			"waiting":           "GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
			"uploading":         "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\nhalf",
			"uploading chunked": "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				started, ended := make(chan struct{}), make(chan error, 1)
				fx := newFixture(t, local, func(_ http.ResponseWriter, r *http.Request) {
					close(started)
					_, err := io.ReadAll(r.Body)
					if err == nil && r.Method == http.MethodGet {
						<-r.Context().Done()
						err = r.Context().Err()
					}
					ended <- err
				})
				conn, _, err := sendRaw(fx, head)
				is.NoErr(err)
				<-started
				is.NoErr(conn.Close())
				is.True(<-ended != nil)
			})
		}
	})
}

// Guards against a caller that holds a slot while it sends nothing.
func TestSlowBody(t *testing.T) {
	forBothPaths(t, func(t *testing.T, local bool) {
		cases := map[string]struct {
			length   string
			status   int
			executed int64
		}{
			"small body holds no slot": {"10", http.StatusRequestTimeout, 0},
			"large body":               {"900000", http.StatusGatewayTimeout, 1},
		}
		for name, c := range cases {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				fx := newFixture(t, local, reply("ok"))
				fx.match.Idle = 100 * time.Millisecond
				conn, reader, err := sendRaw(fx, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: "+c.length+"\r\n\r\nhalf")
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				is.Equal(response.StatusCode, c.status)
				is.True(response.Close) // the rest of the body must not be parsed as a request
				is.Equal(fx.executed.Load(), c.executed)
			})
		}
	})
}

// sendHead sends a recorded head to the node beside the upstream and returns the
// first frame of the answer.
func sendHead(t *testing.T, fx *fixture, head *Head) *Frame {
	is := is.New(t)
	client, server := net.Pipe()
	fx.serveStream(KindCall, server)
	defer func() { _ = client.Close() }()
	_, err := encoder.Write(client, &Frame{Kind: &Frame_Head{Head: head}})
	is.NoErr(err)
	frame, err := encoder.Read[Frame](client, maxFrameBytes)
	is.NoErr(err)
	return frame
}
