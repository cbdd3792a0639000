package runner

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"sycamorerun/node/releaser"
)

// TestRolloutWiring guards against a node that decides about rollouts and does not
// accept the reports of the others, and against a gate on a node without rollouts.
func TestRolloutWiring(t *testing.T) {
	for name, test := range map[string]struct {
		share  float64
		orders *releaser.Orders
		want   bool
	}{
		"rollouts":  {0.1, &releaser.Orders{}, true},
		"no share":  {0, &releaser.Orders{}, false},
		"no orders": {0.1, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := New(Settings{Name: "a", AvailabilityZone: "z", Region: "r", Insecure: true, Service: "s", RolloutShare: test.share}, io.Discard)
			r.Rollouts = test.orders
			n, err := newNode(time.Now(), r, log.NewNopLogger(), tally.NoopScope, http.NotFoundHandler())
			is.NoErr(err)
			is.Equal(n.rollouts != nil, test.want)
			is.Equal(n.connector.Handlers[releaser.Kind] != nil, test.want)
		})
	}
}
