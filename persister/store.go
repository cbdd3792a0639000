// Package persister reaches the platform's object store through one narrow
// type, so that another store's protocol touches this package alone.
package persister

import (
	"context"

	"github.com/pkg/errors"
)

// Outcomes of store calls that callers tell apart with errors.Is.
var (
	// ErrConflict means that the object's revision was not the expected one.
	ErrConflict = errors.New("revision conflict")
	// ErrMissing means that the object does not exist.
	ErrMissing = errors.New("no such object")
	// ErrCompacted means that a watch's history is gone; list again.
	ErrCompacted = errors.New("watch history compacted")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = errors.New("write outcome unknown")
	// ErrUnavailable means that the store refused or could not be reached
	// and the call had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrInvalid means that the store rejects the call itself, such as a
	// value above its limit; repeating the call is of no use.
	ErrInvalid = errors.New("call rejected by the store")
)

// Revision is the store's logical time; each write gets a higher one.
type Revision uint64

// Object is a stored value. Revision is that of its last write.
type Object struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Revision Revision `json:"revision"`
	Deleted  bool     `json:"deleted,omitempty"`
}

// Listing is the answer to a list: the objects and the store's revision.
type Listing struct {
	Objects  []Object `json:"objects,omitempty"`
	Revision Revision `json:"revision"`
}

// Store is the platform's object store. Each function field is one call.
type Store struct {
	// Get returns the object with key, or ErrMissing.
	Get func(ctx context.Context, key string) (Object, error)
	// List returns the objects under prefix whose revision is above after.
	List func(ctx context.Context, prefix string, after Revision) (Listing, error)
	// Put writes value when the object's revision equals expected, zero
	// meaning that it must not exist. It returns the new revision.
	Put func(ctx context.Context, key string, value []byte, expected Revision) (Revision, error)
	// Delete removes the object when its revision equals expected.
	Delete func(ctx context.Context, key string, expected Revision) error
	// Watch waits for writes under prefix above after and returns them in
	// order, at least one unless the wait ends empty. The next watch starts
	// at the listing's revision. With keysOnly the values stay empty.
	Watch func(ctx context.Context, prefix string, after Revision, keysOnly bool) (Listing, error)
}
