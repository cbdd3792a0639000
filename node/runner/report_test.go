package runner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"sycamorerun"
	"sycamorerun/differ"
	"sycamorerun/node/applier"
	"sycamorerun/node/balancer"
	"sycamorerun/node/router"
	"sycamorerun/validator"
)

// items returns the items of a tree with services and a route r that is split among
// targets. Without targets there is no route.
func items(services, targets string) map[sycamorerun.Path]sycamorerun.Item {
	tree := map[sycamorerun.Path]sycamorerun.Item{"admin/team/a": sycamorerun.Item(`{"mode":"flow"}`)}
	for name := range strings.FieldsSeq(services) {
		tree[sycamorerun.NewPath("a", sycamorerun.KindService, name)] = sycamorerun.Item(
			`{"slots":6,"queue":12,"connections":130,"timeout":"2s","idle":"10s","warmup":"5s","retries":0.2}`)
	}
	route := sycamorerun.Route{Hosts: []string{"x"}, Prefix: "/", Class: sycamorerun.Bulk, Repeat: sycamorerun.RepeatDefault}
	for name := range strings.FieldsSeq(targets) {
		route.Split = append(route.Split, sycamorerun.Target{Service: name, Weight: 1})
	}
	if len(route.Split) > 0 {
		tree["a/route/r"], _ = json.Marshal(route)
	}
	return tree
}

// Guards against routes without an upstream that are not reported, or are reported
// late, repeatedly or after their removal, in whatever order the configuration and the
// members change.
func TestRouteStates(t *testing.T) {
	type step struct {
		// services and targets define the next version. If services is empty, there is
		// none.
		services, targets string
		// members lists the service of each member, with its state after a colon if
		// it is not ready.
		members string
		// state is the expected state of the route, empty without a route, and message
		// the expected log line.
		state   router.State
		message string
	}
	const unserved, partial, served = "routes have no upstream", "routes have a service without", "again"
	cases := map[string][]step{
		"endpoints before the configuration":   {{"", "", "s", "", ""}, {"s", "s", "s", router.Served, ""}},
		"configuration before the endpoints":   {{"s", "s", "", router.Unserved, unserved}, {"", "", "s", router.Served, served}},
		"last upstream leaves and comes back":  {{"s", "s", "s s", router.Served, ""}, {"", "", "s", router.Served, ""}, {"", "", "", router.Unserved, unserved}, {"", "", "s", router.Served, served}},
		"last upstream drains":                 {{"s", "s", "s", router.Served, ""}, {"", "", "s:draining", router.Unserved, unserved}, {"", "", "s:none", router.Unserved, ""}},
		"upstream of another service":          {{"s u", "s", "u", router.Unserved, unserved}},
		"service removed before the route":     {{"s u", "s", "", router.Unserved, unserved}, {"u", "s", "", router.Unserved, ""}, {"u", "u", "u", router.Served, served}},
		"service and route removed":            {{"s", "s", "", router.Unserved, unserved}, {"s", "", "", "", ""}, {"s", "s", "", router.Unserved, unserved}},
		"route moved to a service without any": {{"s u", "s", "s", router.Served, ""}, {"s u", "u", "s", router.Unserved, unserved}},
		"split":                                {{"s u", "s u", "s u", router.Served, ""}, {"", "", "u", router.Partial, partial}, {"", "", "", router.Unserved, unserved}, {"", "", "s u", router.Served, served}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			members := newFleet(sycamorerun.Instance{Name: "self"})
			a := &applier.Applier{Validate: new(validator.Checker).Check}
			b := balancer.New("z", "r")
			b.Instances = members.serving
			var logs bytes.Buffer
			scope := tally.NewTestScope("", nil)
			r := newReporter(a.Current, members)
			r.Logger, r.Scope = log.NewLogfmtLogger(&logs), scope
			a.Changed = func(state applier.State) { r.Update(state.Since) }
			since := map[router.State]time.Time{}
			var previous router.State
			for index, step := range steps {
				now := time.Unix(int64(1000+index), 0)
				logs.Reset()
				var live []sycamorerun.Instance
				for i, text := range strings.Fields(step.members) {
					service, state, _ := strings.Cut(text, ":")
					if state == "" {
						state = string(sycamorerun.StateReady)
					}
					live = append(live, sycamorerun.Instance{Name: fmt.Sprint(i), Service: service, State: sycamorerun.State(state)})
				}
				members.update("self", live, live)
				if tree := items(step.services, step.targets); step.services != "" {
					_ = a.Install(now, sycamorerun.Tree{Version: sycamorerun.Version(index + 1), Items: tree}, differ.Hash(tree))
				}
				r.Update(now)
				status, _ := a.Current().Table.Status("a/route/r", members.servingCount)
				is.Equal(status.State, step.state)
				if previous != step.state {
					since[step.state] = now
				}
				previous = step.state
				reportedSince, known := r.Since("a/route/r", step.state)
				is.Equal(known, step.state == router.Unserved || step.state == router.Partial)
				is.True(!known || reportedSince.Equal(since[step.state]))
				is.Equal(strings.Count(logs.String(), "\n"), len(step.message[:min(1, len(step.message))]))
				is.True(strings.Contains(logs.String(), step.message))
				gauge := scope.Snapshot().Gauges()["unserved_routes+"].Value()
				is.Equal(gauge == 1, step.state == router.Unserved)
				for _, target := range status.Targets {
					_, ok := b.Pick(now, balancer.Query{Service: target.Service})
					is.Equal(ok, target.Upstreams > 0) // no-upstream exactly where the state says so
				}
			}
		})
	}
}
