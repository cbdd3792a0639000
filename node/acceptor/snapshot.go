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
	// period is the number of versions between two snapshots.
	period = 256
	// archives older snapshots let a revert reach every version that the ring
	// holds: four full periods, the one in progress, and one to start from.
	archives = persister.RingSlots/period + 2
)

func archiveKey(version sycamorerun.Version) string {
	return fmt.Sprintf("%s/%d", persister.SnapshotKey, version/period%archives)
}

// keepSnapshot writes a snapshot of the head when none is known of the head's
// period. A failure is made good after a later commit, by any acceptor.
func (a *Acceptor) keepSnapshot(ctx context.Context) error {
	if a.head.Version/period <= a.snapshot/period {
		return nil
	}
	return a.writeSnapshot(ctx)
}

// cover makes sure that the snapshot covers the version that next replaces in
// the ring.
func (a *Acceptor) cover(ctx context.Context, next sycamorerun.Version) error {
	if next <= a.snapshot+persister.RingSlots {
		return nil
	}
	return errors.Wrap(a.writeSnapshot(ctx), "snapshot is behind the ring")
}

// writeSnapshot stores the head as archive and as snapshot, unless another
// acceptor has already stored a version of the same period.
func (a *Acceptor) writeSnapshot(ctx context.Context) error {
	stored, _, revision, err := persister.ReadSnapshot(ctx, a.Store)
	if err != nil && !errors.Is(err, persister.ErrMissing) {
		return err
	}
	if a.snapshot = max(a.snapshot, stored.Version); a.head.Version/period <= a.snapshot/period {
		return nil
	}
	hash := differ.Hash(a.head.Items)
	value, err := persister.EncodeSnapshot(a.head, hash)
	if err != nil {
		return err
	}
	if err := a.archive(ctx, value); err != nil {
		a.warn("archive not written", err)
	}
	if _, err := a.Store.Put(ctx, persister.SnapshotKey, value, revision); err != nil {
		return err
	}
	a.snapshot = a.head.Version
	_ = level.Info(a.Logger).Log("msg", "snapshot written", "version", a.head.Version, "bytes", len(value))
	return nil
}

func (a *Acceptor) archive(ctx context.Context, value []byte) error {
	key := archiveKey(a.head.Version)
	object, err := a.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, persister.ErrMissing) {
		return err
	}
	_, err = a.Store.Put(ctx, key, value, object.Revision)
	return err
}

// subtreeAt returns the team's subtree without its hold at target, or nil when
// the archives and the ring don't reach that far.
func (a *Acceptor) subtreeAt(ctx context.Context, team string, target sycamorerun.Version) (map[sycamorerun.Path]sycamorerun.Item, error) {
	if target == 0 || target > a.head.Version {
		return nil, nil
	}
	base, err := a.archived(ctx, target)
	if err != nil {
		return nil, err
	}
	// Without this bound a target far back would cost thousands of reads.
	if target != base.Version && base.Version+persister.RingSlots < a.head.Version {
		return nil, nil
	}
	entries, err := a.entries(ctx, base.Version+1, target)
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
	return content(base.Items, team), nil
}

// archived returns the newest archive at or before target; the empty tree of
// version 0 precedes all.
func (a *Acceptor) archived(ctx context.Context, target sycamorerun.Version) (sycamorerun.Tree, error) {
	for back := sycamorerun.Version(0); back < 2 && target/period > back; back++ {
		object, err := a.Store.Get(ctx, archiveKey(target-back*period))
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
