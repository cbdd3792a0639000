package acceptor

import (
	"context"
	"fmt"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/differ"
	"sycamorerun/persister"
)

const (
	// snapshotInterval is the number of versions between two snapshots.
	snapshotInterval = 256
	// archiveSlots is the number of older snapshots that are kept. With them, a
	// revert can reach every version in the ring: four full intervals, the
	// current one, and one to start from.
	archiveSlots = persister.RingSlots/snapshotInterval + 2
)

func archiveKey(version sycamorerun.Version) string {
	return fmt.Sprintf("%s/%d", persister.SnapshotKey, version/snapshotInterval%archiveSlots)
}

// writeSnapshotIfDue writes a snapshot of the head unless one of the head's
// interval is known to exist. After a failure, the next commit of any acceptor
// tries again.
func (a *Acceptor) writeSnapshotIfDue(ctx context.Context) error {
	if a.head.Version/snapshotInterval <= a.snapshotVersion/snapshotInterval {
		return nil
	}
	return a.writeSnapshot(ctx)
}

// ensureSnapshotCovers writes a snapshot unless the known one includes the version
// that next replaces in the ring.
func (a *Acceptor) ensureSnapshotCovers(ctx context.Context, next sycamorerun.Version) error {
	if next <= a.snapshotVersion+persister.RingSlots {
		return nil
	}
	return errors.Wrap(a.writeSnapshot(ctx), "snapshot is too old to replace a ring entry")
}

// writeSnapshot stores the head as snapshot and in the archive, unless another
// acceptor has already stored a version of the same interval.
func (a *Acceptor) writeSnapshot(ctx context.Context) error {
	stored, _, revision, err := persister.ReadSnapshot(ctx, a.Store)
	switch {
	case errors.Is(err, persister.ErrUndecodable):
		a.warn("replacing the snapshot", err)
	case err != nil && !errors.Is(err, persister.ErrMissing):
		return err
	}
	if a.snapshotVersion = max(a.snapshotVersion, stored.Version); a.head.Version/snapshotInterval <= a.snapshotVersion/snapshotInterval {
		return nil
	}
	hash := differ.Hash(a.head.Items)
	value, err := persister.EncodeSnapshot(a.head, hash)
	if err != nil {
		return err
	}
	if err := a.writeArchive(ctx, value); err != nil {
		a.warn("writing the snapshot archive failed", err)
	}
	if _, err := a.Store.Put(ctx, persister.SnapshotKey, value, revision); err != nil {
		return err
	}
	a.snapshotVersion = a.head.Version
	_ = level.Info(a.Logger).Log("msg", "snapshot written", "version", a.head.Version, "bytes", len(value))
	return nil
}

func (a *Acceptor) writeArchive(ctx context.Context, value []byte) error {
	key := archiveKey(a.head.Version)
	object, err := a.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, persister.ErrMissing) {
		return err
	}
	_, err = a.Store.Put(ctx, key, value, object.Revision)
	return err
}

// subtreeAt returns the team's subtree at version target without its hold, or nil
// if the archive and the ring don't reach that version.
func (a *Acceptor) subtreeAt(ctx context.Context, team string, target sycamorerun.Version) (map[sycamorerun.Path]sycamorerun.Item, error) {
	if target == 0 || target > a.head.Version {
		return nil, nil
	}
	base, err := a.readArchive(ctx, target)
	if err != nil {
		return nil, err
	}
	// Without this limit, an old target would cost thousands of reads.
	if target != base.Version && base.Version+persister.RingSlots < a.head.Version {
		return nil, nil
	}
	entries, err := a.readEntries(ctx, base.Version+1, target)
	if err != nil {
		return nil, err
	}
	if sycamorerun.Version(len(entries)) != target-base.Version {
		return nil, nil
	}
	for _, entry := range entries {
		base = differ.Apply(base, entry.Version, entry.Difference)
	}
	if len(entries) > 0 && differ.Hash(base.Items) != entries[len(entries)-1].Hash {
		return nil, errors.Errorf("entries up to version %d do not match their hash", target)
	}
	return subtreeWithoutHold(base.Items, team), nil
}

// readArchive returns the newest archived snapshot at or before target, or the
// empty tree of version 0 if there is none.
func (a *Acceptor) readArchive(ctx context.Context, target sycamorerun.Version) (sycamorerun.Tree, error) {
	for intervalsBack := sycamorerun.Version(0); intervalsBack < 2 && target/snapshotInterval > intervalsBack; intervalsBack++ {
		object, err := a.Store.Get(ctx, archiveKey(target-intervalsBack*snapshotInterval))
		if errors.Is(err, persister.ErrMissing) {
			continue
		}
		if err != nil {
			return sycamorerun.Tree{}, err
		}
		tree, hash, err := persister.DecodeSnapshot(object.Value)
		if err == nil && differ.Hash(tree.Items) != hash {
			err = errors.New("content does not match its hash")
		}
		if err != nil {
			return sycamorerun.Tree{}, errors.Wrapf(err, "decode %s", object.Key)
		}
		if tree.Version <= target {
			return tree, nil
		}
	}
	return sycamorerun.Tree{}, nil
}
