// Package persister accesses the platform's object store through one small type,
// Store, so that supporting another store's protocol changes no package that uses it.
package persister

import (
	"context"

	"github.com/pkg/errors"
)

// Errors of store calls. Callers check for them with errors.Is.
var (
	// ErrConflict means that the object's revision was not the expected one.
	ErrConflict = errors.New("revision conflict")
	// ErrMissing means that the object does not exist.
	ErrMissing = errors.New("no such object")
	// ErrCompacted means that the store no longer has the history that a watch
	// asks for, or that the store was restored from a copy since. The caller has to
	// list the objects again.
	ErrCompacted = errors.New("watch history compacted")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = errors.New("write outcome unknown")
	// ErrUnavailable means that the store refused the call or could not be
	// reached, and that the call had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrInvalid means that the store rejects the call itself, for example
	// because a value exceeds its limit. A retry can't succeed.
	ErrInvalid = errors.New("call rejected by the store")
)

// Revision is the store's logical clock. Each write gets a higher revision.
type Revision uint64

// Era counts how often a store was restored from a copy. A restored store gives out
// revisions again, so revisions of different eras can't be compared. Zero means that
// the store reports no era.
type Era uint64

// Position is a revision and the era in which the store gave it out.
type Position struct {
	Era      Era
	Revision Revision
}

// Object is a stored value. Revision is the revision of its last write.
type Object struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Revision Revision `json:"revision"`
	Deleted  bool     `json:"deleted,omitempty"`
}

// Listing is the result of a list or a watch: objects and the store's revision.
type Listing struct {
	Objects  []Object `json:"objects,omitempty"`
	Revision Revision `json:"revision"`
}

// Store is a client of the platform's object store.
type Store struct {
	// Get returns the object with key, or ErrMissing.
	Get func(ctx context.Context, key string) (Object, error)
	// List returns the objects under prefix with a revision above after.
	List func(ctx context.Context, prefix string, after Revision) (Listing, error)
	// Put writes value if the object's revision equals expected. Zero means that
	// the object must not exist. Put returns the new revision.
	Put func(ctx context.Context, key string, value []byte, expected Revision) (Revision, error)
	// Delete removes the object if its revision equals expected.
	Delete func(ctx context.Context, key string, expected Revision) error
	// Watch waits for writes under prefix with a revision above after and
	// returns them in order. It returns none if the wait times out. The next
	// watch starts at the listing's revision. With keysOnly, values are left out.
	Watch func(ctx context.Context, prefix string, after Revision, keysOnly bool) (Listing, error)
}
