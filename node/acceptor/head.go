package acceptor

import (
	"context"
	"maps"

	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/differ"
	"sycamorerun/persister"
)

var (
	// errGone means that the ring no longer holds an entry.
	errGone = errors.New("entry is gone from the ring")
	// errStale means that the store answered with a state older than one that
	// this node has seen.
	errStale = errors.New("store answered with a stale state")
)

// listAbove is the number of missing entries from which one list of the ring
// costs less than single reads.
const listAbove = 8

// locate moves the head to the newest version that the store shows and returns
// the revision that the slot of the next version is expected to have.
func (a *Acceptor) locate(ctx context.Context) (persister.Revision, error) {
	if err := a.follow(ctx); err != nil {
		return 0, err
	}
	for {
		next := a.head.Version + 1
		entry, revision, err := persister.ReadEntry(ctx, a.Store, next)
		switch {
		case errors.Is(err, persister.ErrMissing) && next <= persister.RingSlots:
			return 0, nil
		case errors.Is(err, persister.ErrMissing):
			return 0, errors.Wrapf(errStale, "no entry in the slot of version %d", next)
		case err != nil:
			return 0, err
		case entry.Version+persister.RingSlots == next:
			return revision, nil
		case entry.Version == next:
			err = a.accept(entry)
		case entry.Version > next:
			err = a.jump(ctx)
		default:
			err = errors.Wrapf(errStale, "version %d in the slot of version %d", entry.Version, next)
		}
		if err != nil {
			return 0, err
		}
	}
}

// follow takes over the tree in force at this node when it is newer, and
// indexes the entries up to it.
func (a *Acceptor) follow(ctx context.Context) error {
	current := a.Current()
	if current.Version <= a.head.Version {
		return nil
	}
	return a.reset(ctx, current)
}

// jump moves the head to the snapshot, after the ring has gone round.
func (a *Acceptor) jump(ctx context.Context) error {
	tree, hash, _, err := persister.ReadSnapshot(ctx, a.Store)
	if err != nil {
		return err
	}
	if tree.Version <= a.head.Version {
		return errors.Wrapf(errStale, "snapshot of version %d after version %d", tree.Version, a.head.Version)
	}
	if differ.Hash(tree.Items) != hash {
		return errors.Errorf("snapshot of version %d does not match its hash", tree.Version)
	}
	a.snapshot = max(a.snapshot, tree.Version)
	return a.reset(ctx, tree)
}

// reset moves the head to tree and indexes the entries of the ring up to it.
func (a *Acceptor) reset(ctx context.Context, tree sycamorerun.Tree) error {
	from := sycamorerun.Version(1)
	if tree.Version > persister.RingSlots {
		from = tree.Version - persister.RingSlots + 1
	}
	from = max(from, a.history.last+1)
	entries, err := a.entries(ctx, from, tree.Version)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		a.history.add(entry)
	}
	a.head = tree
	return nil
}

// entries returns those entries of from to to that the ring still holds.
func (a *Acceptor) entries(ctx context.Context, from, to sycamorerun.Version) ([]sycamorerun.Entry, error) {
	found := map[sycamorerun.Version]sycamorerun.Entry{}
	for version := from; version <= to; version++ {
		if entry, ok := a.Entry(version); ok {
			found[version] = entry
		}
	}
	if missing := int(to) - int(from) + 1 - len(found); missing > listAbove {
		if err := a.list(ctx, from, to, found); err != nil {
			return nil, err
		}
	}
	entries := make([]sycamorerun.Entry, 0, len(found))
	for version := from; version <= to; version++ {
		entry, ok := found[version]
		if !ok {
			var err error
			entry, err = a.read(ctx, version)
			if errors.Is(err, errGone) {
				continue
			}
			if err != nil {
				return nil, err
			}
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

func (a *Acceptor) list(ctx context.Context, from, to sycamorerun.Version, found map[sycamorerun.Version]sycamorerun.Entry) error {
	listing, err := a.Store.List(ctx, persister.LogPrefix, 0)
	if errors.Is(err, persister.ErrTooLarge) {
		return nil
	}
	if err != nil {
		return err
	}
	for _, object := range listing.Objects {
		entry, err := persister.DecodeEntry(object.Value)
		if err != nil {
			return errors.Wrapf(err, "decode %s", object.Key)
		}
		if entry.Version >= from && entry.Version <= to {
			found[entry.Version] = entry
		}
	}
	return nil
}

func (a *Acceptor) read(ctx context.Context, version sycamorerun.Version) (sycamorerun.Entry, error) {
	entry, _, err := persister.ReadEntry(ctx, a.Store, version)
	switch {
	case errors.Is(err, persister.ErrMissing), err == nil && entry.Version < version:
		return entry, errors.Wrapf(errStale, "no entry for version %d", version)
	case err == nil && entry.Version > version:
		return entry, errGone
	}
	return entry, err
}

// accept verifies an entry that another acceptor committed and moves the head.
func (a *Acceptor) accept(entry sycamorerun.Entry) error {
	tree := differ.Apply(a.head, entry.Version, entry.Difference)
	if differ.Hash(tree.Items) != entry.Hash {
		return errors.Errorf("entry of version %d does not match its hash", entry.Version)
	}
	a.adopt(entry, tree)
	return nil
}

// adopt moves the head by one entry.
func (a *Acceptor) adopt(entry sycamorerun.Entry, tree sycamorerun.Tree) {
	a.history.add(entry)
	a.head = tree
	a.Learn(a.Now(), entry)
}

// view returns the head for a decision.
func (a *Acceptor) view() View {
	oldest := sycamorerun.Version(0)
	if a.history.first > 0 {
		oldest = a.history.first - 1
	}
	return View{
		Tree: a.head, Oldest: oldest, Changed: maps.Clone(a.history.changed),
		Decided: func(id string) (sycamorerun.Outcome, bool) {
			found, ok := a.history.ids[id]
			return found.outcome(id), ok
		},
	}
}
