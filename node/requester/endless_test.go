package requester

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// promptly is the time within which a request ends once it is clear that there
	// will be no response. The test's requests have a much later deadline.
	promptly = 2 * time.Second
	// maxEndlessBytes is how much an upstream can write before its connection is
	// closed. Most of it stays in the buffers of the sockets.
	maxEndlessBytes = 16 << 20
)

// endlessUpstream answers a request with start and then repeats block until the
// connection is closed. It is silent if block is empty.
type endlessUpstream struct {
	*fakeUpstream
	// pause is the time between start and the first block.
	pause time.Duration
	// written receives the number of bytes that were written to a connection, once
	// it is closed.
	written chan int64
}

func newEndlessUpstream(t *testing.T, start, block string) *endlessUpstream {
	t.Helper()
	e := &endlessUpstream{written: make(chan int64, 16)}
	e.fakeUpstream = newFakeUpstream(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		if _, err := readRequest(reader); err != nil {
			return
		}
		data := strings.Repeat(block, max(1, 4096/max(1, len(block))))
		n, err := io.WriteString(conn, start)
		time.Sleep(e.pause)
		total := int64(n)
		if block == "" {
			_, err = io.Copy(io.Discard, reader)
		}
		for ; err == nil && block != "" && total < 1<<30; total += int64(n) {
			n, err = io.WriteString(conn, data)
		}
		e.written <- total
	})
	return e
}

// check sends a request and checks that it ends promptly and that the
// connection is closed.
func (e *endlessUpstream) check(t *testing.T, method string, want outcome) {
	t.Helper()
	is := is.New(t)
	r := New(e.address, 1)
	r.Contract = fullContract
	defer r.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	request := getRequest(ctx, "1")
	request.Method = method
	start := time.Now()
	is.Equal(do(r, request), want)
	is.True(time.Since(start) < promptly)
	select {
	case written := <-e.written:
		is.True(written < maxEndlessBytes)
	case <-ctx.Done():
		t.Fatal("connection still open after the response")
	}
	waitClosed(t, r)
	is.Equal(e.accepted.Load(), int64(1)) // not sent again
}

var broken = outcome{execution: PossiblyExecuted, reason: ReasonBroken}

// Guards against reading the responses to other requests without end, which
// occupies a processor until the deadline of the request.
func TestEndlessResponsesOfOthers(t *testing.T) {
	other := withHeader(okResponse("old"), "X-Id: 0")
	for name, block := range map[string]string{
		"complete":     other,
		"empty":        withHeader(okResponse(""), "X-Id: 0"),
		"refusals":     withHeader(refusalWithout, "X-Id: 0"),
		"chunked":      "HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"with interim": "HTTP/1.1 103 Early\r\n\r\n" + other,
	} {
		t.Run(name, func(t *testing.T) {
			newEndlessUpstream(t, "", block).check(t, http.MethodGet, broken)
		})
	}
}

// Guards against reading the body of the response to another request without
// end, and against waiting for a response behind a body that ends with the
// connection.
func TestEndlessBodyOfAnother(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ start, block string }{
		"chunked":         {chunked, "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
		"tiny chunks":     {chunked, "1\r\nx\r\n"},
		"without length":  {"HTTP/1.1 200 OK\r\nX-Id: 0\r\n\r\n", "x"},
		"excessive":       {"HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 9000000000000\r\n\r\n", "x"},
		"silent":          {"HTTP/1.1 200 OK\r\nX-Id: 0\r\n\r\n", ""},
		"silent and long": {"HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 9000000000000\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			newEndlessUpstream(t, c.start, c.block).check(t, http.MethodGet, broken)
		})
	}
}

// Guards against losing a response behind a large but complete response to
// another request.
func TestLargeResponseOfAnother(t *testing.T) {
	body := strings.Repeat("x", 500<<10)
	chunked := "HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n7d000\r\n" + body + "\r\n0\r\nT: 1\r\n\r\n"
	for name, other := range map[string]string{"sized": withHeader(okResponse(body), "X-Id: 0"), "chunked": chunked} {
		t.Run(name, func(t *testing.T) {
			runSteps(t, fullContract, 1, []exchangeStep{{id: "1", answer: other + signedResponse("1"), want: outcome{status: http.StatusOK, body: "ab"}}})
		})
	}
}

// Guards against keeping an idle connection on which the upstream writes without
// end after a complete response.
func TestEndlessBytesWhileIdle(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n"
	const refusal = "HTTP/1.1 503 Full\r\nX-Id: 1\r\nX-Unexecuted: 1\r\nContent-Length: 0\r\n\r\n"
	ok := outcome{status: http.StatusOK}
	for name, c := range map[string]struct {
		method, response, block string
		want                    outcome
	}{
		"after a response":             {http.MethodGet, head + "Content-Length: 0\r\n\r\n", "x", ok},
		"after a chunked response":     {http.MethodGet, head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "x", ok},
		"after the response to a head": {http.MethodHead, head + "Content-Length: 9\r\n\r\n", "x", ok},
		"after a refusal":              {http.MethodGet, refusal, "x", refused},
		"the refusal again and again":  {http.MethodGet, refusal, refusal, refused},
		"the response again and again": {http.MethodGet, head + "Content-Length: 0\r\n\r\n", head + "Content-Length: 0\r\n\r\n", ok},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			upstream := newEndlessUpstream(t, c.response, c.block)
			upstream.pause = 10 * time.Millisecond
			upstream.check(t, c.method, c.want)
		})
	}
}

// Guards against an endless response that occupies a processor or memory, or
// delays the end of its request until the deadline, although it is clear that
// the response is not valid or not needed.
func TestEndlessResponse(t *testing.T) {
	const head, chunked = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	refusal := "HTTP/1.1 503 Full\r\nX-Id: 1\r\nX-Unexecuted: 1\r\n"
	cases := map[string]struct {
		start, block string
		want         outcome
	}{
		"no answer, one line":     {block: "x", want: broken},
		"no answer, lines":        {block: "not an answer\r\n", want: broken},
		"no answer, empty lines":  {block: "\r\n", want: broken},
		"no answer, zero bytes":   {block: "\x00", want: broken},
		"status line":             {start: "HTTP/1.1 200 ", block: "x", want: broken},
		"header, one line":        {start: head + "X: ", block: "x", want: broken},
		"header, one name":        {start: head, block: "X: y\r\n", want: broken},
		"header, short lines":     {start: head, block: "a:\n", want: broken},
		"header, folded line":     {start: head + "X: y\r\n", block: " y\r\n", want: broken},
		"interim responses":       {block: "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n", want: broken},
		"interim, endless header": {start: "HTTP/1.1 103 Early\r\n", block: "Link: x\r\n", want: broken},

		"chunk extension":  {start: head + chunked + "1;", block: "x", want: outcome{status: http.StatusOK, bodyFailed: true}},
		"chunk extensions": {start: head + chunked, block: "0" + strings.Repeat("0", 10) + "1;" + strings.Repeat("x", 2000) + "\r\nx\r\n", want: outcome{status: http.StatusOK, body: "xxxxxxxx", bodyFailed: true}},
		"no chunk":         {start: head + chunked, block: "x", want: outcome{status: http.StatusOK, bodyFailed: true}},
		"trailer":          {start: head + chunked + "0\r\n", block: "T: x\r\n", want: outcome{status: http.StatusOK, bodyFailed: true}},

		"unsigned":             {start: "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", block: "x", want: outcome{execution: PossiblyExecuted, reason: ReasonUnsigned}},
		"unidentified":         {start: "HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\n", block: "x", want: unidentifiable},
		"refusal":              {start: refusal + "\r\n", block: "x", want: refused},
		"refusal, tiny chunks": {start: refusal + chunked, block: "1\r\nx\r\n", want: refused},
		"refusal, silent":      {start: refusal + chunked, want: refused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			newEndlessUpstream(t, c.start, c.block).check(t, http.MethodGet, c.want)
		})
	}
}

// countingReads counts the bytes that are read from a connection.
type countingReads struct {
	*net.TCPConn
	read *atomic.Int64
}

func (c countingReads) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Guards against reading the maximum size of a skipped response several times
// for one request.
func TestSkippedBytesInTotal(t *testing.T) {
	is := is.New(t)
	block := withHeader(okResponse(strings.Repeat("x", 300<<10)), "X-Id: 0")
	upstream := newEndlessUpstream(t, "", block)
	r := New(upstream.address, 1)
	r.Contract = fullContract
	var read atomic.Int64
	dial := r.Dial
	r.Dial = func(ctx context.Context) (net.Conn, error) {
		conn, err := dial(ctx)
		if err != nil {
			return nil, err
		}
		return countingReads{conn.(*net.TCPConn), &read}, nil
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.Equal(do(r, getRequest(ctx, "1")), broken)
	if read.Load() > 5<<18 {
		t.Errorf("%d bytes read", read.Load())
	}
}
