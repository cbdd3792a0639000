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

// Guards against a draining node that its supervisor sees as unhealthy or still
// ready, that a second SIGTERM ends before its drain is over, or that SIGINT
// does not end at once.
func TestSignalsDuringDrain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := start(t, deployer.Spec{Zones: deployer.ReferenceZones(1)[:2], NodeArgs: []string{"--drain-delay", "1m"}})
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
	for started := time.Now(); time.Since(started) < time.Second; time.Sleep(50 * time.Millisecond) {
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

// Guards against new requests to a leaving upstream, counted under load by the
// upstream itself. Its node refuses new calls from 3 s after the start of the
// drain (design, section 7), and the other nodes learn of the drain earlier.
func TestLastRequestAfterDrain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const refusalDelay = 3 * time.Second
	leaves, err := stresser.Departures(t.Context(), stresser.Case{Binaries: binaryDir, Directory: t.TempDir(), Rate: 200})
	is.NoErr(err)
	for _, l := range leaves {
		t.Logf("%+v", l)
		is.True(l.Before > 0)
		is.True(l.Last <= refusalDelay)
		is.Equal(l.Failed, 0)
	}
}
