// Package acceptor validates operators' changes and commits them to the log in
// the store. A version is committed by one compare-and-swap of its ring slot.
package acceptor

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"sycamorerun"
	"sycamorerun/persister"
)

const (
	// MaxBatch is the maximum number of changes in one commit.
	MaxBatch = 64
	// queueCapacity is the maximum number of changes that wait for a commit.
	queueCapacity = 256
	// MaxIDLength is the maximum length of a change's id; a UUID has 36
	// characters.
	MaxIDLength = 64
	// DefaultCommitTimeout limits how long a commit is retried while the store
	// fails.
	DefaultCommitTimeout = 5 * time.Second
	// retryAfter is the delay that clients are told to wait before they ask
	// again for an unknown outcome.
	retryAfter = time.Second
)

// Acceptor validates and commits operators' changes. Its exported fields must be
// set before Run.
type Acceptor struct {
	Store persister.Store
	// Current returns the tree in force at this node.
	Current func() sycamorerun.Tree
	// Entry returns a log entry if this node still has it.
	Entry func(sycamorerun.Version) (sycamorerun.Entry, bool)
	// OnEntry is called for each entry that the acceptor committed or read. It
	// must not wait for a call to the acceptor: that would deadlock.
	OnEntry  func(now time.Time, entry sycamorerun.Entry)
	Now      func() time.Time
	Validate func(sycamorerun.Tree) []sycamorerun.Fault
	// CommitTimeout limits how long a commit is retried while the store fails.
	CommitTimeout time.Duration
	// ExternallyManaged is set when operators write the configuration as one
	// document. Every change is then refused, and the log is not read.
	ExternallyManaged bool
	Logger            log.Logger
	Scope             tally.Scope

	queue chan *submission
	// lock guards the fields below. It is a channel so that acquire can return
	// when its context ends.
	lock chan struct{}
	// head is the newest tree that this acceptor has committed or read.
	head    sycamorerun.Tree
	history *history
	// snapshotVersion is the newest version known to be in the snapshot object.
	snapshotVersion sycamorerun.Version
	// storeVerified is set when the store is known to hold the head's entry.
	storeVerified bool
}

// submission is a queued change.
type submission struct {
	ctx         context.Context
	request     Request
	prepared    bool
	result      chan sycamorerun.Outcome
	submittedAt time.Time
}

// New returns an acceptor with defaults for all fields but Store.
func New(store persister.Store) *Acceptor {
	return &Acceptor{
		Store:         store,
		Current:       func() sycamorerun.Tree { return sycamorerun.Tree{} },
		Entry:         func(sycamorerun.Version) (sycamorerun.Entry, bool) { return sycamorerun.Entry{}, false },
		OnEntry:       func(time.Time, sycamorerun.Entry) {},
		Now:           time.Now,
		Validate:      func(sycamorerun.Tree) []sycamorerun.Fault { return nil },
		CommitTimeout: DefaultCommitTimeout,
		Logger:        log.NewNopLogger(),
		Scope:         tally.NoopScope,
		queue:         make(chan *submission, queueCapacity),
		lock:          make(chan struct{}, 1),
		history:       newHistory(),
	}
}

// Submit queues a change and waits for its outcome. If ctx ends first, the
// outcome is unknown, and the change may still be accepted.
func (a *Acceptor) Submit(ctx context.Context, change sycamorerun.Change) sycamorerun.Outcome {
	if change.ID == "" || len(change.ID) > MaxIDLength || change.ID == change.Proposal {
		return refuse(change.ID, "bad-id", "", "the id must have 1 to %d characters and differ from the proposal's", MaxIDLength)
	}
	if a.ExternallyManaged {
		return refuse(change.ID, CodeExternallyManaged, "", "the configuration is owned by the operators' document")
	}
	s := &submission{ctx: ctx, request: Request{Change: change}, result: make(chan sycamorerun.Outcome, 1), submittedAt: a.Now()}
	select {
	case a.queue <- s:
	default:
		return unknownOutcome(change.ID, errors.New("change queue is full"))
	}
	select {
	case outcome := <-s.result:
		a.recordMetrics(s, outcome)
		return outcome
	case <-ctx.Done():
		return unknownOutcome(change.ID, ctx.Err())
	}
}

// Lookup returns the outcome of the change with id. It searches the entries of
// the ring and the proposals of every team in review mode.
func (a *Acceptor) Lookup(ctx context.Context, id string) sycamorerun.Outcome {
	if a.ExternallyManaged {
		return unknownOutcome(id, errNoSuchChange)
	}
	if err := a.acquire(ctx); err != nil {
		return unknownOutcome(id, err)
	}
	defer a.release()
	if outcome, err := a.loggedOutcome(ctx, id); outcome.ID != "" || err != nil {
		return outcomeOrUnknown(id, outcome, err)
	}
	for path := range a.head.Subtree(sycamorerun.AdminTeam) {
		_, _, team := path.Split()
		if !needsReview(a.head, sycamorerun.Change{Kind: sycamorerun.Apply, Team: team}) {
			continue
		}
		if outcome := a.pendingOutcome(ctx, team, id); outcome.Status == sycamorerun.StatusPending {
			return outcome
		}
	}
	return unknownOutcome(id, errNoSuchChange)
}

var errNoSuchChange = errors.New("no such change in the last 1024 versions")

// loggedOutcome returns the outcome that the log records for id, or the zero
// Outcome.
func (a *Acceptor) loggedOutcome(ctx context.Context, id string) (sycamorerun.Outcome, error) {
	_, err := a.syncHead(ctx)
	if change, ok := a.history.byID[id]; ok {
		return change.outcome(id), nil
	}
	return sycamorerun.Outcome{}, err
}

func (a *Acceptor) pendingOutcome(ctx context.Context, team, id string) sycamorerun.Outcome {
	proposal, err := a.readProposal(ctx, team, id)
	if err == nil && proposal == nil {
		err = errNoSuchChange
	}
	return outcomeOrUnknown(id, sycamorerun.Outcome{ID: id, Status: sycamorerun.StatusPending}, err)
}

func outcomeOrUnknown(id string, outcome sycamorerun.Outcome, err error) sycamorerun.Outcome {
	if err != nil {
		return unknownOutcome(id, err)
	}
	return outcome
}

// CodeExternallyManaged is the fault code of a change that is refused because
// operators manage the configuration as one document.
const CodeExternallyManaged = "owned-elsewhere"

// CodeNoSuchChange is the fault code of a Lookup for an id that is not known.
const CodeNoSuchChange = "no-such-change"

// unknownOutcome returns the outcome of a change that the acceptor could not
// decide on. The change may have been accepted, here or at another node.
func unknownOutcome(id string, err error) sycamorerun.Outcome {
	code := "not-decided"
	if errors.Is(err, errNoSuchChange) {
		code = CodeNoSuchChange
	}
	return sycamorerun.Outcome{
		ID: id, Status: sycamorerun.StatusUnknown, Retry: retryAfter,
		Faults: []sycamorerun.Fault{{Code: code, Reason: err.Error()}},
	}
}

func (a *Acceptor) acquire(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	select {
	case a.lock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (a *Acceptor) release() { <-a.lock }

func (a *Acceptor) recordMetrics(s *submission, outcome sycamorerun.Outcome) {
	a.Scope.Tagged(map[string]string{"status": string(outcome.Status)}).Counter("changes").Inc(1)
	if outcome.Status == sycamorerun.StatusAccepted {
		a.Scope.Tagged(map[string]string{"team": s.request.Change.Team}).
			Histogram("accept_time", acceptTimeBuckets).RecordDuration(a.Now().Sub(s.submittedAt))
	}
}

var acceptTimeBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

func (a *Acceptor) warn(msg string, err error) {
	_ = level.Warn(a.Logger).Log("msg", msg, "version", a.head.Version, "err", err)
}
