package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/upstream/recorder"
	"sycamorerun/upstream/server"
)

// sendRun sends one request to /run over a new connection.
func sendRun(address, id string) net.Conn {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		panic(err)
	}
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	body := server.Body(id, 0)
	fmt.Fprintf(conn, "POST /run?size=100&bytes=%d&for=1ms HTTP/1.1\r\nHost: u\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		len(body), server.HeaderCall, id, len(body), body)
	return conn
}

// Guards against a configured fault that isn't injected, and against a journal
// that doesn't match what was executed.
func TestFaults(t *testing.T) {
	cases := map[string]struct {
		behavior  server.Behavior
		status    int
		truncated bool   // the body is incomplete
		trailing  string // bytes after the response
		steps     string
	}{
		"none":     {server.Behavior{}, http.StatusOK, false, "", "start end"},
		"fail":     {server.Behavior{Fail: 1}, http.StatusInternalServerError, false, "", ""},
		"shed":     {server.Behavior{Shed: true}, http.StatusServiceUnavailable, false, "", "shed"},
		"lose":     {server.Behavior{Lose: 1}, 0, true, "", "start end"},
		"truncate": {server.Behavior{Truncate: 1}, http.StatusOK, true, "", "start end"},
		"surplus":  {server.Behavior{Surplus: 1}, http.StatusOK, false, "surplus", "start end"},
		"extra":    {server.Behavior{Extra: 1}, http.StatusOK, false, "HTTP/1.1 200 OK", "start end"},
		"no share": {server.Behavior{Lose: 1e-9}, http.StatusOK, false, "", "start end"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newServer()
			var journal strings.Builder
			s.Recorder.Journal, s.Recorder.Instance = &journal, "u"
			s.SetBehavior(test.behavior)
			upstream := httptest.NewUnstartedServer(s.Handler())
			upstream.Config.ConnContext = server.ConnContext
			upstream.Start()
			conn := sendRun(upstream.Listener.Addr().String(), "r")
			defer conn.Close()
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			is.Equal(err != nil, test.status == 0)
			if err == nil {
				is.Equal(response.StatusCode, test.status)
				_, err = io.ReadAll(response.Body)
				is.Equal(err != nil, test.truncated)
			}
			if test.trailing != "" {
				more, err := reader.Peek(len(test.trailing))
				is.NoErr(err)
				is.Equal(string(more), test.trailing)
			}
			upstream.Close() // Waits until the handler returns.
			events, err := recorder.Events(strings.NewReader(journal.String()))
			is.NoErr(err)
			var steps []string
			for _, event := range events {
				steps = append(steps, string(event.Step))
			}
			is.Equal(strings.Join(steps, " "), test.steps)
		})
	}
}

// Guards against an upstream that runs more requests than it has slots, doesn't
// queue requests, or ignores the slowdown while cold.
func TestSlots(t *testing.T) {
	is := is.New(t)
	s := newServer()
	s.Queue, s.Work, s.Started, s.Cold, s.Slowdown = 1, 50*time.Millisecond, time.Now(), time.Hour, 2
	s.SetBehavior(server.Behavior{Reset: true})
	upstream := httptest.NewUnstartedServer(s.Handler())
	upstream.Config.ConnContext = server.ConnContext
	upstream.Start()
	defer upstream.Close()
	start := time.Now()
	var mu sync.Mutex
	var took []time.Duration
	reset := 0
	var group sync.WaitGroup
	for range 3 {
		group.Go(func() {
			conn := sendRun(upstream.Listener.Addr().String(), "r")
			defer conn.Close()
			_, err := http.ReadResponse(bufio.NewReader(conn), nil)
			mu.Lock()
			defer mu.Unlock()
			if err != nil && strings.Contains(err.Error(), "reset") {
				reset++
			}
			if err == nil {
				took = append(took, time.Since(start))
			}
		})
	}
	group.Wait()
	is.Equal(reset, 1)
	is.Equal(len(took), 2)
	is.True(took[0] >= 99*time.Millisecond && took[1] >= 199*time.Millisecond)
}

// Guards against a stand-in that answers what it can't queue although it should hang,
// or that serves a connection again on which it hangs.
func TestHang(t *testing.T) {
	is := is.New(t)
	s := newServer()
	s.Work = 100 * time.Millisecond
	s.SetBehavior(server.Behavior{Hang: true})
	upstream := httptest.NewServer(s.Handler())
	defer upstream.Close()
	address := upstream.Listener.Addr().String()
	status := func(conn net.Conn) int {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return 0
		}
		return response.StatusCode
	}
	running := sendRun(address, "a")
	defer running.Close()
	for s.Recorder.Records().Requests == 0 {
		time.Sleep(time.Millisecond)
	}
	hung := sendRun(address, "b")
	defer hung.Close()
	is.Equal(status(running), http.StatusOK)
	fmt.Fprint(hung, "GET /x HTTP/1.1\r\nHost: u\r\n\r\n")
	_ = hung.SetReadDeadline(time.Now().Add(3 * s.Work))
	is.Equal(status(hung), 0)
	next := sendRun(address, "c")
	defer next.Close()
	is.Equal(status(next), http.StatusOK)
	is.Equal(s.Recorder.Records().Shed, 1)
}
