package distributor

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/node/planner"
	"sycamorerun/persister"
)

const (
	// watchTimeout bounds a watch, so that one on a silent connection is replaced.
	watchTimeout = 30 * time.Second
	// storeTimeout bounds the other calls to a slow store.
	storeTimeout = 5 * time.Second
	// minStoreRetry and maxStoreRetry bound the delay after a failed call.
	// The upper bound leaves 2 s of the 7 s within which a change is due.
	minStoreRetry = 100 * time.Millisecond
	maxStoreRetry = 5 * time.Second
	// emptyWatchPause prevents a busy loop when the store returns from each watch
	// immediately without any object.
	emptyWatchPause = 100 * time.Millisecond
	// maxSyncAttempts bounds the attempts to read a log that is being written.
	maxSyncAttempts = 3
)

var (
	// errStale means that the store's log ends before a version that this
	// node holds.
	errStale      = errors.New("store returned older data than this node holds")
	errLogTooFast = errors.New("log grows faster than it can be read")
)

// watchGaugeValues are the values of the distributor_watch gauge by role.
var watchGaugeValues = map[planner.Watch]float64{planner.None: 0, planner.Standby: 1, planner.Primary: 2}

// watchRole returns the node's role in watching the store. A node that is starting
// and knows no peers yet is the only member of its plan and would be the primary.
// It does not watch, since after a mass restart each node would read the whole log.
func (d *Distributor) watchRole(plan planner.Plan) planner.Watch {
	switch {
	case d.Document != nil:
		return d.documentRole(plan)
	case d.Mode == Poll:
		return planner.Primary
	case len(plan.Links) == 0 && !d.Ready():
		return planner.None
	}
	return plan.Watch
}

// watchLog watches the log in the role that the plan gives this node.
func (d *Distributor) watchLog(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		role, watchCtx := d.startWatch(ctx)
		if role != d.watchRole(d.Plan()) {
			continue
		}
		if role != planner.Primary && role != planner.Standby {
			select {
			case <-d.wakeWatch:
			case <-ctx.Done():
			}
			continue
		}
		err := d.followLog(watchCtx, role, func() { failures = 0 })
		if watchCtx.Err() != nil {
			continue
		}
		failures++
		d.count("distributor_store_failures", 1)
		level.Warn(d.Logger).Log("msg", "store watch failed; retrying", "role", role, "err", err)
		_ = sleep(watchCtx, backoff(failures, minStoreRetry, maxStoreRetry, d.Random()))
	}
}

// startWatch returns the node's role and a context that is canceled when the role
// changes.
func (d *Distributor) startWatch(ctx context.Context) (planner.Watch, context.Context) {
	role := d.watchRole(d.Plan())
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.stopWatch != nil {
		d.stopWatch()
	}
	ctx, d.stopWatch = context.WithCancel(ctx)
	d.activeRole = role
	if d.Scope != nil {
		d.Scope.Gauge("distributor_watch").Update(watchGaugeValues[role])
	}
	return role, ctx
}

// followLog watches the log until an error occurs. It calls onSuccess after each
// successful watch call.
func (d *Distributor) followLog(ctx context.Context, role planner.Watch, onSuccess func()) error {
	keysOnly := role == planner.Standby
	after, synced, err := d.startRevision(ctx, keysOnly)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		started := time.Now()
		listing, err := d.watchLogOnce(ctx, after, keysOnly)
		switch {
		case errors.Is(err, persister.ErrCompacted) && !synced:
			synced = true
			if after, err = d.syncLog(ctx); err != nil {
				return err
			}
			continue
		case err != nil:
			return err
		}
		onSuccess()
		if len(listing.Objects) == 0 && time.Since(started) < emptyWatchPause {
			_ = sleep(ctx, emptyWatchPause)
		}
		next, complete := d.acceptListing(ctx, listing, keysOnly)
		synced = !complete
		if !complete {
			if next, err = d.syncLog(ctx); err != nil {
				return err
			}
		}
		after = max(after, next)
	}
	return ctx.Err()
}

// watchLogOnce makes a single watch call to the store. If the call reaches
// watchTimeout, the result is empty.
func (d *Distributor) watchLogOnce(ctx context.Context, after persister.Revision, keysOnly bool) (persister.Listing, error) {
	callCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	d.count("distributor_store_calls", 1)
	listing, err := d.Store.Watch(callCtx, persister.LogPrefix, after, keysOnly)
	if err != nil && ctx.Err() == nil && callCtx.Err() != nil {
		return persister.Listing{Revision: after}, nil
	}
	return listing, err
}

// acceptListing accepts the objects of a watch. It returns the revision to continue
// from, and false if the log must be read because versions are missing or an object
// could not be applied.
func (d *Distributor) acceptListing(ctx context.Context, listing persister.Listing, keysOnly bool) (persister.Revision, bool) {
	after := listing.Revision
	var newest sycamorerun.Version
	for _, object := range listing.Objects {
		after = max(after, object.Revision)
		switch {
		case object.Deleted:
		case keysOnly:
			newest = max(newest, slotVersion(object.Key, d.HeldVersion()))
		default:
			err := d.acceptLogObject(time.Now(), object)
			if errors.Is(err, persister.ErrUndecodable) && !d.isNext(object) {
				level.Warn(d.Logger).Log("msg", "log object ignored", "key", object.Key, "revision", object.Revision, "err", err)
				continue
			}
			if err != nil {
				level.Warn(d.Logger).Log("msg", "log object not applied", "key", object.Key, "err", err)
				return after, false
			}
		}
	}
	if newest > d.HeldVersion() {
		_ = sleep(ctx, d.StandbyDelay())
	}
	return after, newest <= d.HeldVersion()
}

// isNext reports whether an object is in the slot of the version after the held one.
// Without a usable entry, that one stops the log, since it may have been damaged in
// transit. Any other is from another writer or leaves a gap, which is noticed.
func (d *Distributor) isNext(object persister.Object) bool {
	return object.Key == persister.LogKey(d.HeldVersion()+1)
}

// slotVersion returns the version that a write to a log slot implies, or zero for a
// key that is not a slot's. The log wraps around, so a slot has many possible
// versions; the nearest one to held is returned.
func slotVersion(key string, held sycamorerun.Version) sycamorerun.Version {
	slot, err := strconv.ParseUint(strings.TrimPrefix(key, persister.LogPrefix), 10, 64)
	if err != nil || persister.LogKey(sycamorerun.Version(slot)) != key {
		return 0
	}
	version := held - held%persister.RingSlots + sycamorerun.Version(slot)
	switch half := sycamorerun.Version(persister.RingSlots / 2); {
	case version > held+half && version >= persister.RingSlots:
		return version - persister.RingSlots
	case version+half <= held:
		return version + persister.RingSlots
	}
	return version
}

// startRevision returns the revision to watch from and whether the log has been
// read. A standby reads only the slot of its version, which is sufficient unless
// the watch history has been compacted beyond it.
func (d *Distributor) startRevision(ctx context.Context, keysOnly bool) (after persister.Revision, synced bool, err error) {
	if held := d.HeldVersion(); keysOnly && held > 0 {
		after, wrapped, err := d.entryRevision(ctx, held)
		if err != nil || !wrapped {
			return after, false, err
		}
	}
	after, err = d.syncLog(ctx)
	return after, true, err
}

// entryRevision returns the revision at which version was written, or true if its
// slot has been overwritten.
func (d *Distributor) entryRevision(ctx context.Context, version sycamorerun.Version) (persister.Revision, bool, error) {
	entry, revision, err := d.readEntry(ctx, version)
	switch {
	case errors.Is(err, persister.ErrMissing):
		return 0, false, errors.Wrapf(errStale, "log has no entry of version %s", version)
	case err != nil:
		return 0, false, err
	case entry.Version < version:
		return 0, false, errors.Wrapf(errStale, "slot of version %s holds version %s", version, entry.Version)
	}
	return revision, entry.Version > version, nil
}

// syncLog reads the log above the held version, or the snapshot if the log has
// wrapped, and returns the revision to watch from.
func (d *Distributor) syncLog(ctx context.Context) (persister.Revision, error) {
	for range maxSyncAttempts {
		var after persister.Revision
		held, wrapped := d.HeldVersion(), true
		if held > 0 {
			var err error
			if after, wrapped, err = d.entryRevision(ctx, held); err != nil {
				return 0, err
			}
		}
		if wrapped {
			found, err := d.readSnapshot(ctx)
			if err != nil {
				return 0, err
			}
			if found || held > 0 {
				continue
			}
		}
		revision, complete, err := d.readLog(ctx, after)
		if err != nil || complete {
			return revision, err
		}
	}
	return 0, errLogTooFast
}

// readLog applies the log objects written after a revision in the order in which
// they were written. It returns false if versions are missing.
func (d *Distributor) readLog(ctx context.Context, after persister.Revision) (persister.Revision, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	d.count("distributor_store_calls", 1)
	listing, err := d.Store.List(ctx, persister.LogPrefix, after)
	if err != nil {
		return 0, false, err
	}
	slices.SortFunc(listing.Objects, func(a, b persister.Object) int { return cmp.Compare(a.Revision, b.Revision) })
	revision := max(after, listing.Revision)
	for _, object := range listing.Objects {
		revision = max(revision, object.Revision)
		if object.Deleted {
			continue
		}
		err := d.acceptLogObject(time.Now(), object)
		switch {
		case errors.Is(err, errGap):
			return revision, false, nil
		case errors.Is(err, persister.ErrUndecodable) && !d.isNext(object):
			level.Debug(d.Logger).Log("msg", "log object ignored", "key", object.Key, "revision", object.Revision, "err", err)
		case err != nil:
			return 0, false, err
		}
	}
	return revision, true, nil
}

// readSnapshot installs the stored snapshot if it is newer than the held version,
// and reports whether it is. One that can't be decoded counts as missing.
func (d *Distributor) readSnapshot(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	d.count("distributor_store_calls", 1)
	tree, hash, _, err := persister.ReadSnapshot(ctx, d.Store)
	if errors.Is(err, persister.ErrMissing) {
		return false, nil
	}
	if errors.Is(err, persister.ErrUndecodable) {
		level.Warn(d.Logger).Log("msg", "snapshot ignored", "key", persister.SnapshotKey, "err", err)
		return false, nil
	}
	if err != nil || tree.Version <= d.HeldVersion() {
		return false, err
	}
	return true, d.installSnapshot(time.Now(), tree, hash, "")
}

func (d *Distributor) readEntry(ctx context.Context, version sycamorerun.Version) (sycamorerun.Entry, persister.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	d.count("distributor_store_calls", 1)
	return persister.ReadEntry(ctx, d.Store, version)
}
