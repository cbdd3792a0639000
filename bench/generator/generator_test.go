package generator_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/bench/generator"
)

// Guards against a generator that waits for slow responses and so hides their
// latency (coordinated omission): calls must start on schedule although each takes
// longer than the interval.
func TestOpenLoop(t *testing.T) {
	is := is.New(t)
	const work = 100 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(work)
		if r.URL.Path == "/shed" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	address, err := netip.ParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	is.NoErr(err)
	target := generator.Target{Address: address, Method: http.MethodGet, Path: "/", Rate: 100, Timeout: 10 * time.Second}
	shed := target
	shed.Path = "/shed"
	results := generator.Run(t.Context(), []generator.Target{target, shed}, 500*time.Millisecond)
	is.Equal(results[0].Calls(), 50)
	is.Equal(results[0].Results[sycamorerun.Answered], 50)
	is.True(results[0].Latency.Min() >= work.Microseconds())
	is.Equal(results[1].Results[sycamorerun.NotRun], 50)
	is.Equal(results[1].Reasons["503 Service Unavailable"], 50)
}
