package releaser

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"sycamorerun"
	"sycamorerun/persister"
)

// recordPrefix is the key prefix of the records of rollouts.
const recordPrefix = "rollout/"

const (
	// stepInterval is the time between two decisions.
	stepInterval = 250 * time.Millisecond
	// callTimeout bounds a store call other than a watch.
	callTimeout = 2 * time.Second
	// watchTimeout bounds a watch.
	watchTimeout = 4 * time.Second
	// progressInterval is the time between two log lines about a rollout in progress.
	progressInterval = 2 * time.Second
	// unknownPeriod is the time between two reads of the orders while a service has a
	// new release without an order, since a watch may miss the order for seconds.
	unknownPeriod = 500 * time.Millisecond
	// minRetry and maxRetry bound the delay after a failed call.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Second
)

// transitions lists the phases from which a phase can be entered.
var transitions = map[Phase][]Phase{
	PhaseTrial: {PhaseNone}, PhaseTaking: {PhaseTrial},
	PhaseCompleted: {PhaseTaking}, PhaseRolledBack: {PhaseTrial, PhaseTaking},
}

// errReplaced is returned while the decider's view of an order is older than the
// record of the order that replaced it.
var errReplaced = errors.New("the record is of a later order")

// Keeper runs the Decider on the node that decides: it watches the orders, stores the
// decisions and answers the reports of the other nodes. Set the exported fields before
// Run.
type Keeper struct {
	Orders  Orders
	Store   persister.Store
	Share   float64
	Members func(service string) []sycamorerun.Instance
	// IsDecider reports whether this node decides.
	IsDecider func() bool
	Logger    log.Logger
	Scope     tally.Scope

	reading sync.Mutex
	mutex   sync.Mutex
	decider *Decider
	writing map[string]bool
	faults  map[string]uint64
	// reported is the time of the last log lines about the progress.
	reported time.Time
	// reread is the time of the last read for a release without an order.
	reread time.Time
}

// Run decides while this node is the decider, until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if k.IsDecider() {
			k.decide(ctx)
		}
		sleep(ctx, stepInterval)
	}
	return nil
}

// decide decides until this node is no longer the decider. The next time it starts
// from what the store and the other nodes know.
func (k *Keeper) decide(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k.mutex.Lock()
	k.decider, k.writing, k.faults = NewDecider(k.Share), map[string]bool{}, map[string]uint64{}
	decider := k.decider
	k.mutex.Unlock()
	level.Info(k.Logger).Log("msg", "this node decides about rollouts")
	go k.follow(ctx, decider)
	for k.IsDecider() && ctx.Err() == nil {
		k.step(ctx, decider)
		sleep(ctx, stepInterval)
	}
	k.mutex.Lock()
	k.decider = nil
	k.mutex.Unlock()
	level.Info(k.Logger).Log("msg", "this node no longer decides about rollouts")
}

// step starts the store calls that the decider needs, one at a time for each service.
func (k *Keeper) step(ctx context.Context, decider *Decider) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if now := time.Now(); now.Sub(k.reported) >= progressInterval {
		k.reported = now
		for _, service := range decider.active() {
			level.Info(k.Logger).Log("msg", "rollout in progress", "service", service, "evidence", decider.summary(service))
		}
	}
	if now := time.Now(); now.Sub(k.reread) >= unknownPeriod && decider.unknown(now) {
		k.reread = now
		go func() { _, _ = k.read(ctx, decider) }()
	}
	for _, order := range decider.Unloaded() {
		k.start(order.Service, func() { k.load(ctx, decider, order) })
	}
	for _, step := range decider.Step(time.Now(), k.Members) {
		k.start(step.Order.Service, func() { k.commit(ctx, decider, step) })
	}
}

func (k *Keeper) start(service string, call func()) {
	if k.writing[service] {
		return
	}
	k.writing[service] = true
	go func() {
		call()
		k.mutex.Lock()
		defer k.mutex.Unlock()
		k.writing[service] = false
	}()
}

func (k *Keeper) load(ctx context.Context, decider *Decider, order Order) {
	record, _, err := k.readRecord(ctx, order)
	if err != nil {
		k.retry(ctx, "rollout record not read; retrying", order, err)
		return
	}
	k.setRecord(decider, order, record)
}

func (k *Keeper) setRecord(decider *Decider, order Order, record Record) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	decider.SetRecord(order, record)
}

func (k *Keeper) retry(ctx context.Context, message string, order Order, err error) {
	level.Warn(k.Logger).Log("msg", message, "service", order.Service, "release", order.Release, "err", err)
	sleep(ctx, maxRetry/2)
}

func (k *Keeper) readRecord(ctx context.Context, order Order) (Record, persister.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var record Record
	found, err := k.Store.Get(ctx, recordPrefix+order.Service)
	if errors.Is(err, persister.ErrMissing) {
		return record, 0, nil
	}
	if err != nil {
		return record, 0, err
	}
	err = json.Unmarshal(found.Value, &record)
	if err == nil && record.Order != order.ID && record.Revision > order.Revision {
		return Record{}, 0, errReplaced
	}
	if err != nil || record.Order != order.ID {
		// The record of an earlier order, or one that can't be read, is replaced.
		record = Record{}
	}
	return record, found.Revision, nil
}

// commit stores a step if the store holds the phase in which it was decided, and then the state of
// the order. Both are conditional, so that of two deciders only one can win.
func (k *Keeper) commit(ctx context.Context, decider *Decider, step Step) {
	stored, revision, err := k.readRecord(ctx, step.Order)
	if err != nil {
		k.retry(ctx, "rollout record not read; retrying", step.Order, err)
		return
	}
	if stored.Phase != step.Record.Phase {
		if stored.Phase != step.From || !follows(stored.Phase, step.Record.Phase) {
			// Another decider was faster.
			k.setRecord(decider, step.Order, stored)
			return
		}
		if err := k.writeRecord(ctx, step, revision); err != nil {
			k.retry(ctx, "rollout record not written; retrying", step.Order, err)
			return
		}
		level.Info(k.Logger).Log("msg", "rollout", "service", step.Order.Service, "release", step.Order.Release,
			"phase", step.Record.Phase, "reason", step.Record.Reason, "evidence", k.evidence(decider, step.Order))
		k.count("rollout_steps", string(step.Record.Phase))
		stored = step.Record
	}
	k.setRecord(decider, step.Order, stored)
	if state := states[stored.Phase]; state != step.Order.State {
		stateCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := k.Orders.SetState(stateCtx, step.Order, state); err != nil {
			k.retry(ctx, "rollout state not written; retrying", step.Order, err)
			return
		}
		level.Info(k.Logger).Log("msg", "rollout state written", "service", step.Order.Service, "release", step.Order.Release, "state", state)
		k.read(ctx, decider)
	}
}

func follows(from, to Phase) bool {
	for _, allowed := range transitions[to] {
		if from == allowed {
			return true
		}
	}
	return false
}

func (k *Keeper) writeRecord(ctx context.Context, step Step, expected persister.Revision) error {
	data, err := json.Marshal(step.Record)
	if err != nil {
		return errors.Wrap(err, "encode rollout record")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = k.Store.Put(ctx, recordPrefix+step.Order.Service, data, expected)
	return err
}

func (k *Keeper) evidence(decider *Decider, order Order) string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return decider.summary(order.Service)
}

func (k *Keeper) count(name, phase string) {
	if k.Scope != nil {
		k.Scope.Tagged(map[string]string{"phase": phase}).Counter(name).Inc(1)
	}
}

// follow keeps the view of the orders up to date until ctx ends.
func (k *Keeper) follow(ctx context.Context, decider *Decider) {
	delay := minRetry
	for ctx.Err() == nil {
		err := k.watch(ctx, decider)
		if err != nil && ctx.Err() == nil {
			level.Debug(k.Logger).Log("msg", "watch of the rollouts failed; retrying", "err", err)
			sleep(ctx, delay)
			delay = min(2*delay, maxRetry)
			continue
		}
		delay = minRetry
	}
}

// watch reads the orders and waits for changes until a call fails or the orders have
// changed.
func (k *Keeper) watch(ctx context.Context, decider *Decider) error {
	after, err := k.read(ctx, decider)
	for err == nil && ctx.Err() == nil {
		started := time.Now()
		watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
		var changed bool
		changed, after, err = k.Orders.Watch(watchCtx, after)
		cancel()
		if changed {
			return nil
		}
		if err == nil {
			k.mutex.Lock()
			decider.RenewOrders(time.Now())
			k.mutex.Unlock()
		}
		if time.Since(started) < minRetry {
			sleep(ctx, minRetry)
		}
	}
	return err
}

// read reads the orders and logs those that can't be carried out.
func (k *Keeper) read(ctx context.Context, decider *Decider) (persister.Revision, error) {
	// Of two concurrent reads the older could take effect last.
	k.reading.Lock()
	defer k.reading.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	orders, revision, err := k.Orders.List(ctx)
	if err != nil {
		return 0, err
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	decider.SetOrders(time.Now(), orders)
	for _, order := range orders {
		if order.Fault != "" && k.faults[order.Service] != uint64(order.Revision) {
			k.faults[order.Service] = uint64(order.Revision)
			level.Warn(k.Logger).Log("msg", "rollout order ignored", "service", order.Service, "reason", order.Fault)
		}
	}
	return revision, nil
}

// answer returns the decisions for a node that has sent a report.
func (k *Keeper) answer(now time.Time, report *Report) *Words {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.decider == nil || !k.IsDecider() {
		return &Words{}
	}
	k.decider.Report(now, reporter(report), report.GetProgress())
	words := &Words{Known: true}
	for _, p := range report.GetProgress() {
		if next, ok := k.decider.decide(now, p.GetService(), k.Members(p.GetService())); ok {
			words.Words = append(words.Words, encodeDecision(next))
		}
	}
	return words
}

func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
