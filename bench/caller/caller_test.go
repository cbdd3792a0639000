package caller

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/upstream/recorder"
	"sycamorerun/upstream/server"
)

// Guards against schedules that differ between runs with the same seed, and
// against bursts with a wrong rate or at a wrong time.
func TestSchedule(t *testing.T) {
	is := is.New(t)
	c := &Generator{
		Entries: []Entry{{Name: "a", Zone: "x"}, {Name: "b", Zone: "y"}}, Seed: 7,
		Kinds:  []Kind{{Name: "k", Rate: 200, ImmediateRetryShare: 0.5, DisconnectShare: 0.5}},
		Bursts: []Burst{{Kind: "k", At: 10 * time.Second, For: 5 * time.Second, Factor: 4}, {At: 15 * time.Second, For: time.Second}},
	}
	is.NoErr(c.verify())
	first := slices.Collect(c.schedule(0, 20*time.Second))
	is.Equal(first, slices.Collect(c.schedule(0, 20*time.Second)))
	c.Seed = 8
	is.True(!slices.Equal(first, slices.Collect(c.schedule(0, 20*time.Second))))
	count := func(from, to time.Duration) (n int) {
		for _, next := range first {
			if next.due >= from && next.due < to {
				n++
			}
		}
		return n
	}
	within := func(n, expected int) bool { return n > expected*9/10 && n < expected*11/10 }
	is.True(within(count(0, 10*time.Second), 2000))
	is.True(within(count(10*time.Second, 15*time.Second), 4000))
	is.Equal(count(15*time.Second, 16*time.Second), 0)
	is.True(within(count(16*time.Second, 20*time.Second), 800))
}

// Guards against misread results, latencies that exclude the delay before a
// retry, retries of requests that must not run twice, and an ignored Retry-After.
func TestAttempts(t *testing.T) {
	upstream := &server.Server{Name: "u", Slots: 100, Recorder: recorder.New(), Now: time.Now}
	handler := upstream.Handler()
	shed := func(w http.ResponseWriter) {
		w.Header().Set("Retry-After", "0.200")
		http.Error(w, "full", http.StatusServiceUnavailable)
	}
	cases := map[string]struct {
		kind Kind
		// first handles the first attempt; if nil, the upstream does.
		first      func(w http.ResponseWriter, r *http.Request)
		attempts   int
		result     sycamorerun.Result // of the first attempt
		served     bool
		minLatency time.Duration
	}{
		"answered":  {Kind{Body: 3000, Response: 5000}, nil, 1, sycamorerun.Answered, true, 0},
		"chunked":   {Kind{Body: 3000, Chunked: true}, nil, 1, sycamorerun.Answered, true, 0},
		"refused":   {Kind{Retries: 2, AtMostOnce: true}, func(w http.ResponseWriter, _ *http.Request) { shed(w) }, 2, sycamorerun.NotRun, true, 200 * time.Millisecond},
		"hasty":     {Kind{Retries: 2, ImmediateRetryShare: 1}, func(w http.ResponseWriter, _ *http.Request) { shed(w) }, 2, sycamorerun.NotRun, true, 0},
		"broken":    {Kind{Retries: 2}, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 2, sycamorerun.Unknown, true, 0},
		"run once":  {Kind{Retries: 2, AtMostOnce: true}, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 1, sycamorerun.Unknown, false, 0},
		"truncated": {Kind{Response: 9}, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("short")) }, 1, sycamorerun.Answered, false, 0},
		"another's": {Kind{}, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(server.Answer("x", server.Body("x", 0), 0))
		}, 1, sycamorerun.Answered, false, 0},
		"not found": {Kind{Retries: 2}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }, 1, sycamorerun.Answered, false, 0},
		"leaves":    {Kind{DisconnectShare: 1, Retries: 2, Work: time.Minute, Timeout: 100 * time.Millisecond}, nil, 1, sycamorerun.Unknown, false, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var mutex sync.Mutex
			seen := map[string]bool{}
			node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				request, _, _ := strings.Cut(r.Header.Get(server.HeaderCall), ".")
				mutex.Lock()
				first := !seen[request] && test.first != nil
				seen[request] = true
				mutex.Unlock()
				if first {
					test.first(w, r)
					return
				}
				handler.ServeHTTP(w, r)
			}))
			defer node.Close()
			test.kind.Name, test.kind.Rate = "k", 100
			c := &Generator{Kinds: []Kind{test.kind}, Entries: []Entry{{Name: "n", Address: netip.MustParseAddrPort(node.Listener.Addr().String())}}}
			is.NoErr(c.Run(t.Context(), 100*time.Millisecond))
			is.True(len(c.Records()) > 0)
			for _, record := range c.Records() {
				is.Equal(len(record.Attempts), test.attempts)
				is.Equal(record.Attempts[0].Result, test.result)
				is.Equal(record.Attempts[0].Disconnected, test.kind.DisconnectShare > 0)
				is.Equal(record.Served(), test.served)
				is.True(record.Latency() >= test.minLatency)
				is.True(!record.Attempts[0].Start.Before(record.Start))
			}
			summary := c.Summarize(time.Time{}, time.Now())[0]
			is.Equal(summary.Requests, len(c.Records()))
			is.Equal(summary.Served == summary.Requests, test.served)
		})
	}
}

// Guards against deadlines that are decoded as another version.
func TestMarker(t *testing.T) {
	for _, version := range []int{1, 2, MaxMarkerVersion} {
		is := is.New(t)
		shortest := MarkerTimeout(version) - markerStep + time.Millisecond
		is.True(MarkerTimeout(version) <= time.Hour)
		is.Equal(versionOf(int(MarkerTimeout(version).Milliseconds())), version)
		is.Equal(versionOf(int(shortest.Milliseconds())), version)
	}
}
