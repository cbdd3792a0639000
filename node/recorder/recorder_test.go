package recorder

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"sycamorerun"
	"sycamorerun/node/announcer"
)

var start = time.Unix(1_000_000, 0)

// process is one process of a node: an announcer and a recorder of its departures.
type process struct {
	*announcer.Announcer
	recorder *Recorder
	restores int
}

func newProcess(store *fakeStore, c *clock) *process {
	p := &process{Announcer: announcer.New(func() time.Duration { return 1500 * time.Millisecond }), recorder: New("n", store.store())}
	p.Hold(c.now())
	p.recorder.Departures, p.recorder.Now = p.Departures, c.now
	p.recorder.Restore = func(now time.Time, departures []sycamorerun.Departure) {
		p.restores++
		p.Learn(now, departures)
		p.Release()
	}
	p.recorder.Unreachable = func() {}
	p.recorder.IsMaintainer = func() bool { return true }
	p.recorder.Logger, p.recorder.Scope = log.NewNopLogger(), tally.NoopScope
	return p
}

// TestDeparturesAreKept guards against a departure that a process confirmed and the
// next one forgets, and against writes that add nothing.
func TestDeparturesAreKept(t *testing.T) {
	is := is.New(t)
	store, c := &fakeStore{}, &clock{start}
	first := newProcess(store, c)
	is.NoErr(first.recorder.Save(t.Context())) // nothing to store
	is.Equal(store.calls, 1)
	first.Leave(start, "a")
	is.NoErr(first.recorder.Save(t.Context()))
	is.NoErr(first.recorder.Save(t.Context()))
	is.Equal(store.calls, 2)
	first.Leave(start.Add(time.Second), "a") // an id that leaves again is bound anew
	is.NoErr(first.recorder.Save(t.Context()))
	is.Equal(store.calls, 3)

	c.time = start.Add(2 * time.Second)
	second := newProcess(store, c)
	is.NoErr(second.recorder.try(t.Context()))
	is.Equal(second.restores, 1)
	is.Equal(second.Departures(c.time), []sycamorerun.Departure{{ID: "a", At: start.Add(time.Second)}})
}

// TestRecordIsBounded guards against a record that grows with each departure, and
// against departures of other writers that displace those of real boots.
func TestRecordIsBounded(t *testing.T) {
	is := is.New(t)
	store, c := &fakeStore{}, &clock{start}
	p := newProcess(store, c)
	is.NoErr(p.recorder.Save(t.Context()))
	p.Learn(start, []sycamorerun.Departure{{ID: "real", Boot: 5, At: start}})
	for range 100 {
		p.Leave(start, strings.Repeat("x", store.calls+1))
		is.NoErr(p.recorder.Save(t.Context()))
	}
	stored, err := decode(store.objects[Prefix+"n"].Value)
	is.NoErr(err)
	is.Equal(len(stored), 5) // the real one and the last four ids
	is.Equal(stored[0].ID, "real")
	calls := store.calls
	is.NoErr(p.recorder.Save(t.Context()))
	is.Equal(store.calls, calls)
}

// TestOddRecord guards against a node that doesn't use its upstream, or can't store a
// departure, because of what another writer left under the node's key.
func TestOddRecord(t *testing.T) {
	cases := map[string]string{
		"empty": "", "null": "null", "no object": "[1]", "bytes": "\x00\xff", "other type": `{"departures":7}`,
		"no id": `{"departures":[{"boot":5,"time":1}]}`, "negative boot": `{"departures":[{"id":"a","boot":-5,"time":1}]}`,
		"fraction": `{"departures":[{"id":"a","boot":5.5,"time":1}]}`, "no boot": `{"departures":[{"id":"a","time":1000000000}]}`,
		"null boot": `{"departures":[{"id":"a","boot":null,"time":1000000000}]}`, "no time": `{"departures":[{"id":"a","boot":5}]}`,
		"too many": `{"departures":[` + strings.Repeat(`{"id":"a","boot":5,"time":1},`, 50) + `{"id":"a","boot":5,"time":1}]}`,
		"large":    `{"departures":[]}` + strings.Repeat(" ", maxRecordBytes),
	}
	for name, value := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store, c := &fakeStore{}, &clock{start}
			store.write(Prefix+"n", []byte(value))
			p := newProcess(store, c)
			is.NoErr(p.recorder.try(t.Context()))
			is.Equal(p.restores, 1)
			is.Equal(len(p.Departures(start)), 0)
			p.Leave(start, "a")
			is.NoErr(p.recorder.Save(t.Context()))
			stored, err := decode(store.objects[Prefix+"n"].Value)
			is.NoErr(err)
			is.Equal(len(stored), 1)
		})
	}
}

// TestSaveWithoutStore guards against a confirmation while the store is down, against
// one that takes longer than its sender waits, and against a departure that is not
// stored when the store is back.
func TestSaveWithoutStore(t *testing.T) {
	is := is.New(t)
	store, c := &fakeStore{Fault: func() fault { return unavailable }}, &clock{start}
	p := newProcess(store, c)
	p.Leave(start, "a")
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	started := time.Now()
	is.True(p.recorder.Save(ctx) != nil)
	is.True(time.Since(started) < time.Second)
	store.mutex.Lock()
	store.Fault = nil
	store.mutex.Unlock()
	running, stop := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- p.recorder.Run(running) }()
	for stored := 0; stored == 0; time.Sleep(time.Millisecond) {
		store.mutex.Lock()
		stored = len(store.objects)
		store.mutex.Unlock()
	}
	stop()
	is.NoErr(<-ended)
}

// TestClean guards against records of instances that are gone and stay in the store
// for good, and against the removal of a record that still binds.
func TestClean(t *testing.T) {
	is := is.New(t)
	store, c := &fakeStore{}, &clock{start}
	for key, at := range map[string]time.Time{"old": start.Add(-expiry), "new": start.Add(time.Second - expiry), "future": start.Add(expiry)} {
		value, err := encode([]sycamorerun.Departure{{ID: "a", Boot: 5, At: start.Add(-2 * expiry)}, {ID: "a", Boot: 6, At: at}})
		is.NoErr(err)
		store.write(Prefix+key, value)
	}
	store.write(Prefix+"odd", []byte("odd"))
	p := newProcess(store, c)
	p.recorder.clean(t.Context(), start)
	is.Equal(len(store.objects), 3)
	_, found := store.objects[Prefix+"old"]
	is.True(!found)
	p.recorder.IsMaintainer = func() bool { return false }
	p.recorder.clean(t.Context(), start.Add(10*expiry))
	is.Equal(len(store.objects), 3)
}
