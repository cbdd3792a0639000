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

// primaryWatch is the value of the metric on a region's primary watcher.
const primaryWatch = 2

// rule is a fault of the store, as its fault plan has it.
type rule struct {
	Kind     string               `json:"kind"`
	Caller   string               `json:"caller,omitempty"`
	Fraction float64              `json:"fraction,omitempty"`
	Delay    sycamorerun.Duration `json:"delay,omitempty"`
}

// event plays one event. Run ends with the run, ctx when everything is given
// up: what was stopped is started again also after the run.
func (r *run) event(ctx, run context.Context, number int, event experimenter.Event) {
	deployer.Pause(run, time.Until(r.start.Add(event.At)))
	if run.Err() != nil {
		return
	}
	from := time.Now()
	over := time.Until(r.start.Add(event.At + span(r.x, event)))
	switch {
	case event.Kind == experimenter.Load:
		deployer.Pause(run, over) // The callers know it.
	case event.Kind == experimenter.Change:
		r.write(run, event)
		return
	case event.Kind.Store():
		r.fail(r.storeFault(ctx, number, event, true))
		deployer.Pause(run, over)
		r.fail(r.storeFault(ctx, number, event, false))
	case event.Kind == experimenter.Silence:
		inside, _ := r.sides(event)
		r.fleet.Blackhole(inside...)
		r.fault(from, r.selected(number, event)...)
	case event.Kind.Link():
		r.link(number, event, true)
		deployer.Pause(run, over)
		r.link(number, event, false)
		r.fault(from, r.selected(number, event)...)
	case event.Kind.Upstream():
		r.behave(ctx, number, event, true)
		deployer.Pause(run, over)
		r.behave(ctx, number, event, false)
		if event.Kind.Requests() || event.Kind == experimenter.Silent {
			r.faultUpstreams(from, r.selected(number, event)...)
		}
	default:
		r.processes(ctx, run, number, event, over)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.marks = append(r.marks, Mark{Label: event.String(), From: r.since(from), To: r.since(time.Now()), Fault: event.Kind.Fault()})
}

// processes plays an event that pauses or ends processes.
func (r *run) processes(ctx, run context.Context, number int, event experimenter.Event, over time.Duration) {
	from := time.Now()
	nodes := r.selected(number, event)
	switch event.Kind {
	case experimenter.Watchers:
		r.suspend(run, r.watchers(ctx), over)
	case experimenter.Pause:
		r.suspend(run, nodes, over)
	case experimenter.Kill:
		defer r.stopped(nodes...)()
		each(nodes, func(node *deployer.Node) { node.Process.Kill() })
		deployer.Pause(run, over)
		each(nodes, func(node *deployer.Node) { r.fail(r.fleet.StartNode(ctx, node)) })
		r.fail(r.fleet.WaitReady(ctx, nodes...))
		r.fault(from, nodes...)
	case experimenter.Roll:
		r.roll(ctx, run, nodes, max(event.Share, 1/float64(len(nodes))))
	}
}

// suspend pauses the processes of nodes for a time.
func (r *run) suspend(run context.Context, nodes []*deployer.Node, over time.Duration) {
	defer r.stopped(nodes...)()
	from := time.Now()
	for _, node := range nodes {
		r.fail(node.Process.Signal(syscall.SIGSTOP))
	}
	deployer.Pause(run, over)
	for _, node := range nodes {
		r.fail(node.Process.Signal(syscall.SIGCONT))
	}
	r.fault(from, nodes...)
}

// roll restarts nodes with SIGTERM, a share of them at a time.
func (r *run) roll(ctx, run context.Context, nodes []*deployer.Node, share float64) {
	size := part(share, len(nodes))
	for len(nodes) > 0 && run.Err() == nil {
		group := nodes[:min(size, len(nodes))]
		nodes = nodes[len(group):]
		each(group, func(node *deployer.Node) {
			defer r.stopped(node)()
			from := time.Now()
			node.Process.Stop()
			r.mutex.Lock()
			r.operator.Stops = append(r.operator.Stops, judge.Span{Node: node.Name, From: from, To: time.Now()})
			r.mutex.Unlock()
			from = time.Now()
			r.fail(r.fleet.StartNode(ctx, node))
			r.fail(r.fleet.WaitReady(ctx, node))
			// This is no fault for the judge: it would excuse what the end of the
			// process interrupted.
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.restarts = append(r.restarts, judge.Span{Node: node.Name, From: from, To: time.Now()})
		})
	}
}

// stopped notes that the processes of nodes are stopped, until the returned
// function is called.
func (r *run) stopped(nodes ...*deployer.Node) (started func()) {
	count := func(change int) {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		for _, node := range nodes {
			r.down[node.Name] += change
		}
	}
	count(1)
	return func() { count(-1) }
}

// watchers returns a primary watcher of each region at the moment. In the mode
// poll every node is one.
func (r *run) watchers(ctx context.Context) []*deployer.Node {
	var found []*deployer.Node
	regions := map[string]bool{}
	for _, node := range r.fleet.Nodes {
		samples, err := scraper.Scrape(ctx, node.Operators)
		watches := err == nil && scraper.Sum(samples, "sycamorerun_distributor_watch") == primaryWatch
		if watches && !regions[node.Zone.Region] {
			regions[node.Zone.Region] = true
			found = append(found, node)
		}
	}
	return found
}

// fault notes that nodes had a fault from a time until now.
func (r *run) fault(from time.Time, nodes ...*deployer.Node) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, node := range nodes {
		r.operator.Faults = append(r.operator.Faults, judge.Span{Node: node.Name, From: from, To: time.Now()})
	}
}

// faultUpstreams notes that the upstreams beside nodes misbehaved from a time
// until now.
func (r *run) faultUpstreams(from time.Time, nodes ...*deployer.Node) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, node := range nodes {
		r.operator.Faults = append(r.operator.Faults, judge.Span{Node: node.Name, From: from, To: time.Now(), Upstream: true})
	}
}

// storeFault adds the rules of an event to the store's fault plan or removes
// them.
func (r *run) storeFault(ctx context.Context, number int, event experimenter.Event, begin bool) error {
	r.mutex.Lock()
	delete(r.faults, number)
	if begin {
		one := rule{Kind: storeKind(event.Kind), Fraction: event.Share, Delay: sycamorerun.Duration(event.Delay)}
		if len(event.On) == 0 {
			r.faults[number] = []rule{one}
		}
		for _, place := range r.x.Fleet.Select(event.On) {
			if len(event.On) > 0 {
				one.Caller = place.Node
				r.faults[number] = append(r.faults[number], one)
			}
		}
	}
	rules := []rule{}
	for _, some := range r.faults {
		rules = append(rules, some...)
	}
	r.mutex.Unlock()
	return r.fleet.SetStoreFaults(ctx, map[string][]rule{"rules": rules})
}

// storeKind returns the store's name of a fault.
func storeKind(action experimenter.Action) string {
	if action == experimenter.Lag {
		return "delay"
	}
	return string(action)
}

// link begins or ends an event of the network. The others that are in force
// stay, but links are whole for a moment.
func (r *run) link(number int, event experimenter.Event, begin bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if begin {
		r.links[number] = event
	} else {
		delete(r.links, number)
		r.fleet.Heal()
	}
	for _, event := range r.links {
		inside, outside := r.sides(event)
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

// sides returns the availability zones that an event selects, and the others.
func (r *run) sides(event experimenter.Event) (inside, outside []string) {
	in := map[string]bool{}
	for _, place := range r.x.Fleet.Select(event.On) {
		in[place.Zone] = true
	}
	for _, zone := range r.fleet.Spec.Zones {
		if in[zone.Name] {
			inside = append(inside, zone.Name)
		} else {
			outside = append(outside, zone.Name)
		}
	}
	return inside, outside
}

// behave begins or ends a behavior of upstreams.
func (r *run) behave(ctx context.Context, number int, event experimenter.Event, begin bool) {
	change := map[string]any{}
	switch event.Kind {
	case experimenter.Slow:
		change["delay"] = 0
		if begin {
			change["delay"] = event.Delay.Milliseconds()
		}
	case experimenter.Drain:
		change["state"] = sycamorerun.StateReady
		if begin {
			change["state"] = sycamorerun.StateDraining
		}
	case experimenter.Shed, experimenter.Silent, experimenter.Reset:
		change[string(event.Kind)] = begin
	default:
		share := 0.0
		if begin {
			share = cmp.Or(event.Share, 1)
		}
		change[requestBehavior(event.Kind)] = share
	}
	each(r.selected(number, event), func(node *deployer.Node) {
		r.fail(deployer.Put(ctx, node.Control, "/behavior", change))
	})
}

// requestBehavior returns the upstream's name of a behavior.
func requestBehavior(action experimenter.Action) string {
	if action == experimenter.Drop {
		return "lose"
	}
	return string(action)
}

// each calls do for all nodes at once and waits.
func each(nodes []*deployer.Node, do func(node *deployer.Node)) {
	var group sync.WaitGroup
	for _, node := range nodes {
		group.Go(func() { do(node) })
	}
	group.Wait()
}

// shuffle orders nodes by a seed and the number of the event.
func shuffle(seed uint64, number int, nodes []*deployer.Node) {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
}
