package forwarder

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

// Guards against a repeatable call that waits for a silent upstream until its
// deadline although another one could answer, against a second attempt of a call
// that must not be repeated or without budget, and against work that goes on after
// its call was answered.
func TestHedge(t *testing.T) {
	const bound = 50 * time.Millisecond
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	slow := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(3 * bound)
		_, _ = io.WriteString(w, "ok")
	}
	fail := func(http.ResponseWriter, *http.Request) {
		time.Sleep(2 * bound)
		panic(http.ErrAbortHandler)
	}
	cases := map[string]struct {
		first, second http.HandlerFunc
		setUp         func(fx *fixture)
		status        int
		executed      int64
		reasons       []string
	}{
		"silent":                   {first: hang, second: reply("ok"), status: 200, executed: 2, reasons: []string{"", reasonSuperseded}},
		"slow, the other hangs":    {first: slow, second: hang, status: 200, executed: 2, reasons: []string{"", reasonSuperseded}},
		"fails late":               {first: fail, second: slow, status: 200, executed: 2, reasons: []string{reasonUpstreamBroken, ""}},
		"both fail":                {first: fail, second: fail, status: 502, executed: 2, reasons: []string{reasonUpstreamBroken, reasonUpstreamBroken}},
		"fast":                     {first: reply("ok"), status: 200, executed: 1, reasons: []string{""}},
		"not repeatable":           {first: slow, setUp: func(fx *fixture) { fx.match.Repeatable = false }, status: 200, executed: 1, reasons: []string{""}},
		"no budget":                {first: slow, setUp: func(fx *fixture) { fx.maxRetries = 0 }, status: 200, executed: 1, reasons: []string{""}},
		"no other instance":        {first: slow, setUp: func(fx *fixture) { fx.instances = fx.instances[:1] }, status: 200, executed: 1, reasons: []string{""}},
		"silent up to the timeout": {first: hang, second: hang, setUp: func(fx *fixture) { fx.match.Timeout = 4 * bound }, status: 504, executed: 2, reasons: []string{"deadline", "deadline"}},
	}
	forBothPaths(t, func(t *testing.T, local bool) {
		for name, c := range cases {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var handled atomic.Int64
				var working atomic.Int64
				fx := newFixture(t, local, func(w http.ResponseWriter, r *http.Request) {
					working.Add(1)
					defer working.Add(-1)
					if handled.Add(1) == 1 {
						c.first(w, r)
					} else {
						c.second(w, r)
					}
				})
				fx.match.Repeatable, fx.maxRetries = true, 1
				fx.instances = append(fx.instances, sycamorerun.Instance{Name: "beside", Address: upstreamNodeAddress, Service: "s"})
				fx.entry.TimeBound = func(Match) (time.Duration, bool) { return bound, true }
				if c.setUp != nil {
					c.setUp(fx)
				}
				is.Equal(fx.send(http.MethodGet, "/x", nil).status, c.status)
				reasons := map[string]int{}
				for range c.reasons {
					reasons[(<-fx.observed).Reason]++
				}
				for _, reason := range c.reasons {
					is.True(reasons[reason] > 0)
				}
				is.Equal(len(fx.observed), 0) // each attempt is observed once
				is.Equal(handled.Load(), c.executed)
				for start := time.Now(); working.Load() > 0; time.Sleep(time.Millisecond) {
					is.True(time.Since(start) < 500*time.Millisecond)
				}
			})
		}
	})
}
