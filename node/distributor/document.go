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

// Document is a configuration that operators write into the store as one
// document. Versions grow with gaps. Both functions return when ctx ends; their
// errors include persister.ErrMissing while there is no document.
type Document struct {
	// Read returns the document and the revision to watch from.
	Read func(ctx context.Context) (sycamorerun.Tree, persister.Revision, error)
	// Watch waits for up to 3 s until the document is written above a revision.
	// It returns the revision for the next call. The error
	// persister.ErrCompacted means that the document is to be read again.
	Watch func(ctx context.Context, after persister.Revision) (tree sycamorerun.Tree, next persister.Revision, changed bool, err error)
}

const (
	// documentWait is the longest wait of a watch at the store, documentMargin
	// the time for the answer. Together they bound how long a silent
	// connection is waited for.
	documentWatchWait   = 3 * time.Second
	documentWatchMargin = 1500 * time.Millisecond
	// documentRead bounds a read of a store that is slow.
	documentReadTimeout = 2500 * time.Millisecond
	// documentRetryLeast and documentRetryMost bound the delay after a failed
	// call.
	minDocumentRetry = 100 * time.Millisecond
	maxDocumentRetry = time.Second
	// documentPullDelay is how long a node waits for a push after a Have.
	// Watchers can be leaves of the trees, from which a version travels up
	// through several Haves.
	documentPullDelay = 100 * time.Millisecond
	// recentTrees is how many trees a node keeps to apply entries of watchers
	// that missed a version in between. They share their items.
	maxRecentTrees = 4
)

func (d *Distributor) pullDelay() time.Duration {
	if d.Document != nil {
		return documentPullDelay
	}
	return pullDelay
}

// base returns the tree of the held version, which may be a refused one.
func (d *Distributor) heldTree() sycamorerun.Tree {
	if d.refusedTree != nil {
		return *d.refusedTree
	}
	tree, _ := d.Current()
	return tree
}

// remember keeps a tree that was held; the caller holds accepting.
func (d *Distributor) addRecentTree(tree sycamorerun.Tree) {
	if d.Document == nil || tree.Version == 0 {
		return
	}
	d.recentTrees = append(d.recentTrees, tree)
	if len(d.recentTrees) > maxRecentTrees {
		d.recentTrees = append([]sycamorerun.Tree{}, d.recentTrees[1:]...)
	}
}

// recall returns a tree that was held; the caller holds accepting.
func (d *Distributor) recentTree(version sycamorerun.Version) (sycamorerun.Tree, bool) {
	for _, tree := range d.recentTrees {
		if tree.Version == version {
			return tree, true
		}
	}
	return sycamorerun.Tree{}, false
}

// advance puts a whole tree in force. It is passed on as an entry based on the
// version held before, which the nodes below hold too. The caller holds
// accepting and has compared the versions.
func (d *Distributor) installWithEntry(now time.Time, tree sycamorerun.Tree, hash sycamorerun.Hash, acceptedAt time.Time, source string) error {
	previous := d.heldTree()
	if err := d.recordHeld(tree, hash, d.Install(now, tree, hash)); err != nil {
		return err
	}
	d.addRecentTree(previous)
	var data []byte
	if previous.Version > 0 {
		var err error
		data, err = persister.EncodeEntry(sycamorerun.Entry{
			Version: tree.Version, Base: previous.Version, Hash: hash, Time: acceptedAt,
			Difference: differ.Compare(previous.Items, tree.Items),
		})
		if err != nil {
			level.Warn(d.Logger).Log("msg", "difference not packed; peers pull a snapshot", "version", tree.Version, "err", err)
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

// take accepts a tree from the store. One that is not newer than the held
// version is ignored.
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

// documentRole is the role in the plan. A node that is not ready leaves the
// store to Bootstrap. A standby watches as well: the documents' watchers have
// no order.
func (d *Distributor) documentRole(plan planner.Plan) planner.Watch {
	switch {
	case !d.Ready():
		return planner.None
	case d.Mode == Poll, d.takeover.Load(), plan.Watch == planner.Standby:
		return planner.Primary
	}
	return plan.Watch
}

// watchDocument follows the document in the role that the plan gives this node.
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
		level.Warn(d.Logger).Log("msg", "watch of the document failed; retrying", "err", err)
		// A store that answers, but not with a document to follow, gets no
		// quick retries.
		delay := maxDocumentRetry
		if failures := d.storeHealth.consecutiveFailures(); failures > 0 {
			delay = backoff(failures, minDocumentRetry, maxDocumentRetry, d.Random())
		}
		_ = sleep(watchCtx, delay)
	}
}

// standAside waits for a change of the role. A node whose calls failed tries
// the store from time to time, to be of use again. It watches when it can: the
// answer has the document only when that has changed.
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
		if d.storeHealth.revision() > 0 {
			callStore = func(ctx context.Context) error { _, err := d.watchDocumentOnce(ctx); return err }
		}
		if err := callStore(ctx); err != nil {
			level.Debug(d.Logger).Log("msg", "store not reached", "err", err)
		}
	}
}

// followDocument watches the document until an error.
func (d *Distributor) followDocument(ctx context.Context) error {
	for compacted := false; ctx.Err() == nil; {
		if d.storeHealth.revision() == 0 {
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

// watchDocumentOnce is one watch at the store.
func (d *Distributor) watchDocumentOnce(ctx context.Context) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, documentWatchWait+documentWatchMargin)
	defer cancel()
	d.count("distributor_store_calls", 1)
	after := d.storeHealth.revision()
	started := time.Now()
	tree, next, changed, err := d.Document.Watch(callCtx, after)
	switch {
	case ctx.Err() != nil:
		return false, ctx.Err()
	case errors.Is(err, persister.ErrCompacted):
		d.recordStoreSuccess(time.Now(), 0)
		d.storeHealth.setRevision(0)
		return false, err
	case errors.Is(err, persister.ErrMissing):
		d.recordStoreSuccess(time.Now(), 0)
		return false, err
	case err != nil:
		now := time.Now()
		if now.Sub(started) >= silentWatchThreshold {
			d.storeHealth.recordSilence()
		}
		d.recordStoreFailure(now)
		return false, err
	}
	d.recordStoreSuccess(time.Now(), 0)
	d.storeHealth.setRevision(max(after, next))
	if !changed {
		return false, nil
	}
	return true, d.acceptDocument(time.Now(), tree)
}

// readDocument is one read of the store. Its latency is the distance.
func (d *Distributor) readDocument(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, documentReadTimeout)
	defer cancel()
	d.count("distributor_store_calls", 1)
	started := time.Now()
	tree, revision, err := d.Document.Read(callCtx)
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(err, persister.ErrMissing):
		d.recordStoreSuccess(now, max(1, now.Sub(started)))
		return err
	case err != nil:
		d.recordStoreFailure(now)
		return err
	}
	d.recordStoreSuccess(now, max(1, now.Sub(started)))
	d.storeHealth.setRevision(revision)
	return d.acceptDocument(now, tree)
}
