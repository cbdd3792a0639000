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
	documentProbe = 400 * time.Millisecond
	// documentPatience is how long, on average, a start waits for peers that
	// are ready before it reads the store or takes what other peers have.
	documentPatience = time.Second
	// documentRound is the longest pause between two rounds of a start;
	// documentLate is the longest one of a start that lasts longer.
	documentRound = 300 * time.Millisecond
	documentLate  = 2 * time.Second
	lateRounds    = 30
	// pendingMost is how long a read may take before the store counts as
	// unreachable for the start.
	pendingMost = time.Second
)

// opening is the state of a start with a document.
type opening struct {
	started  time.Time
	patience time.Duration
	// reading is the result of the read in flight, which began at began.
	reading  chan error
	began    time.Time
	read     bool
	failures int
	// retry is when the next read may begin.
	retry time.Time
}

// mayRead decides whether the store is read at now. The planned watchers read
// it when no peer is ready; the others first wait for those. A node that already
// holds what its peers have waits less, since only the answer of the store, or
// its failure, is missing.
func (o *opening) mayRead(now time.Time, reports []reported, held sycamorerun.Version, plan planner.Plan) bool {
	_, final := assess(reports)
	waited := now.Sub(o.started)
	switch {
	case o.reading != nil || o.read || now.Before(o.retry):
		return false
	case !final && plan.Watch != planner.None && len(plan.Links) > 0:
		return true
	case len(reports) == 0, held > 0:
		return waited >= o.patience
	}
	return waited >= 2*o.patience
}

// enough decides whether a node that holds the newest version reported may
// start with it: a ready peer or the store has confirmed it, or, after the
// patience, the store can't be reached and there is nothing better.
func (o *opening) enough(now time.Time, reports []reported) bool {
	_, final := assess(reports)
	lost := o.failures > 0 || o.reading != nil && now.Sub(o.began) >= pendingMost
	return final || o.read || lost && now.Sub(o.started) >= o.patience
}

// begin starts a read.
func (o *opening) begin(ctx context.Context, d *Distributor) {
	o.began, o.reading = time.Now(), make(chan error, 1)
	go func(result chan<- error) { result <- d.readDocument(ctx) }(o.reading)
}

// finish takes the result of the read.
func (o *opening) finish(d *Distributor, err error) {
	o.reading, o.read = nil, err == nil
	if err != nil {
		level.Debug(d.Logger).Log("msg", "start without the store", "err", err)
		o.failures++
		o.retry = time.Now().Add(documentRetryLeast + backoff(o.failures, documentRetryLeast, documentLate, d.Random()))
	}
}

// pause waits for the next round or for the result of the read.
func (o *opening) pause(ctx context.Context, d *Distributor, limit time.Duration) {
	timer := time.NewTimer(time.Duration(d.Random() * float64(limit)))
	defer timer.Stop()
	select {
	case err := <-o.reading:
		o.finish(d, err)
	case <-timer.C:
	case <-ctx.Done():
	}
}

// bootstrapDocument returns once the node has the newest version that the
// reachable peers report, or the document of the store.
func (d *Distributor) bootstrapDocument(ctx context.Context) error {
	o := &opening{
		started:  time.Now(),
		patience: time.Duration((0.75 + 0.5*d.Random()) * float64(documentPatience)),
	}
	for round := 0; ctx.Err() == nil; round++ {
		reports := d.probe(ctx, documentProbe)
		newest, _ := assess(reports)
		if newest.version > d.HeldVersion() && newest.peer != "" {
			d.mutex.Lock()
			d.wants.began(time.Now(), newest.peer)
			d.mutex.Unlock()
			d.pullFrom(ctx, newest.peer)
		}
		now := time.Now()
		if d.HeldVersion() > 0 && d.reached(newest.version) && o.enough(now, reports) {
			d.started(len(reports))
			return nil
		}
		if o.mayRead(now, reports, d.HeldVersion(), d.Plan()) {
			o.begin(ctx, d)
		}
		limit := documentRound
		if round >= lateRounds {
			limit = documentLate
		}
		o.pause(ctx, d, limit)
	}
	return ctx.Err()
}
