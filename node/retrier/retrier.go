// Package retrier decides whether a failed attempt may be retried.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"

	"sycamorerun"
	"sycamorerun/node/divider"
)

const (
	// defaultMaxSends is the number of upstreams that a call is sent to if its
	// route sets no limit.
	defaultMaxSends = 3
	// maxRefusals is the number of attempts refused by nodes, and so not sent to an
	// upstream, after which a call is still retried. A refusal costs a message but
	// no work.
	maxRefusals = 3
	// baseDelay bounds the delay before the second attempt. The bound doubles with
	// each attempt, up to maxDelay, and the delay is drawn from the whole range
	// below it (full jitter).
	baseDelay = 10 * time.Millisecond
	maxDelay  = 200 * time.Millisecond
	// minRunTimeFraction is the fraction of the mean run time that must remain
	// before the deadline for a retry. Half of it is enough, since run times vary
	// and a caller prefers a late retry to none.
	minRunTimeFraction = 0.5
	// ewmaWeight is the weight of the newest run time in the mean.
	ewmaWeight = 0.05
	// idleRetention is the time after which an unused budget is deleted.
	idleRetention = 10 * time.Minute
)

// Attempt is a failed attempt.
type Attempt struct {
	Service string
	// Number is the number of this attempt of the call, starting at 1.
	Number int
	// Sends is the number of attempts that may have reached an upstream, and Sent
	// says that this attempt may have.
	Sends int
	Sent  bool
	// Limit bounds Sends; zero means the default.
	Limit int
	// SameInstance says that a retry would go to the same instance.
	SameInstance bool
	// TimeLeft is the time until the deadline; zero means no deadline.
	TimeLeft time.Duration
	// ParentAttempt is the attempt number of the request that caused this call.
	ParentAttempt int
	Result        sycamorerun.Result
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Consumed says that part of the request body can't be sent again.
	Consumed bool
	// ResponseStarted says that part of the response has reached the caller.
	ResponseStarted bool
}

// Retrier holds this node's retry budget for every service.
type Retrier struct {
	// Ratio returns the number of retries per call that a service permits.
	Ratio func(service string) float64
	// Budget is the budget of the fleet for each service.
	Budget Budget
	// Members returns the number of nodes that share the slack.
	Members func() int
	// MemberIndex returns the index of this node in an order of the members that is
	// the same on all nodes.
	MemberIndex func() int
	// Random returns a number in [0, n).
	Random func(n int64) int64

	mutex       sync.Mutex
	services    map[string]*serviceState
	peakMembers divider.PeakCount
	origin      time.Time
	sweptAt     time.Time
}

// serviceState is the state of the retrier for one service.
type serviceState struct {
	budget      budget
	meanRunTime time.Duration
	lastUsed    time.Time
}

// New returns a retrier for a single node. The function ratio returns the number of
// retries per call that a service permits.
func New(ratio func(service string) float64) *Retrier {
	return &Retrier{
		Ratio: ratio, Budget: DefaultBudget, Random: rand.Int64N,
		Members: func() int { return 1 }, MemberIndex: func() int { return 0 }, services: map[string]*serviceState{},
	}
}

// RecordCall records a call of a service, which adds a fraction of a retry to the
// budget.
func (r *Retrier) RecordCall(now time.Time, name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.state(now, name).budget.deposit(divider.UsableFraction*r.ratio(name), r.slackShare(now))
}

// RecordRunTime records the duration of an answered attempt.
func (r *Retrier) RecordRunTime(now time.Time, name string, runTime time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.state(now, name)
	if s.meanRunTime == 0 {
		s.meanRunTime = runTime
	}
	s.meanRunTime += time.Duration(ewmaWeight * float64(runTime-s.meanRunTime))
}

// Allow reports whether the attempt may be retried, and after which delay. A retry of
// an attempt that was not sent is not charged to the budget, and needs no delay if it
// goes to another instance.
func (r *Retrier) Allow(now time.Time, attempt Attempt) (time.Duration, bool) {
	if !retryable(attempt) {
		return 0, false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.state(now, attempt.Service)
	delay := time.Duration(0)
	if attempt.Sent || attempt.SameInstance {
		delay = time.Duration(r.Random(int64(maxDelayAfter(attempt.Number))))
	}
	if attempt.TimeLeft != 0 && attempt.TimeLeft-delay <= time.Duration(minRunTimeFraction*float64(s.meanRunTime)) {
		return 0, false
	}
	if attempt.Sent && !r.charge(now, attempt.Service, s) {
		return 0, false
	}
	return delay, true
}

// charge takes a retry from this node's share of the budget and reports whether there
// was one.
func (r *Retrier) charge(now time.Time, name string, s *serviceState) bool {
	return r.ratio(name) > 0 && s.budget.withdraw(r.bucketNumber(now), r.slackShare(now))
}

// ratio returns the number of retries per call of a service, summed over the fleet.
func (r *Retrier) ratio(name string) float64 {
	if r.Budget.Ratio >= 0 {
		return r.Budget.Ratio
	}
	return r.Ratio(name)
}

// retryable reports whether a retry is safe and useful, without regard to the budget.
// A call that belongs to a retry of its parent request is not sent twice, since every
// level of a call chain would otherwise multiply the attempts.
func retryable(attempt Attempt) bool {
	limit := attempt.Limit
	if limit == 0 {
		limit = defaultMaxSends
	}
	switch {
	case attempt.ResponseStarted, attempt.Consumed:
		return false
	case attempt.Sends >= limit, attempt.Sent && attempt.ParentAttempt > 1:
		return false
	case attempt.Number-attempt.Sends > maxRefusals:
		return false
	case attempt.Result == sycamorerun.NotRun:
		return true
	default:
		return attempt.Result == sycamorerun.Unknown && attempt.Repeatable
	}
}

// maxDelayAfter returns the maximum delay after the n-th attempt.
func maxDelayAfter(n int) time.Duration {
	return min(baseDelay<<min(n-1, 10), maxDelay)
}

// state returns the state of the named service, which is created if there is none. It
// deletes the state of unused services at intervals of idleRetention.
func (r *Retrier) state(now time.Time, name string) *serviceState {
	if now.Sub(r.sweptAt) > idleRetention {
		r.sweptAt = now
		for name, state := range r.services {
			if now.Sub(state.lastUsed) > idleRetention {
				delete(r.services, name)
			}
		}
	}
	state, ok := r.services[name]
	if !ok {
		state = &serviceState{}
		r.services[name] = state
	}
	state.lastUsed = now
	return state
}
