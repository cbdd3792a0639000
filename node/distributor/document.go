package distributor

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/differ"
	"sycamorerun/node/planner"
	"sycamorerun/persister"
)

// ErrUnusable means that the store responded with a version of the document that
// can't be used.
var ErrUnusable = errors.New("version of the document is unusable")

// Document gives access to a configuration that operators write into the store
// as a single document. Its versions increase, possibly with gaps. Both functions
// return when ctx is done and return persister.ErrMissing while there is no
// document.
type Document struct {
	// Read returns the document and the position from which to watch, which is also
	// valid with ErrUnusable.
	Read func(ctx context.Context) (sycamorerun.Tree, persister.Position, error)
	// Watch waits for up to 3 s for a write of the document after a position and
	// returns the position for the next call, which is also valid with ErrUnusable.
	// With that error, changed says that an earlier version can be used. After
	// persister.ErrCompacted, which also means that the store's era is not that of
	// the position, the document must be read again.
	Watch func(ctx context.Context, after persister.Position) (tree sycamorerun.Tree, next persister.Position, changed bool, err error)
}

const (
	// documentWatchWait is the longest wait of a watch in the store, and
	// documentWatchMargin the time for its response. Their sum bounds the wait
	// on a silent connection.
	documentWatchWait   = 3 * time.Second
	documentWatchMargin = 1500 * time.Millisecond
	// documentReadTimeout bounds a read from a slow store.
	documentReadTimeout = 2500 * time.Millisecond
	// minDocumentRetry and maxDocumentRetry bound the delay after a failed
	// call.
	minDocumentRetry = 100 * time.Millisecond
	maxDocumentRetry = time.Second
	// documentPullDelay is how long a node waits for a push after a Have. It is
	// short because a watcher can be a leaf of the trees, from which a version
	// travels up through several Haves.
	documentPullDelay = 100 * time.Millisecond
	// maxRecentTrees is the number of earlier trees that a node keeps, so that
	// it can apply entries from watchers that skipped a version. The trees share
	// their items.
	maxRecentTrees = 4
)

func (d *Distributor) pullDelay() time.Duration {
	if d.Document != nil {
		return documentPullDelay
	}
	return pullDelay
}

// heldTree returns the tree of the held version, which may be refused.
func (d *Distributor) heldTree() sycamorerun.Tree {
	if d.refusedTree != nil {
		return *d.refusedTree
	}
	tree, _ := d.Current()
	return tree
}

// addRecentTree keeps a tree that was held. The caller holds d.acceptMutex.
func (d *Distributor) addRecentTree(tree sycamorerun.Tree) {
	if d.Document == nil || tree.Version == 0 {
		return
	}
	d.recentTrees = append(d.recentTrees, tree)
	if len(d.recentTrees) > maxRecentTrees {
		d.recentTrees = append([]sycamorerun.Tree{}, d.recentTrees[1:]...)
	}
}

// recentTree returns a tree that was held. The caller holds d.acceptMutex.
func (d *Distributor) recentTree(version sycamorerun.Version) (sycamorerun.Tree, bool) {
	for _, tree := range d.recentTrees {
		if tree.Version == version {
			return tree, true
		}
	}
	return sycamorerun.Tree{}, false
}

// installWithEntry installs a complete tree and forwards it as an entry based on
// the previously held version, which the nodes below usually hold too. The caller
// holds d.acceptMutex and has checked that the tree is newer.
func (d *Distributor) installWithEntry(now time.Time, tree sycamorerun.Tree, hash sycamorerun.Hash, acceptedAt time.Time, source string) error {
	previous := d.heldTree()
	difference := differ.Compare(previous.Items, tree.Items)
	// Versions share their unchanged items. A document can have 25,000 of them.
	tree = differ.Apply(previous, tree.Version, difference)
	if err := d.recordHeld(tree, hash, d.Install(now, tree, hash)); err != nil {
		return err
	}
	d.addRecentTree(previous)
	var data []byte
	if previous.Version > 0 {
		var err error
		data, err = encodeEntry(sycamorerun.Entry{
			Version: tree.Version, Base: previous.Version, Hash: hash, Time: acceptedAt, Difference: difference,
		})
		if err != nil {
			level.Warn(d.Logger).Log("msg", "encoding the difference failed; peers will pull a snapshot", "version", tree.Version, "err", err)
			data = nil
		}
	}
	d.mutex.Lock()
	if data == nil {
		d.entryCache = entryCache{}
	} else {
		d.entryCache.add(tree.Version, previous.Version, data)
	}
	d.mutex.Unlock()
	d.forward(tree.Version, data, source)
	return nil
}

// acceptDocument accepts a tree from the store. A tree that is not newer than the
// held version is ignored.
func (d *Distributor) acceptDocument(now time.Time, tree sycamorerun.Tree) error {
	hash := differ.Hash(tree.Items)
	d.acceptMutex.Lock()
	defer d.acceptMutex.Unlock()
	if held := d.HeldVersion(); tree.Version <= held {
		if tree.Version < held {
			d.count("distributor_stale_documents", 1)
		}
		return nil
	}
	return d.installWithEntry(now, tree, hash, now, "")
}

// documentRole returns the node's role in watching the document. A node that is
// not ready has none, since only Bootstrap reads the store until then. A standby
// watches like a primary, since watchers of a document have no order.
func (d *Distributor) documentRole(plan planner.Plan) planner.Watch {
	switch {
	case !d.Ready():
		return planner.None
	case d.Mode == Poll, d.takeover.Load(), plan.Watch == planner.Standby:
		return planner.Primary
	}
	return plan.Watch
}

// watchDocument watches the document in the role that the plan gives this node.
func (d *Distributor) watchDocument(ctx context.Context) {
	for ctx.Err() == nil {
		role, watchCtx := d.startWatch(ctx)
		if role != d.watchRole(d.Plan()) {
			continue
		}
		if role == planner.None {
			d.waitForRole(ctx)
			continue
		}
		err := d.followDocument(watchCtx)
		if watchCtx.Err() != nil {
			continue
		}
		level.Warn(d.Logger).Log("msg", "document watch failed; retrying", "err", err)
		// No quick retries if the store responds, but without a usable document.
		delay := maxDocumentRetry
		if failures := d.storeHealth.consecutiveFailures(); failures > 0 {
			delay = backoff(failures, minDocumentRetry, maxDocumentRetry, d.Random())
		}
		_ = sleep(watchCtx, delay)
	}
}

// waitForRole waits until the role may have changed. A node that is cut off from
// the store meanwhile probes it, so that it becomes eligible as a watcher again.
// It probes with a watch if it knows a position, since the response then contains
// the document only if that has changed.
func (d *Distributor) waitForRole(ctx context.Context) {
	wait := maxIdleWait
	if d.Ready() {
		wait = d.storeHealth.probeDelay(time.Now())
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-d.wakeWatch:
	case <-timer.C:
		callStore := d.readDocument
		if d.storeHealth.position().Revision > 0 {
			callStore = func(ctx context.Context) error { _, err := d.watchDocumentOnce(ctx); return err }
		}
		if err := callStore(ctx); err != nil {
			level.Debug(d.Logger).Log("msg", "store probe failed", "err", err)
		}
	}
}

// followDocument watches the document until an error occurs.
func (d *Distributor) followDocument(ctx context.Context) error {
	for compacted := false; ctx.Err() == nil; {
		if d.storeHealth.position().Revision == 0 {
			if err := d.readDocument(ctx); err != nil {
				return err
			}
		}
		started := time.Now()
		changed, err := d.watchDocumentOnce(ctx)
		switch {
		case errors.Is(err, persister.ErrCompacted) && !compacted:
			compacted = true
			continue
		case err != nil:
			return err
		}
		compacted = false
		if !changed && time.Since(started) < emptyWatchPause {
			_ = sleep(ctx, emptyWatchPause)
		}
	}
	return ctx.Err()
}

// watchDocumentOnce makes a single watch call to the store.
func (d *Distributor) watchDocumentOnce(ctx context.Context) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, documentWatchWait+documentWatchMargin)
	defer cancel()
	d.count("distributor_store_calls", 1)
	after := d.storeHealth.position()
	started := time.Now()
	tree, next, changed, err := d.Document.Watch(callCtx, after)
	switch {
	case ctx.Err() != nil:
		return false, ctx.Err()
	case errors.Is(err, persister.ErrCompacted):
		d.recordStoreSuccess(time.Now(), 0)
		d.storeHealth.setPosition(persister.Position{})
		return false, err
	case errors.Is(err, persister.ErrMissing):
		d.recordStoreSuccess(time.Now(), 0)
		return false, err
	case err != nil && !errors.Is(err, ErrUnusable):
		now := time.Now()
		if now.Sub(started) >= silentWatchThreshold {
			d.storeHealth.recordSilence()
		}
		d.recordStoreFailure(now)
		return false, err
	}
	d.recordStoreSuccess(time.Now(), 0)
	next.Revision = max(after.Revision, next.Revision)
	d.storeHealth.setPosition(next)
	if !changed {
		return false, err
	}
	if acceptErr := d.acceptDocument(time.Now(), tree); acceptErr != nil {
		return true, acceptErr
	}
	return true, err
}

// readDocument makes a single read call to the store, whose latency determines
// the node's distance.
func (d *Distributor) readDocument(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, documentReadTimeout)
	defer cancel()
	d.count("distributor_store_calls", 1)
	started := time.Now()
	tree, position, err := d.Document.Read(callCtx)
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(err, persister.ErrMissing):
		d.recordStoreSuccess(now, max(1, now.Sub(started)))
		return err
	case err != nil && !errors.Is(err, ErrUnusable):
		d.recordStoreFailure(now)
		return err
	}
	d.recordStoreSuccess(now, max(1, now.Sub(started)))
	d.storeHealth.setPosition(position)
	if err != nil {
		return err
	}
	return d.acceptDocument(now, tree)
}
