package acceptor

import (
	"cmp"
	"context"
	"maps"
	"slices"

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

// slot is the place of the next version: the entry of the round before and the
// revision that a write expects, zero when the slot is empty.
type slot struct {
	entry    sycamorerun.Entry
	revision persister.Revision
}

// locate moves the head to the newest version that the store shows and returns
// the slot of the next version.
func (a *Acceptor) locate(ctx context.Context) (slot, error) {
	if err := a.follow(ctx); err != nil {
		return slot{}, err
	}
	for read := 0; ; read++ {
		if read == listAbove {
			if err := a.catchUp(ctx); err != nil {
				return slot{}, err
			}
		}
		next := a.head.Version + 1
		entry, revision, err := persister.ReadEntry(ctx, a.Store, next)
		switch {
		case errors.Is(err, persister.ErrMissing) && next <= persister.RingSlots:
			return slot{}, a.verify(ctx)
		case errors.Is(err, persister.ErrMissing):
			return slot{}, errors.Wrapf(errStale, "no entry in the slot of version %d", next)
		case err != nil:
			return slot{}, err
		case entry.Version+persister.RingSlots == next:
			return slot{entry: entry, revision: revision}, nil
		case entry.Version == next:
			err = a.accept(entry)
		case entry.Version > next:
			err = a.jump(ctx)
		default:
			err = errors.Wrapf(errStale, "version %d in the slot of version %d", entry.Version, next)
		}
		if err != nil {
			return slot{}, err
		}
	}
}

// noRevision is one that no object has.
const noRevision persister.Revision = 1 << 62

// fence makes sure that the read of the slot was not stale, since a refusal
// that follows from a stale read would be wrong, above all for an id that has
// been accepted since. Conditional writes are checked against the true state:
// writing the old entry again succeeds only if it is still there, and a
// conditional delete that can't match tells whether an empty slot is empty.
func (a *Acceptor) fence(ctx context.Context, at slot) error {
	if at.revision != 0 {
		_, err := persister.WriteEntry(ctx, a.Store, at.entry, at.revision)
		return err
	}
	err := a.Store.Delete(ctx, persister.LogKey(a.head.Version+1), noRevision)
	if errors.Is(err, persister.ErrMissing) {
		return nil
	}
	return errors.Wrap(cmp.Or(err, errStale), "slot is not empty")
}

// verify makes sure once that the store holds the head's entry before the
// first write to an empty slot. A store that lost its objects would otherwise
// start a second history.
func (a *Acceptor) verify(ctx context.Context) error {
	if a.verified || a.head.Version == 0 {
		return nil
	}
	_, err := a.read(ctx, a.head.Version)
	a.verified = err == nil
	return err
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
	if err := a.reset(ctx, tree); err != nil {
		return err
	}
	return a.catchUp(ctx)
}

// catchUp moves the head over all the entries of one list.
func (a *Acceptor) catchUp(ctx context.Context) error {
	listed, err := a.list(ctx)
	if err != nil {
		return err
	}
	for {
		entry, ok := listed[a.head.Version+1]
		if !ok {
			return nil
		}
		if err := a.accept(entry); err != nil {
			return err
		}
	}
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
	var entries []sycamorerun.Entry
	var missing []sycamorerun.Version
	for version := from; version <= to; version++ {
		if entry, ok := a.Entry(version); ok {
			entries = append(entries, entry)
		} else {
			missing = append(missing, version)
		}
	}
	var listed map[sycamorerun.Version]sycamorerun.Entry
	if len(missing) > listAbove {
		var err error
		if listed, err = a.list(ctx); err != nil {
			return nil, err
		}
	}
	for _, version := range missing {
		if _, replaced := listed[version+persister.RingSlots]; replaced {
			continue
		}
		entry, ok := listed[version]
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
	slices.SortFunc(entries, func(a, b sycamorerun.Entry) int { return cmp.Compare(a.Version, b.Version) })
	return entries, nil
}

// list returns the entries of the ring by version, or none when they are too
// large for one list: the callers then read what they need.
func (a *Acceptor) list(ctx context.Context) (map[sycamorerun.Version]sycamorerun.Entry, error) {
	listing, err := a.Store.List(ctx, persister.LogPrefix, 0)
	if errors.Is(err, persister.ErrTooLarge) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	listed := make(map[sycamorerun.Version]sycamorerun.Entry, len(listing.Objects))
	for _, object := range listing.Objects {
		entry, err := persister.DecodeEntry(object.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "decode %s", object.Key)
		}
		listed[entry.Version] = entry
	}
	return listed, nil
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
	a.verified = true
	a.OnEntry(a.Now(), entry)
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
