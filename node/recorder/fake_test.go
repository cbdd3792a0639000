package recorder

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sycamorerun/persister"
)

// fault is what happens to a call of the fake store.
type fault int

const (
	none fault = iota
	// unavailable refuses the call, lost executes it without an answer, and late
	// executes it when the store is called next, if its condition still holds.
	unavailable
	lost
	late
)

// fakeStore is an object store in memory.
type fakeStore struct {
	// Fault selects the fault of a call. Nil means none.
	Fault func() fault

	mutex    sync.Mutex
	objects  map[string]persister.Object
	revision persister.Revision
	delayed  []func()
	calls    int
}

func (s *fakeStore) store() persister.Store {
	return persister.Store{Get: s.get, Put: s.put, List: s.list, Delete: s.delete}
}

// begin starts a call and returns its fault.
func (s *fakeStore) begin() fault {
	s.calls++
	delayed := s.delayed
	s.delayed = nil
	for _, execute := range delayed {
		execute()
	}
	if s.Fault == nil {
		return none
	}
	return s.Fault()
}

func (s *fakeStore) get(_ context.Context, key string) (persister.Object, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.begin() != none {
		return persister.Object{}, persister.ErrUnavailable
	}
	if object, found := s.objects[key]; found {
		return object, nil
	}
	return persister.Object{}, persister.ErrMissing
}

func (s *fakeStore) put(_ context.Context, key string, value []byte, expected persister.Revision) (persister.Revision, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	execute := func() error {
		if s.objects[key].Revision != expected {
			return persister.ErrConflict
		}
		s.write(key, value)
		return nil
	}
	switch s.begin() {
	case unavailable:
		return 0, persister.ErrUnavailable
	case lost:
		_ = execute()
		return 0, persister.ErrUnknown
	case late:
		s.delayed = append(s.delayed, func() { _ = execute() })
		return 0, persister.ErrUnknown
	}
	err := execute()
	return s.revision, err
}

// write stores a value as another writer does. The caller holds the mutex, if
// necessary.
func (s *fakeStore) write(key string, value []byte) {
	if s.objects == nil {
		s.objects = map[string]persister.Object{}
	}
	s.revision++
	s.objects[key] = persister.Object{Key: key, Value: value, Revision: s.revision}
}

func (s *fakeStore) list(context.Context, string, persister.Revision) (persister.Listing, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.begin() != none {
		return persister.Listing{}, persister.ErrUnavailable
	}
	listing := persister.Listing{Revision: s.revision}
	for _, object := range s.objects {
		listing.Objects = append(listing.Objects, object)
	}
	return listing, nil
}

func (s *fakeStore) delete(_ context.Context, key string, expected persister.Revision) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.begin() != none:
		return persister.ErrUnavailable
	case s.objects[key].Revision != expected:
		return errors.Wrap(persister.ErrConflict, key)
	}
	delete(s.objects, key)
	return nil
}

// randomFaults returns a fault for one in four calls.
func randomFaults(random *rand.Rand) func() fault {
	return func() fault {
		if random.IntN(4) > 0 {
			return none
		}
		return fault(1 + random.IntN(3))
	}
}

// clock is a time that a test sets.
type clock struct{ time time.Time }

func (c *clock) now() time.Time { return c.time }
