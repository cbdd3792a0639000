package distributor

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"sycamorerun"
)

const (
	// monitorPeriod is the mean time between two probes of a watcher. Failure
	// detection alone takes 6 to 9 s, longer than a version may take to be in
	// force.
	monitorPeriod = time.Second
	// monitorTimeout bounds a probe.
	monitorTimeout = 500 * time.Millisecond
	// backupGroupDelay is the additional wait of each group of backup watchers, so
	// that usually only one group takes over.
	backupGroupDelay = 250 * time.Millisecond
	// minTakeover is the shortest time for which a backup watcher watches after a
	// takeover.
	minTakeover = 5 * time.Second
)

// monitorWatchers probes the planned watchers while this node is one of the backup
// watchers, and takes over the watch when no planned watcher reaches the store.
func (d *Distributor) monitorWatchers(ctx context.Context) {
	var takeoverStart time.Time
	for sleep(ctx, time.Duration((0.75+0.5*d.Random())*float64(monitorPeriod))) {
		plan := d.Plan()
		rank := slices.Index(plan.BackupWatchers, d.Self)
		switch {
		case rank < 0 || !d.Ready():
			d.setTakeover(false)
		case d.storeHealth.consecutiveFailures() >= maxStoreFailures:
			// A backup watcher that is itself cut off from the store probes it at
			// the slower rate of waitForRole, which bounds the calls of a fleet to
			// a store that is down. It still probes the watchers for their
			// versions.
			d.setTakeover(false)
			d.watcherReachesStore(ctx, plan.Watchers, rank)
		case d.takeover.Load():
			if time.Since(takeoverStart) >= minTakeover && d.anyWatching(ctx, plan.Watchers) {
				d.setTakeover(false)
			}
		case d.shouldTakeOver(ctx, plan.Watchers, plan.BackupWatchers[:rank]) && ctx.Err() == nil:
			level.Warn(d.Logger).Log("msg", "no planned watcher reaches the store; watching in their place", "rank", rank)
			takeoverStart = time.Now()
			d.setTakeover(true)
		}
	}
}

// watcherReachesStore reports whether any watcher reaches the store. It probes
// the watcher assigned to this backup watcher first, so that normal operation
// costs a single probe.
func (d *Distributor) watcherReachesStore(ctx context.Context, watchers []string, rank int) bool {
	assigned := rank % len(watchers)
	if d.anyWatching(ctx, watchers[assigned:assigned+1]) {
		return true
	}
	// The session to the watcher may be broken, so new versions may have to
	// come from other peers.
	d.pullFromRandomPeers(ctx, fallbackPeers)
	return d.anyWatching(ctx, slices.Delete(slices.Clone(watchers), assigned, assigned+1))
}

// shouldTakeOver reports whether no planned watcher and no backup watcher with a
// lower rank reaches the store.
func (d *Distributor) shouldTakeOver(ctx context.Context, watchers, earlierBackups []string) bool {
	if d.watcherReachesStore(ctx, watchers, len(earlierBackups)) {
		return false
	}
	group := 1 + len(earlierBackups)/len(watchers)
	if !sleep(ctx, time.Duration(group)*backupGroupDelay) {
		return false
	}
	return !d.anyWatching(ctx, slices.Concat(watchers, earlierBackups))
}

// anyWatching probes the named peers concurrently and reports whether any of them
// is watching the store.
func (d *Distributor) anyWatching(ctx context.Context, names []string) bool {
	ctx, cancel := context.WithTimeout(ctx, monitorTimeout)
	defer cancel()
	answers := make(chan bool, len(names))
	var group sync.WaitGroup
	for _, name := range names {
		group.Go(func() { answers <- d.probeWatcher(ctx, name) })
	}
	for range names {
		if <-answers {
			return true
		}
	}
	group.Wait()
	return false
}

// probeWatcher reports whether a peer is watching the store, and records the
// peer's version.
func (d *Distributor) probeWatcher(ctx context.Context, name string) bool {
	reply, err := d.request(ctx, name, 0, true, monitorTimeout)
	if err != nil {
		return false
	}
	d.observeVersion(time.Now(), name, sycamorerun.Version(reply.GetVersion()), d.pullDelay())
	return reply.GetWatching()
}

// setTakeover starts or ends the watch in place of the planned watchers.
func (d *Distributor) setTakeover(active bool) {
	if d.takeover.Swap(active) == active {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.adjustWatch(d.Plan())
}
