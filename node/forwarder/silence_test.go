package forwarder

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"sycamorerun"
)

// Guards against an upstream that hangs without anybody noticing, against counting
// callers that give up early, and against a log line for each of many silences.
func TestSilencesAreCounted(t *testing.T) {
	is := is.New(t)
	const run = 20 * time.Millisecond
	fx := newFixture(t, true, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hangs" {
			<-r.Context().Done()
			return
		}
		time.Sleep(run)
		reply("ok")(w, r)
	})
	var lines bytes.Buffer
	scope := tally.NewTestScope("", nil)
	fx.entry.Logger, fx.entry.Scope = log.NewLogfmtLogger(log.NewSyncWriter(&lines)), scope
	send := func(path, deadline string) {
		fx.send(http.MethodGet, path, nil, sycamorerun.HeaderDeadline, deadline)
		<-fx.observed
	}
	silences := func() int64 {
		if counter, ok := scope.Snapshot().Counters()["upstream_silences+"]; ok {
			return counter.Value()
		}
		return 0
	}
	for range 50 {
		send("/x", "1000")
	}
	send("/hangs", "5") // shorter than the usual time
	is.Equal(silences(), int64(0))
	for range 3 {
		send("/hangs", "500")
	}
	is.Equal(silences(), int64(3))
	is.Equal(strings.Count(lines.String(), "did not respond in its usual time"), 1)
	send("/x", "1000") // the slots are free
	is.Equal(fx.limiter.Load().Running, 0)
}
