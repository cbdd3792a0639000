// Package reporter logs and counts the routes that have no upstream for some or
// all of their calls, and records since when. It does not affect calls.
package reporter

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"sycamorerun"
	"sycamorerun/node/router"
)

// maxLoggedRoutes is the maximum number of routes in a log line, since a service
// can have thousands of routes.
const maxLoggedRoutes = 8

// Reporter tracks the routes that are not fully served. Set its exported fields
// before use.
type Reporter struct {
	// Table returns the routing table in force.
	Table func() *router.Table
	// Upstreams returns the number of upstreams of a service that accept calls.
	Upstreams func(service string) int
	Logger    log.Logger
	Scope     tally.Scope

	mutex sync.Mutex
	gaps  map[sycamorerun.Path]routeGap
}

// routeGap is the state of a route that is not fully served.
type routeGap struct {
	state router.State
	since time.Time
}

// messages holds the log message for the change to each state.
var messages = map[router.State]string{
	router.Unserved: "routes have no upstream; their calls are not run",
	router.Partial:  "routes have a service without an upstream; the calls assigned to it are not run",
	router.Served:   "routes have upstreams again",
}

// Update finds the routes that are not fully served, updates the gauges and logs
// one line for each state that routes changed to. It reads the routes and upstreams
// while holding the lock, so that the later of two concurrent updates takes effect.
// It does not report routes that were removed from the configuration.
func (r *Reporter) Update(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	next := map[sycamorerun.Path]routeGap{}
	changed := map[router.State][]sycamorerun.Path{}
	counts := map[router.State]int{}
	table := r.Table()
	for _, status := range table.Degraded(r.Upstreams) {
		gap, ok := r.gaps[status.Route]
		if !ok || gap.state != status.State {
			gap = routeGap{status.State, now}
			changed[status.State] = append(changed[status.State], status.Route)
		}
		next[status.Route] = gap
		counts[status.State]++
	}
	for _, path := range slices.Sorted(maps.Keys(r.gaps)) {
		_, stillGap := next[path]
		if _, exists := table.Status(path, r.Upstreams); exists && !stillGap {
			changed[router.Served] = append(changed[router.Served], path)
		}
	}
	r.gaps = next
	for _, state := range []router.State{router.Unserved, router.Partial, router.Served} {
		r.log(state, changed[state])
	}
	if r.Scope != nil {
		r.Scope.Gauge("unserved_routes").Update(float64(counts[router.Unserved]))
		r.Scope.Gauge("partial_routes").Update(float64(counts[router.Partial]))
	}
}

func (r *Reporter) log(state router.State, paths []sycamorerun.Path) {
	if r.Logger == nil || len(paths) == 0 {
		return
	}
	var names []string
	for _, path := range paths[:min(len(paths), maxLoggedRoutes)] {
		names = append(names, string(path))
	}
	logger := level.Warn(r.Logger)
	if state == router.Served {
		logger = level.Info(r.Logger)
	}
	logger.Log("msg", messages[state], "count", len(paths), "routes", strings.Join(names, ","))
}

// Since returns the time since which a route has had a state. It returns false for
// served routes and before the first update.
func (r *Reporter) Since(path sycamorerun.Path, state router.State) (time.Time, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	gap, ok := r.gaps[path]
	return gap.since, ok && gap.state == state
}
