// Package limiter admits calls to the upstream beside this node.
package limiter

import (
	"context"
	"sync"
	"time"

	"sycamorerun"
)

// Refusal is why a call was not admitted; it is empty for an admitted call.
type Refusal string

// Refusals. None of these calls was started.
const (
	None     Refusal = ""
	Full     Refusal = "queue-full"
	Shed     Refusal = "shed"
	Expired  Refusal = "deadline"
	Canceled Refusal = "canceled"
)

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

	mutex   sync.Mutex
	limits  Limits
	running int
	queue   queue
}

// New returns a limiter that reads the time from the system clock.
func New(limits Limits) *Limiter {
	return &Limiter{Now: time.Now, limits: limits}
}

// Acquire waits for a slot. It returns a function that gives the slot back, or
// the reason why the call must not start. A zero deadline means none.
func (l *Limiter) Acquire(ctx context.Context, now time.Time, class sycamorerun.Class, deadline time.Time) (func(), Refusal) {
	if expired(now, deadline) {
		return nil, Expired
	}
	if ctx.Err() != nil {
		return nil, l.ended(deadline)
	}
	waiting, refusal := l.enter(class, deadline)
	if refusal != None {
		return nil, refusal
	}
	if waiting == nil {
		return l.release(), None
	}
	return l.wait(ctx, waiting)
}

// Load returns the current load.
func (l *Limiter) Load() Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return Load{Running: l.running, Queued: l.queue.length(), Slots: l.limits.running()}
}

// Resize sets new limits. Running calls continue; waiting calls beyond a
// smaller queue are shed, lowest class first.
func (l *Limiter) Resize(limits Limits) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.limits = limits
	l.grant(l.Now())
	for l.queue.length() > limits.Queue {
		l.queue.shed(len(ranks)).settle(Shed)
	}
}

// enter takes a slot, or a place in the queue when it returns a waiter.
func (l *Limiter) enter(class sycamorerun.Class, deadline time.Time) (*waiter, Refusal) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.running < l.limits.running() && l.queue.length() == 0 {
		l.running++
		return nil, None
	}
	rank := rankOf(class)
	if l.queue.length() >= l.limits.Queue {
		victim := l.queue.shed(rank)
		if victim == nil {
			return nil, Full
		}
		victim.settle(Shed)
	}
	waiting := &waiter{rank: rank, deadline: deadline, settled: make(chan Refusal, 1)}
	l.queue.push(waiting)
	return waiting, None
}

func (l *Limiter) wait(ctx context.Context, waiting *waiter) (func(), Refusal) {
	select {
	case refusal := <-waiting.settled:
		return l.granted(ctx, waiting, refusal)
	case <-ctx.Done():
	}
	l.mutex.Lock()
	left := l.queue.remove(waiting)
	l.mutex.Unlock()
	if left {
		return nil, l.ended(waiting.deadline)
	}
	return l.granted(ctx, waiting, <-waiting.settled)
}

// granted gives a slot back when the call ended between the grant and now, so
// that an expired call is not started.
func (l *Limiter) granted(ctx context.Context, waiting *waiter, refusal Refusal) (func(), Refusal) {
	if refusal != None {
		return nil, refusal
	}
	if ctx.Err() != nil || expired(l.Now(), waiting.deadline) {
		l.release()()
		return nil, l.ended(waiting.deadline)
	}
	return l.release(), None
}

func (l *Limiter) ended(deadline time.Time) Refusal {
	if expired(l.Now(), deadline) {
		return Expired
	}
	return Canceled
}

func (l *Limiter) release() func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			l.mutex.Lock()
			defer l.mutex.Unlock()
			l.running--
			l.grant(l.Now())
		})
	}
}

// grant hands free slots to waiting calls that have not expired.
func (l *Limiter) grant(now time.Time) {
	for l.running < l.limits.running() {
		next := l.queue.pop()
		if next == nil {
			return
		}
		if expired(now, next.deadline) {
			next.settle(Expired)
			continue
		}
		l.running++
		next.settle(None)
	}
}

func expired(now, deadline time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}
