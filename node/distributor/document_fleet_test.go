package distributor

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"sycamorerun"
	"sycamorerun/node/planner"
	"sycamorerun/persister"
)

// fault is what a member's store does instead of answering, or the member
// itself.
type fault string

const (
	healthy fault = ""
	rejects fault = "rejected by the store"
	silent  fault = "store silent"
	paused  fault = "paused"
	killed  fault = "killed"
)

// follow returns the document as seen from a member that is delay away.
func (f *fleet) follow(m *member, delay time.Duration) *Document {
	// wait looks for a revision above after for some time.
	wait := func(ctx context.Context, after persister.Revision, limit time.Duration) (sycamorerun.Tree, persister.Revision, error) {
		f.store.set(func() { f.store.cost.calls++ })
		for begin := time.Now(); sleep(ctx, delay); {
			switch f.fault(m) {
			case rejects:
				return sycamorerun.Tree{}, 0, persister.ErrUnavailable
			case silent, paused:
				continue
			}
			f.store.mutex.Lock()
			tree, revision := f.store.tree, f.store.revision
			f.store.mutex.Unlock()
			if revision > after || time.Since(begin) >= limit {
				return tree, revision, nil
			}
		}
		return sycamorerun.Tree{}, 0, ctx.Err()
	}
	return &Document{
		Read: func(ctx context.Context) (sycamorerun.Tree, persister.Revision, error) { return wait(ctx, 0, 0) },
		Watch: func(ctx context.Context, after persister.Revision) (sycamorerun.Tree, persister.Revision, bool, error) {
			tree, revision, err := wait(ctx, after, 2500*time.Millisecond)
			return tree, revision, revision > after, err
		},
	}
}

func (f *fleet) fault(m *member) (found fault) {
	f.set(func() { found = m.fault })
	return found
}

func (f *fleet) fail(kind fault, names ...string) {
	for _, name := range names {
		f.set(func() { f.members[name].fault, f.members[name].mute = kind, kind == paused })
		if kind == killed {
			f.kill(name)
		}
	}
}

// order returns the watchers and their deputies.
func (f *fleet) order() []string {
	plan := planner.New("node-00", f.instances(), f.options)
	return slices.Concat(plan.Watchers, plan.BackupWatchers)
}

func (f *fleet) instances() (all []sycamorerun.Instance) {
	for _, name := range f.names() {
		f.set(func() { all = append(all, f.members[name].Instance) })
	}
	return all
}

// until returns how long it takes until reached, or fails after a bound.
func until(t *testing.T, what string, bound time.Duration, reached func() bool) {
	t.Helper()
	begin := time.Now()
	for !reached() {
		if time.Since(begin) > bound {
			t.Fatalf("not %s after %s", what, bound)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Log(what, time.Since(begin))
}

func (f *fleet) ready(names ...string) func() bool {
	return func() bool {
		return !slices.ContainsFunc(names, func(name string) bool { return !f.members[name].process.Load().Ready() })
	}
}

// watched reports whether a healthy member watches the store.
func (f *fleet) watched() bool {
	return slices.ContainsFunc(f.names(), func(name string) bool {
		m := f.members[name]
		return f.fault(m) == healthy && m.process.Load().watching(time.Now())
	})
}

func runDocument(t *testing.T, scenario func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, Tree, 14)
		f.options, f.document = planner.Options{Watchers: 3}, f.follow
		defer func() {
			f.stop()
			f.fail(healthy, f.names()...)
			time.Sleep(time.Minute)
			synctest.Wait()
		}()
		f.store.edit(10)
		scenario(t, f)
	})
}

// The targets: a version in force everywhere, the same while the store fails
// for some members, and a working watcher.
const (
	inForce  = 2500 * time.Millisecond
	impaired = 7500 * time.Millisecond
	takeover = 3 * time.Second
)

// TestTakeover guards against a fleet without a working watcher, and against a
// version that comes late, after some of the first members in the order fail.
func TestTakeover(t *testing.T) {
	type failing struct {
		fault    fault
		from, to int
	}
	cases := map[string]struct {
		failing  []failing
		watched  time.Duration
		converge time.Duration
	}{
		"watchers killed":                {[]failing{{killed, 0, 3}}, takeover, impaired},
		"watchers and deputies killed":   {[]failing{{killed, 0, 9}}, takeover, impaired},
		"watchers paused":                {[]failing{{paused, 0, 3}}, takeover, impaired},
		"a third rejected":               {[]failing{{rejects, 0, 5}}, takeover, inForce},
		"watchers killed, next rejected": {[]failing{{killed, 0, 3}, {rejects, 3, 7}}, takeover, impaired},
		"store silent for the watchers":  {[]failing{{silent, 0, 3}}, impaired, impaired},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runDocument(t, func(t *testing.T, f *fleet) {
				f.start(f.names()...)
				time.Sleep(10 * time.Second)
				for order := f.order(); len(c.failing) > 0; c.failing = c.failing[1:] {
					f.fail(c.failing[0].fault, order[c.failing[0].from:c.failing[0].to]...)
				}
				f.store.edit(20)
				until(t, "watched", c.watched, f.watched)
				t.Log("in force", mustConverge(t, f, 20, c.converge))
			})
		})
	}
}

// TestDocumentFleet guards against a start that takes too long or that ends
// without a version, and against traffic and calls without need.
func TestDocumentFleet(t *testing.T) {
	cases := map[string]func(t *testing.T, f *fleet){
		"cold start": func(t *testing.T, f *fleet) {
			f.start(f.names()...)
			until(t, "ready", 2*time.Second, f.ready(f.names()...))
			// Each watcher reads and watches once; the others read nothing.
			if calls := f.cost().calls; calls > 2*3 {
				t.Errorf("%d calls", calls)
			}
		},
		"cold start, a third rejected": func(t *testing.T, f *fleet) {
			f.fail(rejects, f.order()[:4]...)
			f.start(f.names()...)
			until(t, "ready", takeover, f.ready(f.names()...))
		},
		"cold start, store down": func(t *testing.T, f *fleet) {
			f.fail(rejects, f.names()...)
			f.start(f.names()...)
			time.Sleep(10 * time.Second)
			if slices.ContainsFunc(f.names(), func(name string) bool { return f.ready(name)() }) {
				t.Error("ready without a version")
			}
			f.fail(healthy, f.names()...)
			until(t, "ready", impaired, f.ready(f.names()...))
		},
		"one member restarts, store down": func(t *testing.T, f *fleet) {
			f.start(f.names()...)
			time.Sleep(10 * time.Second)
			f.fail(rejects, f.names()...)
			last := f.order()[13]
			f.kill(last)
			f.start(last)
			until(t, "ready", time.Second, f.ready(last))
			// The other members count as starting too.
			f.kill(last)
			for _, name := range f.names() {
				f.members[name].process.Load().ready.Store(false)
			}
			f.start(last)
			until(t, "ready among others that start", 2*time.Second, f.ready(last))
		},
		"burst": func(t *testing.T, f *fleet) {
			f.start(f.names()...)
			time.Sleep(10 * time.Second)
			before := f.cost()
			for i := range sycamorerun.Version(15) {
				f.store.edit(20 + 7*i)
				time.Sleep(200 * time.Millisecond)
			}
			t.Log("in force", mustConverge(t, f, 118, inForce))
			time.Sleep(5 * time.Second)
			// A member may get an entry of about 100 bytes twice, no snapshot.
			if spent := f.cost().since(before, 15); spent.sent > 14*2*150 {
				t.Errorf("%d bytes a version", spent.sent)
			}
		},
		"store comes back": func(t *testing.T, f *fleet) {
			f.start(f.names()...)
			time.Sleep(10 * time.Second)
			f.fail(rejects, f.names()...)
			time.Sleep(20 * time.Second)
			before := f.cost()
			time.Sleep(10 * time.Second)
			// 11 members without a role call at most once a second, the 3 with
			// one twice on average.
			if calls := f.cost().calls - before.calls; calls > 10*(11+2*3) {
				t.Errorf("%d calls", calls)
			}
			f.fail(healthy, f.names()...)
			f.store.edit(20)
			t.Log("in force", mustConverge(t, f, 20, inForce))
		},
	}
	for name, scenario := range cases {
		t.Run(name, func(t *testing.T) { runDocument(t, scenario) })
	}
}
