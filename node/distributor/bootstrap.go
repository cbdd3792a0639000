package distributor

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/node/planner"
	"sycamorerun/persister"
)

const (
	// probeTimeout bounds a probe of a peer's version.
	probeTimeout = time.Second
	// minBootstrapRetry and maxBootstrapRetry bound the delay between two
	// rounds.
	minBootstrapRetry = 100 * time.Millisecond
	maxBootstrapRetry = 2 * time.Second
	// storeReadDelay is how long a node that reaches only peers which are also
	// starting leaves the store to the region's watchers. Without it, the store
	// would get three reads from each node when a whole fleet restarts.
	storeReadDelay = 5 * time.Second
	// peerDiscoveryDelay is how long a node without known peers waits for the
	// first one before it reads the store, for the same reason.
	peerDiscoveryDelay = time.Second
)

// versionReport is the newest version that a peer or the store has.
type versionReport struct {
	peer    string
	version sycamorerun.Version
	// authoritative is set for the store and for peers that are ready. A peer
	// that is starting may still lack versions.
	authoritative bool
}

// newestReport returns the report with the newest version and whether any report
// is authoritative. Of the store and a peer with the same version, it returns the
// peer.
func newestReport(reports []versionReport) (newest versionReport, authoritative bool) {
	for _, report := range reports {
		authoritative = authoritative || report.authoritative
		if report.version > newest.version || report.version == newest.version && newest.peer == "" {
			newest = report
		}
	}
	return newest, authoritative
}

// Bootstrap returns once the node holds the newest version that the reachable
// peers and the store report. It retries while neither is reachable.
func (d *Distributor) Bootstrap(ctx context.Context) error {
	if d.Document != nil {
		return d.bootstrapDocument(ctx)
	}
	started := time.Now()
	jitter := 1 + d.Random()
	for failures := 1; ; failures++ {
		reports := d.probePeers(ctx, probeTimeout)
		if d.mayReadStore(reports, time.Duration(float64(time.Since(started))/jitter)) {
			if err := d.catchUpFromStore(ctx); err != nil {
				level.Debug(d.Logger).Log("msg", "store read failed during start; continuing without it", "err", err)
			} else {
				reports = append(reports, versionReport{version: d.HeldVersion(), authoritative: true})
			}
		}
		newest, authoritative := newestReport(reports)
		if authoritative && d.hasReached(newest.version) {
			d.markReady(len(reports))
			return nil
		}
		if newest.version > d.HeldVersion() && newest.peer != "" {
			before := d.HeldVersion()
			d.mutex.Lock()
			d.pulls.startPull(time.Now(), newest.peer)
			d.mutex.Unlock()
			d.pullFrom(ctx, newest.peer)
			if d.HeldVersion() > before {
				failures = 0
				continue
			}
		}
		if !sleep(ctx, backoff(failures, minBootstrapRetry, maxBootstrapRetry, d.Random())) {
			return ctx.Err()
		}
	}
}

// markReady marks the node as ready and wakes its watch loop.
func (d *Distributor) markReady(reports int) {
	d.ready.Store(true)
	signal(d.wakeWatch)
	level.Info(d.Logger).Log("msg", "newest version reached", "version", d.HeldVersion(), "reports", reports)
}

// hasReached reports whether the node holds version and has any version in
// force. A refused version counts as held, since other nodes that refuse it also
// keep the previous one in force.
func (d *Distributor) hasReached(version sycamorerun.Version) bool {
	tree, _ := d.Current()
	return d.HeldVersion() >= version && (tree.Version > 0 || version == 0)
}

// mayReadStore reports whether this node may read the store after it has waited
// for some time, to which the caller adds jitter.
func (d *Distributor) mayReadStore(reports []versionReport, waited time.Duration) bool {
	plan := d.Plan()
	switch _, authoritative := newestReport(reports); {
	case authoritative || waited >= storeReadDelay || d.watchRole(plan) != planner.None:
		return true
	case len(plan.Links) == 0:
		return waited >= peerDiscoveryDelay
	}
	return len(reports) == 0
}

// probePeers requests the versions of all linked peers concurrently.
func (d *Distributor) probePeers(ctx context.Context, timeout time.Duration) []versionReport {
	var (
		group   sync.WaitGroup
		mutex   sync.Mutex
		reports []versionReport
	)
	for peer := range linkedPeers(d.Plan().Links) {
		group.Go(func() {
			reply, err := d.request(ctx, peer, 0, true, timeout)
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			reports = append(reports, versionReport{peer, sycamorerun.Version(reply.GetVersion()), reply.GetReady()})
		})
	}
	group.Wait()
	return reports
}

// catchUpFromStore brings the node to the store's newest version. A node that
// has a version from its peers first reads only the slot of the next version.
func (d *Distributor) catchUpFromStore(ctx context.Context) error {
	if held := d.HeldVersion(); held > 0 {
		entry, _, err := d.readEntry(ctx, held+1)
		if errors.Is(err, persister.ErrMissing) || err == nil && entry.Version <= held {
			return nil
		}
		if err != nil {
			return err
		}
	}
	_, err := d.syncLog(ctx)
	return err
}
