package acceptor

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/differ"
	"sycamorerun/persister"
)

// TestCommitFaults guards against a change that is lost, accepted twice or reported
// wrongly when the store fails at any step of a commit.
func TestCommitFaults(t *testing.T) {
	const forever = 1 << 30
	cases := map[string]struct {
		operation string
		key       string
		count     int
		err       error
		effect    bool
		status    sycamorerun.Status
		accepted  bool
	}{
		"none":                    {"", "", 0, nil, false, sycamorerun.StatusAccepted, true},
		"read refused once":       {"get", "log/", 1, persister.ErrUnavailable, false, sycamorerun.StatusAccepted, true},
		"write refused once":      {"put", "log/", 1, persister.ErrUnavailable, false, sycamorerun.StatusAccepted, true},
		"answer lost with effect": {"put", "log/", 1, persister.ErrUnknown, true, sycamorerun.StatusAccepted, true},
		"answers lost, no effect": {"put", "log/", 2, persister.ErrUnknown, false, sycamorerun.StatusAccepted, true},
		"conflict without winner": {"put", "log/", 1, persister.ErrConflict, false, sycamorerun.StatusAccepted, true},
		"conflict after effect":   {"put", "log/", 1, persister.ErrConflict, true, sycamorerun.StatusAccepted, true},
		"stale empty slot":        {"get", "log/0002", 1, persister.ErrMissing, false, sycamorerun.StatusAccepted, true},
		"outage":                  {"get", "", forever, persister.ErrUnavailable, false, sycamorerun.StatusUnknown, false},
		"writes refused":          {"put", "", forever, persister.ErrUnavailable, false, sycamorerun.StatusUnknown, false},
		"all answers lost":        {"put", "log/", forever, persister.ErrUnknown, false, sycamorerun.StatusUnknown, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFake()
			a := startAcceptor(t, f.store())
			is.Equal(a.Submit(t.Context(), bootstrap()).Version, sycamorerun.Version(1))
			f.setFault(test.operation, test.key, test.count, test.err, test.effect)
			outcome := a.Submit(t.Context(), apply("one", "flow", 6))
			is.Equal(outcome.Status, test.status)
			f.setFault("", "", 0, nil, true)
			if test.accepted {
				is.Equal(outcome.Version, sycamorerun.Version(2))
				is.Equal(a.Lookup(t.Context(), "one"), outcome)
			}
			// Another node reports the same version for the id, and a later change
			// is still accepted.
			b := startAcceptor(t, f.store())
			again := b.Submit(t.Context(), apply("one", "flow", 6))
			is.Equal(again.Version, sycamorerun.Version(2))
			is.Equal(a.Submit(t.Context(), apply("two", "flow", 7)).Version, sycamorerun.Version(3))
			verifyLog(t, f, 3)
		})
	}
}

// TestUnknownThenFound guards against reporting a final outcome when the response to
// a write is lost and all reads after it fail.
func TestUnknownThenFound(t *testing.T) {
	is := is.New(t)
	f := newFake()
	a := startAcceptor(t, f.store())
	a.Submit(t.Context(), bootstrap())
	written := false
	f.fault = func(operation, _ string) (error, bool) {
		if operation == "put" && !written {
			written = true
			return persister.ErrUnknown, true
		}
		if written {
			return persister.ErrUnavailable, false
		}
		return nil, true
	}
	outcome := a.Submit(t.Context(), apply("one", "flow", 6))
	is.Equal(outcome.Status, sycamorerun.StatusUnknown)
	is.True(outcome.Retry > 0)
	f.setFault("", "", 0, nil, true)
	is.Equal(a.Lookup(t.Context(), "one").Version, sycamorerun.Version(2))
	is.Equal(firstFaultCode(a.Lookup(t.Context(), "never")), "no-such-change")
}

// TestSlowStore guards against a change that is lost or reported as refused when the
// store responds after the submitter's context has ended.
func TestSlowStore(t *testing.T) {
	is := is.New(t)
	f := newFake()
	a := startAcceptor(t, f.store())
	a.Submit(t.Context(), bootstrap())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f.mu.Lock()
	f.fault = func(string, string) (error, bool) {
		cancel() // while the store works on the change
		time.Sleep(40 * time.Millisecond)
		return nil, true
	}
	f.mu.Unlock()
	is.Equal(a.Submit(ctx, apply("one", "flow", 6)).Status, sycamorerun.StatusUnknown)
	is.Equal(a.Lookup(t.Context(), "one").Version, sycamorerun.Version(2))
}

// TestStaleReads guards against stale reads of a slot. They must not make an acceptor
// stop for good, overwrite a newer entry or flood the store with attempts that can't
// succeed.
func TestStaleReads(t *testing.T) {
	is := is.New(t)
	f := newFake()
	a, b := startAcceptor(t, f.store()), startAcceptor(t, f.store())
	a.Submit(t.Context(), bootstrap())
	b.Submit(t.Context(), apply("b", "other", 1))
	f.setFault("get", "log/0002", 1<<30, persister.ErrMissing, false)
	before := f.calls["put"]
	is.Equal(a.Submit(t.Context(), apply("a", "flow", 1)).Status, sycamorerun.StatusUnknown)
	is.True(f.calls["put"]-before < 10)
	f.setFault("", "", 0, nil, true)
	is.Equal(a.Submit(t.Context(), apply("a", "flow", 1)).Version, sycamorerun.Version(3))
	verifyLog(t, f, 3)
}

// TestStaleRefusal guards against refusing a change because of a stale read when
// another acceptor has accepted it since.
func TestStaleRefusal(t *testing.T) {
	for name, versions := range map[string]int{"first round": 0, "later": persister.RingSlots} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFake()
			b := startAcceptor(t, f.store())
			b.Submit(t.Context(), bootstrap())
			for i := range versions {
				b.Submit(t.Context(), apply(fmt.Sprint(i), "other", i))
			}
			hold := b.Submit(t.Context(), sycamorerun.Change{ID: "hold", Kind: sycamorerun.PlaceHold, Team: "flow"})
			store, stale := f.store(), 0
			get := store.Get
			key := persister.LogKey(hold.Version + 1)
			old, missing := get(t.Context(), key)
			store.Get = func(ctx context.Context, k string) (persister.Object, error) {
				if k == key && stale > 0 {
					stale--
					return old, missing
				}
				return get(ctx, k)
			}
			a := startAcceptor(t, store)
			a.CommitTimeout = time.Minute
			is.Equal(a.Lookup(t.Context(), "hold"), hold)
			stale = 3
			b.Submit(t.Context(), sycamorerun.Change{ID: "release", Kind: sycamorerun.ReleaseHold, Team: "flow"})
			accepted := b.Submit(t.Context(), apply("one", "flow", 1))
			is.Equal(accepted.Version, hold.Version+2)
			is.Equal(a.Submit(t.Context(), apply("one", "flow", 1)), accepted)
			is.Equal(stale, 0)
			// A justified refusal does not change the log.
			is.Equal(firstFaultCode(a.Submit(t.Context(), apply("two", "nobody", 1))), "no-such-team")
			is.Equal(b.Submit(t.Context(), apply("three", "flow", 1)).Version, hold.Version+3)
			is.Equal(f.entry(t, hold.Version+2).Version, hold.Version+2)
		})
	}
}

// TestRacingAcceptors guards against concurrent acceptors that commit the same
// version twice, lose a change or accept an id twice.
func TestRacingAcceptors(t *testing.T) {
	is := is.New(t)
	f := newFake()
	nodes := []*Acceptor{startAcceptor(t, f.store()), startAcceptor(t, f.store()), startAcceptor(t, f.store())}
	for _, a := range nodes {
		a.CommitTimeout = 10 * time.Second
	}
	nodes[0].Submit(t.Context(), bootstrap())
	const changes = 60
	outcomes := make([][changes]sycamorerun.Outcome, len(nodes))
	var wait sync.WaitGroup
	for n, a := range nodes {
		for i := range changes {
			wait.Go(func() {
				// Each id is submitted to all nodes.
				outcomes[n][i] = a.Submit(t.Context(), apply(fmt.Sprint("id-", i), "flow", i))
			})
		}
	}
	wait.Wait()
	last := sycamorerun.Version(0)
	for _, a := range nodes {
		last = max(last, a.head.Version)
	}
	ids := verifyLog(t, f, last)
	is.Equal(len(ids), changes+1)
	for n := range nodes {
		for i, outcome := range outcomes[n] {
			is.Equal(outcome.Status, sycamorerun.StatusAccepted)
			is.Equal(outcome.Version, ids[fmt.Sprint("id-", i)])
		}
	}
}

// TestPausedAcceptor guards against an acceptor that is paused before its write,
// resumes after the ring has wrapped around, and overwrites a newer entry or commits
// a change twice.
func TestPausedAcceptor(t *testing.T) {
	is := is.New(t)
	f := newFake()
	paused, resume := make(chan struct{}), make(chan struct{})
	store := f.store()
	put, once := store.Put, sync.Once{}
	store.Put = func(ctx context.Context, key string, value []byte, expected persister.Revision) (persister.Revision, error) {
		once.Do(func() { close(paused); <-resume })
		return put(ctx, key, value, expected)
	}
	b := startAcceptor(t, f.store())
	b.Submit(t.Context(), bootstrap())
	a := startAcceptor(t, store)
	a.CommitTimeout = time.Minute // the reused slot, not the timeout, must end the attempts
	result := make(chan sycamorerun.Outcome)
	go func() { result <- a.Submit(t.Context(), apply("paused", "flow", 1)) }()
	<-paused
	const versions = persister.RingSlots + 10
	for i := range versions {
		is.Equal(b.Submit(t.Context(), apply(fmt.Sprint(i), "other", i)).Status, sycamorerun.StatusAccepted)
	}
	close(resume)
	is.Equal((<-result).Status, sycamorerun.StatusUnknown)
	is.Equal(f.entry(t, 2).Version, sycamorerun.Version(2+persister.RingSlots))
	// The acceptor continues from the snapshot.
	outcome := a.Submit(t.Context(), apply("next", "flow", 2))
	is.Equal(outcome.Version, sycamorerun.Version(versions+2))
	is.Equal(a.head.Items["other/service/desk"], apply("", "other", versions-1).Items["other/service/desk"])
	is.Equal(a.history.first, sycamorerun.Version(versions+2-persister.RingSlots+1))
	is.Equal(len(a.history.byID), persister.RingSlots)
	// A node that starts now needs a few reads, not one for each version.
	before := f.calls["get"]
	is.Equal(startAcceptor(t, f.store()).Lookup(t.Context(), "next"), outcome)
	is.True(f.calls["get"]-before < 10)
}

// TestSnapshotCoversRing guards against overwriting ring slots that no snapshot
// covers yet, when acceptors stop between the commit and the snapshot.
func TestSnapshotCoversRing(t *testing.T) {
	is := is.New(t)
	f := newFake()
	a := startAcceptor(t, f.store())
	a.CommitTimeout = 30 * time.Millisecond
	a.Submit(t.Context(), bootstrap())
	f.setFault("put", persister.SnapshotKey, 1<<30, persister.ErrUnavailable, false)
	for i := 2; i <= persister.RingSlots; i++ {
		is.Equal(a.Submit(t.Context(), apply(fmt.Sprint(i), "flow", i)).Status, sycamorerun.StatusAccepted)
	}
	is.Equal(a.Submit(t.Context(), apply("late", "flow", 1)).Status, sycamorerun.StatusUnknown)
	is.Equal(f.entry(t, 1).Version, sycamorerun.Version(1))
	f.setFault("", "", 0, nil, true)
	// Another node writes the missing snapshot.
	b := startAcceptor(t, f.store())
	is.Equal(b.Submit(t.Context(), apply("late", "flow", 1)).Version, sycamorerun.Version(persister.RingSlots+1))
	tree, _, _, err := persister.ReadSnapshot(t.Context(), f.store())
	is.NoErr(err)
	is.Equal(tree.Version, sycamorerun.Version(persister.RingSlots))
}

// loadedCommitTimeout suffices for hundreds of commits on a busy machine.
const loadedCommitTimeout = 10 * time.Second

// TestOddSnapshotIsReplaced guards against a snapshot of another writer that can't be decoded and
// is never replaced, so that no further change is accepted once the ring is full.
func TestOddSnapshotIsReplaced(t *testing.T) {
	is := is.New(t)
	f := newFake()
	a := startAcceptor(t, f.store())
	a.CommitTimeout = loadedCommitTimeout
	a.Submit(t.Context(), bootstrap())
	f.mu.Lock()
	f.revision++
	f.objects[persister.SnapshotKey] = persister.Object{Key: persister.SnapshotKey, Value: []byte("\xff"), Revision: f.revision}
	f.mu.Unlock()
	// The snapshot is written after the outcome of the commit is known and before the
	// next commit.
	for i := 2; i <= snapshotInterval+1; i++ {
		is.Equal(a.Submit(t.Context(), apply(fmt.Sprint(i), "flow", i)).Status, sycamorerun.StatusAccepted)
	}
	tree, _, _, err := persister.ReadSnapshot(t.Context(), f.store())
	is.NoErr(err)
	is.Equal(tree.Version, sycamorerun.Version(snapshotInterval))
}

// TestLostStore guards against starting a second history in a store that lost its
// objects.
func TestLostStore(t *testing.T) {
	for name, version := range map[string]sycamorerun.Version{"first round": 2, "later": persister.RingSlots + 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFake()
			a := startAcceptor(t, f.store())
			a.Current = func() sycamorerun.Tree {
				return sycamorerun.Tree{Version: version, Items: bootstrap().Items}
			}
			a.Entry = func(version sycamorerun.Version) (sycamorerun.Entry, bool) {
				return sycamorerun.Entry{Version: version}, true
			}
			is.Equal(a.Submit(t.Context(), apply("one", "flow", 1)).Status, sycamorerun.StatusUnknown)
			is.Equal(f.calls["put"], 0)
		})
	}
}

// TestLaggingAcceptor guards against a lagging node that reads the missing entries
// one by one.
func TestLaggingAcceptor(t *testing.T) {
	is := is.New(t)
	f := newFake()
	a, b := startAcceptor(t, f.store()), startAcceptor(t, f.store())
	a.Submit(t.Context(), bootstrap())
	for i := range 100 {
		b.Submit(t.Context(), apply(fmt.Sprint(i), "flow", i))
	}
	before := f.calls["get"]
	is.Equal(a.Lookup(t.Context(), "99").Version, sycamorerun.Version(101))
	is.True(f.calls["get"]-before <= listThreshold+1)
	is.Equal(f.calls["list"], 1)
}

// TestOddRingObjects guards against objects of another writer among those of the log
// that keep the acceptors from every change.
func TestOddRingObjects(t *testing.T) {
	is := is.New(t)
	f := newFake()
	a := startAcceptor(t, f.store())
	a.CommitTimeout = loadedCommitTimeout
	a.Submit(t.Context(), bootstrap())
	for i := range 400 {
		is.Equal(a.Submit(t.Context(), apply(fmt.Sprint(i), "flow", i+1)).Status, sycamorerun.StatusAccepted)
	}
	f.mu.Lock()
	second := f.objects[persister.LogKey(2)].Value
	for key, value := range map[string][]byte{
		"log/odd": []byte("\xff"), "log/empty": nil, "log/5000": []byte("\xff"), "log/2": []byte("{"), "log/entry": second,
	} {
		f.revision++
		f.objects[key] = persister.Object{Key: key, Value: value, Revision: f.revision}
	}
	f.mu.Unlock()
	var current sycamorerun.Tree
	for version := sycamorerun.Version(1); version <= 401; version++ {
		current = differ.Apply(current, version, f.entry(t, version).Difference)
	}
	b := startAcceptor(t, f.store())
	b.CommitTimeout = loadedCommitTimeout
	// The entries up to the tree in force are read in any case.
	b.Current = func() sycamorerun.Tree { return current }
	is.Equal(b.Submit(t.Context(), apply("next", "flow", 500)).Version, sycamorerun.Version(402))
	is.Equal(b.Lookup(t.Context(), "5").Version, sycamorerun.Version(7))
	verifyLog(t, f, 402)
}

// TestStop guards against submitters that block forever when the acceptor stops, and
// against committing a queued change whose submitter's context has ended.
func TestStop(t *testing.T) {
	is := is.New(t)
	f := newFake()
	a := New(f.store())
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(a.Submit(cancelled, bootstrap()).Status, sycamorerun.StatusUnknown)
	a.commitBatch(t.Context(), a.collectBatch(nil))
	is.Equal(f.calls["put"], 0)
	result := make(chan sycamorerun.Outcome)
	go func() { result <- a.Submit(t.Context(), bootstrap()) }()
	for len(a.queue) == 0 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(a.Run(cancelled))
	is.Equal((<-result).Status, sycamorerun.StatusUnknown)
}

// TestSameIDInBatch guards against an entry that contains the same id twice.
func TestSameIDInBatch(t *testing.T) {
	is := is.New(t)
	f := newFake()
	for _, outcome := range commitAll(t, New(f.store()), bootstrap(), apply("one", "flow", 1), apply("one", "flow", 1)) {
		is.Equal(outcome.Version, sycamorerun.Version(1))
	}
	verifyLog(t, f, 1)
}

// TestLargeBatch guards against a batch that fails as a whole because it does not fit
// one entry, and against accepting a change that can never be stored.
func TestLargeBatch(t *testing.T) {
	noise := func(n int) []byte {
		data := make([]byte, n)
		_, _ = rand.Read(data)
		return data
	}
	large := func(items int) sycamorerun.Change {
		change := apply("large", "flow", 1)
		for i := range items {
			change.Items[sycamorerun.Path(fmt.Sprint("flow/service/s", i))] = item(noise(40 << 10))
		}
		return change
	}
	cases := map[string]struct {
		items int
		want  sycamorerun.Status
		last  sycamorerun.Version
	}{
		"just fits the tree": {16, sycamorerun.StatusAccepted, 3},
		"never fits":         {17, sycamorerun.StatusRefused, 2},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFake()
			a := New(f.store())
			commitAll(t, a, bootstrap())
			batch := []sycamorerun.Change{large(test.items)}
			for i := range 16 {
				// Long operator names use up the space that the items leave in an entry.
				change := apply(fmt.Sprint(i), "other", i)
				change.Operator = fmt.Sprintf("%x", noise(4<<10))
				batch = append(batch, change)
			}
			for i, outcome := range commitAll(t, a, batch...) {
				is.Equal(outcome.Status == test.want, i == 0 || test.want == sycamorerun.StatusAccepted)
			}
			is.Equal(a.head.Version, test.last)
			verifyLog(t, f, test.last)
		})
	}
}
