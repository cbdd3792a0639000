package releaser

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/persister"
)

// fakeStore holds one record and one order. It loses the response to every second
// write.
type fakeStore struct {
	mutex    sync.Mutex
	value    []byte
	revision persister.Revision
	order    Order
	writes   int
	states   []sycamorerun.RolloutState
}

// lost reports whether the response to the next write is lost.
func (f *fakeStore) lost() error {
	if f.writes++; f.writes%2 == 0 {
		return persister.ErrUnknown
	}
	return nil
}

// phase returns the phase of the stored record.
func (f *fakeStore) phase() Phase {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var record Record
	_ = json.Unmarshal(f.value, &record)
	return record.Phase
}

func (f *fakeStore) store() persister.Store {
	return persister.Store{
		Get: func(_ context.Context, key string) (persister.Object, error) {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			if f.revision == 0 {
				return persister.Object{}, persister.ErrMissing
			}
			return persister.Object{Key: key, Value: f.value, Revision: f.revision}, nil
		},
		Put: func(_ context.Context, _ string, value []byte, expected persister.Revision) (persister.Revision, error) {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			if expected != f.revision {
				return 0, persister.ErrConflict
			}
			f.value, f.revision = value, f.revision+1
			return f.revision, f.lost()
		},
	}
}

func (f *fakeStore) orders() Orders {
	return Orders{
		List: func(context.Context) ([]Order, persister.Revision, error) {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			return []Order{f.order}, f.order.Revision, nil
		},
		SetState: func(_ context.Context, order Order, state sycamorerun.RolloutState) error {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			if order.Revision != f.order.Revision {
				return persister.ErrConflict
			}
			f.order.Revision++
			f.order.State = state
			f.states = append(f.states, state)
			return f.lost()
		},
	}
}

// TestKeepersRace guards against a rollout that is both taken and rolled back, and
// against a stored state that is taken back, while two nodes decide in opposite ways
// and the store loses responses.
func TestKeepersRace(t *testing.T) {
	record := func(phase Phase) Record { return Record{Order: 7, Release: "v2", Phase: phase, Started: start} }
	for name, steps := range map[string][]Phase{
		"rolled back first": {PhaseTrial, PhaseRolledBack, PhaseTaking, PhaseCompleted, PhaseRolledBack},
		"taken first":       {PhaseTrial, PhaseTaking, PhaseCompleted, PhaseRolledBack, PhaseTaking},
		"trial once more":   {PhaseTrial, PhaseRolledBack, PhaseTrial, PhaseTaking, PhaseCompleted},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeStore{order: Order{Name: "s", Service: "s", ID: 7, Revision: 1, Rollout: sycamorerun.Rollout{Release: "v2", Duration: sycamorerun.Duration(time.Minute)}}}
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // no delays between retries
			var keepers []*Keeper
			for range 2 {
				keepers = append(keepers, &Keeper{Orders: f.orders(), Store: f.store(), Logger: log.NewNopLogger()})
			}
			deciders := []*Decider{NewDecider(modelShare), NewDecider(modelShare)}
			for at, phase := range steps {
				for range 4 { // retries after lost responses
					k, d := keepers[at%2], deciders[at%2]
					orders, _, _ := f.orders().List(ctx)
					d.SetOrders(start, orders)
					if orders[0].ended() {
						continue
					}
					k.commit(ctx, d, Step{orders[0], record(phase), f.phase()})
				}
			}
			outcome := f.states[len(f.states)-1]
			is.True(outcome == sycamorerun.RolloutCompleted || outcome == sycamorerun.RolloutRolledBack)
			final := 0
			for _, state := range f.states {
				if state != sycamorerun.RolloutActive {
					final++
				}
			}
			is.Equal(final, 1)
			is.Equal(f.order.State, outcome)
		})
	}
}

// TestOrderGone guards against a target that gets calls as a regular release after its
// order was deleted or replaced half-way.
func TestOrderGone(t *testing.T) {
	order := Order{Name: "s", Service: "s", ID: 7, Revision: 1, Rollout: sycamorerun.Rollout{Release: "v2", Duration: sycamorerun.Duration(time.Minute)}}
	replaced := order
	replaced.ID, replaced.Release = 8, "v3"
	for name, orders := range map[string][]Order{"deleted": nil, "replaced": {replaced}, "odd": {{Service: "s", Fault: "no release"}}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := NewDecider(modelShare)
			members := instances("v1", "v2", "v3")
			d.SetOrders(start, []Order{order})
			d.SetRecord(order, Record{Order: 7, Phase: PhaseTrial, Started: start})
			d.Step(start, func(string) []sycamorerun.Instance { return members })
			d.SetOrders(start, orders)
			later := start.Add(approveDelay)
			got, ok := d.decide(later, "s", members)
			is.True(ok)
			is.True(got.share == 0)
			for _, release := range got.releases {
				is.True(release != "v2" && (len(orders) == 0 || orders[0].Release != release))
			}
			is.Equal(got.releases[0], "v1")
		})
	}
}

// TestStaleGiveUp guards against a release that is given up for want of time by a decider
// that does not know that another one has begun to take it.
func TestStaleGiveUp(t *testing.T) {
	is := is.New(t)
	order := Order{Name: "s", Service: "s", ID: 7, Revision: 1, Rollout: sycamorerun.Rollout{Release: "v2", Duration: sycamorerun.Duration(time.Minute)}}
	f := &fakeStore{order: order}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no delays between retries
	k := &Keeper{Orders: f.orders(), Store: f.store(), Logger: log.NewNopLogger()}
	members := func(string) []sycamorerun.Instance { return instances("v1", "v2") }
	d := NewDecider(modelShare)
	d.SetOrders(start, []Order{order})
	d.SetRecord(order, Record{Order: 7, Release: "v2", Phase: PhaseTrial, Started: start})
	f.value, _ = json.Marshal(Record{Order: 7, Release: "v2", Phase: PhaseTaking, Started: start})
	f.revision = 2
	late := start.Add(50 * time.Second)
	d.SetOrders(late, []Order{order})
	for _, step := range d.Step(late, members) {
		is.Equal(step.Record.Phase, PhaseRolledBack)
		k.commit(ctx, d, step)
	}
	is.Equal(f.phase(), PhaseTaking)
	d.Step(late, members)
	next, _ := d.decide(late, "s", members("s"))
	is.Equal(next.share, rampShares[0])
}

// TestRecordOfLaterOrder guards against a decider with an old view of the orders, which
// starts the trial of a replaced order over the outcome of the one that replaced it.
func TestRecordOfLaterOrder(t *testing.T) {
	order := Order{Name: "s", Service: "s", ID: 7, Revision: 3, Rollout: sycamorerun.Rollout{Release: "v2", Duration: sycamorerun.Duration(time.Minute)}}
	for name, test := range map[string]struct {
		stored Record
		want   uint64
	}{
		"later order":   {Record{Order: 8, Revision: 5, Release: "v3", Phase: PhaseRolledBack, Started: start}, 8},
		"earlier order": {Record{Order: 6, Revision: 1, Release: "v1", Phase: PhaseRolledBack, Started: start}, 7},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeStore{order: order, revision: 9}
			f.value, _ = json.Marshal(test.stored)
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // no delays between retries
			k := &Keeper{Orders: f.orders(), Store: f.store(), Logger: log.NewNopLogger()}
			d := NewDecider(modelShare)
			d.SetOrders(start, []Order{order})
			for range 3 {
				for _, o := range d.Unloaded() {
					k.load(ctx, d, o)
				}
				for _, step := range d.Step(start, func(string) []sycamorerun.Instance { return instances("v1", "v2") }) {
					k.commit(ctx, d, step)
				}
			}
			var got Record
			is.NoErr(json.Unmarshal(f.value, &got))
			is.Equal(got.Order, test.want)
		})
	}
}
