// Package limiter limits the concurrent calls to the upstream beside this node and
// queues the excess calls by priority.
package limiter

import (
	"context"
	"sync"
	"time"
)

// Reasons for refusals. A refused call has not been started.
const (
	// QueueFull means that the queue has no place left.
	QueueFull = "queue-full"
	// Shed means that the call's place in the queue went to a more urgent call.
	Shed = "shed"
	// Busy means that the wait for a slot is expected to exceed, or has exceeded,
	// the time that the call may wait.
	Busy     = "busy"
	Expired  = "deadline"
	Canceled = "canceled"
)

// Request describes a call that requests a slot.
type Request struct {
	// Rank is the priority of the call, from 1 (the most urgent) to MaxRank.
	Rank int
	// Deadline is the time by which the call must end; zero means none.
	Deadline time.Time
	// Objective is the latency within which a response has its full value; zero
	// means none.
	Objective time.Duration
	// Arrived is the time when the call entered the fleet; zero means now. Calls of
	// one rank start in the order in which their objectives end.
	Arrived time.Time
	// Nested says that an upstream makes the call while it runs another call.
	// Nested calls start before the others of their rank, since the outer call
	// holds a slot while they wait.
	Nested bool
	// Account is the client account of the call; empty means none. Accounts of one
	// rank share the slots.
	Account string
	// BodyReceived is closed when the body of a streamed call has arrived. It is nil
	// if the body is in memory.
	BodyReceived <-chan struct{}
}

// transfers reports whether the body of the call is transferred while the call
// holds its slot.
func (r Request) transfers() bool { return r.BodyReceived != nil }

// Refusal says why a call was not admitted; it is zero for an admitted call.
type Refusal struct {
	Reason string
	// After is the time until capacity is expected; zero means unknown.
	After time.Duration
}

// Limits bound the running and waiting calls of an upstream.
type Limits struct {
	Slots       int
	Queue       int
	Connections int
}

// maxRunning returns the number of calls that may run at once. Each running call
// occupies a connection, so both limits apply.
func (l Limits) maxRunning() int {
	if l.Connections > 0 {
		return min(l.Slots, l.Connections)
	}
	return l.Slots
}

// Load is the current load of an upstream.
type Load struct {
	Running int
	Queued  int
	Slots   int
}

// Limiter grants the slots of one upstream and queues calls that wait for one.
type Limiter struct {
	// Now is the clock that decides which waiting calls have expired when a
	// slot becomes free.
	Now func() time.Time
	// Weight returns the weight of an account's share of the slots, for example the
	// rate that it has agreed on. Zero or less means the mean weight.
	Weight func(account string) float64

	mutex    sync.Mutex
	limits   Limits
	running  map[*runningCall]struct{}
	queue    queue
	runTimes runTimes
	fairness fairness
	shares   shares
	// transfers is the number of running calls whose bodies are being transferred.
	transfers     int
	transferTimes movingAverage
	// timer expires waits that take too long; timerDue is when it fires next.
	timer    *time.Timer
	timerDue time.Time
}

// runningCall is a call that holds a slot.
type runningCall struct {
	kind      callKind
	startedAt time.Time
	// transfer is set while the transfer of the body counts.
	transfer bool
	// released is closed when the slot is released.
	released chan struct{}
}

// New returns a limiter that reads the time from the system clock.
func New(limits Limits) *Limiter {
	return &Limiter{Now: time.Now, Weight: func(string) float64 { return 0 }, limits: limits, running: map[*runningCall]struct{}{}}
}

// Acquire waits for a slot. It returns a function that releases the slot, or the
// reason why the call must not start.
func (l *Limiter) Acquire(ctx context.Context, now time.Time, request Request) (func(), Refusal) {
	if expired(now, request.Deadline) {
		return nil, Refusal{Reason: Expired}
	}
	if ctx.Err() != nil {
		return nil, l.endRefusal(request.Deadline)
	}
	w := newWaiter(now, request)
	if refusal := l.admit(now, w); refusal.Reason != "" {
		return nil, refusal
	}
	return l.wait(ctx, w)
}

// Load returns the current load.
func (l *Limiter) Load() Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return Load{Running: len(l.running), Queued: l.queue.length, Slots: l.limits.maxRunning()}
}

// MeanRunTime returns the mean time for which recent calls of the rank and
// objective held a slot, or zero if no such call has ended.
func (l *Limiter) MeanRunTime(rank int, objective time.Duration) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.runTimes.observed(newCallKind(rank, objective))
}

// Resize sets new limits. Running calls continue; waiting calls beyond a
// smaller queue are shed, the least urgent rank first.
func (l *Limiter) Resize(limits Limits) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.Now()
	l.limits = limits
	l.grantSlots(now)
	for l.queue.length > limits.Queue {
		l.refuse(now, l.queue.tail(func(int) bool { return true }), Shed)
	}
}

// admit grants a slot to w, queues it or refuses it.
func (l *Limiter) admit(now time.Time, w *waiter) Refusal {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	w.late = l.missesObjective(now, w)
	if w.request.Account != "" {
		w.tag = l.shares.tag(w.request.Account, l.Weight(w.request.Account), l.runTimes.forKind(w.callKind), l.runTimes.all.value)
	}
	if l.missesDeadline(now, w) {
		l.fairness.record(now, w.rank, false)
		return Refusal{Reason: Expired}
	}
	if len(l.running) < l.limits.maxRunning() && (!w.request.transfers() || l.canTransfer()) {
		// Each waiting call waits for the transfer of other bodies, since free slots
		// are granted at once.
		l.start(now, w)
		return Refusal{}
	}
	wait := l.expectedWait(now, w)
	bound, bounded := l.maxWait(now, w)
	if bounded && wait > bound {
		l.fairness.record(now, w.rank, false)
		return Refusal{Reason: Busy, After: wait}
	}
	if l.queue.length >= l.limits.Queue {
		victim := l.victim(now, w)
		if victim == nil {
			l.fairness.record(now, w.rank, false)
			return Refusal{Reason: QueueFull, After: wait}
		}
		l.refuse(now, victim, Shed)
	}
	if bounded {
		w.waitDeadline = now.Add(bound)
	}
	l.queue.push(w)
	l.scheduleExpiry(now)
	return Refusal{}
}

// victim returns the waiting call to shed in favor of w, or nil. The only waiting
// call of a starving rank is not shed, and a starving rank without a waiting call
// may displace a call of any other rank. A call of an account that is ahead of its
// share gives way to one of its rank whose account is not.
func (l *Limiter) victim(now time.Time, w *waiter) *waiter {
	evictable := func(rank int) bool { return l.queue.count(rank) > 1 || !l.fairness.isStarving(now, rank) }
	if l.limits.Queue == 0 {
		return nil
	}
	if victim := l.queue.tail(func(rank int) bool { return rank > w.rank && evictable(rank) }); victim != nil {
		return victim
	}
	if !w.tag.ahead {
		if waiters := l.queue.waiters[w.rank]; len(waiters) > 0 && waiters[len(waiters)-1].tag.ahead {
			return waiters[len(waiters)-1]
		}
	}
	if l.queue.count(w.rank) == 0 && l.fairness.isStarving(now, w.rank) {
		if victim := l.queue.tail(func(rank int) bool { return l.queue.count(rank) > 1 }); victim != nil {
			return victim
		}
		return l.queue.tail(evictable)
	}
	return nil
}

// refuse removes w from the queue and refuses it with reason.
func (l *Limiter) refuse(now time.Time, w *waiter, reason string) {
	l.queue.remove(w)
	l.fairness.record(now, w.rank, false)
	refusal := Refusal{Reason: reason}
	if reason != Expired {
		refusal.After = l.expectedWait(now, w)
	}
	w.decision <- refusal
}

// start grants a slot to w.
func (l *Limiter) start(now time.Time, w *waiter) {
	w.running = &runningCall{kind: w.callKind, startedAt: now, released: make(chan struct{})}
	l.running[w.running] = struct{}{}
	if w.request.transfers() {
		l.startTransfer(w)
	}
	l.fairness.record(now, w.rank, true)
	l.shares.start(w.tag)
	w.decision <- Refusal{}
}

// scheduleExpiry sets the timer to the earliest wait deadline.
func (l *Limiter) scheduleExpiry(now time.Time) {
	first := l.queue.earliestWaitDeadline()
	if first.IsZero() || first.Equal(l.timerDue) {
		return
	}
	l.timerDue = first
	if l.timer == nil {
		l.timer = time.AfterFunc(first.Sub(now), func() { l.expireWaits(l.Now()) })
		return
	}
	l.timer.Reset(first.Sub(now))
}

// expireWaits refuses the calls whose wait deadline has passed.
func (l *Limiter) expireWaits(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.timerDue = time.Time{}
	for _, w := range l.queue.overdue(now) {
		reason := Busy
		if l.missesDeadline(now, w) || expired(now, w.request.Deadline) {
			reason = Expired
		}
		l.refuse(now, w, reason)
	}
	l.scheduleExpiry(now)
}

// wait blocks until w has a decision or ctx ends.
func (l *Limiter) wait(ctx context.Context, w *waiter) (func(), Refusal) {
	select {
	case refusal := <-w.decision:
		return l.acceptGrant(ctx, w, refusal)
	case <-ctx.Done():
	}
	l.mutex.Lock()
	removed := l.queue.remove(w)
	l.mutex.Unlock()
	if removed {
		return nil, l.endRefusal(w.request.Deadline)
	}
	return l.acceptGrant(ctx, w, <-w.decision)
}

// acceptGrant returns the decision on w. It releases a granted slot if the call has
// ended since the grant, so that an expired call is not started.
func (l *Limiter) acceptGrant(ctx context.Context, w *waiter, refusal Refusal) (func(), Refusal) {
	if refusal.Reason != "" {
		return nil, refusal
	}
	if ctx.Err() != nil || expired(l.Now(), w.request.Deadline) {
		l.release(w.running, false)
		return nil, l.endRefusal(w.request.Deadline)
	}
	return func() { l.release(w.running, true) }, Refusal{}
}

// endRefusal returns the refusal of a call whose context has ended.
func (l *Limiter) endRefusal(deadline time.Time) Refusal {
	if expired(l.Now(), deadline) {
		return Refusal{Reason: Expired}
	}
	return Refusal{Reason: Canceled}
}

// release frees the slot of r; further calls for the same r do nothing. The run time
// is recorded only if the call was started.
func (l *Limiter) release(r *runningCall, started bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, ok := l.running[r]; !ok {
		return
	}
	delete(l.running, r)
	close(r.released)
	now := l.Now()
	l.endTransfer(now, r)
	if started {
		l.runTimes.add(r.kind, now.Sub(r.startedAt))
	}
	l.grantSlots(now)
}

// grantSlots grants free slots to waiting calls that can still meet their
// deadlines, and refuses the others as their turn comes.
func (l *Limiter) grantSlots(now time.Time) {
	for len(l.running) < l.limits.maxRunning() {
		next := l.fairness.next(now, &l.queue, l.canTransfer())
		if next == nil {
			return
		}
		next = l.shares.choose(&l.queue, next, l.canTransfer())
		if l.missesDeadline(now, next) {
			l.refuse(now, next, Expired)
			continue
		}
		l.queue.remove(next)
		l.start(now, next)
	}
}

func expired(now, deadline time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
