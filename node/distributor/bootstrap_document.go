package distributor

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"sycamorerun"
	"sycamorerun/node/planner"
)

const (
	// documentProbeTimeout bounds a probe of a peer's version, so that a silent
	// peer does not delay a start.
	documentProbeTimeout = 400 * time.Millisecond
	// documentPeerWait is the mean time for which a start waits for ready peers
	// before it reads the store or accepts the version of peers that are not
	// ready.
	documentPeerWait = time.Second
	// documentRoundPause is the longest pause between two rounds of a start, and
	// documentLateRoundPause the longest one after documentEarlyRounds rounds.
	documentRoundPause     = 300 * time.Millisecond
	documentLateRoundPause = 2 * time.Second
	documentEarlyRounds    = 30
	// maxPendingRead is how long a read may take before the start treats the
	// store as unreachable.
	maxPendingRead = time.Second
)

// documentBootstrap is the state of a start with a document.
type documentBootstrap struct {
	started  time.Time
	peerWait time.Duration
	// pendingRead receives the result of the read in flight, which started at
	// readStarted.
	pendingRead   chan error
	readStarted   time.Time
	readSucceeded bool
	failures      int
	// nextRead is the earliest time of the next read after a failure.
	nextRead time.Time
}

// mayRead reports whether to read the store at now. The planned watchers read it
// when no peer is ready; other nodes first wait for the watchers. The wait is
// halved for a node that no peer answers, and for a node that already holds a
// version, since that lacks only the store's response or failure.
func (b *documentBootstrap) mayRead(now time.Time, reports []versionReport, held sycamorerun.Version, plan planner.Plan) bool {
	_, authoritative := newestReport(reports)
	waited := now.Sub(b.started)
	switch {
	case b.pendingRead != nil || b.readSucceeded || now.Before(b.nextRead):
		return false
	case !authoritative && plan.Watch != planner.None && len(plan.Links) > 0:
		return true
	case len(reports) == 0, held > 0:
		return waited >= b.peerWait
	}
	return waited >= 2*b.peerWait
}

// canFinish reports whether a node that holds the newest reported version may
// start with it: a ready peer or the store has confirmed it, or the peer wait is
// over and the store is unreachable.
func (b *documentBootstrap) canFinish(now time.Time, reports []versionReport) bool {
	_, authoritative := newestReport(reports)
	storeUnreachable := b.failures > 0 || b.pendingRead != nil && now.Sub(b.readStarted) >= maxPendingRead
	return authoritative || b.readSucceeded || storeUnreachable && now.Sub(b.started) >= b.peerWait
}

// startRead reads the document in the background.
func (b *documentBootstrap) startRead(ctx context.Context, d *Distributor) {
	b.readStarted, b.pendingRead = time.Now(), make(chan error, 1)
	go func(result chan<- error) { result <- d.readDocument(ctx) }(b.pendingRead)
}

// finishRead records the result of the read.
func (b *documentBootstrap) finishRead(d *Distributor, err error) {
	b.pendingRead, b.readSucceeded = nil, err == nil
	if err != nil {
		level.Debug(d.Logger).Log("msg", "store read failed during start; continuing without it", "err", err)
		b.failures++
		b.nextRead = time.Now().Add(minDocumentRetry + backoff(b.failures, minDocumentRetry, documentLateRoundPause, d.Random()))
	}
}

// waitRound waits for the next round or for the result of the read.
func (b *documentBootstrap) waitRound(ctx context.Context, d *Distributor, limit time.Duration) {
	timer := time.NewTimer(time.Duration(d.Random() * float64(limit)))
	defer timer.Stop()
	select {
	case err := <-b.pendingRead:
		b.finishRead(d, err)
	case <-timer.C:
	case <-ctx.Done():
	}
}

// bootstrapDocument returns once the node holds the newest version that the
// reachable peers report or the document from the store.
func (d *Distributor) bootstrapDocument(ctx context.Context) error {
	b := &documentBootstrap{
		started:  time.Now(),
		peerWait: time.Duration((0.75 + 0.5*d.Random()) * float64(documentPeerWait)),
	}
	for round := 0; ctx.Err() == nil; round++ {
		reports := d.probePeers(ctx, documentProbeTimeout)
		newest, _ := newestReport(reports)
		if newest.version > d.HeldVersion() && newest.peer != "" {
			d.mutex.Lock()
			d.pulls.startPull(time.Now(), newest.peer)
			d.mutex.Unlock()
			d.pullFrom(ctx, newest.peer)
		}
		now := time.Now()
		if d.HeldVersion() > 0 && d.hasReached(newest.version) && b.canFinish(now, reports) {
			d.markReady(len(reports))
			return nil
		}
		if b.mayRead(now, reports, d.HeldVersion(), d.Plan()) {
			b.startRead(ctx, d)
		}
		limit := documentRoundPause
		if round >= documentEarlyRounds {
			limit = documentLateRoundPause
		}
		b.waitRound(ctx, d, limit)
	}
	return ctx.Err()
}
