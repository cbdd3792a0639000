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

var (
	refused         = outcome{execution: NotExecuted, reason: ReasonRejected}
	unidentifiable  = outcome{execution: PossiblyExecuted, reason: ReasonUnidentified}
	refusalWithout  = "HTTP/1.1 503 Service Unavailable\r\nX-Unexecuted: 1\r\nContent-Length: 0\r\n\r\n"
	badRequest      = strings.Replace(refusalWithout, "503 Service Unavailable", "400 Bad Request", 1)
	misdirectedOnly = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 2\r\n\r\nno"
)

// signedResponse returns a response to the request with an ID.
func signedResponse(id string) string {
	return withHeader(withHeader(okResponse("ab"), "X-Id: "+id), "X-Signature: s")
}

// exchangeStep is a request and what the upstream does with it.
type exchangeStep struct {
	// id is the ID of the request, or empty if it has none.
	id string
	// repeat sends the previous response of the connection once more, before the
	// answer.
	repeat bool
	// repeatOwn sends the last response to the ID on the connection once more,
	// before the answer.
	repeatOwn bool
	answer    string
	want      outcome
}

// runSteps sends the requests one after the other and checks the number of
// connections.
func runSteps(t *testing.T, contract Contract, connections int64, steps []exchangeStep) {
	t.Helper()
	is := is.New(t)
	var received atomic.Int64
	upstream := newFakeUpstream(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		responses, previous := map[string]string{}, ""
		for {
			if _, err := readRequest(reader); err != nil {
				return
			}
			step := steps[received.Add(1)-1]
			if step.repeatOwn {
				previous = responses[step.id]
			}
			if step.repeat || step.repeatOwn {
				_, _ = io.WriteString(conn, previous)
				time.Sleep(20 * time.Millisecond) // the upstream is at work on the request
			}
			_, _ = io.WriteString(conn, step.answer)
			responses[step.id], previous = step.answer, step.answer
		}
	})
	r := New(upstream.address, 4)
	r.Contract = contract
	defer r.Close()
	for _, step := range steps {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		is.Equal(do(r, getRequest(ctx, step.id)), step.want)
		cancel()
	}
	is.Equal(upstream.accepted.Load(), connections)
}

// Guards against taking a refusal without an ID, which may be the repetition of
// an earlier one, for the response to a request that the upstream executes.
func TestRefusalWithoutID(t *testing.T) {
	ok := outcome{status: http.StatusOK, body: "ab"}
	cases := map[string]struct {
		contract    Contract
		steps       []exchangeStep
		connections int64
	}{
		"refused before the id was read, repeated": {fullContract, []exchangeStep{
			{id: "1", answer: refusalWithout, want: refused},
			{id: "2", repeat: true, answer: signedResponse("2"), want: ok},
		}, 2},
		"request without id refused, repeated": {fullContract, []exchangeStep{
			{answer: badRequest, want: refused},
			{id: "2", repeat: true, answer: signedResponse("2"), want: ok},
		}, 2},
		"request without id refused, repeated for another": {fullContract, []exchangeStep{
			{answer: badRequest, want: refused},
			{repeat: true, answer: badRequest, want: refused},
		}, 2},
		"misdirected, repeated": {fullContract, []exchangeStep{
			{id: "1", answer: misdirectedOnly, want: outcome{execution: NotExecuted, reason: ReasonMisdirected}},
			{id: "2", repeat: true, answer: signedResponse("2"), want: ok},
		}, 2},
		"contract without ids, repeated": {Contract{Unexecuted: "X-Unexecuted"}, []exchangeStep{
			{answer: refusalWithout, want: refused},
			{repeat: true, answer: okResponse("ab"), want: ok},
		}, 2},
		"kept connection": {fullContract, []exchangeStep{
			{id: "1", answer: signedResponse("1"), want: ok},
			{id: "2", answer: refusalWithout + signedResponse("2"), want: unidentifiable},
			{id: "3", answer: signedResponse("3"), want: ok},
		}, 2},
		"kept connection, misdirected": {fullContract, []exchangeStep{
			{id: "1", answer: signedResponse("1"), want: ok},
			{id: "2", answer: misdirectedOnly + signedResponse("2"), want: unidentifiable},
		}, 1},
		"kept connection, request without id": {fullContract, []exchangeStep{
			{id: "1", answer: signedResponse("1"), want: ok},
			{answer: badRequest, want: refused},
		}, 1},
		"behind the response to another request": {fullContract, []exchangeStep{
			{id: "2", answer: signedResponse("1") + refusalWithout + signedResponse("2"), want: unidentifiable},
		}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSteps(t, c.contract, c.connections, c.steps)
		})
	}
}

// Guards against passing the response to another request on to a request that
// has no ID.
func TestRequestWithoutID(t *testing.T) {
	const failed = "HTTP/1.1 500 Failed\r\nContent-Length: 1\r\n\r\nx"
	ok := outcome{status: http.StatusOK, body: "ab"}
	cases := map[string]struct {
		steps       []exchangeStep
		connections int64
	}{
		"late response": {[]exchangeStep{
			{id: "1", answer: signedResponse("1"), want: ok},
			{repeat: true, answer: badRequest, want: unidentifiable},
			{id: "3", answer: signedResponse("3"), want: ok},
		}, 2},
		"late failure": {[]exchangeStep{
			{id: "1", answer: withHeader(failed, "X-Id: 1"), want: outcome{status: http.StatusInternalServerError, body: "x"}},
			{repeat: true, answer: badRequest, want: unidentifiable},
		}, 1},
		"late refusal": {[]exchangeStep{
			{id: "1", answer: withHeader(refusalWithout, "X-Id: 1"), want: refused},
			{repeat: true, answer: failed, want: unidentifiable},
		}, 1},
		"empty id": {[]exchangeStep{
			{id: "1", answer: signedResponse("1"), want: ok},
			{answer: withHeader(badRequest, "X-Id: "), want: refused},
			{id: "2", answer: signedResponse("2"), want: ok},
		}, 2},
		"id given by the upstream": {[]exchangeStep{
			{answer: signedResponse("u"), want: ok},
			{id: "2", answer: signedResponse("2"), want: ok},
		}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSteps(t, fullContract, c.connections, c.steps)
		})
	}
}

// Guards against taking a repeated refusal for the response to a later request
// with the same ID, such as a further attempt of a call, that the upstream
// executes.
func TestRefusedIDOnSameConnection(t *testing.T) {
	ok := outcome{status: http.StatusOK, body: "ab"}
	refusal := func(id string) string { return withHeader(refusalWithout, "X-Id: "+id) }
	manyRefusals := []exchangeStep{{id: "a", answer: refusal("a"), want: refused}}
	for n := range 600 {
		id := itoa(n)
		manyRefusals = append(manyRefusals, exchangeStep{id: id, answer: refusal(id), want: refused})
	}
	cases := map[string]struct {
		contract    Contract
		steps       []exchangeStep
		connections int64
	}{
		"at once": {fullContract, []exchangeStep{
			{id: "a", answer: refusal("a"), want: refused},
			{id: "a", repeatOwn: true, answer: signedResponse("a"), want: ok},
		}, 2},
		"misdirected": {fullContract, []exchangeStep{
			{id: "a", answer: withHeader(misdirectedOnly, "X-Id: a"), want: outcome{execution: NotExecuted, reason: ReasonMisdirected}},
			{id: "a", repeatOwn: true, answer: signedResponse("a"), want: ok},
		}, 2},
		"optional id": {Contract{Request: "X-Id", Unexecuted: "X-Unexecuted"}, []exchangeStep{
			{id: "a", answer: refusal("a"), want: refused},
			{id: "a", repeatOwn: true, answer: signedResponse("a"), want: ok},
		}, 2},
		"after other requests": {fullContract, []exchangeStep{
			{id: "a", answer: refusal("a"), want: refused},
			{id: "b", answer: signedResponse("b"), want: ok},
			{id: "c", answer: refusal("c"), want: refused},
			{id: "a", repeatOwn: true, answer: signedResponse("a"), want: ok},
		}, 2},
		"refused again": {fullContract, []exchangeStep{
			{id: "a", answer: refusal("a"), want: refused},
			{id: "a", answer: refusal("a"), want: refused},
		}, 2},
		"other ids keep the connection": {fullContract, []exchangeStep{
			{id: "a", answer: refusal("a"), want: refused},
			{id: "b", answer: refusal("b"), want: refused},
			{id: "c", answer: signedResponse("c"), want: ok},
		}, 1},
		"after many refusals": {fullContract, append(manyRefusals,
			exchangeStep{id: "a", repeatOwn: true, answer: signedResponse("a"), want: ok},
		), 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSteps(t, c.contract, c.connections, c.steps)
		})
	}
}

// Guards against losing the verdict of an upstream that refuses an upload
// before it has read it, against sending such an upload on, and against taking
// the refusal of another request for the one of an upload.
func TestRefusedUpload(t *testing.T) {
	refusal := func(id string) string { return withHeader(refusalWithout, "X-Id: "+id) }
	cases := map[string]struct {
		// atAccept is sent before the request is read, answer once its header was
		// read.
		atAccept, answer string
		want             outcome
		closed           bool
	}{
		"refused at accept":     {atAccept: refusalWithout, want: refused, closed: true},
		"refused":               {answer: refusal("u"), want: refused},
		"refused without id":    {answer: refusalWithout, want: refused, closed: true},
		"another's refusal":     {answer: refusal("0") + signedResponse("u"), want: outcome{status: http.StatusOK, body: "ab"}},
		"another's, at accept":  {atAccept: refusal("0"), answer: signedResponse("u"), want: outcome{status: http.StatusOK, body: "ab"}},
		"another's, without id": {answer: refusal("0") + refusalWithout, want: unidentifiable, closed: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			received := make(chan error, 1)
			upstream := newFakeUpstream(t, func(conn *net.TCPConn, reader *bufio.Reader) {
				_, _ = io.WriteString(conn, c.atAccept)
				request, err := http.ReadRequest(reader)
				if err == nil {
					_, _ = io.WriteString(conn, c.answer)
					_, err = io.Copy(io.Discard, request.Body)
				}
				received <- err
			})
			r := New(upstream.address, 1)
			r.Contract = fullContract
			defer r.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			body := newPausedBody(large, nil)
			request := postRequest(ctx, body, int64(len(large)))
			request.Header.Set("X-Id", "u")
			is.Equal(do(r, request), c.want)
			if c.closed {
				waitClosed(t, r)
			}
			close(body.resume)
			err := <-received
			is.Equal(err != nil, c.closed) // otherwise the upload is sent on
		})
	}
}
