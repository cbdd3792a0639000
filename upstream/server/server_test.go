package server_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/upstream/recorder"
	"sycamorerun/upstream/server"
)

func newServer() *server.Server {
	return &server.Server{Name: "u", Service: "s", Slots: 1, Recorder: recorder.New(), Now: time.Now}
}

// Guards against wrong records, which would hide violations of at-most-once
// execution, deadlines or drains from the tests that read them.
func TestRecords(t *testing.T) {
	cases := map[string]struct {
		behavior server.Behavior
		request  func() *http.Request
		status   int
		want     recorder.Records
	}{
		"booking": {
			request: func() *http.Request { return keyedRequest("/book", "k1") },
			status:  http.StatusOK,
			want:    recorder.Records{Requests: 1, Runs: map[string]int{"k1": 1}},
		},
		"shed": {
			behavior: server.Behavior{Shed: true},
			request:  func() *http.Request { return keyedRequest("/book", "k1") },
			status:   http.StatusServiceUnavailable,
			want:     recorder.Records{Shed: 1, Runs: map[string]int{}},
		},
		"expired": {
			request: func() *http.Request {
				r := keyedRequest("/slow?for=1ms", "")
				r.Header.Set(sycamorerun.HeaderDeadline, "0")
				return r
			},
			status: http.StatusGatewayTimeout,
			want:   recorder.Records{Requests: 1, Expired: 1, Cancelled: 1, Runs: map[string]int{}},
		},
		"after the drain": {
			behavior: server.Behavior{State: sycamorerun.StateDraining},
			request:  func() *http.Request { return keyedRequest("/x", "") },
			status:   http.StatusOK,
			want:     recorder.Records{Requests: 1, AfterDrain: 1, Runs: map[string]int{}},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newServer()
			s.SetBehavior(c.behavior)
			answer := httptest.NewRecorder()
			s.Handler().ServeHTTP(answer, c.request())
			is.Equal(answer.Code, c.status)
			got := s.Recorder.Records()
			is.Equal(got.Last.IsZero(), c.want.Requests == 0)
			got.LastAfterDrain, got.Last = 0, time.Time{}
			is.Equal(got, c.want)
		})
	}
}

func keyedRequest(path, key string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(""))
	r.Header.Set(sycamorerun.HeaderKey, key)
	return r
}

// Guards against a control call that resets fields which it doesn't contain.
func TestControl(t *testing.T) {
	is := is.New(t)
	s := newServer()
	s.SetBehavior(server.Behavior{State: sycamorerun.StateReady, Delay: 3})
	answer := httptest.NewRecorder()
	s.Control().ServeHTTP(answer, httptest.NewRequest(http.MethodPut, "/behavior", strings.NewReader(`{"shed":true}`)))
	is.Equal(answer.Code, http.StatusNoContent)
	is.Equal(s.Behavior(), server.Behavior{State: sycamorerun.StateReady, Delay: 3, Shed: true})
	answer = httptest.NewRecorder()
	s.Control().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/records", nil))
	var records recorder.Records
	is.NoErr(json.Unmarshal(answer.Body.Bytes(), &records))
}

// Guards against a chain that stops early, records no run, drops the attempt or
// the deadline on its way, or hides the failure of its last link.
func TestChain(t *testing.T) {
	cases := map[string]struct {
		behavior server.Behavior
		status   int
		links    int
		runs     int
	}{
		"answered":         {status: http.StatusOK, links: 3, runs: 1},
		"last link sheds":  {behavior: server.Behavior{Shed: true}, status: http.StatusBadGateway},
		"last link breaks": {behavior: server.Behavior{Cut: true}, status: http.StatusBadGateway},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, last := newServer(), newServer()
			first.Slots = 2
			last.SetBehavior(c.behavior)
			handlers := map[string]http.Handler{"first.example": first.Handler(), "last.example": last.Handler()}
			node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				handlers[r.Host].ServeHTTP(w, r)
			}))
			defer node.Close()
			first.Caller = server.NewCaller(netip.MustParseAddrPort(node.Listener.Addr().String()))
			request := httptest.NewRequest(http.MethodGet, "/chain/first.example/last.example?key=k", nil)
			request.Header.Set(sycamorerun.HeaderAttempt, "2")
			request.Header.Set(sycamorerun.HeaderDeadline, "5000")
			answer := httptest.NewRecorder()
			first.Handler().ServeHTTP(answer, request)
			is.Equal(answer.Code, c.status)
			is.Equal(last.Recorder.Records().Runs["k"], c.runs)
			if c.links == 0 {
				return
			}
			var chain server.Chain
			is.NoErr(json.Unmarshal(answer.Body.Bytes(), &chain))
			is.Equal(chain.Links, c.links)
			is.Equal(chain.Attempt, "2")
			remaining, err := strconv.Atoi(chain.Deadline)
			is.NoErr(err)
			is.True(remaining > 0 && remaining <= 5000)
		})
	}
}

// Guards against runs and uploads that are lost when an upstream is killed.
func TestJournal(t *testing.T) {
	is := is.New(t)
	var journal bytes.Buffer
	first, second := recorder.New(), recorder.New()
	first.Journal, second.Journal = &journal, &journal
	first.RecordRun("k1")
	first.RecordUpload("sum")
	second.RecordRun("k1")
	records, err := recorder.Replay(&journal)
	is.NoErr(err)
	is.Equal(records, recorder.Records{Runs: map[string]int{"k1": 2}, Uploads: []string{"sum"}})
}
