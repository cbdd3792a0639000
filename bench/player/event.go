package player

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"sycamorerun"
	"sycamorerun/bench/deployer"
	"sycamorerun/bench/experimenter"
	"sycamorerun/bench/judge"
	"sycamorerun/bench/scraper"
)

// primaryWatch is the value of the metric sycamorerun_distributor_watch at a
// region's primary watcher.
const primaryWatch = 2

// storeRule is a rule in the fault plan of the store.
type storeRule struct {
	Kind     string               `json:"kind"`
	Caller   string               `json:"caller,omitempty"`
	Fraction float64              `json:"fraction,omitempty"`
	Delay    sycamorerun.Duration `json:"delay,omitempty"`
}

// playEvent plays one event. It stops waiting when runCtx ends with the run.
// Restoring the original state uses ctx, so that it also works after the run.
func (r *run) playEvent(ctx, runCtx context.Context, number int, event experimenter.Event) {
	deployer.Pause(runCtx, time.Until(r.start.Add(event.At)))
	if runCtx.Err() != nil {
		return
	}
	from := time.Now()
	remaining := time.Until(r.start.Add(event.At + eventDuration(r.experiment, event)))
	switch {
	case event.Kind == experimenter.Load:
		deployer.Pause(runCtx, remaining) // The callers apply load events themselves.
	case event.Kind == experimenter.Change:
		r.writeVersions(runCtx, event)
		return
	case event.Kind.IsStoreFault():
		r.recordFailure(r.setStoreFault(ctx, number, event, true))
		deployer.Pause(runCtx, remaining)
		r.recordFailure(r.setStoreFault(ctx, number, event, false))
	case event.Kind == experimenter.Silence:
		inside, _ := r.splitZones(event)
		r.fleet.Blackhole(inside...)
		r.recordFaults(from, r.selectNodes(number, event)...)
	case event.Kind.IsNetworkFault():
		r.setNetworkEvent(number, event, true)
		deployer.Pause(runCtx, remaining)
		r.setNetworkEvent(number, event, false)
		r.recordFaults(from, r.selectNodes(number, event)...)
	case event.Kind.IsUpstreamBehavior():
		r.setBehavior(ctx, number, event, true)
		deployer.Pause(runCtx, remaining)
		r.setBehavior(ctx, number, event, false)
		if event.Kind.IsRequestBehavior() || event.Kind == experimenter.Silent {
			r.recordUpstreamFaults(from, r.selectNodes(number, event)...)
		}
	default:
		r.playProcessEvent(ctx, runCtx, number, event, remaining)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.marks = append(r.marks, Mark{Label: event.String(), From: r.secondsSinceStart(from), To: r.secondsSinceStart(time.Now()), Fault: event.Kind.IsFault()})
}

// playProcessEvent plays an event that pauses or terminates processes.
func (r *run) playProcessEvent(ctx, runCtx context.Context, number int, event experimenter.Event, duration time.Duration) {
	from := time.Now()
	nodes := r.selectNodes(number, event)
	switch event.Kind {
	case experimenter.Watchers:
		r.suspend(runCtx, r.primaryWatchers(ctx), duration)
	case experimenter.Pause:
		r.suspend(runCtx, nodes, duration)
	case experimenter.Kill:
		defer r.markStopped(nodes...)()
		forEachNode(nodes, func(node *deployer.Node) { node.Process.Kill() })
		deployer.Pause(runCtx, duration)
		forEachNode(nodes, func(node *deployer.Node) { r.recordFailure(r.fleet.StartNode(ctx, node)) })
		r.recordFailure(r.fleet.WaitReady(ctx, nodes...))
		r.recordFaults(from, nodes...)
	case experimenter.Roll:
		r.rollingRestart(ctx, runCtx, nodes, max(event.Share, 1/float64(len(nodes))))
	}
}

// suspend pauses the processes of nodes for a duration.
func (r *run) suspend(runCtx context.Context, nodes []*deployer.Node, duration time.Duration) {
	defer r.markStopped(nodes...)()
	from := time.Now()
	for _, node := range nodes {
		r.recordFailure(node.Process.Signal(syscall.SIGSTOP))
	}
	deployer.Pause(runCtx, duration)
	for _, node := range nodes {
		r.recordFailure(node.Process.Signal(syscall.SIGCONT))
	}
	r.recordFaults(from, nodes...)
}

// rollingRestart restarts nodes with SIGTERM in batches of a share of them.
func (r *run) rollingRestart(ctx, runCtx context.Context, nodes []*deployer.Node, share float64) {
	size := shareOf(share, len(nodes))
	for len(nodes) > 0 && runCtx.Err() == nil {
		group := nodes[:min(size, len(nodes))]
		nodes = nodes[len(group):]
		forEachNode(group, func(node *deployer.Node) {
			defer r.markStopped(node)()
			from := time.Now()
			node.Process.Stop()
			r.mutex.Lock()
			r.operator.Stops = append(r.operator.Stops, judge.Span{Node: node.Name, From: from, To: time.Now()})
			r.mutex.Unlock()
			from = time.Now()
			r.recordFailure(r.fleet.StartNode(ctx, node))
			r.recordFailure(r.fleet.WaitReady(ctx, node))
			// Restarts are not passed to the judge as faults: that would excuse
			// calls that the end of the process interrupted.
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.restarts = append(r.restarts, judge.Span{Node: node.Name, From: from, To: time.Now()})
		})
	}
}

// markStopped marks the processes of nodes as stopped until the returned
// function is called.
func (r *run) markStopped(nodes ...*deployer.Node) (markStarted func()) {
	count := func(delta int) {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		for _, node := range nodes {
			r.stopCounts[node.Name] += delta
		}
	}
	count(1)
	return func() { count(-1) }
}

// primaryWatchers returns one current primary watcher for each region. In the
// mode poll every node is a primary watcher.
func (r *run) primaryWatchers(ctx context.Context) []*deployer.Node {
	var found []*deployer.Node
	regions := map[string]bool{}
	for _, node := range r.fleet.Nodes {
		samples, err := scraper.Scrape(ctx, node.Operators)
		primary := err == nil && scraper.Sum(samples, "sycamorerun_distributor_watch") == primaryWatch
		if primary && !regions[node.Zone.Region] {
			regions[node.Zone.Region] = true
			found = append(found, node)
		}
	}
	return found
}

// recordFaults records that nodes had a fault from a time until now.
func (r *run) recordFaults(from time.Time, nodes ...*deployer.Node) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, node := range nodes {
		r.operator.Faults = append(r.operator.Faults, judge.Span{Node: node.Name, From: from, To: time.Now()})
	}
}

// recordUpstreamFaults records that the upstreams of nodes had a fault from a
// time until now.
func (r *run) recordUpstreamFaults(from time.Time, nodes ...*deployer.Node) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, node := range nodes {
		r.operator.Faults = append(r.operator.Faults, judge.Span{Node: node.Name, From: from, To: time.Now(), Upstream: true})
	}
}

// setStoreFault adds the rules of an event to the store's fault plan, or removes
// them.
func (r *run) setStoreFault(ctx context.Context, number int, event experimenter.Event, active bool) error {
	r.mutex.Lock()
	delete(r.storeRules, number)
	if active {
		rule := storeRule{Kind: storeRuleKind(event.Kind), Fraction: event.Share, Delay: sycamorerun.Duration(event.Delay)}
		if len(event.On) == 0 {
			r.storeRules[number] = []storeRule{rule}
		}
		for _, place := range r.experiment.Fleet.Select(event.On) {
			if len(event.On) > 0 {
				rule.Caller = place.Node
				r.storeRules[number] = append(r.storeRules[number], rule)
			}
		}
	}
	rules := []storeRule{}
	for _, eventRules := range r.storeRules {
		rules = append(rules, eventRules...)
	}
	r.mutex.Unlock()
	return r.fleet.SetStoreFaults(ctx, map[string][]storeRule{"rules": rules})
}

// storeRuleKind returns the kind of store rule for an event kind.
func storeRuleKind(kind experimenter.EventKind) string {
	if kind == experimenter.Lag {
		return "delay"
	}
	return string(kind)
}

// setNetworkEvent starts or ends a network event. Ending an event removes the
// faults of all links and then reapplies the other active events, so links are
// briefly without faults.
func (r *run) setNetworkEvent(number int, event experimenter.Event, active bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if active {
		r.networkEvents[number] = event
	} else {
		delete(r.networkEvents, number)
		r.fleet.Heal()
	}
	for _, event := range r.networkEvents {
		inside, outside := r.splitZones(event)
		switch event.Kind {
		case experimenter.Freeze:
			r.fleet.Freeze(inside...)
		case experimenter.Degrade:
			r.fleet.Degrade(event.Delay, event.Share, inside...)
		default:
			r.fleet.Separate(inside, outside)
		}
	}
}

// splitZones returns the availability zones that an event selects, and the
// others.
func (r *run) splitZones(event experimenter.Event) (inside, outside []string) {
	selected := map[string]bool{}
	for _, place := range r.experiment.Fleet.Select(event.On) {
		selected[place.Zone] = true
	}
	for _, zone := range r.fleet.Spec.Zones {
		if selected[zone.Name] {
			inside = append(inside, zone.Name)
		} else {
			outside = append(outside, zone.Name)
		}
	}
	return inside, outside
}

// setBehavior starts or ends a behavior of upstreams.
func (r *run) setBehavior(ctx context.Context, number int, event experimenter.Event, active bool) {
	change := map[string]any{}
	switch event.Kind {
	case experimenter.Slow:
		change["delay"] = 0
		if active {
			change["delay"] = event.Delay.Milliseconds()
		}
	case experimenter.Drain:
		change["state"] = sycamorerun.StateReady
		if active {
			change["state"] = sycamorerun.StateDraining
		}
	case experimenter.Shed, experimenter.Silent, experimenter.Reset, experimenter.Hang:
		change[string(event.Kind)] = active
	default:
		share := 0.0
		if active {
			share = cmp.Or(event.Share, 1)
		}
		change[requestBehavior(event.Kind)] = share
	}
	forEachNode(r.selectNodes(number, event), func(node *deployer.Node) {
		r.recordFailure(deployer.Put(ctx, node.Control, "/behavior", change))
	})
}

// requestBehavior returns the upstream's name of the behavior of an event kind.
func requestBehavior(kind experimenter.EventKind) string {
	if kind == experimenter.Drop {
		return "lose"
	}
	return string(kind)
}

// forEachNode calls do concurrently for all nodes and waits for the calls.
func forEachNode(nodes []*deployer.Node, do func(node *deployer.Node)) {
	var group sync.WaitGroup
	for _, node := range nodes {
		group.Go(func() { do(node) })
	}
	group.Wait()
}

// shuffle shuffles nodes in an order that depends only on the seed and the
// number of the event.
func shuffle(seed uint64, number int, nodes []*deployer.Node) {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
}
