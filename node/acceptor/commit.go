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

// Bounds of the exponential delay between commit attempts while the store fails.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// Run commits queued changes until ctx ends.
func (a *Acceptor) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			for batch := a.collectBatch(nil); len(batch) > 0; batch = a.collectBatch(nil) {
				a.failBatch(batch, ctx.Err())
			}
			return nil
		case first := <-a.queue:
			a.commitBatch(ctx, a.collectBatch(first))
		}
	}
}

// collectBatch returns first, unless it is nil, and the changes queued after it.
// It drops the changes whose context has ended.
func (a *Acceptor) collectBatch(first *submission) []*submission {
	var batch []*submission
	for s := first; len(batch) < MaxBatch; {
		if s != nil && s.ctx.Err() == nil {
			batch = append(batch, s)
		}
		select {
		case s = <-a.queue:
		default:
			return batch
		}
	}
	return batch
}

// failBatch reports an unknown outcome to the submitters of batch.
func (a *Acceptor) failBatch(batch []*submission, err error) {
	for _, s := range batch {
		s.result <- unknownOutcome(s.request.Change.ID, err)
	}
}

// commitBatch commits a batch, in several entries if it does not fit one.
func (a *Acceptor) commitBatch(ctx context.Context, batch []*submission) {
	if err := a.acquire(ctx); err != nil {
		a.failBatch(batch, err)
		return
	}
	defer a.release()
	for len(batch) > 0 {
		remaining, err := a.commitWithRetries(ctx, batch)
		if err != nil {
			a.warn("commit failed; the outcome of its changes is unknown", err)
			a.failBatch(batch, err)
			return
		}
		batch = remaining
	}
	if err := a.writeSnapshotIfDue(ctx); err != nil {
		a.warn("writing the snapshot failed; the next commit retries it", err)
	}
}

// commitWithRetries attempts a commit until it succeeds or CommitTimeout is
// over. It returns the changes that did not fit the entry.
func (a *Acceptor) commitWithRetries(ctx context.Context, batch []*submission) ([]*submission, error) {
	deadline, delay := a.Now().Add(a.CommitTimeout), minRetryDelay
	state := &batchState{submissions: batch}
	for {
		before := a.head.Version
		remaining, err := a.attemptCommit(ctx, state)
		if err == nil {
			return remaining, nil
		}
		if errors.Is(err, errSlotReused) || ctx.Err() != nil || !a.Now().Before(deadline) {
			return nil, err
		}
		// A conflict without a newer version comes from a stale read. An
		// immediate retry would only load the store.
		if errors.Is(err, persister.ErrConflict) && a.head.Version > before {
			_ = level.Debug(a.Logger).Log("msg", "another acceptor committed this version; retrying", "version", a.head.Version+1)
			continue
		}
		_ = level.Debug(a.Logger).Log("msg", "commit attempt failed; retrying after a delay", "version", a.head.Version+1, "err", err)
		// Half of the delay is random so that acceptors do not retry in step.
		if err := sleep(ctx, delay/2+rand.N(delay/2)); err != nil {
			return nil, err
		}
		delay = min(2*delay, maxRetryDelay)
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

// batchState is a batch and the version that its first write was for, zero before
// that write.
type batchState struct {
	submissions  []*submission
	firstVersion sycamorerun.Version
}

// errSlotReused means that the ring wrapped around while the outcome of a write
// was unknown.
var errSlotReused = errors.New("the ring slot that may have held the change has been reused")

// attemptCommit commits as many changes of the batch as fit one entry. A lost
// response needs no special handling: the next attempt reads the slot first and
// learns from the ids in it which changes were accepted.
func (a *Acceptor) attemptCommit(ctx context.Context, state *batchState) ([]*submission, error) {
	nextSlot, err := a.syncHead(ctx)
	if err != nil {
		return nil, err
	}
	next := a.head.Version + 1
	// Once the ring has wrapped around, it no longer holds the ids of the first
	// write, so writing the changes again might accept them twice.
	if state.firstVersion != 0 && next >= state.firstVersion+persister.RingSlots {
		return nil, errSlotReused
	}
	for _, s := range state.submissions {
		if err := a.prepare(ctx, s); err != nil {
			return nil, err
		}
	}
	plan := a.plan(state.submissions)
	if len(plan.entry.Changes) > 0 {
		if err := a.ensureSnapshotCovers(ctx, next); err != nil {
			return nil, err
		}
		if state.firstVersion == 0 {
			state.firstVersion = next
		}
		if _, err := a.Store.Put(ctx, persister.LogKey(next), plan.value, nextSlot.revision); err != nil {
			return nil, err
		}
		a.advanceHead(plan.entry, plan.tree)
		_ = level.Info(a.Logger).Log("msg", "version accepted", "version", next, "changes", len(plan.entry.Changes), "bytes", len(plan.value))
	} else if plan.dependsOnHead() {
		if err := a.confirmSlot(ctx, nextSlot); err != nil {
			return nil, err
		}
	}
	a.deliverOutcomes(ctx, state.submissions, plan)
	return state.submissions[len(plan.verdicts):], nil
}

// prepare reads from the store what the decision on a change needs. The result
// stays valid when the head advances, so it is read only once.
func (a *Acceptor) prepare(ctx context.Context, s *submission) (err error) {
	if s.prepared {
		return nil
	}
	change := s.request.Change
	if _, recorded := a.history.byID[change.ID]; recorded {
		return nil
	}
	switch change.Kind {
	case sycamorerun.Revert:
		s.request.Target, err = a.subtreeAt(ctx, change.Team, change.Target)
	case sycamorerun.Approve, sycamorerun.Reject:
		s.request.Proposal, err = a.readProposal(ctx, change.Team, change.Proposal)
	}
	s.prepared = err == nil
	return err
}

// plan is an entry that is ready to be written, with the verdicts that it results
// from.
type plan struct {
	verdicts []Verdict
	entry    sycamorerun.Entry
	tree     sycamorerun.Tree
	value    []byte
}

// dependsOnHead reports whether a verdict depends on the head being the newest version.
func (p plan) dependsOnHead() bool {
	return slices.ContainsFunc(p.verdicts, func(verdict Verdict) bool { return !verdict.AlreadyDecided })
}

// plan decides on as many submissions, from the first on, as fit one entry. A
// single change that does not fit is refused.
func (a *Acceptor) plan(batch []*submission) plan {
	now := a.Now()
	for n := len(batch); ; n /= 2 {
		p := a.decide(now, batch[:n])
		if len(p.entry.Changes) == 0 {
			return p
		}
		var err error
		if p.value, err = persister.EncodeEntry(p.entry); err == nil {
			return p
		}
		if n == 1 {
			change := batch[0].request.Change
			return plan{verdicts: []Verdict{{Outcome: refuse(change.ID, "too-large", change.Team, "%v", err)}}}
		}
	}
}

// decide applies the rules to each submission in order, on the result of those
// before it.
func (a *Acceptor) decide(now time.Time, batch []*submission) plan {
	rules := Rules{Validate: a.Validate}
	view := a.view()
	next := a.head.Version + 1
	batchOutcomes := map[string]sycamorerun.Outcome{}
	loggedOutcome := view.Decided
	view.Decided = func(id string) (sycamorerun.Outcome, bool) {
		if outcome, ok := batchOutcomes[id]; ok {
			return outcome, true
		}
		return loggedOutcome(id)
	}
	p := plan{entry: sycamorerun.Entry{Version: next, Time: now.UTC()}}
	for _, s := range batch {
		verdict := rules.Decide(now, view, s.request)
		p.verdicts = append(p.verdicts, verdict)
		if len(verdict.Records) == 0 {
			continue
		}
		markChanged(view.LastChanged, next, verdict.Difference)
		view.Tree.Items = verdict.Items
		for _, record := range verdict.Records {
			batchOutcomes[record.ID] = recordedChange{version: next, rejected: record.Kind == Rejected}.outcome(record.ID)
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

// deliverOutcomes stores new proposals, removes decided ones and sends the
// outcomes to the submitters.
func (a *Acceptor) deliverOutcomes(ctx context.Context, batch []*submission, p plan) {
	for i, verdict := range p.verdicts {
		outcome := verdict.Outcome
		if verdict.Proposal != nil {
			outcome = a.storeProposal(ctx, *verdict.Proposal)
		}
		batch[i].result <- outcome
		if proposal := batch[i].request.Proposal; proposal != nil && len(verdict.Records) > 0 {
			a.removeProposal(ctx, *proposal)
		}
	}
}
