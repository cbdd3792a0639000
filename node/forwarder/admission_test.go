package forwarder

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/node/limiter"
)

// Guards against a call that runs although it was refused, a refusal without the time
// to come back, and outcomes that say nothing about room but count as refusals.
func TestAdmission(t *testing.T) {
	cases := map[string]struct {
		refuse, noUpstream bool
		slots              int
		handler            http.HandlerFunc
		key                string

		status  int
		reason  string
		results []AdmissionResult
	}{
		"admitted and answered":  {slots: 1, handler: reply("x"), status: 200, results: []AdmissionResult{{Service: "s", Accepted: true}}},
		"admitted, no room":      {handler: reply("x"), status: 503, reason: reasonQueueFull, results: []AdmissionResult{{Service: "s"}}},
		"refused":                {refuse: true, slots: 1, handler: reply("x"), status: 503, reason: reasonOverloaded},
		"with a key":             {refuse: true, slots: 1, handler: reply("x"), key: "k", status: 200},
		"no upstream":            {noUpstream: true, handler: reply("x"), status: 503, reason: reasonNoUpstream},
		"broken off by upstream": {slots: 1, handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, status: 502, reason: reasonUpstreamBroken, results: []AdmissionResult{{Service: "s", Accepted: true}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t, true, c.handler)
			fx.limiter.Resize(limiter.Limits{Slots: c.slots})
			if c.noUpstream {
				fx.instances = nil
			}
			var results []AdmissionResult
			fx.entry.Admit = func(_ time.Time, admission Admission) (time.Duration, bool) {
				is.Equal(admission, Admission{Service: "s"})
				return 2 * time.Second, !c.refuse
			}
			fx.entry.RecordAdmission = func(_ time.Time, result AdmissionResult) { results = append(results, result) }
			request := httptest.NewRequest(http.MethodGet, "/x", nil)
			if c.key != "" {
				request.Header.Set(fx.entry.Contract.Key, c.key)
			}
			response := httptest.NewRecorder()
			fx.entry.ServeHTTP(response, request)
			is.Equal(response.Code, c.status)
			header := response.Header()
			is.Equal(header.Get(fx.entry.Contract.Reason), c.reason)
			if c.status == http.StatusServiceUnavailable {
				is.Equal(header.Get(fx.entry.Contract.Outcome), string(sycamorerun.NotRun))
			}
			if c.reason == reasonOverloaded {
				after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(after >= 1.6 && after <= 2.4)
				is.Equal(fx.executed.Load(), int64(0))
			}
			is.Equal(len(results), len(c.results))
			for at := range results {
				results[at].After = 0
				is.Equal(results[at], c.results[at])
			}
		})
	}
}
