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
	// monitorPeriod is the mean time between two probes of a watcher. The
	// failure detection takes 6 to 9 s, more than a version may take to be in
	// force.
	monitorPeriod = time.Second
	// monitorTimeout bounds a probe.
	monitorTimeout = 500 * time.Millisecond
	// deputyDelay is by how much a group of deputies waits longer than the one
	// before, so that usually only one group takes over.
	deputyDelay = 250 * time.Millisecond
	// takeoverLeast is how long a deputy watches at least.
	takeoverLeast = 5 * time.Second
)

// monitor probes the planned watchers while this node is one of their deputies
// and watches in their place when none of them reaches the store.
func (d *Distributor) monitor(ctx context.Context) {
	var since time.Time
	for sleep(ctx, time.Duration((0.75+0.5*d.Random())*float64(monitorPeriod))) {
		plan := d.Plan()
		rank := slices.Index(plan.BackupWatchers, d.Self)
		switch {
		case rank < 0 || !d.Ready():
			d.takeOver(false)
		case d.reach.failed() >= failuresMost:
			// A deputy that is cut off from the store itself tries at the
			// slower pace of standAside, which bounds the calls of a fleet at a
			// store that is down. It still hears the watchers' versions.
			d.takeOver(false)
			d.lookedAfter(ctx, plan.Watchers, rank)
		case d.taken.Load():
			if time.Since(since) >= takeoverLeast && d.anyWatching(ctx, plan.Watchers) {
				d.takeOver(false)
			}
		case d.orphaned(ctx, plan.Watchers, plan.BackupWatchers[:rank]) && ctx.Err() == nil:
			level.Warn(d.Logger).Log("msg", "no planned watcher reaches the store; watching in their place", "rank", rank)
			since = time.Now()
			d.takeOver(true)
		}
	}
}

// lookedAfter reports whether some watcher reaches the store, starting with
// the one that this deputy probes. While all is well it costs one probe.
func (d *Distributor) lookedAfter(ctx context.Context, watchers []string, rank int) bool {
	own := rank % len(watchers)
	if d.anyWatching(ctx, watchers[own:own+1]) {
		return true
	}
	// The session to the watcher broke, so that news may have to come from
	// elsewhere.
	d.askRandom(ctx, fallbackPeers)
	return d.anyWatching(ctx, slices.Delete(slices.Clone(watchers), own, own+1))
}

// orphaned reports whether none of the watchers and of the deputies before
// this one reaches the store.
func (d *Distributor) orphaned(ctx context.Context, watchers, before []string) bool {
	if d.lookedAfter(ctx, watchers, len(before)) {
		return false
	}
	group := 1 + len(before)/len(watchers)
	if !sleep(ctx, time.Duration(group)*deputyDelay) {
		return false
	}
	return !d.anyWatching(ctx, slices.Concat(watchers, before))
}

// anyWatching asks the named peers at once.
func (d *Distributor) anyWatching(ctx context.Context, names []string) bool {
	ctx, cancel := context.WithTimeout(ctx, monitorTimeout)
	defer cancel()
	answers := make(chan bool, len(names))
	var group sync.WaitGroup
	for _, name := range names {
		group.Go(func() { answers <- d.peerWatches(ctx, name) })
	}
	for range names {
		if <-answers {
			return true
		}
	}
	group.Wait()
	return false
}

// peerWatches probes one peer, which also tells its version.
func (d *Distributor) peerWatches(ctx context.Context, name string) bool {
	reply, err := d.request(ctx, name, 0, true, monitorTimeout)
	if err != nil {
		return false
	}
	d.heard(time.Now(), name, sycamorerun.Version(reply.GetVersion()), d.pullDelay())
	return reply.GetWatching()
}

// takeOver starts or ends the watch in place of the planned watchers.
func (d *Distributor) takeOver(taken bool) {
	if d.taken.Swap(taken) == taken {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.adjustWatch(d.Plan())
}
