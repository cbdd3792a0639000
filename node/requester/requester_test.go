package requester

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

func itoa(n int) string { return strconv.Itoa(n) }

var fullContract = Contract{Identity: "X-Id", Unexecuted: "X-Unexecuted", Signature: "X-Signature"}

// Each case guards against a wrong classification of a response or of the end
// of a connection, and against reusing or closing the connection wrongly
// afterwards.
func TestResponses(t *testing.T) {
	// Actions of the upstream after a response.
	const (
		keepOpen = iota
		closeConn
		resetConn
		extraResponse // sends an unsolicited response
	)
	type step struct {
		method string
		answer string
		delay  time.Duration
		after  int
		want   outcome
	}
	plain := step{answer: okResponse("ab"), want: outcome{status: 200, body: "ab"}}
	signed := step{answer: withHeader(withHeader(okResponse("ab"), "X-Id: ID"), "X-Signature: s"), want: outcome{status: 200, body: "ab"}}
	otherResponse := withHeader(withHeader(okResponse("old"), "X-Id: 0"), "X-Signature: s")
	optionalID := Contract{Request: "X-Id"}
	unknown := outcome{execution: PossiblyExecuted, reason: ReasonBroken}
	rejection := outcome{execution: NotExecuted, reason: ReasonRejected}
	cases := map[string]struct {
		contract    Contract
		steps       []step
		connections int64
	}{
		"kept":             {steps: []step{plain, plain, plain}, connections: 1},
		"connection close": {steps: []step{{answer: withHeader(okResponse("a"), "Connection: close"), want: outcome{status: 200, body: "a"}}, plain}, connections: 2},
		"http 1.0":         {steps: []step{{answer: strings.Replace(withHeader(okResponse("a"), "Connection: keep-alive"), "1.1", "1.0", 1), want: outcome{status: 200, body: "a"}}, plain}, connections: 2},
		"surplus bytes":    {steps: []step{{answer: okResponse("a") + "more", want: outcome{status: 200, body: "a"}}, plain}, connections: 2},
		"late bytes":       {steps: []step{{answer: okResponse("a"), after: extraResponse, want: outcome{status: 200, body: "a"}}, plain}, connections: 2},
		"no idle time":     {steps: []step{{answer: withHeader(okResponse("a"), "Keep-Alive: timeout=0"), want: outcome{status: 200, body: "a"}}, plain}, connections: 2},
		"closed when idle": {steps: []step{{answer: okResponse("a"), after: closeConn, want: outcome{status: 200, body: "a"}}, plain}, connections: 2},
		"reset when idle":  {steps: []step{{answer: okResponse("a"), after: resetConn, want: outcome{status: 200, body: "a"}}, plain}, connections: 2},

		"closed without response": {steps: []step{plain, {after: closeConn, want: unknown}, plain}, connections: 2},
		"reset without response":  {steps: []step{{after: resetConn, want: unknown}, plain}, connections: 2},
		"no http":                 {steps: []step{{answer: "220 mail ready\r\n\r\n", want: unknown}, plain}, connections: 2},
		"http 2":                  {steps: []step{{answer: strings.Replace(okResponse("a"), "1.1", "2.0", 1), want: unknown}}, connections: 1},
		"status too small":        {steps: []step{{answer: strings.Replace(okResponse(""), "200", "020", 1) + okResponse("a"), want: unknown}}, connections: 1},
		"head too large":          {steps: []step{{answer: withHeader(okResponse("a"), "X: "+strings.Repeat("x", maxHeaderBytes)), want: unknown}}, connections: 1},
		"informational":           {steps: []step{{answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okResponse("a"), want: outcome{status: 200, body: "a"}}, plain}, connections: 1},
		"informational only":      {steps: []step{{answer: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100) + okResponse("a"), want: unknown}}, connections: 1},
		"other protocol":          {steps: []step{{answer: "HTTP/1.1 101 Switching Protocols\r\n\r\n" + okResponse("a"), want: unknown}}, connections: 1},
		"cut in the head":         {steps: []step{{answer: "HTTP/1.1 200 OK\r\nX", after: closeConn, want: unknown}}, connections: 1},

		"empty":                   {steps: []step{{answer: okResponse(""), want: outcome{status: 200}}, {answer: "HTTP/1.1 204 No Content\r\n\r\n", want: outcome{status: 204}}, plain}, connections: 1},
		"head":                    {steps: []step{{method: http.MethodHead, answer: "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", want: outcome{status: 200}}, plain}, connections: 1},
		"short body":              {steps: []step{{answer: withHeader(okResponse(""), "Content-Length: 9") + "half", after: closeConn, want: unknown}}, connections: 1},
		"cut body":                {steps: []step{{answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", after: closeConn, want: outcome{status: 200, body: "half", bodyFailed: true}}, plain}, connections: 2},
		"chunked":                 {steps: []step{{answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", want: outcome{status: 200, body: "ab"}}, plain}, connections: 1},
		"without the final chunk": {steps: []step{{answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", after: closeConn, want: outcome{status: 200, body: "ab", bodyFailed: true}}}, connections: 1},
		"cut in the final chunk":  {steps: []step{{answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n", after: closeConn, want: outcome{status: 200, body: "ab", bodyFailed: true}}}, connections: 1},
		"without length":          {steps: []step{{answer: "HTTP/1.1 200 OK\r\n\r\nab", after: closeConn, want: outcome{status: 200, body: "ab"}}, plain}, connections: 2},
		"without length, reset":   {steps: []step{{answer: "HTTP/1.1 200 OK\r\n\r\nab", after: resetConn, want: outcome{status: 200, body: "ab", bodyFailed: true}}}, connections: 1},

		"signed":              {contract: fullContract, steps: []step{signed, signed}, connections: 1},
		"unsigned":            {contract: fullContract, steps: []step{{answer: withHeader(okResponse("a"), "X-Id: ID"), want: outcome{execution: PossiblyExecuted, reason: ReasonUnsigned}}, signed}, connections: 2},
		"unsigned failure":    {contract: fullContract, steps: []step{{answer: strings.Replace(withHeader(okResponse("a"), "X-Id: ID"), "200", "500", 1), want: outcome{status: 500, body: "a"}}, signed}, connections: 1},
		"refused":             {contract: fullContract, steps: []step{{answer: strings.Replace(withHeader(withHeader(okResponse("a"), "X-Id: ID"), "X-Unexecuted: 1"), "200", "503", 1), want: rejection}, signed}, connections: 1},
		"refused, cut body":   {contract: fullContract, steps: []step{{answer: "HTTP/1.1 421 No\r\nX-Id: ID\r\nContent-Length: 9\r\n\r\n", want: outcome{execution: NotExecuted, reason: ReasonMisdirected}}, signed}, connections: 2},
		"slow after refused":  {contract: fullContract, steps: []step{{answer: strings.Replace(withHeader(okResponse("a"), "X-Id: ID"), "200", "421", 1), want: outcome{execution: NotExecuted, reason: ReasonMisdirected}}, {delay: 2 * drainTimeout, answer: signed.answer, want: signed.want}}, connections: 1},
		"refused, no length":  {contract: fullContract, steps: []step{{answer: "HTTP/1.1 429 Slow\r\nX-Id: ID\r\nX-Unexecuted: 1\r\n\r\n", want: rejection}, signed}, connections: 2},
		"misdirected":         {contract: fullContract, steps: []step{{answer: strings.Replace(withHeader(okResponse("a"), "X-Id: ID"), "200", "421", 1), want: outcome{execution: NotExecuted, reason: ReasonMisdirected}}, signed}, connections: 1},
		"status alone":        {contract: fullContract, steps: []step{{answer: strings.Replace(withHeader(okResponse("a"), "X-Id: ID"), "200", "503", 1), want: outcome{status: 503, body: "a"}}}, connections: 1},
		"no such check":       {steps: []step{{answer: strings.Replace(withHeader(okResponse("a"), "X-Unexecuted: 1"), "200", "421", 1), want: outcome{status: 421, body: "a"}}, plain}, connections: 1},
		"response of another": {contract: fullContract, steps: []step{signed, {answer: otherResponse + signed.answer, want: signed.want}, signed}, connections: 2},
		"two of others":       {contract: fullContract, steps: []step{{answer: otherResponse + strings.Replace(otherResponse, "old", "OLD", 1) + signed.answer, want: signed.want}, signed}, connections: 2},
		"named, of another":   {contract: optionalID, steps: []step{signed, {answer: otherResponse + signed.answer, want: signed.want}, signed}, connections: 2},
		"named, without id":   {contract: optionalID, steps: []step{plain, signed, plain}, connections: 1},
		"another's refusal":   {contract: fullContract, steps: []step{{answer: withHeader(otherResponse, "X-Unexecuted: 1") + signed.answer, want: signed.want}}, connections: 1},
		"another's only":      {contract: fullContract, steps: []step{{answer: otherResponse, want: unknown}, signed}, connections: 2},
		"after a head":        {contract: fullContract, steps: []step{{method: http.MethodHead, answer: signed.answer[:len(signed.answer)-2], want: outcome{status: 200}}, {answer: otherResponse + signed.answer, want: unknown}}, connections: 1},
		"two ids":             {contract: fullContract, steps: []step{{answer: withHeader(signed.answer, "X-Id: ID"), want: unknown}}, connections: 1},
		"without id":          {contract: fullContract, steps: []step{{answer: withHeader(okResponse("a"), "X-Signature: s"), want: outcome{execution: PossiblyExecuted, reason: ReasonUnidentified}}, signed}, connections: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var received atomic.Int64
			stepDone := make(chan struct{}, 1)
			upstream := newFakeUpstream(t, func(conn *net.TCPConn, reader *bufio.Reader) {
				for {
					request, err := readRequest(reader)
					if err != nil {
						return
					}
					current := c.steps[received.Add(1)-1]
					time.Sleep(current.delay)
					_, _ = io.WriteString(conn, strings.ReplaceAll(current.answer, "ID", request.Header.Get("X-Id")))
					switch current.after {
					case resetConn:
						reset(conn)
					case extraResponse:
						time.Sleep(5 * time.Millisecond)
						_, _ = io.WriteString(conn, otherResponse)
					case closeConn:
						_ = conn.Close()
					}
					stepDone <- struct{}{}
				}
			})
			r := New(upstream.address, 4)
			r.Contract = c.contract
			defer r.Close()
			for i, step := range c.steps {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				start, request := time.Now(), getRequest(ctx, "id-"+itoa(i+1))
				if step.method != "" {
					request.Method = step.method
				}
				is.Equal(do(r, request), step.want)
				is.True(step.want != rejection || time.Since(start) < 700*time.Millisecond) // a rejection does not wait for the end of its body
				<-stepDone
				cancel()
			}
			is.Equal(upstream.accepted.Load(), c.connections)
		})
	}
}

// Guards against failures without contact to the upstream that are not reported
// as not executed.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	r := New(netip.MustParseAddrPort(listener.Addr().String()), 1)
	for range 2 { // a failed dial does not occupy a connection slot
		is.Equal(do(r, getRequest(t.Context(), "")), outcome{execution: NotExecuted, reason: ReasonUnreachable})
	}
	invalid := getRequest(t.Context(), "")
	invalid.Header["X"] = []string{"a\r\nY: b"}
	is.Equal(do(r, invalid), outcome{execution: NotExecuted, reason: ReasonBadRequest})
	r.Dial = func(ctx context.Context) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	is.Equal(do(r, getRequest(ctx, "")), outcome{execution: NotExecuted, reason: ReasonUnreachable})
	r.Close()
	is.Equal(do(r, getRequest(t.Context(), "")), outcome{execution: NotExecuted, reason: ReasonUnreachable})
}

// Guards against opening more connections than the limit, waiting for a free
// connection instead of failing, and miscounting open connections.
func TestLimit(t *testing.T) {
	is := is.New(t)
	received, proceed := make(chan struct{}), make(chan struct{})
	upstream := newFakeUpstream(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		serveRequests(conn, reader, func(string) string {
			received <- struct{}{}
			<-proceed
			return okResponse("a")
		})
	})
	r := New(upstream.address, 3)
	defer r.Close()
	for round := range 3 {
		outcomes := make(chan outcome, 3)
		ctx, cancel := context.WithCancel(t.Context())
		for range 3 {
			go func() { outcomes <- do(r, getRequest(ctx, "")) }()
		}
		for range 3 {
			<-received
		}
		is.Equal(do(r, getRequest(t.Context(), "")), outcome{execution: NotExecuted, reason: ReasonConnectionsFull})
		if round == 1 {
			cancel() // closed connections free their slots
		}
		for n := range 6 {
			if (n < 3) == (round == 1) { // canceled requests end before the upstream answers
				is.Equal((<-outcomes).status == 200, round != 1)
			} else {
				proceed <- struct{}{}
			}
		}
		cancel()
	}
	is.Equal(upstream.accepted.Load(), int64(6))
	is.Equal(idleCount(&r.pool), 3)
	r.Close()
	is.Equal(openCount(&r.pool), 0)
}

func openCount(p *pool) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}

// waitClosed waits until no connection is counted as open.
func waitClosed(t *testing.T, r *Requester) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); openCount(&r.pool) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("connections still counted as open after 5 s")
		}
	}
}

func idleCount(p *pool) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle)
}

// Guards against requests over a connection that the upstream is about to
// close, and against idle connections that are never closed.
func TestIdle(t *testing.T) {
	for line, want := range map[string]time.Duration{
		"":                           defaultIdleTimeout,
		"timeout=0":                  0,
		"timeout=1":                  500 * time.Millisecond,
		"timeout=2":                  1500 * time.Millisecond,
		"max=5, Timeout = 5":         4 * time.Second,
		"timeout=30":                 24 * time.Second,
		"timeout=9, timeout=4":       3200 * time.Millisecond,
		"timeout=-3":                 defaultIdleTimeout,
		"timeout=99999999999999999":  defaultIdleTimeout,
		"timeout,,=;timeout=x,max=":  defaultIdleTimeout,
		"timeout=2147483647, max=10": defaultIdleTimeout,
	} {
		is.New(t).Equal(idleTimeout(http.Header{"Keep-Alive": {line}}), want)
	}
	is := is.New(t)
	closed := make(chan time.Time, 1)
	upstream := newFakeUpstream(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		serveRequests(conn, reader, func(string) string { return withHeader(okResponse("a"), "Keep-Alive: timeout=1") })
		closed <- time.Now()
	})
	r := New(upstream.address, 1)
	is.Equal(do(r, getRequest(t.Context(), "")).status, 200)
	start := time.Now()
	took := (<-closed).Sub(start)
	is.True(took > 300*time.Millisecond && took < 950*time.Millisecond)
	waitClosed(t, r)
	is.Equal(do(r, getRequest(t.Context(), "")).status, 200)
	r.pool.idle[0].expires = time.Now() // expired but not yet swept
	is.Equal(do(r, getRequest(t.Context(), "")).status, 200)
	is.Equal(upstream.accepted.Load(), int64(3))
}

// Guards against an upstream that keeps working on a request after its caller
// has canceled it.
func TestCancel(t *testing.T) {
	cases := map[string]struct {
		answer string
		body   io.Reader
	}{
		"waiting":                    {},
		"in the body":                {answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"},
		"behind another response":    {answer: withHeader(okResponse("a"), "X-Id: 0")},
		"in a response of another":   {answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX-Id: 0\r\n\r\nhalf"},
		"sending":                    {body: &endlessBody{}},
		"sending, response complete": {answer: okResponse("a"), body: &endlessBody{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			closed := make(chan time.Time, 1)
			upstream := newFakeUpstream(t, func(conn *net.TCPConn, reader *bufio.Reader) {
				_, _ = http.ReadRequest(reader)
				_, _ = io.WriteString(conn, c.answer)
				_, _ = io.Copy(io.Discard, reader)
				closed <- time.Now()
			})
			r := New(upstream.address, 1)
			r.Contract = Contract{Identity: "X-Id"}
			ctx, cancel := context.WithCancel(t.Context())
			request := getRequest(ctx, "1")
			if c.body != nil {
				request = postRequest(ctx, c.body, -1)
			}
			done := make(chan struct{})
			go func() {
				do(r, request)
				close(done)
			}()
			time.Sleep(50 * time.Millisecond)
			start := time.Now()
			cancel()
			<-done
			is.True((<-closed).Sub(start) < 400*time.Millisecond)
			waitClosed(t, r)
		})
	}
}

// endlessBody is a body that never ends.
type endlessBody struct{}

func (*endlessBody) Read(p []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return copy(p, "abc"), nil
}
