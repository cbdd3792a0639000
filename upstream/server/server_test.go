package server_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
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

// Guards against records that would let a test of at most once, of deadlines
// or of drains pass although the upstream saw a fault.
func TestRecords(t *testing.T) {
	cases := map[string]struct {
		behavior server.Behavior
		request  func() *http.Request
		status   int
		wanted   recorder.Records
	}{
		"booking": {
			request: func() *http.Request { return keyed("/book", "k1") },
			status:  http.StatusOK,
			wanted:  recorder.Records{Requests: 1, Runs: map[string]int{"k1": 1}},
		},
		"shed": {
			behavior: server.Behavior{Shed: true},
			request:  func() *http.Request { return keyed("/book", "k1") },
			status:   http.StatusServiceUnavailable,
			wanted:   recorder.Records{Shed: 1, Runs: map[string]int{}},
		},
		"expired": {
			request: func() *http.Request {
				r := keyed("/slow?for=1ms", "")
				r.Header.Set(sycamorerun.HeaderDeadline, "0")
				return r
			},
			status: http.StatusOK,
			wanted: recorder.Records{Requests: 1, Expired: 1, Cancelled: 1, Runs: map[string]int{}},
		},
		"after the drain": {
			behavior: server.Behavior{State: sycamorerun.StateDraining},
			request:  func() *http.Request { return keyed("/x", "") },
			status:   http.StatusOK,
			wanted:   recorder.Records{Requests: 1, AfterDrain: 1, Runs: map[string]int{}},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newServer()
			s.Behave(c.behavior)
			answer := httptest.NewRecorder()
			s.Handler().ServeHTTP(answer, c.request())
			is.Equal(answer.Code, c.status)
			got := s.Recorder.Records()
			is.Equal(got.Last.IsZero(), c.wanted.Requests == 0)
			got.LastAfterDrain, got.Last = 0, time.Time{}
			is.Equal(got, c.wanted)
		})
	}
}

func keyed(path, key string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(""))
	r.Header.Set(sycamorerun.HeaderKey, key)
	return r
}

// Guards against a control call that resets what it does not name.
func TestControl(t *testing.T) {
	is := is.New(t)
	s := newServer()
	s.Behave(server.Behavior{State: sycamorerun.StateReady, Delay: 3})
	answer := httptest.NewRecorder()
	s.Control().ServeHTTP(answer, httptest.NewRequest(http.MethodPut, "/behavior", strings.NewReader(`{"shed":true}`)))
	is.Equal(answer.Code, http.StatusNoContent)
	is.Equal(s.Behavior(), server.Behavior{State: sycamorerun.StateReady, Delay: 3, Shed: true})
	answer = httptest.NewRecorder()
	s.Control().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/records", nil))
	var records recorder.Records
	is.NoErr(json.Unmarshal(answer.Body.Bytes(), &records))
}
