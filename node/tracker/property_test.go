package tracker

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamorerun"
	"sycamorerun/differ"
	"sycamorerun/node/applier"
	"sycamorerun/node/balancer"
	"sycamorerun/node/router"
	"sycamorerun/validator"
)

// world is a fleet in which configuration versions and records travel over
// links that lose, repeat and reorder what they carry.
type world struct {
	*rapid.T
	now     time.Time
	nodes   []*process
	history []sycamorerun.Tree
	wire    []func()
	// written holds each record that its node wrote.
	written map[identity]sycamorerun.Instance
}

// identity names one record of one run of a node.
type identity struct {
	name        string
	incarnation sycamorerun.Incarnation
	sequence    uint64
}

// process is one node: the slices that decide where its calls go.
type process struct {
	index    int
	up       bool
	run      int
	table    *table
	applier  *applier.Applier
	balancer *balancer.Balancer
	links    []*link
	// announced is what the upstream beside the node says; it is repeated.
	announced sycamorerun.Instance
}

const processes = 4

var serviceNames = []string{"desk", "store", "photos"}

func (w *world) draw(label string, least, most int) int {
	return rapid.IntRange(least, most).Draw(w.T, label)
}

// boot starts a run of a node, with empty state as on a diskless instance.
func (w *world) boot(p *process) {
	self := instance(p.index, fmt.Sprintf("%c1", 'a'+p.index%2))
	// Boot ids are random, but no two runs have the same.
	self.Incarnation = sycamorerun.NewIncarnation(uint32(w.draw("boot", 1, 1<<16))<<8 + uint32(p.run))
	p.up, p.run, p.announced = true, p.run+1, sycamorerun.Instance{}
	p.table = newTable(w.now, self, standard.suspicion)
	last := sycamorerun.Version(0)
	p.applier = &applier.Applier{Validate: new(validator.Checker).Check, Changed: func(state applier.State) {
		if state.Tree.Version <= last {
			w.Fatalf("node %d: version %s after %s", p.index, state.Tree.Version, last)
		}
		last = state.Tree.Version
	}}
	p.balancer = balancer.New(self.AvailabilityZone, self.Region)
	p.balancer.Random = func() float64 { return float64(w.draw("pick", 0, 99)) / 100 }
	p.balancer.Instances = func(service string) []sycamorerun.Instance {
		return slices.DeleteFunc(slices.Clone(p.table.live()), func(i sycamorerun.Instance) bool { return i.Service != service })
	}
	p.links = make([]*link, processes)
	for _, q := range w.nodes {
		if q != p && q.up {
			p.links[q.index], q.links[p.index] = newLink(w.now, nil, p.index < q.index), newLink(w.now, nil, q.index < p.index)
		}
	}
	w.spread(p, nil)
}

// spread does what the tracker does after each change of the table.
func (w *world) spread(p *process, from *link) {
	own := p.table.records[p.table.own.name].Instance
	w.written[identity{own.Name, own.Incarnation, own.Sequence}] = own
	for _, l := range p.links {
		if l != nil && l != from {
			l.mark(p.table.news)
		}
	}
	p.table.news = nil
}

// send puts what waits on a link on the wire.
func (w *world) send(p, to *process, beat bool) {
	l, run := p.links[to.index], to.run
	if l == nil || !to.up {
		return
	}
	l.beat = l.beat || beat
	for _, frame := range p.table.compose(w.now, l, 0) {
		slices.SortFunc(frame.Records, func(a, b *Record) int { return cmp.Compare(a.Name, b.Name) })
		w.wire = append(w.wire, func() {
			if back := to.links[p.index]; to.up && to.run == run && back != nil {
				if err := to.table.take(w.now, back, frame); err != nil {
					w.Fatal(err)
				}
				back.peer = p.table.own.name
				w.spread(to, back)
			}
		})
	}
}

// change returns items with some services and with routes to some of them; a
// broken tree has a route to a service that it lacks.
func (w *world) change(broken bool) map[sycamorerun.Path]sycamorerun.Item {
	items := map[sycamorerun.Path]sycamorerun.Item{"admin/team/a": sycamorerun.Item(`{"mode":"flow"}`)}
	var present []string
	for _, name := range serviceNames {
		if w.draw("service", 0, 2) > 0 {
			present = append(present, name)
			items[sycamorerun.NewPath("a", sycamorerun.KindService, name)] = sycamorerun.Item(fmt.Sprintf(
				`{"slots":%d,"queue":12,"connections":130,"timeout":"2s","idle":"10s","warmup":"0s","retries":0.2}`, w.draw("slots", 1, 3)))
		}
	}
	for i := range 3 {
		if len(present) == 0 || w.draw("route", 0, 3) == 0 {
			continue
		}
		split := []sycamorerun.Target{{Service: rapid.SampledFrom(present).Draw(w.T, "target"), Weight: 1}}
		w.addRoute(items, fmt.Sprintf("r%d", i), split)
	}
	if broken {
		w.addRoute(items, "r9", []sycamorerun.Target{{Service: "gone", Weight: 1}})
	}
	return items
}

func (w *world) addRoute(items map[sycamorerun.Path]sycamorerun.Item, name string, split []sycamorerun.Target) {
	item, err := json.Marshal(sycamorerun.Route{
		Hosts: []string{"x"}, Prefix: "/" + name, Class: sycamorerun.Bulk, Repeat: sycamorerun.RepeatDefault, Split: split,
	})
	if err != nil {
		w.Fatal(err)
	}
	items[sycamorerun.NewPath("a", sycamorerun.KindRoute, name)] = item
}

// deliver hands a version to a node as a whole tree or as an entry on top of
// the version before it.
func (w *world) deliver(p *process, tree sycamorerun.Tree, hash sycamorerun.Hash, whole bool) {
	run, base := p.run, w.history[tree.Version-1]
	w.wire = append(w.wire, func() {
		switch {
		case !p.up || p.run != run:
		case whole:
			_ = p.applier.Install(w.now, tree, hash)
		default:
			_ = p.applier.Apply(w.now, sycamorerun.Entry{Version: tree.Version, Hash: hash, Difference: differ.Compare(base.Items, tree.Items)})
		}
	})
}

// configure sends some version to a node; some copies are damaged, and some
// trees break a rule.
func (w *world) configure(p *process) {
	tree := w.history[w.draw("version", 0, len(w.history)-1)]
	if tree.Version == 0 {
		return
	}
	hash := differ.Hash(tree.Items)
	switch w.draw("damage", 0, 5) {
	case 0:
		hash[w.draw("byte", 0, 31)]++
	case 1:
		tree = sycamorerun.Tree{Version: tree.Version, Items: w.change(true)}
		hash = differ.Hash(tree.Items)
	}
	w.deliver(p, tree, hash, w.draw("whole", 0, 2) == 0)
}

func (w *world) commit() {
	tree := sycamorerun.Tree{Version: sycamorerun.Version(len(w.history)), Items: w.change(false)}
	w.history = append(w.history, tree)
	for _, p := range w.nodes {
		w.deliver(p, tree, differ.Hash(tree.Items), false)
	}
}

func (w *world) announce(p *process) {
	states := []sycamorerun.State{sycamorerun.StateNone, sycamorerun.StateCold, sycamorerun.StateReady, sycamorerun.StateReady, sycamorerun.StateDraining}
	p.announced.Service = rapid.SampledFrom(serviceNames).Draw(w.T, "announced")
	p.announced.State = rapid.SampledFrom(states).Draw(w.T, "state")
	p.announced.Slots = w.draw("slots", 1, 3)
}

// pass lets time pass; the upstreams repeat their announcements.
func (w *world) pass(step time.Duration) {
	w.now = w.now.Add(step)
	for _, p := range w.nodes {
		if !p.up {
			continue
		}
		if p.announced.Service != "" {
			p.table.announce(w.now, p.announced.Service, p.announced.State, p.announced.Slots)
		}
		p.table.tick(w.now)
		w.spread(p, nil)
	}
}

// step is one random event.
func (w *world) step() {
	p := w.nodes[w.draw("node", 0, processes-1)]
	q := w.nodes[w.draw("peer", 0, processes-1)]
	switch event := w.draw("event", 0, 19); {
	case event == 0:
		w.commit()
	case event == 1 && p.up:
		p.up = false
	case event <= 2 && !p.up:
		w.boot(p)
	case !p.up:
	case event == 3:
		p.table.leave(w.now)
		w.spread(p, nil)
	case event == 4 && p != q:
		p.table.suspect(w.now, q.table.own.name)
		w.spread(p, nil)
	case event <= 6:
		w.announce(p)
	case event <= 8:
		w.pass(time.Duration(w.draw("time", 1, 4000)) * time.Millisecond)
	case event <= 10:
		w.configure(p)
	case event <= 13 && p != q:
		w.send(p, q, event == 13)
	case len(w.wire) > 0:
		at := w.draw("message", 0, len(w.wire)-1)
		message, fate := w.wire[at], w.draw("fate", 0, 5)
		if fate != 0 { // 0 repeats the message, 1 loses it.
			w.wire = slices.Delete(w.wire, at, at+1)
		}
		if fate != 1 {
			message()
		}
	}
}

// settle delivers everything until nothing changes any more.
func (w *world) settle() {
	newest := w.history[len(w.history)-1]
	for _, p := range w.nodes {
		if newest.Version > 0 {
			w.deliver(p, newest, differ.Hash(newest.Items), true)
		}
	}
	first := slices.IndexFunc(w.nodes, func(p *process) bool { return p.up })
	for range 30 {
		w.pass(time.Second)
		for _, p := range w.nodes {
			for _, q := range w.nodes {
				switch {
				case !p.up || p == q:
				case q.up:
					w.send(p, q, true)
				case p.index == first:
					p.table.suspect(w.now, q.table.own.name) // the others hear of it
				}
			}
		}
		for len(w.wire) > 0 {
			message := w.wire[0]
			w.wire = w.wire[1:]
			message()
		}
	}
}

// check compares each node with the rules that hold at any moment.
func (w *world) check() {
	for _, p := range w.nodes {
		if !p.up {
			continue
		}
		state := p.applier.Current()
		if state.Hash != differ.Hash(w.history[state.Tree.Version].Items) || differ.Hash(state.Tree.Items) != state.Hash ||
			state.Table.Version() != state.Tree.Version {
			w.Fatalf("node %d: version %s is not in force as accepted", p.index, state.Tree.Version)
		}
		for path, item := range state.Tree.Items {
			if _, kind, name := path.Split(); kind == sycamorerun.KindRoute {
				var route sycamorerun.Route
				if err := json.Unmarshal(item, &route); err != nil {
					w.Fatal(err)
				}
				w.checkRoute(p, state, name, route.Split[0].Service)
			}
		}
	}
}

// checkRoute makes a call to a route.
func (w *world) checkRoute(p *process, state *applier.State, name, service string) {
	match, ok := state.Table.Match(router.Request{Method: "GET", Host: "x", Path: "/" + name})
	if _, known := state.Tree.Items[sycamorerun.NewPath("a", sycamorerun.KindService, service)]; !ok || !known || match.Service != service {
		w.Fatalf("node %d: route %s to %s: match %v %v, service known %v", p.index, name, service, ok, match.Service, known)
	}
	picked, ok := p.balancer.Pick(w.now, balancer.Query{Service: match.Service})
	if !ok {
		return
	}
	p.balancer.Observe(w.now, balancer.Observation{Instance: picked.Name, Service: service, Result: sycamorerun.Answered})
	if wrote := w.written[identity{picked.Name, picked.Incarnation, picked.Sequence}]; !w.same(wrote, picked) ||
		picked.Service != service || !picked.Serving() || !p.table.records[picked.Name].live() {
		w.Fatalf("node %d: call for %s goes to %+v, whose node wrote %+v", p.index, service, picked, wrote)
	}
}

// same reports whether a record arrived as its node wrote it. Since travels as
// an age, so that it is later by the time on the way.
func (w *world) same(wrote, got sycamorerun.Instance) bool {
	if got.Since.Before(wrote.Since) || got.Since.After(w.now) {
		return false
	}
	got.Since = wrote.Since
	return wrote == got
}

// agree compares the nodes with each other after everything was delivered.
func (w *world) agree() {
	var want []sycamorerun.Instance
	for _, p := range w.nodes {
		if own := p.table.records[p.table.own.name]; p.up && own.live() {
			want = append(want, own.Instance)
		}
	}
	for _, p := range w.nodes {
		if !p.up {
			continue
		}
		if got := p.applier.Current().Tree.Version; int(got) != len(w.history)-1 {
			w.Fatalf("node %d has version %s, accepted are %d", p.index, got, len(w.history)-1)
		}
		if got := p.table.live(); !slices.EqualFunc(want, got, w.same) {
			w.Fatalf("node %d knows\n%+v, want\n%+v", p.index, got, want)
		}
	}
}

// interleavings is the time in which TestVersionsAndRecords tries new ones.
const interleavings = 2 * time.Second

// TestVersionsAndRecords guards, over random interleavings of versions and
// records with losses, repeats and reordering, against a version that goes
// back or is in force in part, a route to a missing service, a call that goes
// to an instance of another service, and nodes that never agree. A failure
// prints its seed; -rapid.seed repeats it.
func TestVersionsAndRecords(t *testing.T) {
	for begun := time.Now(); time.Since(begun) < interleavings; {
		rapid.Check(t, interleave)
	}
}

func interleave(t *rapid.T) {
	w := &world{T: t, now: start, history: []sycamorerun.Tree{{}}, written: map[identity]sycamorerun.Instance{}}
	for i := range processes {
		w.nodes = append(w.nodes, &process{index: i})
	}
	for _, p := range w.nodes {
		w.boot(p)
	}
	for range w.draw("steps", 20, 150) {
		w.step()
		w.check()
	}
	w.settle()
	w.check()
	w.agree()
}
