package system

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/bench/deployer"
)

// Guards against a route without upstream that is missing from the status, the
// routes, the metrics or the log, or that is logged more than once.
func TestRouteWithoutUpstream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := start(t, deployer.Spec{Zones: deployer.ReferenceZones(1), Upstreams: true})
	ctx := t.Context()
	waitAllReady(t, fleet, "quoting")
	time.Sleep(5 * time.Second) // Nodes report routes only from 5 s after they became ready.
	observer := fleet.Nodes[1]
	unservedRoutes := func() string {
		var routes []struct{ Route, State string }
		if fleet.Read(ctx, "quoting", observer, "/v1/routes", &routes) != nil {
			return "unreadable"
		}
		var names []string
		for _, route := range routes {
			if route.State != "served" {
				names = append(names, route.State+" "+route.Route)
			}
		}
		return strings.Join(names, ",")
	}
	is.Equal(unservedRoutes(), "")
	var drained []*deployer.Node
	for _, node := range fleet.Nodes {
		if node.Service == "survey-store" {
			drained = append(drained, node)
			is.NoErr(deployer.Put(ctx, node.Control, "/behavior", map[string]any{"state": "draining"}))
		}
	}
	is.NoErr(deployer.Eventually(ctx, convergenceLimit, func() bool { return unservedRoutes() == "unserved surveys/route/photos" }))
	is.NoErr(deployer.Eventually(ctx, convergenceLimit, func() bool {
		_, metrics, err := deployer.Get(ctx, observer.Operators, "/metrics")
		return err == nil && gaugeValue(string(metrics), "sycamorerun_reporter_unserved_routes") == "1"
	}))
	var s struct{ Unserved int }
	is.NoErr(fleet.Read(ctx, "quoting", observer, "/v1/status", &s))
	is.Equal(s.Unserved, 1)
	result, code, _ := call(ctx, observer, "GET", "surveys.example", "/", "", nil)
	is.Equal(string(result), "not-run")
	is.Equal(code, 503)
	for _, node := range drained {
		is.NoErr(deployer.Put(ctx, node.Control, "/behavior", map[string]any{"state": "ready"}))
	}
	is.NoErr(deployer.Eventually(ctx, convergenceLimit, func() bool { return unservedRoutes() == "" }))
	// The API shows the new members before the node logs the message.
	countInLog := func(line string) int {
		text, err := os.ReadFile(filepath.Join(fleet.Spec.Directory, observer.Name+".log"))
		is.NoErr(err)
		return strings.Count(string(text), line)
	}
	is.NoErr(deployer.Eventually(ctx, convergenceLimit, func() bool { return countInLog("routes have upstreams again") > 0 }))
	is.Equal(countInLog("routes have upstreams again"), 1)
	is.Equal(countInLog("routes have no upstream; their calls are not run"), 1)
}

// gaugeValue returns the value of the gauge name in the text of the metrics page,
// or "" if it is missing.
func gaugeValue(text, name string) string {
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, name+"{") {
			fields := strings.Fields(line)
			return fields[len(fields)-1]
		}
	}
	return ""
}
