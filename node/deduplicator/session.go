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

// Kind is the stream kind for exchanges of keys between the nodes of a service.
const Kind = "keys"

const (
	// frameBytes bounds a frame, batchBytes the responses in one. A recorded
	// response has at most 32 KiB.
	frameBytes = 1 << 20
	batchBytes = 256 << 10
	batchCount = 1024
	// exchangeWait bounds one exchange on the side that serves it.
	exchangeWait = 5 * time.Second
	// askWait bounds one attempt to get a member's grant, so that a member that
	// is paused does not hold up the answers of the others.
	askWait = time.Second
	// retryWait is the pause of a join after which members that have not granted
	// are asked again.
	retryWait = 50 * time.Millisecond
	// meetWait is the same for strangers, whose view takes longer to agree.
	meetWait = 250 * time.Millisecond
)

var errProtocol = errors.New("unexpected frame")

// Exchanger hands keys over between the processes of a service.
type Exchanger struct {
	Records *Deduplicator
	// Service is the service that the upstream here serves, empty without one.
	Service func() string
	// Members returns the announced members of the service but for this one.
	Members func() []Member
	Open    func(ctx context.Context, member string) (net.Conn, error)
	Now     func() time.Time
	Logger  log.Logger
	Scope   tally.Scope

	mutex sync.Mutex
	// counted is made of Scope at the first use.
	counted *metrics
	term    uint64
	// handed are the records of the last Leave whose requests were unfinished.
	handed map[Member][]Record
}

// metrics returns the metrics of the exchanges.
func (e *Exchanger) metrics() *metrics {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.counted == nil {
		e.counted = newMetrics(e.Scope)
	}
	return e.counted
}

// Join takes this process's keys over from the members. It asks until each one
// has granted or ctx ends, and reports whether the join is complete.
func (e *Exchanger) Join(ctx context.Context) bool {
	e.mutex.Lock()
	e.term++
	term := e.term
	e.mutex.Unlock()
	e.Records.Prepare(e.Now())
	grants := map[Member]Grant{}
	var learned []Member
	for {
		view := e.view(learned)
		missing := slices.DeleteFunc(slices.Clone(view), func(member Member) bool { return valid(grants[member], view, e.Records.member()) })
		if len(missing) == 0 || ctx.Err() != nil {
			for _, member := range missing {
				delete(grants, member)
			}
			complete := e.Records.Join(e.Now(), view, grants)
			e.metrics().moved("joins", complete)
			_ = level.Info(e.Logger).Log("msg", "keys taken over", "members", len(view), "missing", len(missing), "complete", complete)
			return complete
		}
		for member, grant := range e.askAll(ctx, missing, e.take(term, view, false)) {
			grants[member] = grant
			learned = merge(learned, grant.Set, e.Records.Self)
		}
		if len(e.view(learned)) == len(view) {
			pause(ctx, retryWait)
		}
	}
}

// Run asks strangers for the keys of this process, and sends the results of
// requests that ended after their keys were handed over, until ctx ends.
func (e *Exchanger) Run(ctx context.Context) error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		e.metrics().update(e.Records.Sizes(e.Now()))
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-e.Records.wake:
			e.SendResults(ctx)
			e.Meet(ctx)
		}
	}
}

// Meet asks strangers until all have granted or are gone, or ctx ends.
func (e *Exchanger) Meet(ctx context.Context) {
	for strangers := e.Records.Strangers(); len(strangers) > 0 && ctx.Err() == nil; strangers = e.Records.Strangers() {
		e.mutex.Lock()
		term := e.term
		e.mutex.Unlock()
		e.Records.Meet(e.Now(), e.askAll(ctx, strangers, e.take(term, e.view(nil), true)))
		left := len(e.Records.Strangers())
		e.metrics().strangers.Inc(met(len(strangers), left))
		_ = level.Info(e.Logger).Log("msg", "members met", "strangers", len(strangers), "left", left)
		if left > 0 {
			pause(ctx, meetWait)
		}
	}
}

// met returns how many of the strangers asked are strangers no more. Others may
// have come meanwhile, and a counter that decreased would stop the process.
func met(asked, left int) int64 { return int64(max(0, asked-left)) }

// take returns the request for the keys that this process owns among view.
func (e *Exchanger) take(term uint64, view []Member, executing bool) *Take {
	return &Take{
		Service: e.Service(), Joiner: toProcess(e.Records.member()), Term: term,
		View: toProcesses(view), Executing: executing,
	}
}

// valid reports whether a grant still holds when the joiner owns keys among view:
// the member must know nobody beyond it, since a larger view owns fewer keys.
func valid(grant Grant, view []Member, self Member) bool {
	unseen := func(member Member) bool { return member != self && !slices.Contains(view, member) }
	return grant.Granted && !slices.ContainsFunc(grant.Set, unseen)
}

// view returns the announced members, and those learned from others that are
// not announced yet.
func (e *Exchanger) view(learned []Member) []Member {
	return merge(slices.Clone(e.Members()), learned, e.Records.Self)
}

// merge adds members of other names to set.
func merge(set, more []Member, self string) []Member {
	for _, member := range more {
		named := func(known Member) bool { return known.Name == member.Name }
		if member.Name != self && !slices.ContainsFunc(set, named) {
			set = append(set, member)
		}
	}
	return set
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// askAll asks members at the same time.
func (e *Exchanger) askAll(ctx context.Context, members []Member, take *Take) map[Member]Grant {
	grants := make([]Grant, len(members))
	var group sync.WaitGroup
	for i, member := range members {
		group.Go(func() {
			grant, err := e.ask(ctx, member, take)
			if err != nil {
				_ = level.Debug(e.Logger).Log("msg", "keys not granted", "peer", member.Name, "err", err)
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

// ask sends a Take and reads the grant with its records.
func (e *Exchanger) ask(ctx context.Context, member Member, take *Take) (Grant, error) {
	var grant Grant
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	err := e.exchange(ctx, member, func(stream net.Conn) error {
		if err := write(stream, &Frame{Kind: &Frame_Take{Take: take}}); err != nil {
			return err
		}
		frame, err := encoder.Read[Frame](stream, frameBytes)
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

// Leave hands the keys over to their owners and, once each of them has its
// records, tells all of them. It reports whether all of it succeeded.
func (e *Exchanger) Leave(ctx context.Context) bool {
	records, set, sealed := e.Records.Leave(e.Now())
	e.mutex.Lock()
	term := e.term
	e.mutex.Unlock()
	if !e.handOver(ctx, records) || !sealed || len(set) == 0 {
		e.metrics().moved("leaves", false)
		_ = level.Info(e.Logger).Log("msg", "keys handed over in part", "members", len(set), "certain", sealed)
		return false
	}
	notice := &Sealed{Member: toProcess(e.Records.member()), Term: term, Set: toProcesses(set)}
	complete := e.each(set, func(member Member) error {
		return e.exchange(ctx, member, func(stream net.Conn) error {
			if err := write(stream, &Frame{Kind: &Frame_Sealed{Sealed: notice}}); err != nil {
				return err
			}
			return readDone(stream)
		})
	})
	e.metrics().moved("leaves", complete)
	_ = level.Info(e.Logger).Log("msg", "keys handed over", "members", len(set), "complete", complete)
	return complete
}

// SendResults hands over the results of requests that ended after their keys.
func (e *Exchanger) SendResults(ctx context.Context) {
	e.handOver(ctx, e.Records.Owed())
}

// handOver sends records to their members and reports whether all have them.
func (e *Exchanger) handOver(ctx context.Context, records map[Member][]Record) bool {
	var targets []Member
	for member := range records {
		targets = append(targets, member)
	}
	return e.each(targets, func(member Member) error {
		return e.exchange(ctx, member, func(stream net.Conn) error {
			if err := writeRecords(stream, records[member]); err != nil {
				return err
			}
			e.metrics().sent.Inc(int64(len(records[member])))
			return readDone(stream)
		})
	})
}

// each runs send for all members at the same time and reports whether all succeeded.
func (e *Exchanger) each(members []Member, send func(member Member) error) bool {
	failed := make([]error, len(members))
	var group sync.WaitGroup
	for i, member := range members {
		group.Go(func() { failed[i] = send(member) })
	}
	group.Wait()
	for i, err := range failed {
		if err != nil {
			_ = level.Warn(e.Logger).Log("msg", "keys not handed over", "peer", members[i].Name, "err", err)
		}
	}
	return !slices.ContainsFunc(failed, func(err error) bool { return err != nil })
}

// exchange runs one exchange over a new stream, until ctx ends.
func (e *Exchanger) exchange(ctx context.Context, member Member, run func(stream net.Conn) error) error {
	stream, err := e.Open(ctx, member.Name)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	release := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer release()
	return run(stream)
}

// Serve answers one exchange of the node from.
func (e *Exchanger) Serve(from string, stream net.Conn) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(exchangeWait))
	if err := e.serve(from, stream); err != nil {
		_ = level.Debug(e.Logger).Log("msg", "exchange of keys failed", "peer", from, "err", err)
	}
}

func (e *Exchanger) serve(from string, stream net.Conn) error {
	frame, err := encoder.Read[Frame](stream, frameBytes)
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
		if member.Name != from {
			return errProtocol
		}
		e.Records.Seal(e.Now(), member, kind.Sealed.GetTerm(), fromProcesses(kind.Sealed.GetSet()))
	default:
		return errProtocol
	}
	return write(stream, &Frame{Kind: &Frame_Done{Done: &Done{}}})
}

func (e *Exchanger) serveTake(from string, take *Take, stream net.Conn) error {
	joiner := fromProcess(take.GetJoiner())
	if joiner.Name != from {
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
	frame, err := encoder.Read[Frame](stream, frameBytes)
	if err == nil && frame.GetDone() == nil {
		err = errProtocol
	}
	return err
}
