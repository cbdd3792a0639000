package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/node/limiter"
)

// sendAndRead sends a text on a new connection. It returns the response, whose
// body has been read, and a function that waits for the end of the connection.
func sendAndRead(t *testing.T, fx *fixture, text string, send func(io.Writer)) (*http.Response, func()) {
	t.Helper()
	is := is.New(t)
	conn, reader, err := sendRaw(fx, text)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	go send(conn)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	return response, func() { _, _ = reader.ReadByte() }
}

func sendNothing(io.Writer) {}

// Guards against a body without a length that exceeds the limit and is executed
// as complete, or whose caller is told that it may retry. Also guards against a
// caller that sends nothing and holds a slot for the idle timeout of the
// service.
func TestBodyLimits(t *testing.T) {
	const limit, end, sized, chunked = 100 << 10, "0\r\n\r\n", "Content-Length: ", "Transfer-Encoding: chunked\r\n\r\n"
	chunk := func(bytes int) string { return fmt.Sprintf("%x\r\n%s\r\n", bytes, strings.Repeat("x", bytes)) }
	cases := map[string]struct {
		rest     string
		status   int
		executed int64
	}{
		"at the limit":      {chunked + chunk(limit) + end, 200, 1},
		"a byte beyond":     {chunked + chunk(limit+1) + end, 413, 1},
		"in a second chunk": {chunked + chunk(limit) + chunk(1) + end, 413, 1},
		"far beyond":        {chunked + chunk(40*limit) + end, 413, 1},
		"no end":            {chunked + chunk(limit) + chunk(1), 413, 1},
		"late chunk":        {chunked + chunk(10), 504, 1},
		"no chunk":          {chunked, 504, 1},
		"late, large":       {sized + "90000\r\n\r\nhalf", 504, 1},
		"late, small":       {sized + "10\r\n\r\nhalf", 408, 0},
	}
	forBothPaths(t, func(t *testing.T, local bool) {
		for name, c := range cases {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				complete := make(chan bool, 1)
				fx := newFixture(t, local, func(_ http.ResponseWriter, r *http.Request) {
					_, err := io.Copy(io.Discard, r.Body)
					complete <- err == nil
				})
				fx.match.Idle, fx.match.Timeout, fx.match.Repeatable, fx.maxRetries = time.Minute, time.Minute, true, 2
				if fx.entry.BodyTimeout = time.Minute; c.status == 504 || c.status == 408 {
					fx.entry.BodyTimeout = 200 * time.Millisecond
				}
				fx.entry.SetLimits(sycamorerun.Limits{Body: limit})
				response, _ := sendAndRead(t, fx, "POST /x HTTP/1.1\r\nHost: h\r\n"+c.rest, sendNothing)
				is.Equal(response.StatusCode, c.status)
				is.Equal(response.Close, c.status != 200) // the rest must not be parsed as a request
				is.Equal(response.Header.Get(sycamorerun.HeaderReason) == reasonBodyTooLarge, c.status == 413)
				is.True(c.executed == 0 || <-complete == (c.status == 200))
				is.Equal(fx.executed.Load(), c.executed)
			})
		}
	})
}

// Guards against BodyTimeout ending a call while its caller is not at fault,
// because the call waits for a slot or the upstream reads late.
func TestBodyTimeoutCountsReads(t *testing.T) {
	forBothPaths(t, func(t *testing.T, local bool) {
		fx := newFixture(t, local, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(500 * time.Millisecond)
			reply("ok")(w, r)
		})
		fx.limiter.Resize(limiter.Limits{Slots: 1, Queue: 2, Connections: 130})
		fx.entry.BodyTimeout = 200 * time.Millisecond
		results := make(chan callResult, 2)
		for range 2 {
			go func() { results <- fx.send(http.MethodPost, "/x", io.MultiReader(strings.NewReader(largeBody))) }()
		}
		is.New(t).Equal((<-results).status+(<-results).status, 400)
	})
}

// Guards against a refused request whose caller sends its body slowly or not at
// all and so keeps its connection open, or whose caller loses the response
// because it is still sending.
func TestRefusedBody(t *testing.T) {
	const sized = "Host: h\r\nContent-Length: 5000\r\n"
	cases := map[string]struct {
		head   string
		status int
	}{
		"no route":         {"/x HTTP/1.1\r\n" + sized, 404},
		"no route, chunks": {"/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n", 404},
		"bad path":         {"/../x HTTP/1.1\r\n" + sized, 400},
		"too long":         {"/x HTTP/1.1\r\nHost: h\r\nContent-Length: 50000000\r\n", 413},
		"header":           {"/x HTTP/1.1\r\n" + sized + "X: " + strings.Repeat("x", 5000) + "\r\n", 431},
	}
	repeated := func(times int, text string, pause time.Duration) func(io.Writer) {
		return func(conn io.Writer) {
			for range times {
				if _, err := io.WriteString(conn, text); err != nil {
					return
				}
				time.Sleep(pause)
			}
		}
	}
	for name, c := range cases {
		for sender, send := range map[string]func(io.Writer){
			"nothing": sendNothing, "slowly": repeated(1000, "x", 10*time.Millisecond), "all": repeated(50, largeBody, 0),
		} {
			t.Run(name+", "+sender, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				fx := newFixture(t, true, reply("ok"))
				fx.hasRoute = c.status != 404
				fx.entry.SetLimits(sycamorerun.Limits{Header: 4 << 10, Body: 1 << 20, Idle: sycamorerun.Duration(time.Minute)})
				start := time.Now()
				response, waitClosed := sendAndRead(t, fx, "POST "+c.head+"\r\n", send)
				is.Equal(response.StatusCode, c.status)
				is.Equal(response.Header.Get("Keep-Alive"), "")
				is.True(response.Close)
				waitClosed()
				is.True(time.Since(start) < 4*time.Second)
				is.Equal(fx.executed.Load(), int64(0))
			})
		}
	}
}
