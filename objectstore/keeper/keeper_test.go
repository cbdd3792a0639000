package keeper

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sycamorerun/persister"
)

// Guards against a conditional write that takes effect although the revision
// doesn't match.
func TestConditionalWrites(t *testing.T) {
	cases := map[string]struct {
		call func(k *Keeper) error
		want error
	}{
		"create twice":      {func(k *Keeper) error { return put(k, "log/0001", 0) }, persister.ErrConflict},
		"update":            {func(k *Keeper) error { return put(k, "log/0001", 1) }, nil},
		"update stale":      {func(k *Keeper) error { return put(k, "log/0001", 7) }, persister.ErrConflict},
		"update missing":    {func(k *Keeper) error { return put(k, "other", 1) }, persister.ErrConflict},
		"delete":            {func(k *Keeper) error { return k.Delete("log/0001", 1) }, nil},
		"delete stale":      {func(k *Keeper) error { return k.Delete("log/0001", 2) }, persister.ErrConflict},
		"delete missing":    {func(k *Keeper) error { return k.Delete("other", 0) }, persister.ErrMissing},
		"value at limit":    {func(k *Keeper) error { _, err := k.Put("v", make([]byte, MaxValueBytes), 0); return err }, nil},
		"value above limit": {func(k *Keeper) error { _, err := k.Put("v", make([]byte, MaxValueBytes+1), 0); return err }, ErrInvalid},
		"empty key":         {func(k *Keeper) error { return put(k, "", 0) }, ErrInvalid},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := New(8)
			is.NoErr(put(k, "log/0001", 0))
			_, before := k.Size()
			err := test.call(k)
			is.True(errors.Is(err, test.want))
			_, after := k.Size()
			is.Equal(after == before, test.want != nil) // a rejected write uses no revision
		})
	}
}

// Guards against a watch that misses, repeats or reorders writes, or doesn't
// report that its history was discarded.
func TestWatch(t *testing.T) {
	cases := map[string]struct {
		after persister.Revision
		keys  []string
		want  error
	}{
		"all that is left":  {2, []string{"log/b", "log/a", "log/b"}, nil},
		"tail":              {5, []string{"log/b"}, nil},
		"nothing new":       {6, nil, nil},
		"history gone":      {1, nil, persister.ErrCompacted},
		"above the store's": {7, nil, persister.ErrCompacted},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := New(4)
			is.NoErr(put(k, "log/a", 0))    // 1
			is.NoErr(put(k, "snapshot", 0)) // 2
			is.NoErr(put(k, "log/b", 0))    // 3
			is.NoErr(put(k, "snapshot", 2)) // 4
			is.NoErr(k.Delete("log/a", 1))  // 5
			is.NoErr(put(k, "log/b", 3))    // 6
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			defer cancel()
			listing, err := k.Watch(ctx, "log/", test.after, true)
			is.True(errors.Is(err, test.want))
			var keys []string
			for _, object := range listing.Objects {
				keys = append(keys, object.Key)
				is.Equal(object.Value, nil)
			}
			is.Equal(keys, test.keys)
		})
	}
}

// Guards against a waiting watch that a write doesn't wake up.
func TestWatchWakes(t *testing.T) {
	is := is.New(t)
	k := New(4)
	go func() { _ = put(k, "log/a", 0) }()
	listing, err := k.Watch(t.Context(), "log/", 0, false)
	is.NoErr(err)
	is.Equal(len(listing.Objects), 1)
	is.Equal(string(listing.Objects[0].Value), "x")
}

// Guards against a list that loses objects between two pages.
func TestListPages(t *testing.T) {
	is := is.New(t)
	k := New(16)
	for _, key := range []string{"a", "b", "c", "d", "e", "f"} {
		_, err := k.Put(key, make([]byte, MaxValueBytes), 0)
		is.NoErr(err)
	}
	first, more := k.List("", 0)
	is.True(more)
	is.Equal(len(first.Objects), 4)
	rest, more := k.List("", first.Revision)
	is.True(!more)
	is.Equal(len(rest.Objects), 2)
	is.Equal(rest.Revision, persister.Revision(6))
}

func put(k *Keeper, key string, expected persister.Revision) error {
	_, err := k.Put(key, []byte("x"), expected)
	return err
}
