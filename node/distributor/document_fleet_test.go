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

// fault is a failure of a member or of the store as seen by that member.
type fault string

const (
	healthy fault = ""
	rejects fault = "rejected by the store"
	silent  fault = "store silent"
	paused  fault = "paused"
	killed  fault = "killed"
)

// newDocument returns the document as seen by a member with a network delay to the
// store.
func (f *fleet) newDocument(m *member, delay time.Duration) *Document {
	// wait polls for a revision above after until limit.
	wait := func(ctx context.Context, after persister.Revision, limit time.Duration) (sycamorerun.Tree, persister.Position, error) {
		f.store.update(func() { f.store.cost.calls++ })
		for begin := time.Now(); sleep(ctx, delay); {
			switch f.fault(m) {
			case rejects:
				return sycamorerun.Tree{}, persister.Position{}, persister.ErrUnavailable
			case silent, paused:
				continue
			}
			f.store.mutex.Lock()
			tree, position := f.store.tree, persister.Position{Era: f.store.era, Revision: f.store.revision}
			f.store.mutex.Unlock()
			if position.Revision > after || time.Since(begin) >= limit {
				return tree, position, nil
			}
		}
		return sycamorerun.Tree{}, persister.Position{}, ctx.Err()
	}
	return &Document{
		Read: func(ctx context.Context) (sycamorerun.Tree, persister.Position, error) { return wait(ctx, 0, 0) },
		Watch: func(ctx context.Context, after persister.Position) (sycamorerun.Tree, persister.Position, bool, error) {
			tree, next, err := wait(ctx, after.Revision, 2500*time.Millisecond)
			if err == nil && next.Era != after.Era {
				err = persister.ErrCompacted
			}
			return tree, next, next.Revision > after.Revision, err
		},
	}
}

func (f *fleet) fault(m *member) (found fault) {
	f.update(func() { found = m.fault })
	return found
}

func (f *fleet) fail(kind fault, names ...string) {
	for _, name := range names {
		f.update(func() { f.members[name].fault, f.members[name].stalled = kind, kind == paused })
		if kind == killed {
			f.kill(name)
		}
	}
}

// watchOrder returns the planned watchers followed by the backup watchers.
func (f *fleet) watchOrder() []string {
	plan := planner.New("node-00", f.instances(), f.options)
	return slices.Concat(plan.Watchers, plan.BackupWatchers)
}

func (f *fleet) instances() (all []sycamorerun.Instance) {
	for _, name := range f.names() {
		f.update(func() { all = append(all, f.members[name].Instance) })
	}
	return all
}

// waitUntil waits until reached returns true and logs the time that it took. The
// test fails after bound.
func waitUntil(t *testing.T, what string, bound time.Duration, reached func() bool) {
	t.Helper()
	begin := time.Now()
	for !reached() {
		if time.Since(begin) > bound {
			t.Fatalf("not %s within %s", what, bound)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Log(what, time.Since(begin))
}

func (f *fleet) allReady(names ...string) func() bool {
	return func() bool {
		return !slices.ContainsFunc(names, func(name string) bool { return !f.members[name].process.Load().Ready() })
	}
}

// storeWatched reports whether a healthy member watches the store.
func (f *fleet) storeWatched() bool {
	return slices.ContainsFunc(f.names(), func(name string) bool {
		m := f.members[name]
		return f.fault(m) == healthy && m.process.Load().watching(time.Now())
	})
}

func runDocumentFleet(t *testing.T, scenario func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, Tree, 14)
		f.options, f.newMemberDocument = planner.Options{Watchers: 3}, f.newDocument
		defer func() {
			f.stop()
			f.fail(healthy, f.names()...)
			time.Sleep(time.Minute)
			synctest.Wait()
		}()
		f.store.writeDocument(10)
		scenario(t, f)
	})
}

// Time limits: for a version to be in force on all members, for the same while
// the store fails for some of them, and for a healthy member to watch the store.
const (
	convergeBound = 2500 * time.Millisecond
	impairedBound = 7500 * time.Millisecond
	takeoverBound = 3 * time.Second
)

// TestTakeover guards against a fleet without a working watcher, and against a
// delayed version, after planned watchers or backup watchers fail.
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
		"watchers killed":                {[]failing{{killed, 0, 3}}, takeoverBound, impairedBound},
		"watchers and deputies killed":   {[]failing{{killed, 0, 9}}, takeoverBound, impairedBound},
		"watchers paused":                {[]failing{{paused, 0, 3}}, takeoverBound, impairedBound},
		"a third rejected":               {[]failing{{rejects, 0, 5}}, takeoverBound, convergeBound},
		"watchers killed, next rejected": {[]failing{{killed, 0, 3}, {rejects, 3, 7}}, takeoverBound, impairedBound},
		"store silent for the watchers":  {[]failing{{silent, 0, 3}}, impairedBound, impairedBound},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runDocumentFleet(t, func(t *testing.T, f *fleet) {
				f.start(f.names()...)
				time.Sleep(10 * time.Second)
				for order := f.watchOrder(); len(c.failing) > 0; c.failing = c.failing[1:] {
					f.fail(c.failing[0].fault, order[c.failing[0].from:c.failing[0].to]...)
				}
				f.store.writeDocument(20)
				waitUntil(t, "watched", c.watched, f.storeWatched)
				t.Log("in force", mustConverge(t, f, 20, c.converge))
			})
		})
	}
}

// TestDocumentFleet guards against a start that takes too long or completes without
// a version, against unnecessary traffic and store calls, and against a version that
// is missed or moved back after the store fails.
func TestDocumentFleet(t *testing.T) {
	cases := map[string]func(t *testing.T, f *fleet){
		"cold start": func(t *testing.T, f *fleet) {
			f.start(f.names()...)
			waitUntil(t, "ready", 2*time.Second, f.allReady(f.names()...))
			// Each watcher reads and watches once; the others read nothing.
			if calls := f.cost().calls; calls > 2*3 {
				t.Errorf("%d store calls during a cold start", calls)
			}
		},
		"cold start, a third rejected": func(t *testing.T, f *fleet) {
			f.fail(rejects, f.watchOrder()[:4]...)
			f.start(f.names()...)
			waitUntil(t, "ready", takeoverBound, f.allReady(f.names()...))
		},
		"cold start, store down": func(t *testing.T, f *fleet) {
			f.fail(rejects, f.names()...)
			f.start(f.names()...)
			time.Sleep(10 * time.Second)
			if slices.ContainsFunc(f.names(), func(name string) bool { return f.allReady(name)() }) {
				t.Error("member is ready without a version")
			}
			f.fail(healthy, f.names()...)
			waitUntil(t, "ready", impairedBound, f.allReady(f.names()...))
		},
		"one member restarts, store down": func(t *testing.T, f *fleet) {
			f.start(f.names()...)
			time.Sleep(10 * time.Second)
			f.fail(rejects, f.names()...)
			last := f.watchOrder()[13]
			f.kill(last)
			f.start(last)
			waitUntil(t, "ready", time.Second, f.allReady(last))
			// The other members report that they are starting too.
			f.kill(last)
			for _, name := range f.names() {
				f.members[name].process.Load().ready.Store(false)
			}
			f.start(last)
			waitUntil(t, "ready among others that start", 2*time.Second, f.allReady(last))
		},
		"burst": func(t *testing.T, f *fleet) {
			f.start(f.names()...)
			time.Sleep(10 * time.Second)
			before := f.cost()
			for i := range sycamorerun.Version(15) {
				f.store.writeDocument(20 + 7*i)
				time.Sleep(200 * time.Millisecond)
			}
			t.Log("in force", mustConverge(t, f, 118, convergeBound))
			time.Sleep(5 * time.Second)
			// A member may receive an entry of about 100 bytes twice, but no
			// snapshot.
			if spent := f.cost().since(before, 15); spent.sent > 14*2*150 {
				t.Errorf("%d bytes sent per version", spent.sent)
			}
		},
		"store comes back": func(t *testing.T, f *fleet) {
			f.start(f.names()...)
			time.Sleep(10 * time.Second)
			f.fail(rejects, f.names()...)
			time.Sleep(20 * time.Second)
			before := f.cost()
			time.Sleep(10 * time.Second)
			// Each of the 11 members without a role makes at most one call a second,
			// each of the 3 with a role two on average.
			if calls := f.cost().calls - before.calls; calls > 10*(11+2*3) {
				t.Errorf("%d store calls in 10 s while the store is down", calls)
			}
			f.fail(healthy, f.names()...)
			f.store.writeDocument(20)
			t.Log("in force", mustConverge(t, f, 20, convergeBound))
		},
		"store restored": func(t *testing.T, f *fleet) {
			f.start(f.names()...)
			time.Sleep(10 * time.Second)
			restore := f.store.copyDocument()
			f.store.writeDocument(20)
			f.store.writeDocument(30)
			mustConverge(t, f, 30, convergeBound)
			f.fail(rejects, f.names()...)
			time.Sleep(2 * time.Second)
			restore()
			f.fail(healthy, f.names()...)
			time.Sleep(5 * time.Second)
			mustConverge(t, f, 30, 0) // no member moved back
			f.store.writeDocument(30)
			f.store.writeDocument(40)
			t.Log("in force", mustConverge(t, f, 40, convergeBound))
		},
		"store restored, revisions given out again": func(t *testing.T, f *fleet) {
			f.start(f.names()...)
			time.Sleep(10 * time.Second)
			restore := f.store.copyDocument()
			f.store.writeDocument(20)
			f.store.writeDocument(30)
			mustConverge(t, f, 30, convergeBound)
			// No call fails, so that no member without a role reads the document.
			restore()
			f.store.writeDocument(30)
			f.store.writeDocument(40)
			t.Log("in force", mustConverge(t, f, 40, convergeBound))
		},
	}
	for name, scenario := range cases {
		t.Run(name, func(t *testing.T) { runDocumentFleet(t, scenario) })
	}
}
