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

// simulation is a fleet in which configuration versions and records travel over
// links that lose, duplicate and reorder messages.
type simulation struct {
	*rapid.T
	now      time.Time
	nodes    []*process
	history  []sycamorerun.Tree
	inFlight []func()
	// written holds each record as its own node wrote it.
	written map[recordID]sycamorerun.Instance
}

// recordID identifies one record of one run of a node.
type recordID struct {
	name        string
	incarnation sycamorerun.Incarnation
	sequence    uint64
}

// process is one simulated node, with the components that decide where its
// calls go.
type process struct {
	index    int
	running  bool
	run      int
	table    *table
	applier  *applier.Applier
	balancer *balancer.Balancer
	links    []*link
	// announced is the last announcement of the node's upstream, which is
	// repeated.
	announced sycamorerun.Instance
}

const nodeCount = 4

var serviceNames = []string{"desk", "store", "photos"}

func (s *simulation) draw(label string, low, high int) int {
	return rapid.IntRange(low, high).Draw(s.T, label)
}

// startNode starts a run of a node with empty state, as on a diskless instance.
func (s *simulation) startNode(p *process) {
	self := instance(p.index, fmt.Sprintf("%c1", 'a'+p.index%2))
	// Boot ids are random, but unique to each run.
	self.Incarnation = sycamorerun.NewIncarnation(uint32(s.draw("boot", 1, 1<<16))<<8 + uint32(p.run))
	p.running, p.run, p.announced = true, p.run+1, sycamorerun.Instance{}
	p.table = newTable(s.now, self, defaultTiming.suspicionTimeout)
	last := sycamorerun.Version(0)
	p.applier = &applier.Applier{Validate: new(validator.Checker).Check, Changed: func(state applier.State) {
		if state.Tree.Version <= last {
			s.Fatalf("node %d: version %s applied after %s", p.index, state.Tree.Version, last)
		}
		last = state.Tree.Version
	}}
	p.balancer = balancer.New(self.AvailabilityZone, self.Region)
	p.balancer.Random = func() float64 { return float64(s.draw("pick", 0, 99)) / 100 }
	p.balancer.Instances = func(service string) []sycamorerun.Instance {
		return slices.DeleteFunc(slices.Clone(p.table.live()), func(i sycamorerun.Instance) bool { return i.Service != service })
	}
	p.links = make([]*link, nodeCount)
	for _, q := range s.nodes {
		if q != p && q.running {
			p.links[q.index], q.links[p.index] = newLink(s.now, nil, p.index < q.index), newLink(s.now, nil, q.index < p.index)
		}
	}
	s.flood(p, nil)
}

// flood does what the tracker does after each change of the table.
func (s *simulation) flood(p *process, from *link) {
	own := p.table.records[p.table.self.name].Instance
	s.written[recordID{own.Name, own.Incarnation, own.Sequence}] = own
	for _, l := range p.links {
		if l != nil && l != from {
			l.markDirty(p.table.pending)
		}
	}
	p.table.pending = nil
}

// send puts what is pending on a link in flight.
func (s *simulation) send(p, to *process, heartbeat bool) {
	l, run := p.links[to.index], to.run
	if l == nil || !to.running {
		return
	}
	l.sendHeartbeat = l.sendHeartbeat || heartbeat
	for _, frame := range p.table.buildFrames(s.now, l, 0) {
		slices.SortFunc(frame.Records, func(a, b *Record) int { return cmp.Compare(a.Name, b.Name) })
		s.inFlight = append(s.inFlight, func() {
			if reverse := to.links[p.index]; to.running && to.run == run && reverse != nil {
				if err := to.table.applyFrame(s.now, reverse, frame); err != nil {
					s.Fatal(err)
				}
				reverse.peer = p.table.self.name
				s.flood(to, reverse)
			}
		})
	}
}

// randomItems returns items with some services and with routes to some of them.
// A broken tree also has a route to a service that does not exist.
func (s *simulation) randomItems(broken bool) map[sycamorerun.Path]sycamorerun.Item {
	items := map[sycamorerun.Path]sycamorerun.Item{"admin/team/a": sycamorerun.Item(`{"mode":"flow"}`)}
	var present []string
	for _, name := range serviceNames {
		if s.draw("service", 0, 2) > 0 {
			present = append(present, name)
			items[sycamorerun.NewPath("a", sycamorerun.KindService, name)] = sycamorerun.Item(fmt.Sprintf(
				`{"slots":%d,"queue":12,"connections":130,"timeout":"2s","idle":"10s","warmup":"0s","retries":0.2}`, s.draw("slots", 1, 3)))
		}
	}
	for i := range 3 {
		if len(present) == 0 || s.draw("route", 0, 3) == 0 {
			continue
		}
		split := []sycamorerun.Target{{Service: rapid.SampledFrom(present).Draw(s.T, "target"), Weight: 1}}
		s.addRoute(items, fmt.Sprintf("r%d", i), split)
	}
	if broken {
		s.addRoute(items, "r9", []sycamorerun.Target{{Service: "gone", Weight: 1}})
	}
	return items
}

func (s *simulation) addRoute(items map[sycamorerun.Path]sycamorerun.Item, name string, split []sycamorerun.Target) {
	item, err := json.Marshal(sycamorerun.Route{
		Hosts: []string{"x"}, Prefix: "/" + name, Class: sycamorerun.Bulk, Repeat: sycamorerun.RepeatDefault, Split: split,
	})
	if err != nil {
		s.Fatal(err)
	}
	items[sycamorerun.NewPath("a", sycamorerun.KindRoute, name)] = item
}

// sendVersion sends a version to a node, as a whole tree or as an entry that
// applies to the version before it.
func (s *simulation) sendVersion(p *process, tree sycamorerun.Tree, hash sycamorerun.Hash, whole bool) {
	run, base := p.run, s.history[tree.Version-1]
	s.inFlight = append(s.inFlight, func() {
		switch {
		case !p.running || p.run != run:
		case whole:
			_ = p.applier.Install(s.now, tree, hash)
		default:
			_ = p.applier.Apply(s.now, sycamorerun.Entry{Version: tree.Version, Hash: hash, Difference: differ.Compare(base.Items, tree.Items)})
		}
	})
}

// sendRandomVersion sends a random version to a node. Some copies have a wrong
// hash, and some trees are invalid.
func (s *simulation) sendRandomVersion(p *process) {
	tree := s.history[s.draw("version", 0, len(s.history)-1)]
	if tree.Version == 0 {
		return
	}
	hash := differ.Hash(tree.Items)
	switch s.draw("damage", 0, 5) {
	case 0:
		hash[s.draw("byte", 0, 31)]++
	case 1:
		tree = sycamorerun.Tree{Version: tree.Version, Items: s.randomItems(true)}
		hash = differ.Hash(tree.Items)
	}
	s.sendVersion(p, tree, hash, s.draw("whole", 0, 2) == 0)
}

func (s *simulation) commit() {
	tree := sycamorerun.Tree{Version: sycamorerun.Version(len(s.history)), Items: s.randomItems(false)}
	s.history = append(s.history, tree)
	for _, p := range s.nodes {
		s.sendVersion(p, tree, differ.Hash(tree.Items), false)
	}
}

func (s *simulation) announce(p *process) {
	states := []sycamorerun.State{sycamorerun.StateNone, sycamorerun.StateCold, sycamorerun.StateReady, sycamorerun.StateReady, sycamorerun.StateDraining}
	p.announced.Service = rapid.SampledFrom(serviceNames).Draw(s.T, "announced")
	p.announced.State = rapid.SampledFrom(states).Draw(s.T, "state")
	p.announced.Slots = s.draw("slots", 1, 3)
}

// advance advances the clock; the upstreams repeat their announcements.
func (s *simulation) advance(step time.Duration) {
	s.now = s.now.Add(step)
	for _, p := range s.nodes {
		if !p.running {
			continue
		}
		if p.announced.Service != "" {
			p.table.announce(s.now, p.announced.Service, p.announced.State, p.announced.Slots, p.announced.Release)
		}
		p.table.tick(s.now)
		s.flood(p, nil)
	}
}

// step runs one random event.
func (s *simulation) step() {
	p := s.nodes[s.draw("node", 0, nodeCount-1)]
	q := s.nodes[s.draw("peer", 0, nodeCount-1)]
	switch event := s.draw("event", 0, 19); {
	case event == 0:
		s.commit()
	case event == 1 && p.running:
		p.running = false
	case event <= 2 && !p.running:
		s.startNode(p)
	case !p.running:
	case event == 3:
		p.table.leave(s.now)
		s.flood(p, nil)
	case event == 4 && p != q:
		p.table.markSuspect(s.now, q.table.self.name)
		s.flood(p, nil)
	case event <= 6:
		s.announce(p)
	case event <= 8:
		s.advance(time.Duration(s.draw("time", 1, 4000)) * time.Millisecond)
	case event <= 10:
		s.sendRandomVersion(p)
	case event <= 13 && p != q:
		s.send(p, q, event == 13)
	case len(s.inFlight) > 0:
		at := s.draw("message", 0, len(s.inFlight)-1)
		message, fate := s.inFlight[at], s.draw("fate", 0, 5)
		if fate != 0 { // 0 duplicates the message, 1 loses it.
			s.inFlight = slices.Delete(s.inFlight, at, at+1)
		}
		if fate != 1 {
			message()
		}
	}
}

// converge delivers all messages and lets the nodes exchange heartbeats until
// they have converged.
func (s *simulation) converge() {
	newest := s.history[len(s.history)-1]
	for _, p := range s.nodes {
		if newest.Version > 0 {
			s.sendVersion(p, newest, differ.Hash(newest.Items), true)
		}
	}
	reporter := slices.IndexFunc(s.nodes, func(p *process) bool { return p.running })
	for range 30 {
		s.advance(time.Second)
		for _, p := range s.nodes {
			for _, q := range s.nodes {
				switch {
				case !p.running || p == q:
				case q.running:
					s.send(p, q, true)
				case p.index == reporter:
					p.table.markSuspect(s.now, q.table.self.name) // the flooded record informs the others
				}
			}
		}
		for len(s.inFlight) > 0 {
			message := s.inFlight[0]
			s.inFlight = s.inFlight[1:]
			message()
		}
	}
}

// checkInvariants checks the rules that hold for each node at any time.
func (s *simulation) checkInvariants() {
	for _, p := range s.nodes {
		if !p.running {
			continue
		}
		state := p.applier.Current()
		if state.Hash != differ.Hash(s.history[state.Tree.Version].Items) || differ.Hash(state.Tree.Items) != state.Hash ||
			state.Table.Version() != state.Tree.Version {
			s.Fatalf("node %d: version %s in force differs from the accepted one", p.index, state.Tree.Version)
		}
		for path, item := range state.Tree.Items {
			if _, kind, name := path.Split(); kind == sycamorerun.KindRoute {
				var route sycamorerun.Route
				if err := json.Unmarshal(item, &route); err != nil {
					s.Fatal(err)
				}
				s.checkRoute(p, state, name, route.Split[0].Service)
			}
		}
	}
}

// checkRoute routes a call and checks the instance that it is sent to.
func (s *simulation) checkRoute(p *process, state *applier.State, name, service string) {
	match, ok := state.Table.Match(router.Request{Method: "GET", Host: "x", Path: "/" + name})
	if _, known := state.Tree.Items[sycamorerun.NewPath("a", sycamorerun.KindService, service)]; !ok || !known || match.Service != service {
		s.Fatalf("node %d: route %s to %s: match %v %v, service known %v", p.index, name, service, ok, match.Service, known)
	}
	picked, ok := p.balancer.Pick(s.now, balancer.Query{Service: match.Service})
	if !ok {
		return
	}
	p.balancer.Observe(s.now, balancer.Observation{Instance: picked.Name, Service: service, Result: sycamorerun.Answered})
	if wrote := s.written[recordID{picked.Name, picked.Incarnation, picked.Sequence}]; !s.matches(wrote, picked) ||
		picked.Service != service || !picked.Serving() || !p.table.records[picked.Name].live() {
		s.Fatalf("node %d: call for service %s was sent to %+v, whose node wrote %+v", p.index, service, picked, wrote)
	}
}

// matches reports whether a record arrived as its node wrote it. Since travels
// as an age, so that the receiver's value is later by the time in flight.
func (s *simulation) matches(wrote, got sycamorerun.Instance) bool {
	if got.Since.Before(wrote.Since) || got.Since.After(s.now) {
		return false
	}
	got.Since = wrote.Since
	return wrote == got
}

// checkConvergence checks that all nodes have the newest version and the same
// records after everything was delivered.
func (s *simulation) checkConvergence() {
	var want []sycamorerun.Instance
	for _, p := range s.nodes {
		if own := p.table.records[p.table.self.name]; p.running && own.live() {
			want = append(want, own.Instance)
		}
	}
	for _, p := range s.nodes {
		if !p.running {
			continue
		}
		if got := p.applier.Current().Tree.Version; int(got) != len(s.history)-1 {
			s.Fatalf("node %d has version %s, want the newest accepted version %d", p.index, got, len(s.history)-1)
		}
		if got := p.table.live(); !slices.EqualFunc(want, got, s.matches) {
			s.Fatalf("node %d has records\n%+v\nwant\n%+v", p.index, got, want)
		}
	}
}

// interleavingTime is how long TestVersionsAndRecords tries random
// interleavings.
const interleavingTime = 2 * time.Second

// TestVersionsAndRecords guards, over random interleavings of versions and
// records with loss, duplication and reordering, against a version that
// decreases or is applied in part, a route to a missing service, a call that is sent
// to an instance of another service, and nodes that never converge. A failure
// prints its seed; -rapid.seed repeats it.
func TestVersionsAndRecords(t *testing.T) {
	for begun := time.Now(); time.Since(begun) < interleavingTime; {
		rapid.Check(t, checkInterleaving)
	}
}

func checkInterleaving(t *rapid.T) {
	s := &simulation{T: t, now: start, history: []sycamorerun.Tree{{}}, written: map[recordID]sycamorerun.Instance{}}
	for i := range nodeCount {
		s.nodes = append(s.nodes, &process{index: i})
	}
	for _, p := range s.nodes {
		s.startNode(p)
	}
	for range s.draw("steps", 20, 150) {
		s.step()
		s.checkInvariants()
	}
	s.converge()
	s.checkInvariants()
	s.checkConvergence()
}
