package distributor

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"sycamorerun"
	"sycamorerun/node/planner"
)

const (
	// documentProbe bounds the question for a peer's version, so that a peer
	// that is silent does not hold up a start.
	documentProbeTimeout = 400 * time.Millisecond
	// documentPatience is how long, on average, a start waits for peers that
	// are ready before it reads the store or takes what other peers have.
	documentPeerWait = time.Second
	// documentRound is the longest pause between two rounds of a start;
	// documentLate is the longest one of a start that lasts longer.
	documentRoundPause     = 300 * time.Millisecond
	documentLateRoundPause = 2 * time.Second
	documentEarlyRounds    = 30
	// pendingMost is how long a read may take before the store counts as
	// unreachable for the start.
	maxPendingRead = time.Second
)

// opening is the state of a start with a document.
type documentBootstrap struct {
	started  time.Time
	peerWait time.Duration
	// reading is the result of the read in flight, which began at began.
	pendingRead   chan error
	readStarted   time.Time
	readSucceeded bool
	failures      int
	// retry is when the next read may begin.
	nextRead time.Time
}

// mayRead decides whether the store is read at now. The planned watchers read
// it when no peer is ready; the others first wait for those. A node that already
// holds what its peers have waits less, since only the answer of the store, or
// its failure, is missing.
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

// enough decides whether a node that holds the newest version reported may
// start with it: a ready peer or the store has confirmed it, or, after the
// patience, the store can't be reached and there is nothing better.
func (b *documentBootstrap) canFinish(now time.Time, reports []versionReport) bool {
	_, authoritative := newestReport(reports)
	storeUnreachable := b.failures > 0 || b.pendingRead != nil && now.Sub(b.readStarted) >= maxPendingRead
	return authoritative || b.readSucceeded || storeUnreachable && now.Sub(b.started) >= b.peerWait
}

// begin starts a read.
func (b *documentBootstrap) startRead(ctx context.Context, d *Distributor) {
	b.readStarted, b.pendingRead = time.Now(), make(chan error, 1)
	go func(result chan<- error) { result <- d.readDocument(ctx) }(b.pendingRead)
}

// finish takes the result of the read.
func (b *documentBootstrap) finishRead(d *Distributor, err error) {
	b.pendingRead, b.readSucceeded = nil, err == nil
	if err != nil {
		level.Debug(d.Logger).Log("msg", "start without the store", "err", err)
		b.failures++
		b.nextRead = time.Now().Add(minDocumentRetry + backoff(b.failures, minDocumentRetry, documentLateRoundPause, d.Random()))
	}
}

// pause waits for the next round or for the result of the read.
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

// bootstrapDocument returns once the node has the newest version that the
// reachable peers report, or the document of the store.
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
