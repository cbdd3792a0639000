package distributor

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"sycamorerun"
	"sycamorerun/node/planner"
)

// officers is a fleet of 14 members with 3 watchers of a document.
type officers struct {
	*fleet
	paper
	faults map[string]fault
}

func runDocument(t *testing.T, scenario func(t *testing.T, o *officers)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, Tree, 14)
		o := &officers{f, paper{f.store}, map[string]fault{}}
		defer func() {
			f.stop()
			f.set(func() {
				for _, m := range f.members {
					m.mute = false
				}
			})
			time.Sleep(time.Minute)
			synctest.Wait()
		}()
		f.options = planner.Options{Watchers: 3}
		f.document = func(m *member, delay time.Duration) *Document {
			return o.paper.document(delay, func() (found fault) {
				f.set(func() { found = o.faults[m.Name] })
				return found
			})
		}
		o.edit(10)
		scenario(t, o)
	})
}

// settled starts the fleet and lets the watchers take their roles.
func (o *officers) settled(t *testing.T) *officers {
	t.Helper()
	o.fleet.start(o.names()...)
	mustConverge(t, o.fleet, 10, 2*time.Second)
	time.Sleep(5 * time.Second)
	return o
}

// ready returns the time until the members are ready.
func (o *officers) ready(t *testing.T, names []string, bound time.Duration) time.Duration {
	t.Helper()
	begin := time.Now()
	for _, name := range names {
		for !o.members[name].process.Load().Ready() {
			if time.Since(begin) > bound {
				t.Fatalf("%s is not ready after %s", name, bound)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(begin)
}

// order returns the watchers and their deputies.
func (o *officers) order() []string {
	plan := o.members["node-00"].plan.Load()
	return slices.Concat(plan.Watchers, plan.Deputies)
}

func (o *officers) fail(f fault, names ...string) {
	o.fleet.set(func() {
		for _, name := range names {
			o.faults[name] = f
		}
	})
}

// working returns the time until a member that is up watches the store.
func (o *officers) working(t *testing.T, bound time.Duration) time.Duration {
	t.Helper()
	begin := time.Now()
	for time.Since(begin) <= bound {
		for _, name := range o.names() {
			m := o.members[name]
			healthy := o.is(func() bool { return m.up && !m.mute && o.faults[name] == none })
			if healthy && m.process.Load().watching(time.Now()) {
				return time.Since(begin)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("no watcher after %s", bound)
	return 0
}

// TestDocumentFleet guards against a version that is not in force everywhere in
// time, a fleet without a watcher, and a start that takes too long.
func TestDocumentFleet(t *testing.T) {
	const (
		inForce  = 2500 * time.Millisecond // a version, from its confirmation
		impaired = 7500 * time.Millisecond // the same, while the store fails for some nodes
		takeover = 3 * time.Second
	)
	cases := map[string]func(t *testing.T, o *officers){
		"cold start": func(t *testing.T, o *officers) {
			o.fleet.start(o.names()...)
			t.Log(o.ready(t, o.names(), 2*time.Second))
			mustConverge(t, o.fleet, 10, 0)
		},
		"cold start, a third is rejected": func(t *testing.T, o *officers) {
			plan := planner.New("node-00", o.instances(), o.options)
			o.fail(rejects, append(slices.Clone(plan.Watchers), plan.Deputies[0])...)
			o.fleet.start(o.names()...)
			t.Log(o.ready(t, o.names(), 3*time.Second))
		},
		"cold start, store down": func(t *testing.T, o *officers) {
			o.fail(rejects, o.names()...)
			o.fleet.start(o.names()...)
			time.Sleep(10 * time.Second)
			for _, name := range o.names() {
				if o.members[name].process.Load().Ready() {
					t.Fatalf("%s is ready without a version", name)
				}
			}
			o.fail(none, o.names()...)
			t.Log(o.ready(t, o.names(), impaired))
		},
		"one member restarts": func(t *testing.T, o *officers) {
			o.settled(t).fail(rejects, o.names()...)
			name := o.order()[13]
			o.kill(name)
			time.Sleep(100 * time.Millisecond)
			o.fleet.start(name)
			t.Log(o.ready(t, []string{name}, time.Second))
		},
		"burst": func(t *testing.T, o *officers) {
			o.settled(t)
			before := o.cost()
			for i := range 15 {
				o.edit(sycamorerun.Version(20 + 7*i))
				time.Sleep(200 * time.Millisecond)
			}
			t.Log(mustConverge(t, o.fleet, 118, inForce))
			time.Sleep(5 * time.Second)
			// A snapshot has about 4 KB; each member may get an entry of about
			// 100 bytes twice.
			if spent := o.cost().since(before, 15); spent.sent > 14*2*150 {
				t.Errorf("%d bytes a version", spent.sent)
			} else {
				t.Log(spent)
			}
		},
		"watchers killed": func(t *testing.T, o *officers) {
			for _, name := range o.settled(t).order()[:3] {
				o.kill(name)
			}
			o.edit(20)
			t.Log(o.working(t, takeover))
			t.Log(mustConverge(t, o.fleet, 20, takeover))
		},
		"watchers and 6 deputies killed": func(t *testing.T, o *officers) {
			for _, name := range o.settled(t).order()[:9] {
				o.kill(name)
			}
			o.edit(20)
			t.Log(o.working(t, takeover))
			t.Log(mustConverge(t, o.fleet, 20, takeover))
		},
		"watchers paused": func(t *testing.T, o *officers) {
			watchers := o.settled(t).order()[:3]
			o.fleet.set(func() {
				for _, name := range watchers {
					o.members[name].mute = true
				}
			})
			o.fail(silent, watchers...)
			o.edit(20)
			t.Log(o.working(t, takeover+500*time.Millisecond))
			t.Log(mustConverge(t, o.fleet, 20, takeover))
		},
		"a third is rejected": func(t *testing.T, o *officers) {
			o.settled(t).fail(rejects, o.order()[:5]...)
			time.Sleep(3 * time.Second) // the waits in flight end
			t.Log(o.working(t, takeover))
			o.edit(20)
			t.Log(mustConverge(t, o.fleet, 20, inForce))
		},
		"watchers killed, the next are rejected": func(t *testing.T, o *officers) {
			order := o.settled(t).order()
			o.fail(rejects, order[3:7]...)
			for _, name := range order[:3] {
				o.kill(name)
			}
			o.edit(20)
			t.Log(o.working(t, takeover))
			t.Log(mustConverge(t, o.fleet, 20, impaired))
		},
		"store silent for the watchers": func(t *testing.T, o *officers) {
			o.settled(t).fail(silent, o.order()[:3]...)
			o.edit(20)
			t.Log(mustConverge(t, o.fleet, 20, impaired))
		},
		"store comes back": func(t *testing.T, o *officers) {
			o.settled(t).fail(rejects, o.names()...)
			time.Sleep(20 * time.Second)
			before := o.cost()
			time.Sleep(10 * time.Second)
			// Members without a role call once a second at most, those with one
			// twice a second on average.
			if calls := o.cost().calls - before.calls; calls > 10*14*2 {
				t.Errorf("%d calls", calls)
			}
			o.fail(none, o.names()...)
			o.edit(20)
			t.Log(mustConverge(t, o.fleet, 20, inForce))
		},
	}
	for name, scenario := range cases {
		t.Run(name, func(t *testing.T) { runDocument(t, scenario) })
	}
}

func (o *officers) instances() []sycamorerun.Instance {
	var all []sycamorerun.Instance
	for _, name := range o.names() {
		all = append(all, o.members[name].Instance)
	}
	return all
}
