package acceptor

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/differ"
	"sycamorerun/persister"
)

// Bounds of the wait between two attempts while the store fails.
const (
	firstDelay = 20 * time.Millisecond
	lastDelay  = time.Second
)

// Run commits queued changes until ctx ends.
func (a *Acceptor) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			for batch := a.gather(nil); len(batch) > 0; batch = a.gather(nil) {
				a.abandon(batch, ctx.Err())
			}
			return nil
		case first := <-a.queue:
			a.serve(ctx, a.gather(first))
		}
	}
}

// gather returns first and the changes that wait behind it, without those
// whose submitter gave up.
func (a *Acceptor) gather(first *job) []*job {
	var batch []*job
	for j := first; len(batch) < MaxBatch; {
		if j != nil && j.ctx.Err() == nil {
			batch = append(batch, j)
		}
		select {
		case j = <-a.queue:
		default:
			return batch
		}
	}
	return batch
}

func (a *Acceptor) abandon(jobs []*job, err error) {
	for _, j := range jobs {
		j.done <- unknown(j.request.Change.ID, err)
	}
}

// serve commits a batch, in several entries when it does not fit one.
func (a *Acceptor) serve(ctx context.Context, batch []*job) {
	if err := a.acquire(ctx); err != nil {
		a.abandon(batch, err)
		return
	}
	defer a.release()
	for len(batch) > 0 {
		rest, err := a.persist(ctx, batch)
		if err != nil {
			a.warn("changes not committed", err)
			a.abandon(batch, err)
			return
		}
		batch = rest
	}
	if err := a.keepSnapshot(ctx); err != nil {
		a.warn("snapshot not written", err)
	}
}

// persist attempts a commit until it succeeds or the patience is over, and
// returns the changes that did not fit.
func (a *Acceptor) persist(ctx context.Context, batch []*job) ([]*job, error) {
	deadline, delay := a.Now().Add(a.Patience), firstDelay
	t := &try{jobs: batch}
	for {
		before := a.head.Version
		rest, err := a.attempt(ctx, t)
		if err == nil {
			return rest, nil
		}
		if errors.Is(err, errPassed) || ctx.Err() != nil || !a.Now().Before(deadline) {
			return nil, err
		}
		// A conflict without a newer version comes from a stale read: trying
		// again at once would only load the store.
		if errors.Is(err, persister.ErrConflict) && a.head.Version > before {
			_ = level.Debug(a.Logger).Log("msg", "another acceptor won", "version", a.head.Version+1)
			continue
		}
		_ = level.Debug(a.Logger).Log("msg", "commit attempt failed", "version", a.head.Version+1, "err", err)
		// Half of the delay is random so that acceptors do not retry together.
		if err := sleep(ctx, delay/2+rand.N(delay/2)); err != nil {
			return nil, err
		}
		delay = min(2*delay, lastDelay)
	}
}

func sleep(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// try is a batch and the version at which it was first written.
type try struct {
	jobs    []*job
	written sycamorerun.Version
}

// errPassed means that the ring went round while a write's outcome was open.
var errPassed = errors.New("the log has moved past the entry that may hold the change")

// attempt commits as much of the batch as fits one entry. A lost answer needs
// no step of its own: the next attempt reads the slot first, and the ids in it
// tell which changes were accepted.
func (a *Acceptor) attempt(ctx context.Context, t *try) ([]*job, error) {
	at, err := a.locate(ctx)
	if err != nil {
		return nil, err
	}
	next := a.head.Version + 1
	// After a whole round the ids of the first write are no longer in the
	// ring, so that writing the changes again might accept them twice.
	if t.written != 0 && next >= t.written+persister.RingSlots {
		return nil, errPassed
	}
	for _, j := range t.jobs {
		if err := a.prepare(ctx, j); err != nil {
			return nil, err
		}
	}
	plan := a.plan(t.jobs)
	if len(plan.entry.Changes) > 0 {
		if err := a.cover(ctx, next); err != nil {
			return nil, err
		}
		if t.written == 0 {
			t.written = next
		}
		if _, err := a.Store.Put(ctx, persister.LogKey(next), plan.value, at.revision); err != nil {
			return nil, err
		}
		a.adopt(plan.entry, plan.tree)
		_ = level.Info(a.Logger).Log("msg", "version accepted", "version", next, "changes", len(plan.entry.Changes), "bytes", len(plan.value))
	} else if plan.fresh() {
		if err := a.fence(ctx, at); err != nil {
			return nil, err
		}
	}
	a.finish(ctx, t.jobs, plan)
	return t.jobs[len(plan.verdicts):], nil
}

// prepare reads what the decision on a change needs from the store. Both
// answers stay valid when the head moves on.
func (a *Acceptor) prepare(ctx context.Context, j *job) (err error) {
	if j.prepared {
		return nil
	}
	change := j.request.Change
	if _, done := a.history.ids[change.ID]; done {
		return nil
	}
	switch change.Kind {
	case sycamorerun.Revert:
		j.request.Target, err = a.subtreeAt(ctx, change.Team, change.Target)
	case sycamorerun.Approve, sycamorerun.Reject:
		j.request.Proposal, err = a.fetch(ctx, change.Team, change.Proposal)
	}
	j.prepared = err == nil
	return err
}

// plan is an entry that is ready to be written and the verdicts behind it.
type plan struct {
	verdicts []Verdict
	entry    sycamorerun.Entry
	tree     sycamorerun.Tree
	value    []byte
}

// fresh reports whether a verdict depends on the head being the newest version.
func (p plan) fresh() bool {
	return slices.ContainsFunc(p.verdicts, func(verdict Verdict) bool { return !verdict.Known })
}

// plan decides on as many of the jobs, from the first on, as fit one entry. A
// single change that does not fit is refused.
func (a *Acceptor) plan(jobs []*job) plan {
	now := a.Now()
	for n := len(jobs); ; n /= 2 {
		p := a.decide(now, jobs[:n])
		if len(p.entry.Changes) == 0 {
			return p
		}
		var err error
		if p.value, err = persister.EncodeEntry(p.entry); err == nil {
			return p
		}
		if n == 1 {
			change := jobs[0].request.Change
			return plan{verdicts: []Verdict{{Outcome: refuse(change.ID, "too-large", change.Team, "%v", err)}}}
		}
	}
}

// decide applies the rules to the jobs one after the other.
func (a *Acceptor) decide(now time.Time, jobs []*job) plan {
	rules := Rules{Validate: a.Validate}
	view := a.view()
	next := a.head.Version + 1
	here := map[string]sycamorerun.Outcome{}
	logged := view.Decided
	view.Decided = func(id string) (sycamorerun.Outcome, bool) {
		if outcome, ok := here[id]; ok {
			return outcome, true
		}
		return logged(id)
	}
	p := plan{entry: sycamorerun.Entry{Version: next, Time: now.UTC()}}
	for _, j := range jobs {
		verdict := rules.Decide(now, view, j.request)
		p.verdicts = append(p.verdicts, verdict)
		if len(verdict.Records) == 0 {
			continue
		}
		mark(view.Changed, next, verdict.Difference)
		view.Tree.Items = verdict.Items
		for _, record := range verdict.Records {
			here[record.ID] = decided{version: next, rejected: record.Kind == Rejected}.outcome(record.ID)
		}
		p.entry.Changes = append(p.entry.Changes, verdict.Records...)
	}
	if len(p.entry.Changes) > 0 {
		p.entry.Difference = differ.Compare(a.head.Items, view.Tree.Items)
		p.entry.Hash = differ.Hash(view.Tree.Items)
		p.tree = sycamorerun.Tree{Version: next, Items: view.Tree.Items}
	}
	return p
}

// finish stores proposals and tells the submitters.
func (a *Acceptor) finish(ctx context.Context, jobs []*job, p plan) {
	for i, verdict := range p.verdicts {
		outcome := verdict.Outcome
		if verdict.Proposal != nil {
			outcome = a.propose(ctx, *verdict.Proposal)
		}
		jobs[i].done <- outcome
		if proposal := jobs[i].request.Proposal; proposal != nil && len(verdict.Records) > 0 {
			a.remove(ctx, *proposal)
		}
	}
}
