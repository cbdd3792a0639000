// Package acceptor decides on operators' changes and commits them to the log
// in the store. Accepting a version is one compare-and-swap of its ring slot.
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
	// MaxBatch bounds the changes of one commit.
	MaxBatch = 64
	// queued bounds the changes that wait for a commit.
	queued = 256
	// MaxID bounds the length of a change's id; a UUID has 36 characters.
	MaxID = 64
	// DefaultPatience bounds how long a change is tried while the store fails.
	DefaultPatience = 5 * time.Second
	// retryAfter is the advice for an outcome that is not known yet.
	retryAfter = time.Second
)

// Acceptor takes operators' changes. Its exported fields are set before Run.
type Acceptor struct {
	Store persister.Store
	// Current returns the tree in force at this node.
	Current func() sycamorerun.Tree
	// Entry returns a log entry that this node still has.
	Entry func(sycamorerun.Version) (sycamorerun.Entry, bool)
	// OnEntry is told each entry that the acceptor committed or read. It must
	// not wait for a call of the acceptor.
	OnEntry  func(now time.Time, entry sycamorerun.Entry)
	Now      func() time.Time
	Validate func(sycamorerun.Tree) []sycamorerun.Fault
	Patience time.Duration
	// ExternallyManaged is set when operators write the configuration as one document.
	// Every change is refused then, and the log is not read.
	ExternallyManaged bool
	Logger            log.Logger
	Scope             tally.Scope

	queue chan *job
	// busy is held by whoever uses the fields below; a channel lets a waiting
	// caller give up.
	busy    chan struct{}
	head    sycamorerun.Tree
	history *history
	// snapshot is the newest version known to be in the snapshot object.
	snapshot sycamorerun.Version
	verified bool
}

// job is a change on its way through the queue.
type job struct {
	ctx      context.Context
	request  Request
	prepared bool
	done     chan sycamorerun.Outcome
	start    time.Time
}

// New returns an acceptor that knows nothing but the store.
func New(store persister.Store) *Acceptor {
	return &Acceptor{
		Store:    store,
		Current:  func() sycamorerun.Tree { return sycamorerun.Tree{} },
		Entry:    func(sycamorerun.Version) (sycamorerun.Entry, bool) { return sycamorerun.Entry{}, false },
		OnEntry:  func(time.Time, sycamorerun.Entry) {},
		Now:      time.Now,
		Validate: func(sycamorerun.Tree) []sycamorerun.Fault { return nil },
		Patience: DefaultPatience,
		Logger:   log.NewNopLogger(),
		Scope:    tally.NoopScope,
		queue:    make(chan *job, queued),
		busy:     make(chan struct{}, 1),
		history:  newHistory(),
	}
}

// Submit queues a change and waits for its outcome. The outcome is unknown
// when ctx ends first; the change may be accepted later.
func (a *Acceptor) Submit(ctx context.Context, change sycamorerun.Change) sycamorerun.Outcome {
	if change.ID == "" || len(change.ID) > MaxID || change.ID == change.Proposal {
		return refuse(change.ID, "bad-id", "", "the id must have 1 to %d characters and differ from the proposal's", MaxID)
	}
	if a.ExternallyManaged {
		return refuse(change.ID, CodeOwned, "", "the configuration is owned by the operators' document")
	}
	j := &job{ctx: ctx, request: Request{Change: change}, done: make(chan sycamorerun.Outcome, 1), start: a.Now()}
	select {
	case a.queue <- j:
	default:
		return unknown(change.ID, errors.New("too many changes are waiting"))
	}
	select {
	case outcome := <-j.done:
		a.record(j, outcome)
		return outcome
	case <-ctx.Done():
		return unknown(change.ID, ctx.Err())
	}
}

// Lookup returns how the change with id ended, from the entries of the ring
// and the proposals of every team under review. Find is cheaper.
func (a *Acceptor) Lookup(ctx context.Context, id string) sycamorerun.Outcome {
	if a.ExternallyManaged {
		return unknown(id, errNoChange)
	}
	if err := a.acquire(ctx); err != nil {
		return unknown(id, err)
	}
	defer a.release()
	if outcome, err := a.decided(ctx, id); outcome.ID != "" || err != nil {
		return orUnknown(id, outcome, err)
	}
	for path := range a.head.Subtree(sycamorerun.AdminTeam) {
		_, _, team := path.Split()
		if !reviewed(a.head, sycamorerun.Change{Kind: sycamorerun.Apply, Team: team}) {
			continue
		}
		if outcome := a.pending(ctx, team, id); outcome.Status == sycamorerun.StatusPending {
			return outcome
		}
	}
	return unknown(id, errNoChange)
}

var errNoChange = errors.New("no such change in the last 1024 versions")

// decided returns the outcome that the log holds for id, or none.
func (a *Acceptor) decided(ctx context.Context, id string) (sycamorerun.Outcome, error) {
	_, err := a.locate(ctx)
	if found, ok := a.history.ids[id]; ok {
		return found.outcome(id), nil
	}
	return sycamorerun.Outcome{}, err
}

func (a *Acceptor) pending(ctx context.Context, team, id string) sycamorerun.Outcome {
	proposal, err := a.fetch(ctx, team, id)
	if err == nil && proposal == nil {
		err = errNoChange
	}
	return orUnknown(id, sycamorerun.Outcome{ID: id, Status: sycamorerun.StatusPending}, err)
}

func orUnknown(id string, outcome sycamorerun.Outcome, err error) sycamorerun.Outcome {
	if err != nil {
		return unknown(id, err)
	}
	return outcome
}

// CodeOwned is the code of a change that is refused because the configuration
// belongs to the operators' document.
const CodeOwned = "owned-elsewhere"

// CodeNoSuchChange is the code of a look-up that found nothing.
const CodeNoSuchChange = "no-such-change"

// unknown is the outcome while the store or the queue keeps the acceptor from
// deciding. The change may have been accepted, here or at another node.
func unknown(id string, err error) sycamorerun.Outcome {
	code := "not-decided"
	if errors.Is(err, errNoChange) {
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
	case a.busy <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (a *Acceptor) release() { <-a.busy }

func (a *Acceptor) record(j *job, outcome sycamorerun.Outcome) {
	a.Scope.Tagged(map[string]string{"status": string(outcome.Status)}).Counter("changes").Inc(1)
	if outcome.Status == sycamorerun.StatusAccepted {
		a.Scope.Tagged(map[string]string{"team": j.request.Change.Team}).
			Histogram("accept_time", acceptTimes).RecordDuration(a.Now().Sub(j.start))
	}
}

var acceptTimes = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

func (a *Acceptor) warn(msg string, err error) {
	_ = level.Warn(a.Logger).Log("msg", msg, "version", a.head.Version, "err", err)
}
