package forwarder

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

// Guards against a second run, and against the outcome not-run, of a request that ran in
// a process that has been replaced: whoever answers the query is not the process that
// knows. The way to the new process takes longer than its start.
func TestQueryAfterRestart(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		dialDelay time.Duration
		// next is the run that is reached after the loss of the session.
		next sycamorerun.Run
		// status of the caller and number of executions. A call that may be lost with
		// its process is not sent again, one that its process refuses is.
		repeatable bool
		status     int
		executed   int64
	}{
		"the same run":           {next: fixtureSession.Run, status: 502, executed: 1},
		"a later run":            {next: sycamorerun.Run{Name: "beside", Boot: 2}, status: 502, executed: 1},
		"a later run, slow link": {dialDelay: 150 * time.Millisecond, next: sycamorerun.Run{Name: "beside", Boot: 2}, status: 502, executed: 1},
		"another node":           {dialDelay: 150 * time.Millisecond, next: sycamorerun.Run{Name: "other", Boot: 2}, status: 502, executed: 1},
		"may be repeated": {
			dialDelay: 150 * time.Millisecond, next: sycamorerun.Run{Name: "beside", Boot: 2}, repeatable: true, status: 200, executed: 2,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			running, release := make(chan struct{}, 1), make(chan struct{})
			first := true
			fx := newFixture(t, false, func(w http.ResponseWriter, _ *http.Request) {
				if first {
					first = false
					running <- struct{}{}
					<-release
				}
				_, _ = w.Write([]byte("ok"))
			})
			d := fx.connectNodes(t)
			fx.match.Repeatable, fx.maxRetries = c.repeatable, 1
			got := make(chan callResult, 1)
			go func() { got <- fx.send(http.MethodPost, "/x", strings.NewReader("a")) }()
			<-running
			if c.next != fixtureSession.Run {
				calls := newRegistrar(c.next)
				next := fx.newNode(c.next.Name)
				fx.wireRecords(next, calls)
				address := runUpstreamNode(t, netip.MustParseAddrPort(d.Addr().String()), next, calls)
				d.target.Store(&address)
			}
			d.dialDelay.Store(int64(c.dialDelay))
			d.cut()
			result := <-got
			close(release)
			is.Equal(result.status, c.status)
			fx.waitExecuted(t, c.executed)
		})
	}
}
