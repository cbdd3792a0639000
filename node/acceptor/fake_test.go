package acceptor

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sycamorerun"
	"sycamorerun/differ"
	"sycamorerun/persister"
)

// fake is an in-memory store. It calls fault before each store call. fault returns
// the error to report, and in applied whether the call takes effect nevertheless.
type fake struct {
	mu       sync.Mutex
	objects  map[string]persister.Object
	revision persister.Revision
	calls    map[string]int
	bytes    int
	fault    func(operation, key string) (err error, applied bool)
}

func newFake() *fake {
	return &fake{objects: map[string]persister.Object{}, calls: map[string]int{}}
}

// setFault injects err into the next n calls of operation on keys with prefix. The
// calls take effect if applied is set.
func (f *fake) setFault(operation, prefix string, n int, err error, applied bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = func(o, key string) (error, bool) {
		if o != operation || !strings.HasPrefix(key, prefix) || n == 0 {
			return nil, true
		}
		n--
		return err, applied
	}
}

func (f *fake) call(operation, key string, effect func() error) error {
	f.mu.Lock()
	fault := f.fault
	f.mu.Unlock()
	var err error
	applied := true
	if fault != nil {
		err, applied = fault(operation, key)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[operation]++
	if !applied {
		return err
	}
	return cmp.Or(err, effect())
}

func (f *fake) store() persister.Store {
	return persister.Store{
		Get: func(_ context.Context, key string) (object persister.Object, err error) {
			err = f.call("get", key, func() error {
				var ok bool
				if object, ok = f.objects[key]; !ok {
					return persister.ErrMissing
				}
				f.bytes += len(object.Value)
				return nil
			})
			return object, err
		},
		List: func(_ context.Context, prefix string, after persister.Revision) (listing persister.Listing, err error) {
			err = f.call("list", prefix, func() error {
				for key, object := range f.objects {
					if strings.HasPrefix(key, prefix) && object.Revision > after {
						listing.Objects = append(listing.Objects, object)
					}
				}
				slices.SortFunc(listing.Objects, func(a, b persister.Object) int { return cmp.Compare(a.Revision, b.Revision) })
				return nil
			})
			return listing, err
		},
		Put: func(_ context.Context, key string, value []byte, expected persister.Revision) (revision persister.Revision, err error) {
			err = f.call("put", key, func() error {
				if f.objects[key].Revision != expected {
					return persister.ErrConflict
				}
				f.revision++
				f.bytes += len(value)
				revision = f.revision
				f.objects[key] = persister.Object{Key: key, Value: value, Revision: revision}
				return nil
			})
			return revision, err
		},
		Delete: func(_ context.Context, key string, expected persister.Revision) error {
			return f.call("delete", key, func() error {
				if _, ok := f.objects[key]; !ok {
					return persister.ErrMissing
				}
				if f.objects[key].Revision != expected {
					return persister.ErrConflict
				}
				delete(f.objects, key)
				return nil
			})
		},
	}
}

// entry returns the entry in the ring slot of version.
func (f *fake) entry(t testing.TB, version sycamorerun.Version) sycamorerun.Entry {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, err := persister.DecodeEntry(f.objects[persister.LogKey(version)].Value)
	if err != nil {
		t.Fatal(err)
	}
	return entry
}

// startAcceptor runs an acceptor on store until the end of the test.
func startAcceptor(t testing.TB, store persister.Store) *Acceptor {
	t.Helper()
	a := New(store)
	a.CommitTimeout = 300 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = a.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return a
}

// commitAll commits changes as one batch without using the queue.
func commitAll(t testing.TB, a *Acceptor, changes ...sycamorerun.Change) []sycamorerun.Outcome {
	t.Helper()
	batch := make([]*submission, len(changes))
	for i, change := range changes {
		batch[i] = &submission{ctx: t.Context(), request: Request{Change: change}, result: make(chan sycamorerun.Outcome, 1)}
	}
	a.commitBatch(t.Context(), batch)
	outcomes := make([]sycamorerun.Outcome, len(batch))
	for i, s := range batch {
		outcomes[i] = <-s.result
	}
	return outcomes
}

// item encodes value as an item of the tree.
func item(value any) sycamorerun.Item {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// bootstrap returns the administrators' first change. It declares two teams whose
// changes take effect at once and one whose changes need a review.
func bootstrap() sycamorerun.Change {
	team := func(mode string) sycamorerun.Item { return item(sycamorerun.Team{Mode: mode}) }
	return sycamorerun.Change{ID: "bootstrap", Kind: sycamorerun.Apply, Team: "admin", Operator: "root", Items: map[sycamorerun.Path]sycamorerun.Item{
		"admin/team/flow":   team(sycamorerun.ModeFlow),
		"admin/team/other":  team(sycamorerun.ModeFlow),
		"admin/team/review": team(sycamorerun.ModeReview),
	}}
}

// apply returns a change that sets the slots of a team's only service.
func apply(id, team string, slots int) sycamorerun.Change {
	return sycamorerun.Change{ID: id, Kind: sycamorerun.Apply, Team: team, Operator: "ann", Items: map[sycamorerun.Path]sycamorerun.Item{
		sycamorerun.NewPath(team, sycamorerun.KindService, "desk"): item(sycamorerun.Service{Slots: slots}),
	}}
}

// verifyLog checks that the log has no gap, that its hashes match and that no id
// is in it twice. It returns the versions by id.
func verifyLog(t testing.TB, f *fake, last sycamorerun.Version) map[string]sycamorerun.Version {
	t.Helper()
	ids := map[string]sycamorerun.Version{}
	var tree sycamorerun.Tree
	for version := sycamorerun.Version(1); version <= last; version++ {
		entry := f.entry(t, version)
		tree = differ.Apply(tree, version, entry.Difference)
		if entry.Version != version || differ.Hash(tree.Items) != entry.Hash {
			t.Fatalf("slot of version %d: found version %d, or the hash does not match", version, entry.Version)
		}
		for _, change := range entry.Changes {
			if ids[change.ID] != 0 {
				t.Fatalf("id %s is in versions %d and %d", change.ID, ids[change.ID], version)
			}
			ids[change.ID] = version
		}
	}
	return ids
}

// firstFaultCode returns the code of the first fault, or an empty string.
func firstFaultCode(outcome sycamorerun.Outcome) string {
	if len(outcome.Faults) == 0 {
		return ""
	}
	return fmt.Sprint(outcome.Faults[0].Code)
}
