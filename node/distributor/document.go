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
	documentWait   = 3 * time.Second
	documentMargin = 1500 * time.Millisecond
	// documentRead bounds a read of a store that is slow.
	documentRead = 2500 * time.Millisecond
	// documentRetryLeast and documentRetryMost bound the delay after a failed
	// call.
	documentRetryLeast = 100 * time.Millisecond
	documentRetryMost  = time.Second
	// documentPullDelay is how long a node waits for a push after a Have.
	// Watchers can be leaves of the trees, from which a version travels up
	// through several Haves.
	documentPullDelay = 100 * time.Millisecond
	// recentTrees is how many trees a node keeps to apply entries of watchers
	// that missed a version in between. They share their items.
	recentTrees = 4
)

func (d *Distributor) pullDelay() time.Duration {
	if d.Document != nil {
		return documentPullDelay
	}
	return pullDelay
}

// base returns the tree of the held version, which may be a refused one.
func (d *Distributor) base() sycamorerun.Tree {
	if d.refused != nil {
		return *d.refused
	}
	tree, _ := d.Current()
	return tree
}

// remember keeps a tree that was held; the caller holds accepting.
func (d *Distributor) remember(tree sycamorerun.Tree) {
	if d.Document == nil || tree.Version == 0 {
		return
	}
	d.recent = append(d.recent, tree)
	if len(d.recent) > recentTrees {
		d.recent = append([]sycamorerun.Tree{}, d.recent[1:]...)
	}
}

// recall returns a tree that was held; the caller holds accepting.
func (d *Distributor) recall(version sycamorerun.Version) (sycamorerun.Tree, bool) {
	for _, tree := range d.recent {
		if tree.Version == version {
			return tree, true
		}
	}
	return sycamorerun.Tree{}, false
}

// advance puts a whole tree in force. It is passed on as an entry based on the
// version held before, which the nodes below hold too. The caller holds
// accepting and has compared the versions.
func (d *Distributor) advance(now time.Time, tree sycamorerun.Tree, hash sycamorerun.Hash, written time.Time, source string) error {
	before := d.base()
	if err := d.settle(tree, hash, d.Install(now, tree, hash)); err != nil {
		return err
	}
	d.remember(before)
	var data []byte
	if before.Version > 0 {
		var err error
		data, err = persister.EncodeEntry(sycamorerun.Entry{
			Version: tree.Version, Base: before.Version, Hash: hash, Time: written,
			Difference: differ.Compare(before.Items, tree.Items),
		})
		if err != nil {
			level.Warn(d.Logger).Log("msg", "difference not packed; peers pull a snapshot", "version", tree.Version, "err", err)
			data = nil
		}
	}
	d.mutex.Lock()
	if data == nil {
		d.ring = ring{}
	} else {
		d.ring.chain(tree.Version, before.Version, data)
	}
	d.mutex.Unlock()
	d.forward(tree.Version, data, source)
	return nil
}

// take accepts a tree from the store. One that is not newer than the held
// version is ignored.
func (d *Distributor) take(now time.Time, tree sycamorerun.Tree) error {
	hash := differ.Hash(tree.Items)
	d.accepting.Lock()
	defer d.accepting.Unlock()
	if held := d.HeldVersion(); tree.Version <= held {
		if tree.Version < held {
			d.count("distributor_stale_documents", 1)
		}
		return nil
	}
	return d.advance(now, tree, hash, now, "")
}

// documentRole is the role in the plan. A node that is not ready leaves the
// store to Bootstrap. A standby watches as well: the documents' watchers have
// no order.
func (d *Distributor) documentRole(plan planner.Plan) planner.Watch {
	switch {
	case !d.Ready():
		return planner.None
	case d.Mode == Poll, d.taken.Load(), plan.Watch == planner.Standby:
		return planner.Primary
	}
	return plan.Watch
}

// watchDocument follows the document in the role that the plan gives this node.
func (d *Distributor) watchDocument(ctx context.Context) {
	for ctx.Err() == nil {
		role, following := d.beginWatch(ctx)
		if role != d.watchRole(d.Plan()) {
			continue
		}
		if role == planner.None {
			d.standAside(ctx)
			continue
		}
		err := d.followDocument(following)
		if following.Err() != nil {
			continue
		}
		level.Warn(d.Logger).Log("msg", "watch of the document failed; retrying", "err", err)
		// A store that answers, but not with a document to follow, gets no
		// quick retries.
		delay := documentRetryMost
		if failures := d.reach.failed(); failures > 0 {
			delay = backoff(failures, documentRetryLeast, documentRetryMost, d.Random())
		}
		_ = sleep(following, delay)
	}
}

// standAside waits for a change of the role. A node whose calls failed tries
// the store from time to time, to be of use again. It watches when it can: the
// answer has the document only when that has changed.
func (d *Distributor) standAside(ctx context.Context) {
	wait := idle
	if d.Ready() {
		wait = d.reach.wait(time.Now())
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-d.wakeWatch:
	case <-timer.C:
		try := d.readDocument
		if d.reach.revision() > 0 {
			try = func(ctx context.Context) error { _, err := d.watchDocumentOnce(ctx); return err }
		}
		if err := try(ctx); err != nil {
			level.Debug(d.Logger).Log("msg", "store not reached", "err", err)
		}
	}
}

// followDocument watches the document until an error.
func (d *Distributor) followDocument(ctx context.Context) error {
	for compacted := false; ctx.Err() == nil; {
		if d.reach.revision() == 0 {
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
		if !changed && time.Since(started) < emptyPause {
			_ = sleep(ctx, emptyPause)
		}
	}
	return ctx.Err()
}

// watchDocumentOnce is one watch at the store.
func (d *Distributor) watchDocumentOnce(ctx context.Context) (bool, error) {
	limited, cancel := context.WithTimeout(ctx, documentWait+documentMargin)
	defer cancel()
	d.count("distributor_store_calls", 1)
	after := d.reach.revision()
	started := time.Now()
	tree, next, changed, err := d.Document.Watch(limited, after)
	switch {
	case ctx.Err() != nil:
		return false, ctx.Err()
	case errors.Is(err, persister.ErrCompacted):
		d.answered(time.Now(), 0)
		d.reach.follow(0)
		return false, err
	case errors.Is(err, persister.ErrMissing):
		d.answered(time.Now(), 0)
		return false, err
	case err != nil:
		now := time.Now()
		if now.Sub(started) >= silentWatch {
			d.reach.silent()
		}
		d.unanswered(now)
		return false, err
	}
	d.answered(time.Now(), 0)
	d.reach.follow(max(after, next))
	if !changed {
		return false, nil
	}
	return true, d.take(time.Now(), tree)
}

// readDocument is one read of the store. Its latency is the distance.
func (d *Distributor) readDocument(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, documentRead)
	defer cancel()
	d.count("distributor_store_calls", 1)
	started := time.Now()
	tree, revision, err := d.Document.Read(limited)
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(err, persister.ErrMissing):
		d.answered(now, max(1, now.Sub(started)))
		return err
	case err != nil:
		d.unanswered(now)
		return err
	}
	d.answered(now, max(1, now.Sub(started)))
	d.reach.follow(revision)
	return d.take(now, tree)
}
