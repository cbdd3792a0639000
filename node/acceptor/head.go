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
	// errReplaced means that a newer entry has replaced the requested one in the
	// ring.
	errReplaced = errors.New("entry has been replaced in the ring")
	// errStaleRead means that the store returned an older state than one that
	// this node has already seen.
	errStaleRead = errors.New("store returned stale data")
)

// listThreshold is the number of single reads above which one list of the ring is
// cheaper.
const listThreshold = 8

// slot is the state of the ring slot for the next version: the entry that it still
// holds from RingSlots versions ago, and the revision that a write expects. The
// revision is zero when the slot is empty.
type slot struct {
	entry    sycamorerun.Entry
	revision persister.Revision
}

// syncHead advances the head to the newest version that it reads from the store
// and returns the slot of the next version.
func (a *Acceptor) syncHead(ctx context.Context) (slot, error) {
	if err := a.adoptCurrent(ctx); err != nil {
		return slot{}, err
	}
	for read := 0; ; read++ {
		if read == listThreshold {
			if err := a.catchUp(ctx); err != nil {
				return slot{}, err
			}
		}
		next := a.head.Version + 1
		entry, revision, err := persister.ReadEntry(ctx, a.Store, next)
		switch {
		case errors.Is(err, persister.ErrMissing) && next <= persister.RingSlots:
			return slot{}, a.verifyStore(ctx)
		case errors.Is(err, persister.ErrMissing):
			return slot{}, errors.Wrapf(errStaleRead, "no entry in the slot of version %d", next)
		case err != nil:
			return slot{}, err
		case entry.Version+persister.RingSlots == next:
			return slot{entry: entry, revision: revision}, nil
		case entry.Version == next:
			err = a.applyEntry(entry)
		case entry.Version > next:
			err = a.loadSnapshot(ctx)
		default:
			err = errors.Wrapf(errStaleRead, "found version %d in the slot of version %d", entry.Version, next)
		}
		if err != nil {
			return slot{}, err
		}
	}
}

// impossibleRevision is higher than the revision of any object.
const impossibleRevision persister.Revision = 1 << 62

// confirmSlot returns an error if the read of the slot was stale. A refusal that
// is based on a stale read would be wrong, in particular for an id that has been
// accepted since. Reads can be stale, but the store checks conditional writes
// against its current state. Rewriting the old entry succeeds only if it is still
// there, and a delete whose condition never holds reports whether the slot is
// empty.
func (a *Acceptor) confirmSlot(ctx context.Context, nextSlot slot) error {
	if nextSlot.revision != 0 {
		_, err := persister.WriteEntry(ctx, a.Store, nextSlot.entry, nextSlot.revision)
		return err
	}
	err := a.Store.Delete(ctx, persister.LogKey(a.head.Version+1), impossibleRevision)
	if errors.Is(err, persister.ErrMissing) {
		return nil
	}
	return errors.Wrap(cmp.Or(err, errStaleRead), "slot is not empty")
}

// verifyStore checks once, before the first write to an empty slot, that the store
// holds the head's entry. Otherwise a second history would start in a store that
// lost its objects.
func (a *Acceptor) verifyStore(ctx context.Context) error {
	if a.storeVerified || a.head.Version == 0 {
		return nil
	}
	_, err := a.readEntry(ctx, a.head.Version)
	a.storeVerified = err == nil
	return err
}

// adoptCurrent moves the head to the tree in force at this node if that is newer,
// and indexes the entries up to it.
func (a *Acceptor) adoptCurrent(ctx context.Context) error {
	current := a.Current()
	if current.Version <= a.head.Version {
		return nil
	}
	return a.resetHead(ctx, current)
}

// loadSnapshot moves the head to the snapshot and then to the newest entry of the
// ring. It is used when the ring has wrapped around past the head.
func (a *Acceptor) loadSnapshot(ctx context.Context) error {
	tree, hash, _, err := persister.ReadSnapshot(ctx, a.Store)
	if err != nil {
		return err
	}
	if tree.Version <= a.head.Version {
		return errors.Wrapf(errStaleRead, "snapshot of version %d is not newer than version %d", tree.Version, a.head.Version)
	}
	if differ.Hash(tree.Items) != hash {
		return errors.Errorf("snapshot of version %d does not match its hash", tree.Version)
	}
	a.snapshotVersion = max(a.snapshotVersion, tree.Version)
	if err := a.resetHead(ctx, tree); err != nil {
		return err
	}
	return a.catchUp(ctx)
}

// catchUp lists the ring once and applies all entries that follow the head.
func (a *Acceptor) catchUp(ctx context.Context) error {
	listed, err := a.listRing(ctx)
	if err != nil {
		return err
	}
	for {
		entry, ok := listed[a.head.Version+1]
		if !ok {
			return nil
		}
		if err := a.applyEntry(entry); err != nil {
			return err
		}
	}
}

// resetHead moves the head to tree and indexes the entries up to it that the ring
// still holds.
func (a *Acceptor) resetHead(ctx context.Context, tree sycamorerun.Tree) error {
	from := sycamorerun.Version(1)
	if tree.Version > persister.RingSlots {
		from = tree.Version - persister.RingSlots + 1
	}
	from = max(from, a.history.last+1)
	entries, err := a.readEntries(ctx, from, tree.Version)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		a.history.add(entry)
	}
	a.head = tree
	return nil
}

// readEntries returns the entries of versions from to to, both included, that this
// node or the ring still holds, in order of version.
func (a *Acceptor) readEntries(ctx context.Context, from, to sycamorerun.Version) ([]sycamorerun.Entry, error) {
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
	if len(missing) > listThreshold {
		var err error
		if listed, err = a.listRing(ctx); err != nil {
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
			entry, err = a.readEntry(ctx, version)
			if errors.Is(err, errReplaced) {
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

// listRing returns the entries of the ring by version. It returns none if they
// exceed the size limit of a list, and leaves out objects that hold no entry of
// their slot; callers then read single entries.
func (a *Acceptor) listRing(ctx context.Context) (map[sycamorerun.Version]sycamorerun.Entry, error) {
	listing, err := a.Store.List(ctx, persister.LogPrefix, 0)
	if errors.Is(err, persister.ErrTooLarge) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	listed := make(map[sycamorerun.Version]sycamorerun.Entry, len(listing.Objects))
	for _, object := range listing.Objects {
		entry, err := persister.DecodeLogObject(object)
		if err != nil {
			a.warn("ignoring an object in the log that holds no entry of its slot", err)
			continue
		}
		listed[entry.Version] = entry
	}
	return listed, nil
}

func (a *Acceptor) readEntry(ctx context.Context, version sycamorerun.Version) (sycamorerun.Entry, error) {
	entry, _, err := persister.ReadEntry(ctx, a.Store, version)
	switch {
	case errors.Is(err, persister.ErrMissing), err == nil && entry.Version < version:
		return entry, errors.Wrapf(errStaleRead, "no entry for version %d", version)
	case err == nil && entry.Version > version:
		return entry, errReplaced
	}
	return entry, err
}

// applyEntry verifies the next entry, which another acceptor committed, and
// advances the head to it.
func (a *Acceptor) applyEntry(entry sycamorerun.Entry) error {
	tree := differ.Apply(a.head, entry.Version, entry.Difference)
	if differ.Hash(tree.Items) != entry.Hash {
		return errors.Errorf("entry of version %d does not match its hash", entry.Version)
	}
	a.advanceHead(entry, tree)
	return nil
}

// advanceHead indexes entry and makes tree, the result of that entry, the head.
func (a *Acceptor) advanceHead(entry sycamorerun.Entry, tree sycamorerun.Tree) {
	a.history.add(entry)
	a.head = tree
	a.storeVerified = true
	a.OnEntry(a.Now(), entry)
}

// view returns the state that decisions are based on.
func (a *Acceptor) view() View {
	oldest := sycamorerun.Version(0)
	if a.history.first > 0 {
		oldest = a.history.first - 1
	}
	return View{
		Tree: a.head, OldestBase: oldest, LastChanged: maps.Clone(a.history.lastChanged),
		Decided: func(id string) (sycamorerun.Outcome, bool) {
			change, ok := a.history.byID[id]
			return change.outcome(id), ok
		},
	}
}
