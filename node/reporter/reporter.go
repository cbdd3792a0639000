// Package reporter tells operators which routes have no upstream for some of
// their calls, and since when. It does not change how calls end.
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

// namesMost bounds the routes that one log line names: a service can have
// thousands of routes.
const namesMost = 8

// Reporter remembers the routes that are not served. Its exported fields are
// set before use.
type Reporter struct {
	// Table returns the routes in force.
	Table func() *router.Table
	// Upstreams returns the number of upstreams of a service that take calls.
	Upstreams func(service string) int
	Logger    log.Logger
	Scope     tally.Scope

	mutex sync.Mutex
	known map[sycamorerun.Path]gap
}

// gap is a route that is not served.
type gap struct {
	state router.State
	since time.Time
}

// messages say what the change to a state means for callers.
var messages = map[router.State]string{
	router.Unserved: "routes have no upstream; their calls are not run",
	router.Partial:  "routes have a service without an upstream; the calls drawn for it are not run",
	router.Served:   "routes have upstreams again",
}

// Update compares the routes with those known, and logs and counts what
// changed: one line for each state that routes came into. It reads the routes
// and upstreams under its lock, so that of two concurrent updates the last one
// counts. A route that left the configuration has no state to report.
func (r *Reporter) Update(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	next := map[sycamorerun.Path]gap{}
	changed := map[router.State][]sycamorerun.Path{}
	counts := map[router.State]int{}
	table := r.Table()
	for _, status := range table.Degraded(r.Upstreams) {
		known, ok := r.known[status.Route]
		if !ok || known.state != status.State {
			known = gap{status.State, now}
			changed[status.State] = append(changed[status.State], status.Route)
		}
		next[status.Route] = known
		counts[status.State]++
	}
	for _, path := range slices.Sorted(maps.Keys(r.known)) {
		_, remains := next[path]
		if _, exists := table.Status(path, r.Upstreams); exists && !remains {
			changed[router.Served] = append(changed[router.Served], path)
		}
	}
	r.known = next
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
	for _, path := range paths[:min(len(paths), namesMost)] {
		names = append(names, string(path))
	}
	logger := level.Warn(r.Logger)
	if state == router.Served {
		logger = level.Info(r.Logger)
	}
	logger.Log("msg", messages[state], "count", len(paths), "routes", strings.Join(names, ","))
}

// Since returns when a route came into its state; it is unknown for served
// routes and before the first update.
func (r *Reporter) Since(path sycamorerun.Path, state router.State) (time.Time, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, ok := r.known[path]
	return known.since, ok && known.state == state
}
