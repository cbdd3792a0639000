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

// Limits of the stand-in store in bytes. MaxHistoryBytes bounds the values in the
// history.
const (
	MaxValueBytes   = 1_000_000
	MaxKeyBytes     = 512
	MaxPageBytes    = 4 << 20
	MaxHistoryBytes = 64 << 20
)

// ErrInvalid means that a call is malformed or that its key or value exceeds the
// limits.
var ErrInvalid = errors.New("invalid key or value")

// Keeper is the in-memory object store. Its methods may be called concurrently.
type Keeper struct {
	// MaxHistory bounds the number of past writes that a watch can return.
	MaxHistory int

	mu                sync.Mutex
	objects           map[string]persister.Object
	revision          persister.Revision
	history           []persister.Object
	historyBytes      int
	compactedRevision persister.Revision
	changed           chan struct{}
}

// New returns an empty keeper with a history of at most history writes.
func New(history int) *Keeper {
	return &Keeper{MaxHistory: history, objects: map[string]persister.Object{}, changed: make(chan struct{})}
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
	if key == "" || len(key) > MaxKeyBytes || len(value) > MaxValueBytes {
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

// record assigns the next revision to object, appends it to the history and
// discards the oldest writes beyond the limits. The caller holds the mutex.
func (k *Keeper) record(object persister.Object) persister.Object {
	k.revision++
	object.Revision = k.revision
	k.history = append(k.history, object)
	k.historyBytes += len(object.Value)
	for len(k.history) > k.MaxHistory || k.historyBytes > MaxHistoryBytes {
		k.compactedRevision = k.history[0].Revision
		k.historyBytes -= len(k.history[0].Value)
		k.history[0] = persister.Object{}
		k.history = k.history[1:]
	}
	close(k.changed)
	k.changed = make(chan struct{})
	return object
}

// Compact discards the history, so that watches after an older revision fail with
// persister.ErrCompacted.
func (k *Keeper) Compact() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.history, k.historyBytes, k.compactedRevision = nil, 0, k.revision
}

// List returns one page of the objects under prefix with a revision above after,
// ordered by revision. The listing's revision is the store's, or that of the last
// object when more pages follow.
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
	return firstPage(found, k.revision, false)
}

// Watch waits for writes under prefix with a revision above after and returns
// them in order. It returns an empty listing when ctx ends first, and
// persister.ErrCompacted when the history does not reach back to after.
func (k *Keeper) Watch(ctx context.Context, prefix string, after persister.Revision, keysOnly bool) (persister.Listing, error) {
	for {
		listing, changed, err := k.writesAfter(prefix, after, keysOnly)
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

// writesAfter returns the writes under prefix with a revision above after, and a
// channel that is closed at the next write.
func (k *Keeper) writesAfter(prefix string, after persister.Revision, keysOnly bool) (persister.Listing, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	// A revision above the store's own was issued before a restart of the stand-in,
	// which lost its data. The watcher has to list again.
	if after < k.compactedRevision || after > k.revision {
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
	listing, _ := firstPage(found, k.revision, keysOnly)
	return listing, k.changed, nil
}

// Clone returns a copy of the current state with an empty history.
func (k *Keeper) Clone() *Keeper {
	k.mu.Lock()
	defer k.mu.Unlock()
	clone := New(k.MaxHistory)
	clone.revision, clone.compactedRevision = k.revision, k.revision
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

// firstPage returns the first objects, up to MaxPageBytes, and whether more
// follow. The objects are ordered by revision.
func firstPage(objects []persister.Object, revision persister.Revision, keysOnly bool) (persister.Listing, bool) {
	size := 0
	for i := range objects {
		if keysOnly {
			objects[i].Value = nil
		}
		size += len(objects[i].Key) + len(objects[i].Value)
		if size > MaxPageBytes && i > 0 {
			return persister.Listing{Objects: objects[:i], Revision: objects[i-1].Revision}, true
		}
	}
	return persister.Listing{Objects: objects, Revision: revision}, false
}
