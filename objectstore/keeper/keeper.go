// Package keeper holds the objects of the stand-in store in memory, with one
// revision counter and a bounded history of writes.
package keeper

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"sycamorerun/persister"
)

// Limits of the stand-in.
const (
	ValueBytes   = 1_000_000
	KeyBytes     = 512
	PageBytes    = 4 << 20
	HistoryBytes = 64 << 20
)

// ErrInvalid means that the key or the value is outside the limits.
var ErrInvalid = errors.New("invalid key or value")

// Keeper is the stand-in's data. Its methods may be called concurrently.
type Keeper struct {
	// History bounds the number of writes that watches can still see.
	History int

	mu        sync.Mutex
	objects   map[string]persister.Object
	revision  persister.Revision
	history   []persister.Object
	bytes     int
	compacted persister.Revision
	changed   chan struct{}
}

// New returns an empty keeper that remembers the last history writes.
func New(history int) *Keeper {
	return &Keeper{History: history, objects: map[string]persister.Object{}, changed: make(chan struct{})}
}

// Get returns the object with key, or persister.ErrMissing.
func (k *Keeper) Get(key string) (persister.Object, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	object, ok := k.objects[key]
	if !ok {
		return persister.Object{}, persister.ErrMissing
	}
	return object, nil
}

// Put writes value when the object's revision equals expected, zero meaning
// that it must not exist.
func (k *Keeper) Put(key string, value []byte, expected persister.Revision) (persister.Revision, error) {
	if key == "" || len(key) > KeyBytes || len(value) > ValueBytes {
		return 0, errors.Wrapf(ErrInvalid, "key of %d bytes, value of %d bytes", len(key), len(value))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.objects[key].Revision != expected {
		return 0, persister.ErrConflict
	}
	object := k.record(persister.Object{Key: key, Value: value})
	k.objects[key] = object
	return object.Revision, nil
}

// Delete removes the object when its revision equals expected.
func (k *Keeper) Delete(key string, expected persister.Revision) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	object, ok := k.objects[key]
	if !ok {
		return persister.ErrMissing
	}
	if object.Revision != expected {
		return persister.ErrConflict
	}
	delete(k.objects, key)
	k.record(persister.Object{Key: key, Deleted: true})
	return nil
}

// record gives object the next revision and appends it to the history.
func (k *Keeper) record(object persister.Object) persister.Object {
	k.revision++
	object.Revision = k.revision
	k.history = append(k.history, object)
	k.bytes += len(object.Value)
	for len(k.history) > k.History || k.bytes > HistoryBytes {
		k.compacted = k.history[0].Revision
		k.bytes -= len(k.history[0].Value)
		k.history[0] = persister.Object{}
		k.history = k.history[1:]
	}
	close(k.changed)
	k.changed = make(chan struct{})
	return object
}

// Forget discards the history.
func (k *Keeper) Forget() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.history, k.bytes, k.compacted = nil, 0, k.revision
}

// List returns one page of the objects under prefix above after, in the order
// of their revisions. The listing's revision is the store's, or that of the
// last object when the page is full and more follow.
func (k *Keeper) List(prefix string, after persister.Revision) (listing persister.Listing, more bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var found []persister.Object
	for key, object := range k.objects {
		if strings.HasPrefix(key, prefix) && object.Revision > after {
			found = append(found, object)
		}
	}
	slices.SortFunc(found, func(a, b persister.Object) int {
		return int(int64(a.Revision) - int64(b.Revision))
	})
	return page(found, k.revision, false)
}

// Watch waits for writes under prefix above after and returns them in order.
// It returns an empty listing when ctx ends first, and persister.ErrCompacted
// when the history does not reach back to after.
func (k *Keeper) Watch(ctx context.Context, prefix string, after persister.Revision, keysOnly bool) (persister.Listing, error) {
	for {
		listing, changed, err := k.since(prefix, after, keysOnly)
		if err != nil || len(listing.Objects) > 0 {
			return listing, err
		}
		select {
		case <-ctx.Done():
			return listing, nil
		case <-changed:
		}
	}
}

func (k *Keeper) since(prefix string, after persister.Revision, keysOnly bool) (persister.Listing, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	// A revision above the store's own comes from before a restart of the
	// stand-in, whose data is lost: the watcher has to list again.
	if after < k.compacted || after > k.revision {
		return persister.Listing{}, nil, persister.ErrCompacted
	}
	first, _ := slices.BinarySearchFunc(k.history, after+1, func(object persister.Object, revision persister.Revision) int {
		return int(int64(object.Revision) - int64(revision))
	})
	var found []persister.Object
	for _, object := range k.history[first:] {
		if strings.HasPrefix(object.Key, prefix) {
			found = append(found, object)
		}
	}
	listing, _ := page(found, k.revision, keysOnly)
	return listing, k.changed, nil
}

// Clone returns a copy of the present state with an empty history.
func (k *Keeper) Clone() *Keeper {
	k.mu.Lock()
	defer k.mu.Unlock()
	clone := New(k.History)
	clone.revision, clone.compacted = k.revision, k.revision
	for key, object := range k.objects {
		clone.objects[key] = object
	}
	return clone
}

// Size returns the number of objects and the store's revision.
func (k *Keeper) Size() (int, persister.Revision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.objects), k.revision
}

// page cuts found, which is in the order of revisions, at PageBytes.
func page(found []persister.Object, revision persister.Revision, keysOnly bool) (persister.Listing, bool) {
	size := 0
	for i := range found {
		if keysOnly {
			found[i].Value = nil
		}
		size += len(found[i].Key) + len(found[i].Value)
		if size > PageBytes && i > 0 {
			return persister.Listing{Objects: found[:i], Revision: found[i-1].Revision}, true
		}
	}
	return persister.Listing{Objects: found, Revision: revision}, false
}
