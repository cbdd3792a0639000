package distributor

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/node/planner"
)

// TestOpening guards against a store that each member of a fleet reads at the
// start, and against a node that never starts although a peer has a version.
func TestOpening(t *testing.T) {
	const patience = time.Second
	starting, ready := []reported{{"a", 5, false}}, []reported{{"a", 5, false}, {"b", 5, true}}
	watcher := planner.Plan{Watch: planner.Primary, Links: []planner.Link{{Name: "a"}}}
	pending := opening{reading: make(chan error), began: start}
	cases := map[string]struct {
		opening opening
		reports []reported
		plan    planner.Plan
		at      time.Duration
		read    bool
		enough  bool
	}{
		"a peer is ready":         {opening{}, ready, watcher, 0, false, true},
		"planned watcher":         {opening{}, starting, watcher, 0, true, false},
		"peers start too":         {opening{}, starting, planner.Plan{}, patience, false, false},
		"peers start for long":    {opening{}, starting, planner.Plan{}, 2 * patience, true, false},
		"nobody known":            {opening{}, nil, planner.Plan{Watch: planner.Primary}, patience / 2, false, false},
		"nobody known for long":   {opening{}, nil, planner.Plan{Watch: planner.Primary}, patience, true, false},
		"store read":              {opening{read: true}, starting, watcher, 0, false, true},
		"store failed":            {opening{failures: 1}, starting, watcher, patience / 2, true, false},
		"store failed, patience":  {opening{failures: 1}, starting, watcher, patience, true, true},
		"store silent":            {pending, starting, watcher, pendingMost, false, true},
		"pause after the failure": {opening{failures: 1, retry: start.Add(time.Minute)}, starting, watcher, patience, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := c.opening
			o.started, o.patience = start, patience
			is.Equal(o.mayRead(start.Add(c.at), c.reports, c.plan), c.read)
			is.Equal(o.enough(start.Add(c.at), c.reports), c.enough)
		})
	}
}
