package deduplicator

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"sycamorerun/encoder"
)

// Kind is the stream kind for key exchanges between the nodes of a service.
const Kind = "keys"

const (
	// maxFrameBytes bounds a frame. A batch of records is sent once it has reached
	// maxBatchBytes or maxBatchRecords. A recorded response has at most 32 KiB.
	maxFrameBytes   = 1 << 20
	maxBatchBytes   = 256 << 10
	maxBatchRecords = 1024
	// serveTimeout bounds an exchange on the serving side.
	serveTimeout = 5 * time.Second
	// grantTimeout bounds one request for a member's grant, so that a suspended
	// member does not delay the grants of the others.
	grantTimeout = time.Second
	// joinRetryInterval is the delay of a join before its next request to members
	// that have not granted the keys.
	joinRetryInterval = 50 * time.Millisecond
	// reconcileInterval is the delay before the next request to unreconciled members.
	// It is longer, since their view of the members takes longer to agree.
	reconcileInterval = 250 * time.Millisecond
)

var (
	errProtocol     = errors.New("invalid key exchange frame")
	errOtherProcess = errors.New("another process of the member answers")
)

// Exchanger transfers keys between the processes of a service.
type Exchanger struct {
	Records *Deduplicator
	// Service returns the service of the upstream beside this node, or an empty
	// string if there is none.
	Service func() string
	// Members returns the announced members of the service except this one.
	Members func() []Member
	// Open opens a stream to the node of a member and returns the process that it
	// leads to.
	Open   func(ctx context.Context, member string) (net.Conn, Member, error)
	Now    func() time.Time
	Logger log.Logger
	Scope  tally.Scope

	mutex sync.Mutex
	// cachedMetrics is created from Scope on first use.
	cachedMetrics *metrics
	// term is the number of joins of this process.
	term uint64
}

// metrics returns the metrics, which it creates on first use.
func (e *Exchanger) metrics() *metrics {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.cachedMetrics == nil {
		e.cachedMetrics = newMetrics(e.Scope)
	}
	return e.cachedMetrics
}

// Join takes over the keys of this process from the other members. It repeats its
// requests until each member has granted them or ctx ends, and reports whether the
// join is complete.
func (e *Exchanger) Join(ctx context.Context) bool {
	e.mutex.Lock()
	e.term++
	term := e.term
	e.mutex.Unlock()
	e.Records.BeginJoin(e.Now())
	grants := map[Member]Grant{}
	var learned []Member
	for {
		view := e.view(learned)
		missing := slices.DeleteFunc(slices.Clone(view), func(member Member) bool { return valid(grants[member], view, e.Records.member()) })
		if len(missing) == 0 || ctx.Err() != nil {
			for _, member := range missing {
				delete(grants, member)
			}
			complete := e.Records.FinishJoin(e.Now(), view, grants)
			e.metrics().countTransfer("joins", complete)
			_ = level.Info(e.Logger).Log("msg", "key takeover finished", "members", len(view), "missing", len(missing), "complete", complete)
			return complete
		}
		for member, grant := range e.requestGrants(ctx, missing, e.takeRequest(term, view, false)) {
			grants[member] = grant
			learned = merge(learned, grant.Set, e.Records.Self)
		}
		if len(e.view(learned)) == len(view) {
			sleep(ctx, joinRetryInterval)
		}
	}
}

// Run reconciles with unreconciled members and sends the results of requests that
// ended after their keys were handed over, until ctx ends.
func (e *Exchanger) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { e.runResults(ctx) })
	defer group.Wait()
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		e.metrics().update(e.Records.Sizes(e.Now()))
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-e.Records.wake:
			e.Reconcile(ctx)
		}
	}
}

// Reconcile requests the keys of this process from unreconciled members until all of
// them have granted them or are gone, or ctx ends.
func (e *Exchanger) Reconcile(ctx context.Context) {
	for members := e.Records.Unreconciled(); len(members) > 0 && ctx.Err() == nil; members = e.Records.Unreconciled() {
		e.mutex.Lock()
		term := e.term
		e.mutex.Unlock()
		e.Records.Reconcile(e.Now(), e.requestGrants(ctx, members, e.takeRequest(term, e.view(nil), true)))
		remaining := len(e.Records.Unreconciled())
		e.metrics().reconciled.Inc(reconciledCount(len(members), remaining))
		_ = level.Info(e.Logger).Log("msg", "key reconciliation round finished", "strangers", len(members), "left", remaining)
		if remaining > 0 {
			sleep(ctx, reconcileInterval)
		}
	}
}

// reconciledCount returns the number of members that were reconciled in a round. More
// members may have become unreconciled meanwhile, and a negative increment of a
// counter would stop the process.
func reconciledCount(asked, remaining int) int64 { return int64(max(0, asked-remaining)) }

// takeRequest returns a request for the keys that this process owns among view.
// executing is set if this process has run calls with keys before.
func (e *Exchanger) takeRequest(term uint64, view []Member, executing bool) *Take {
	return &Take{
		Service: e.Service(), Joiner: toProcess(e.Records.member()), Term: term,
		View: toProcesses(view), Executing: executing,
	}
}

// valid reports whether a grant covers the keys that self owns among view. The member
// must not know of members beyond view, since self owns fewer keys in a larger set.
func valid(grant Grant, view []Member, self Member) bool {
	unseen := func(member Member) bool { return member != self && !slices.Contains(view, member) }
	return grant.Granted && !slices.ContainsFunc(grant.Set, unseen)
}

// view returns the announced members and the members learned from grants that are not
// announced yet.
func (e *Exchanger) view(learned []Member) []Member {
	return merge(slices.Clone(e.Members()), learned, e.Records.Self)
}

// merge adds to set the members whose names it does not contain, except self.
func merge(set, more []Member, self string) []Member {
	for _, member := range more {
		sameName := func(known Member) bool { return known.Name == member.Name }
		if member.Name != self && !slices.ContainsFunc(set, sameName) {
			set = append(set, member)
		}
	}
	return set
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// requestGrants requests grants from members concurrently.
func (e *Exchanger) requestGrants(ctx context.Context, members []Member, take *Take) map[Member]Grant {
	grants := make([]Grant, len(members))
	var group sync.WaitGroup
	for i, member := range members {
		group.Go(func() {
			grant, err := e.requestGrant(ctx, member, take)
			if err != nil {
				_ = level.Debug(e.Logger).Log("msg", "request for keys failed", "peer", member.Name, "err", err)
			}
			grants[i] = grant
		})
	}
	group.Wait()
	answers := map[Member]Grant{}
	for i, member := range members {
		answers[member] = grants[i]
	}
	return answers
}

// requestGrant sends take to a member and reads the grant with its records.
func (e *Exchanger) requestGrant(ctx context.Context, member Member, take *Take) (Grant, error) {
	var grant Grant
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	err := e.exchange(ctx, member, func(stream net.Conn) error {
		if err := write(stream, &Frame{Kind: &Frame_Take{Take: take}}); err != nil {
			return err
		}
		frame, err := encoder.Read[Frame](stream, maxFrameBytes)
		if err != nil {
			return err
		}
		received, err := fromGranted(e.Now(), frame.GetGranted())
		if err != nil {
			return err
		}
		received.Records, err = readRecords(stream, nil)
		if err != nil {
			return err
		}
		e.metrics().received.Inc(int64(len(received.Records)))
		grant = received
		return nil
	})
	return grant, err
}

// Leave hands the keys over to their new owners. Once each of them has its records, it
// notifies all of them that the handoff is complete. It reports whether all of this
// succeeded.
func (e *Exchanger) Leave(ctx context.Context) bool {
	records, set, certain := e.Records.Leave(e.Now())
	e.mutex.Lock()
	term := e.term
	e.mutex.Unlock()
	if len(e.handOver(ctx, records)) > 0 || !certain || len(set) == 0 {
		e.metrics().countTransfer("leaves", false)
		_ = level.Info(e.Logger).Log("msg", "key handoff incomplete", "members", len(set), "certain", certain)
		return false
	}
	notice := &Sealed{Member: toProcess(e.Records.member()), Term: term, Set: toProcesses(set)}
	failed := e.forEach(set, func(member Member) error {
		return e.exchange(ctx, member, func(stream net.Conn) error {
			if err := write(stream, &Frame{Kind: &Frame_Sealed{Sealed: notice}}); err != nil {
				return err
			}
			return readDone(stream)
		})
	})
	complete := len(failed) == 0
	e.metrics().countTransfer("leaves", complete)
	_ = level.Info(e.Logger).Log("msg", "key handoff finished", "members", len(set), "complete", complete)
	return complete
}

// handOver sends each member its records and returns the members that have not
// confirmed them.
func (e *Exchanger) handOver(ctx context.Context, records map[Member][]Record) []Member {
	var targets []Member
	for member := range records {
		targets = append(targets, member)
	}
	return e.forEach(targets, func(member Member) error {
		return e.exchange(ctx, member, func(stream net.Conn) error {
			if err := writeRecords(stream, records[member]); err != nil {
				return err
			}
			e.metrics().sent.Inc(int64(len(records[member])))
			return readDone(stream)
		})
	})
}

// forEach calls send for all members concurrently and returns those for which it
// failed.
func (e *Exchanger) forEach(members []Member, send func(member Member) error) []Member {
	errs := make([]error, len(members))
	var group sync.WaitGroup
	for i, member := range members {
		group.Go(func() { errs[i] = send(member) })
	}
	group.Wait()
	var failed []Member
	for i, err := range errs {
		if err != nil {
			failed = append(failed, members[i])
			_ = level.Warn(e.Logger).Log("msg", "failed to hand keys over to peer", "peer", members[i].Name, "err", err)
		}
	}
	return failed
}

// exchange runs one exchange over a new stream, which is closed when ctx ends. A later
// process of the same name has no records of the member, so that its answer says nothing
// about them.
func (e *Exchanger) exchange(ctx context.Context, member Member, run func(stream net.Conn) error) error {
	stream, peer, err := e.Open(ctx, member.Name)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	if peer != member {
		return errOtherProcess
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	return run(stream)
}

// Serve serves one exchange that the process from has opened.
func (e *Exchanger) Serve(from Member, stream net.Conn) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(serveTimeout))
	if err := e.serve(from, stream); err != nil {
		_ = level.Debug(e.Logger).Log("msg", "failed to serve key exchange", "peer", from.Name, "err", err)
	}
}

func (e *Exchanger) serve(from Member, stream net.Conn) error {
	frame, err := encoder.Read[Frame](stream, maxFrameBytes)
	if err != nil {
		return err
	}
	switch kind := frame.GetKind().(type) {
	case *Frame_Take:
		return e.serveTake(from, kind.Take, stream)
	case *Frame_Records:
		records, err := readRecords(stream, kind.Records)
		if err != nil {
			return err
		}
		e.metrics().received.Inc(int64(len(records)))
		e.Records.Import(e.Now(), records)
	case *Frame_Sealed:
		member := fromProcess(kind.Sealed.GetMember())
		if member != from {
			return errProtocol
		}
		e.Records.RecordHandoff(e.Now(), member, kind.Sealed.GetTerm(), fromProcesses(kind.Sealed.GetSet()))
	default:
		return errProtocol
	}
	return write(stream, &Frame{Kind: &Frame_Done{Done: &Done{}}})
}

func (e *Exchanger) serveTake(from Member, take *Take, stream net.Conn) error {
	joiner := fromProcess(take.GetJoiner())
	if joiner != from {
		return errProtocol
	}
	var grant Grant
	if take.GetService() == e.Service() {
		grant = e.Records.Grant(e.Now(), joiner, take.GetTerm(), fromProcesses(take.GetView()), take.GetExecuting())
	}
	if err := write(stream, &Frame{Kind: &Frame_Granted{Granted: toGranted(e.Now(), grant)}}); err != nil {
		return err
	}
	e.metrics().sent.Inc(int64(len(grant.Records)))
	return writeRecords(stream, grant.Records)
}

func write(stream net.Conn, frame *Frame) error {
	_, err := encoder.Write(stream, frame)
	return err
}

func readDone(stream net.Conn) error {
	frame, err := encoder.Read[Frame](stream, maxFrameBytes)
	if err == nil && frame.GetDone() == nil {
		err = errProtocol
	}
	return err
}
