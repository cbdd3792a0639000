// Package limiter admits calls to the upstream beside this node.
package limiter

import (
	"context"
	"sync"
	"time"
)

// Reasons of refusals. None of these calls was started.
const (
	// Full means that the queue has no room, Shed that a call of a more urgent
	// rank took the place.
	Full = "queue-full"
	Shed = "shed"
	// Busy means that the wait for a slot is expected to be, or has been, too
	// long for the call.
	Busy     = "busy"
	Expired  = "deadline"
	Canceled = "canceled"
)

const (
	// runReserve is the part of the mean run time that has to be left before the
	// deadline when a call is expected to start.
	runReserve = 1.0
	// runLeast is the part below which a call is not started any more: hardly any
	// call is that much faster than the mean, and it would take a slot for nothing.
	runLeast = 0.1
	// objectiveRuns is the number of mean run times that a wait leaves of the
	// objective: most calls take less, and so end in time. With longer waits the
	// same number of calls is served under overload, and most of them late.
	objectiveRuns = 2
	// objectiveLeast and objectiveMost bound the wait as parts of the objective,
	// for upstreams that are slow and for those that are not known yet.
	objectiveLeast = 0.15
	objectiveMost  = 0.4
)

// Request describes a call that asks for a slot.
type Request struct {
	// Rank orders the waiting calls, 1 first and RankMax last.
	Rank int
	// Deadline is zero for none.
	Deadline time.Time
	// Objective is the latency within which a response has its full value; zero
	// means none.
	Objective time.Duration
	// Arrived is when the call entered the fleet; zero means now. Calls of a rank
	// start in the order in which their objectives end.
	Arrived time.Time
	// Nested says that an upstream makes the call while it runs another one. It
	// goes before the others of its rank, since a slot is held while it waits.
	Nested bool
}

// Refusal is why a call was not admitted; it is zero for an admitted call.
type Refusal struct {
	Reason string
	// After is the time after which capacity is expected; zero means unknown.
	After time.Duration
}

// Limits bound the work at an upstream.
type Limits struct {
	Slots       int
	Queue       int
	Connections int
}

// running is the number of calls that may run at once: a call occupies a
// connection, so that both limits apply.
func (l Limits) running() int {
	if l.Connections > 0 {
		return min(l.Slots, l.Connections)
	}
	return l.Slots
}

// Load is the work at an upstream.
type Load struct {
	Running int
	Queued  int
	Slots   int
}

// Limiter holds the slots of one upstream and the queue in front of them.
type Limiter struct {
	// Now is the clock that decides which waiting calls have expired when a
	// slot becomes free.
	Now func() time.Time

	mutex    sync.Mutex
	limits   Limits
	running  map[*run]struct{}
	queue    queue
	estimate estimate
	fairness fairness
	// timer ends the waits that take too long; due is when it fires next.
	timer *time.Timer
	due   time.Time
}

// run is a call that holds a slot.
type run struct {
	work  work
	began time.Time
}

// New returns a limiter that reads the time from the system clock.
func New(limits Limits) *Limiter {
	return &Limiter{Now: time.Now, limits: limits, running: map[*run]struct{}{}}
}

// Acquire waits for a slot. It returns a function that gives the slot back, or
// the reason why the call must not start.
func (l *Limiter) Acquire(ctx context.Context, now time.Time, want Request) (func(), Refusal) {
	if expired(now, want.Deadline) {
		return nil, Refusal{Reason: Expired}
	}
	if ctx.Err() != nil {
		return nil, l.ended(want.Deadline)
	}
	w := newWaiter(now, want)
	if refusal := l.enter(now, w); refusal.Reason != "" {
		return nil, refusal
	}
	return l.wait(ctx, w)
}

// Load returns the current load.
func (l *Limiter) Load() Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return Load{Running: len(l.running), Queued: l.queue.length, Slots: l.limits.running()}
}

// MeanRunTime returns the mean time for which recent calls of the same rank and objective
// held a slot, or zero if none has ended.
func (l *Limiter) MeanRunTime(rank int, objective time.Duration) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.estimate.ran(newWork(rank, objective))
}

// Resize sets new limits. Running calls continue; waiting calls beyond a
// smaller queue are shed, lowest rank first.
func (l *Limiter) Resize(limits Limits) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.Now()
	l.limits = limits
	l.grant(now)
	for l.queue.length > limits.Queue {
		l.refuse(now, l.queue.newest(func(int) bool { return true }), Shed)
	}
}

// enter grants a slot to w, queues it or refuses it.
func (l *Limiter) enter(now time.Time, w *waiter) Refusal {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	w.late = l.misses(now, w)
	if l.expires(now, w) {
		l.fairness.count(now, w.rank, false)
		return Refusal{Reason: Expired}
	}
	if len(l.running) < l.limits.running() && l.queue.length == 0 {
		l.start(now, w)
		return Refusal{}
	}
	wait := l.expected(now, w)
	bound, bounded := l.bound(now, w)
	if bounded && wait > bound {
		l.fairness.count(now, w.rank, false)
		return Refusal{Reason: Busy, After: wait}
	}
	if l.queue.length >= l.limits.Queue {
		victim := l.victim(now, w)
		if victim == nil {
			l.fairness.count(now, w.rank, false)
			return Refusal{Reason: Full, After: wait}
		}
		l.refuse(now, victim, Shed)
	}
	if bounded {
		w.until = now.Add(bound)
	}
	l.queue.push(w)
	l.schedule(now)
	return Refusal{}
}

// victim returns the waiting call that gives its place to w, or nil. A rank
// that starves keeps one place, and gets one that another rank has to spare.
func (l *Limiter) victim(now time.Time, w *waiter) *waiter {
	spare := func(rank int) bool { return l.queue.count(rank) > 1 || !l.fairness.starves(now, rank) }
	if l.limits.Queue == 0 {
		return nil
	}
	if victim := l.queue.newest(func(rank int) bool { return rank > w.rank && spare(rank) }); victim != nil {
		return victim
	}
	if l.queue.count(w.rank) == 0 && l.fairness.starves(now, w.rank) {
		if victim := l.queue.newest(func(rank int) bool { return l.queue.count(rank) > 1 }); victim != nil {
			return victim
		}
		return l.queue.newest(spare)
	}
	return nil
}

// bound returns how long w may wait, if there is a limit.
func (l *Limiter) bound(now time.Time, w *waiter) (time.Duration, bool) {
	var bound time.Duration
	bounded := false
	if !w.want.Deadline.IsZero() {
		bound, bounded = w.want.Deadline.Sub(now)-scale(l.estimate.work(w.work), runReserve), true
	}
	objective := w.want.Objective
	if objective <= 0 {
		return bound, bounded
	}
	wait := w.due().Sub(now) - objectiveRuns*l.estimate.work(w.work)
	wait = min(max(wait, scale(objective, objectiveLeast)), scale(objective, objectiveMost))
	if !bounded || wait < bound {
		bound, bounded = wait, true
	}
	return bound, bounded
}

// expected returns the time until w gets a slot if it waits: the calls before
// it start one after the other as slots become free.
func (l *Limiter) expected(now time.Time, w *waiter) time.Duration {
	var work time.Duration
	before := 0
	for rank := 1; rank <= w.rank; rank++ {
		count := l.queue.ahead(rank, w)
		before += count
		work += time.Duration(count) * l.estimate.rank(rank)
	}
	if l.fairness.starves(now, w.rank) {
		// Its turn comes at least once in turnEvery slots.
		turn := turnEvery * (l.queue.ahead(w.rank, w) + 1)
		if turn < before {
			work = time.Duration(turn) * l.estimate.all.value
		}
	}
	return l.remainder(now) + work/time.Duration(max(1, l.limits.running()))
}

// remainder returns the time until the first running call is expected to end.
// One that has run for longer than the mean counts with a part of it, since
// nothing is known of its end.
func (l *Limiter) remainder(now time.Time) time.Duration {
	if len(l.running) < l.limits.running() {
		return 0
	}
	least := time.Duration(-1)
	for r := range l.running {
		mean := l.estimate.work(r.work)
		left := max(mean-now.Sub(r.began), mean/4)
		if least < 0 || left < least {
			least = left
		}
	}
	return max(0, least)
}

// misses reports whether w is expected to miss its objective even without a wait.
func (l *Limiter) misses(now time.Time, w *waiter) bool {
	return w.want.Objective > 0 && now.Add(l.estimate.work(w.work)).After(w.due())
}

// expires reports whether w can't meet its deadline any more.
func (l *Limiter) expires(now time.Time, w *waiter) bool {
	return !w.want.Deadline.IsZero() && w.want.Deadline.Sub(now) <= scale(l.estimate.work(w.work), runLeast)
}

// refuse takes w out of the queue.
func (l *Limiter) refuse(now time.Time, w *waiter, reason string) {
	l.queue.remove(w)
	l.fairness.count(now, w.rank, false)
	refusal := Refusal{Reason: reason}
	if reason != Expired {
		refusal.After = l.expected(now, w)
	}
	w.settled <- refusal
}

// start gives a slot to w.
func (l *Limiter) start(now time.Time, w *waiter) {
	w.run = &run{work: w.work, began: now}
	l.running[w.run] = struct{}{}
	l.fairness.count(now, w.rank, true)
	w.settled <- Refusal{}
}

// schedule sets the timer for the first wait that will be too long.
func (l *Limiter) schedule(now time.Time) {
	first := l.queue.first()
	if first.IsZero() || first.Equal(l.due) {
		return
	}
	l.due = first
	if l.timer == nil {
		l.timer = time.AfterFunc(first.Sub(now), func() { l.expire(l.Now()) })
		return
	}
	l.timer.Reset(first.Sub(now))
}

// expire refuses the calls that have waited for too long.
func (l *Limiter) expire(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.due = time.Time{}
	for _, w := range l.queue.overdue(now) {
		reason := Busy
		if l.expires(now, w) || expired(now, w.want.Deadline) {
			reason = Expired
		}
		l.refuse(now, w, reason)
	}
	l.schedule(now)
}

func (l *Limiter) wait(ctx context.Context, w *waiter) (func(), Refusal) {
	select {
	case refusal := <-w.settled:
		return l.granted(ctx, w, refusal)
	case <-ctx.Done():
	}
	l.mutex.Lock()
	left := l.queue.remove(w)
	l.mutex.Unlock()
	if left {
		return nil, l.ended(w.want.Deadline)
	}
	return l.granted(ctx, w, <-w.settled)
}

// granted gives a slot back when the call ended between the grant and now, so
// that an expired call is not started.
func (l *Limiter) granted(ctx context.Context, w *waiter, refusal Refusal) (func(), Refusal) {
	if refusal.Reason != "" {
		return nil, refusal
	}
	if ctx.Err() != nil || expired(l.Now(), w.want.Deadline) {
		l.end(w.run, false)
		return nil, l.ended(w.want.Deadline)
	}
	return func() { l.end(w.run, true) }, Refusal{}
}

func (l *Limiter) ended(deadline time.Time) Refusal {
	if expired(l.Now(), deadline) {
		return Refusal{Reason: Expired}
	}
	return Refusal{Reason: Canceled}
}

// end gives a slot back once. The time counts unless the call was not started.
func (l *Limiter) end(r *run, started bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, ok := l.running[r]; !ok {
		return
	}
	delete(l.running, r)
	now := l.Now()
	if started {
		l.estimate.add(r.work, now.Sub(r.began))
	}
	l.grant(now)
}

// grant hands free slots to waiting calls that can still meet their deadlines.
func (l *Limiter) grant(now time.Time) {
	for len(l.running) < l.limits.running() && l.queue.length > 0 {
		next := l.queue.oldest(l.fairness.turn(now, &l.queue))
		if l.expires(now, next) {
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

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
