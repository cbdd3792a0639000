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

var checks = Contract{Identity: "X-Id", Unexecuted: "X-Unexecuted", Signature: "X-Signature"}

// Each case guards what is said of a response or of the end of a connection,
// and whether the connection is used for the next request.
func TestResponses(t *testing.T) {
	// What the upstream does after a response.
	const (
		stay = iota
		shut
		rst
		noise // writes a response that nobody asked for
	)
	type step struct {
		method string
		answer string
		late   time.Duration
		then   int
		want   outcome
	}
	fine := step{answer: ok("ab"), want: outcome{status: 200, body: "ab"}}
	signed := step{answer: with(with(ok("ab"), "X-Id: ID"), "X-Signature: s"), want: outcome{status: 200, body: "ab"}}
	other := with(with(ok("old"), "X-Id: 0"), "X-Signature: s")
	named := Contract{Request: "X-Id"}
	unknown := outcome{ran: Unknown, reason: ReasonBroken}
	refusal := outcome{ran: NotExecuted, reason: ReasonRejected}
	cases := map[string]struct {
		contract    Contract
		steps       []step
		connections int64
	}{
		"kept":             {steps: []step{fine, fine, fine}, connections: 1},
		"connection close": {steps: []step{{answer: with(ok("a"), "Connection: close"), want: outcome{status: 200, body: "a"}}, fine}, connections: 2},
		"http 1.0":         {steps: []step{{answer: strings.Replace(with(ok("a"), "Connection: keep-alive"), "1.1", "1.0", 1), want: outcome{status: 200, body: "a"}}, fine}, connections: 2},
		"surplus bytes":    {steps: []step{{answer: ok("a") + "more", want: outcome{status: 200, body: "a"}}, fine}, connections: 2},
		"late bytes":       {steps: []step{{answer: ok("a"), then: noise, want: outcome{status: 200, body: "a"}}, fine}, connections: 2},
		"no idle time":     {steps: []step{{answer: with(ok("a"), "Keep-Alive: timeout=0"), want: outcome{status: 200, body: "a"}}, fine}, connections: 2},
		"closed when idle": {steps: []step{{answer: ok("a"), then: shut, want: outcome{status: 200, body: "a"}}, fine}, connections: 2},
		"reset when idle":  {steps: []step{{answer: ok("a"), then: rst, want: outcome{status: 200, body: "a"}}, fine}, connections: 2},

		"closed without response": {steps: []step{fine, {then: shut, want: unknown}, fine}, connections: 2},
		"reset without response":  {steps: []step{{then: rst, want: unknown}, fine}, connections: 2},
		"no http":                 {steps: []step{{answer: "220 mail ready\r\n\r\n", want: unknown}, fine}, connections: 2},
		"http 2":                  {steps: []step{{answer: strings.Replace(ok("a"), "1.1", "2.0", 1), want: unknown}}, connections: 1},
		"status too small":        {steps: []step{{answer: strings.Replace(ok(""), "200", "020", 1) + ok("a"), want: unknown}}, connections: 1},
		"head too large":          {steps: []step{{answer: with(ok("a"), "X: "+strings.Repeat("x", headBytes)), want: unknown}}, connections: 1},
		"informational":           {steps: []step{{answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok("a"), want: outcome{status: 200, body: "a"}}, fine}, connections: 1},
		"informational only":      {steps: []step{{answer: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100) + ok("a"), want: unknown}}, connections: 1},
		"other protocol":          {steps: []step{{answer: "HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok("a"), want: unknown}}, connections: 1},
		"cut in the head":         {steps: []step{{answer: "HTTP/1.1 200 OK\r\nX", then: shut, want: unknown}}, connections: 1},

		"empty":                   {steps: []step{{answer: ok(""), want: outcome{status: 200}}, {answer: "HTTP/1.1 204 No Content\r\n\r\n", want: outcome{status: 204}}, fine}, connections: 1},
		"head":                    {steps: []step{{method: http.MethodHead, answer: "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", want: outcome{status: 200}}, fine}, connections: 1},
		"short body":              {steps: []step{{answer: with(ok(""), "Content-Length: 9") + "half", then: shut, want: unknown}}, connections: 1},
		"cut body":                {steps: []step{{answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", then: shut, want: outcome{status: 200, body: "half", broken: true}}, fine}, connections: 2},
		"chunked":                 {steps: []step{{answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", want: outcome{status: 200, body: "ab"}}, fine}, connections: 1},
		"without the final chunk": {steps: []step{{answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", then: shut, want: outcome{status: 200, body: "ab", broken: true}}}, connections: 1},
		"cut in the final chunk":  {steps: []step{{answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n", then: shut, want: outcome{status: 200, body: "ab", broken: true}}}, connections: 1},
		"without length":          {steps: []step{{answer: "HTTP/1.1 200 OK\r\n\r\nab", then: shut, want: outcome{status: 200, body: "ab"}}, fine}, connections: 2},
		"without length, reset":   {steps: []step{{answer: "HTTP/1.1 200 OK\r\n\r\nab", then: rst, want: outcome{status: 200, body: "ab", broken: true}}}, connections: 1},

		"signed":              {contract: checks, steps: []step{signed, signed}, connections: 1},
		"unsigned":            {contract: checks, steps: []step{{answer: with(ok("a"), "X-Id: ID"), want: outcome{ran: Unknown, reason: ReasonUnsigned}}, signed}, connections: 2},
		"unsigned failure":    {contract: checks, steps: []step{{answer: strings.Replace(with(ok("a"), "X-Id: ID"), "200", "500", 1), want: outcome{status: 500, body: "a"}}, signed}, connections: 1},
		"refused":             {contract: checks, steps: []step{{answer: strings.Replace(with(with(ok("a"), "X-Id: ID"), "X-Unexecuted: 1"), "200", "503", 1), want: refusal}, signed}, connections: 1},
		"refused, cut body":   {contract: checks, steps: []step{{answer: "HTTP/1.1 421 No\r\nX-Id: ID\r\nContent-Length: 9\r\n\r\n", want: outcome{ran: NotExecuted, reason: ReasonMisdirected}}, signed}, connections: 2},
		"slow after refused":  {contract: checks, steps: []step{{answer: strings.Replace(with(ok("a"), "X-Id: ID"), "200", "421", 1), want: outcome{ran: NotExecuted, reason: ReasonMisdirected}}, {late: 2 * spareWait, answer: signed.answer, want: signed.want}}, connections: 1},
		"refused, no length":  {contract: checks, steps: []step{{answer: "HTTP/1.1 429 Slow\r\nX-Id: ID\r\nX-Unexecuted: 1\r\n\r\n", want: refusal}, signed}, connections: 2},
		"misdirected":         {contract: checks, steps: []step{{answer: strings.Replace(with(ok("a"), "X-Id: ID"), "200", "421", 1), want: outcome{ran: NotExecuted, reason: ReasonMisdirected}}, signed}, connections: 1},
		"status alone":        {contract: checks, steps: []step{{answer: strings.Replace(with(ok("a"), "X-Id: ID"), "200", "503", 1), want: outcome{status: 503, body: "a"}}}, connections: 1},
		"no such check":       {steps: []step{{answer: strings.Replace(with(ok("a"), "X-Unexecuted: 1"), "200", "421", 1), want: outcome{status: 421, body: "a"}}, fine}, connections: 1},
		"response of another": {contract: checks, steps: []step{signed, {answer: other + signed.answer, want: signed.want}, signed}, connections: 2},
		"two of others":       {contract: checks, steps: []step{{answer: other + strings.Replace(other, "old", "OLD", 1) + signed.answer, want: signed.want}, signed}, connections: 2},
		"named, of another":   {contract: named, steps: []step{signed, {answer: other + signed.answer, want: signed.want}, signed}, connections: 2},
		"named, without id":   {contract: named, steps: []step{fine, signed, fine}, connections: 1},
		"another's refusal":   {contract: checks, steps: []step{{answer: with(other, "X-Unexecuted: 1") + signed.answer, want: signed.want}}, connections: 1},
		"another's only":      {contract: checks, steps: []step{{answer: other, want: unknown}, signed}, connections: 2},
		"after a head":        {contract: checks, steps: []step{{method: http.MethodHead, answer: signed.answer[:len(signed.answer)-2], want: outcome{status: 200}}, {answer: other + signed.answer, want: unknown}}, connections: 1},
		"two ids":             {contract: checks, steps: []step{{answer: with(signed.answer, "X-Id: ID"), want: unknown}}, connections: 1},
		"without id":          {contract: checks, steps: []step{{answer: with(ok("a"), "X-Signature: s"), want: outcome{ran: Unknown, reason: ReasonUnidentified}}, signed}, connections: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var at atomic.Int64
			settled := make(chan struct{}, 1)
			upstream := newFake(t, func(conn *net.TCPConn, reader *bufio.Reader) {
				for {
					request, err := take(reader)
					if err != nil {
						return
					}
					now := c.steps[at.Add(1)-1]
					time.Sleep(now.late)
					_, _ = io.WriteString(conn, strings.ReplaceAll(now.answer, "ID", request.Header.Get("X-Id")))
					switch now.then {
					case rst:
						reset(conn)
					case noise:
						time.Sleep(5 * time.Millisecond)
						_, _ = io.WriteString(conn, other)
					case shut:
						_ = conn.Close()
					}
					settled <- struct{}{}
				}
			})
			r := New(upstream.address, 4)
			r.Contract = c.contract
			defer r.Close()
			for at, step := range c.steps {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				began, request := time.Now(), get(ctx, "id-"+itoa(at+1))
				if step.method != "" {
					request.Method = step.method
				}
				is.Equal(do(r, request), step.want)
				is.True(step.want != refusal || time.Since(began) < 700*time.Millisecond) // is not held back
				<-settled
				cancel()
			}
			is.Equal(upstream.accepted.Load(), c.connections)
		})
	}
}

// Guards "not run" for requests that reached no upstream.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	r := New(netip.MustParseAddrPort(listener.Addr().String()), 1)
	for range 2 { // a failed dial does not count as a connection
		is.Equal(do(r, get(t.Context(), "")), outcome{ran: NotExecuted, reason: ReasonUnreachable})
	}
	invalid := get(t.Context(), "")
	invalid.Header["X"] = []string{"a\r\nY: b"}
	is.Equal(do(r, invalid), outcome{ran: NotExecuted, reason: ReasonRequest})
	r.Dial = func(ctx context.Context) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	is.Equal(do(r, get(ctx, "")), outcome{ran: NotExecuted, reason: ReasonUnreachable})
	r.Close()
	is.Equal(do(r, get(t.Context(), "")), outcome{ran: NotExecuted, reason: ReasonUnreachable})
}

// Guards the upstream against more connections than it takes, the caller
// against waiting for one, and against the loss of connections by counting.
func TestLimit(t *testing.T) {
	is := is.New(t)
	taken, proceed := make(chan struct{}), make(chan struct{})
	upstream := newFake(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		serving(conn, reader, func(string) string {
			taken <- struct{}{}
			<-proceed
			return ok("a")
		})
	})
	r := New(upstream.address, 3)
	defer r.Close()
	for round := range 3 {
		outcomes := make(chan outcome, 3)
		ctx, cancel := context.WithCancel(t.Context())
		for range 3 {
			go func() { outcomes <- do(r, get(ctx, "")) }()
		}
		for range 3 {
			<-taken
		}
		is.Equal(do(r, get(t.Context(), "")), outcome{ran: NotExecuted, reason: ReasonFull})
		if round == 1 {
			cancel() // closed connections make room for others
		}
		for n := range 6 {
			if (n < 3) == (round == 1) { // canceled ones end before the upstream answers
				is.Equal((<-outcomes).status == 200, round != 1)
			} else {
				proceed <- struct{}{}
			}
		}
		cancel()
	}
	is.Equal(upstream.accepted.Load(), int64(6))
	is.Equal(kept(&r.pool), 3)
	r.Close()
	is.Equal(count(&r.pool), 0)
}

func count(p *pool) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}

// empty waits until no connection is counted.
func empty(t *testing.T, r *Requester) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); count(&r.pool) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a closed connection still counts")
		}
	}
}

func kept(p *pool) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.kept)
}

// Guards a connection against a request that crosses the upstream's close, and
// the upstream against connections that nobody needs.
func TestIdle(t *testing.T) {
	for line, want := range map[string]time.Duration{
		"":                           defaultIdle,
		"timeout=0":                  0,
		"timeout=1":                  500 * time.Millisecond,
		"timeout=2":                  1500 * time.Millisecond,
		"max=5, Timeout = 5":         4 * time.Second,
		"timeout=30":                 24 * time.Second,
		"timeout=9, timeout=4":       3200 * time.Millisecond,
		"timeout=-3":                 defaultIdle,
		"timeout=99999999999999999":  defaultIdle,
		"timeout,,=;timeout=x,max=":  defaultIdle,
		"timeout=2147483647, max=10": defaultIdle,
	} {
		is.New(t).Equal(idle(http.Header{"Keep-Alive": {line}}), want)
	}
	is := is.New(t)
	closed := make(chan time.Time, 1)
	upstream := newFake(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		serving(conn, reader, func(string) string { return with(ok("a"), "Keep-Alive: timeout=1") })
		closed <- time.Now()
	})
	r := New(upstream.address, 1)
	is.Equal(do(r, get(t.Context(), "")).status, 200)
	began := time.Now()
	took := (<-closed).Sub(began)
	is.True(took > 300*time.Millisecond && took < 950*time.Millisecond)
	empty(t, r)
	is.Equal(do(r, get(t.Context(), "")).status, 200)
	r.pool.kept[0].expires = time.Now() // expired, and the sweep has not run
	is.Equal(do(r, get(t.Context(), "")).status, 200)
	is.Equal(upstream.accepted.Load(), int64(3))
}

// Guards against work for a caller that has gone.
func TestCancel(t *testing.T) {
	cases := map[string]struct {
		answer string
		body   io.Reader
	}{
		"waiting":                    {},
		"in the body":                {answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"},
		"behind another response":    {answer: with(ok("a"), "X-Id: 0")},
		"in a response of another":   {answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX-Id: 0\r\n\r\nhalf"},
		"sending":                    {body: &slow{}},
		"sending, response complete": {answer: ok("a"), body: &slow{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			closed := make(chan time.Time, 1)
			upstream := newFake(t, func(conn *net.TCPConn, reader *bufio.Reader) {
				_, _ = http.ReadRequest(reader)
				_, _ = io.WriteString(conn, c.answer)
				_, _ = io.Copy(io.Discard, reader)
				closed <- time.Now()
			})
			r := New(upstream.address, 1)
			r.Contract = Contract{Identity: "X-Id"}
			ctx, cancel := context.WithCancel(t.Context())
			request := get(ctx, "1")
			if c.body != nil {
				request = post(ctx, c.body, -1)
			}
			ended := make(chan struct{})
			go func() {
				do(r, request)
				close(ended)
			}()
			time.Sleep(50 * time.Millisecond)
			began := time.Now()
			cancel()
			<-ended
			is.True((<-closed).Sub(began) < 400*time.Millisecond)
			empty(t, r)
		})
	}
}

// slow is a body without end.
type slow struct{}

func (*slow) Read(p []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return copy(p, "abc"), nil
}
