package system

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/bench/deployer"
	"sycamorerun/bench/stresser"
)

// Guards against a draining node that looks dead or ready to its supervisor,
// one that a supervisor ends by repeating SIGTERM, and one that can't be ended
// with SIGINT before its drain is over.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := start(t, deployer.Spec{Zones: deployer.Today(1)[:2], NodeArgs: []string{"--drain-delay", "1m"}})
	ctx := t.Context()
	node := fleet.Nodes[1]
	is.NoErr(node.Process.Signal(syscall.SIGTERM))
	is.NoErr(deployer.Eventually(ctx, 5*time.Second, func() bool {
		status, _, err := deployer.Get(ctx, node.Operators, "/readyz")
		return err == nil && status == http.StatusServiceUnavailable
	}))
	status, _, err := deployer.Get(ctx, node.Operators, "/healthz")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.NoErr(node.Process.Signal(syscall.SIGTERM))
	for begun := time.Now(); time.Since(begun) < time.Second; time.Sleep(50 * time.Millisecond) {
		_, _, err = deployer.Get(ctx, node.Operators, "/healthz")
		is.NoErr(err)
	}
	is.NoErr(node.Process.Signal(syscall.SIGINT))
	is.NoErr(deployer.Eventually(ctx, 5*time.Second, func() bool {
		_, _, err := deployer.Get(ctx, node.Operators, "/healthz")
		return err != nil
	}))
	is.NoErr(fleet.Nodes[0].Process.Signal(syscall.SIGTERM))
	is.NoErr(fleet.Nodes[0].Process.Signal(syscall.SIGINT))
}

// Guards against new work for a leaving upstream, measured under load by the
// upstream's own records. The node refuses new calls from 3 s after the drain
// began (design, section 7), and the others know of it earlier.
func TestLastRequestAfterDrain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const refused = 3 * time.Second
	leaves, err := stresser.Departures(t.Context(), stresser.Case{Binaries: binaries, Directory: t.TempDir(), Rate: 200})
	is.NoErr(err)
	for _, l := range leaves {
		t.Logf("%+v", l)
		is.True(l.Before > 0)
		is.True(l.Last <= refused)
		is.Equal(l.Failed, 0)
	}
}
