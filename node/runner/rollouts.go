package runner

import (
	"maps"
	"net/http"
	"time"

	"sycamorerun"
	"sycamorerun/node/balancer"
	"sycamorerun/node/forwarder"
	"sycamorerun/node/releaser"
)

// rollouts holds the components that try new releases.
type rollouts struct {
	gate      *releaser.Gate
	keeper    *releaser.Keeper
	exchanger *releaser.Exchanger
}

// wireRollouts makes calls pass the gate if releases can be tried. It is called
// after the other components have been wired.
func (n *node) wireRollouts(now time.Time, r *Runner) {
	if r.Rollouts == nil || n.settings.RolloutShare == 0 {
		return
	}
	gate := releaser.NewGate(now, n.settings.Name)
	keeper := &releaser.Keeper{
		Orders: *r.Rollouts, Store: n.store, Share: n.settings.RolloutShare,
		Members:   n.fleet.serving,
		IsDecider: func() bool { return n.decider() == n.settings.Name },
		Logger:    n.logger, Scope: n.scope,
	}
	n.rollouts = &rollouts{gate: gate, keeper: keeper, exchanger: &releaser.Exchanger{
		Self: n.settings.Name, Boot: uint64(n.self.Incarnation.Boot()), Gate: gate, Keeper: keeper,
		Services: func() map[string][]sycamorerun.Instance { return maps.Clone(n.fleet.view.Load().byService) },
		Decider:  n.decider,
		Open:     n.openStream,
	}}
	n.calls.passGate(gate, n.fleet.serving)
}

// decider returns the member that decides about rollouts: the first of those that
// watch the store, since it reaches the store. It is empty if there is none.
func (n *node) decider() string {
	plan := n.fleet.plan()
	switch {
	case len(plan.Watchers) > 0:
		return plan.Watchers[0]
	case len(plan.Regions) > 0:
		return plan.Regions[0].Name
	}
	return ""
}

// passGate makes gate choose the releases that a call may use, and report the
// outcomes to it.
func (c *calls) passGate(gate *releaser.Gate, instances func(service string) []sycamorerun.Instance) {
	c.forwarder.Pick = func(now time.Time, query forwarder.Query) (sycamorerun.Instance, bool) {
		choose := func(allowed []sycamorerun.Instance) (sycamorerun.Instance, bool) {
			return c.balancer.PickAmong(now, balancer.Query(query), allowed)
		}
		return gate.Pick(now, query.Service, len(query.Tried) > 0, instances(query.Service), choose)
	}
	observe := c.forwarder.Observe
	c.forwarder.Observe = func(now time.Time, o forwarder.Observation) {
		observe(now, o)
		gate.Observe(releaser.Attempt{
			Service: o.Service, Instance: o.Instance.Name, Rank: o.Rank, Objective: o.Objective, Took: o.HeadLatency,
			Failed:  o.Result == sycamorerun.Unknown || o.Status >= http.StatusInternalServerError,
			Ignored: o.Result == sycamorerun.NotRun || o.Result == sycamorerun.Unknown && o.Reason == forwarder.ReasonCanceled,
		})
	}
	c.forwarder.HasOtherInstance = func(service string, excluded []string) bool {
		return hasOther(gate.Usable(time.Now(), service, instances(service)), excluded)
	}
}
