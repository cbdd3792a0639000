// Package retrier decides whether a failed attempt may be repeated.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"

	"sycamorerun"
)

const (
	// sentDefault bounds the upstreams that one call is sent to when its route
	// says nothing.
	sentDefault = 3
	// refusedMax bounds the nodes that a call is tried at without being sent to
	// an upstream. Each costs a message and no work.
	refusedMax = 3
	// delayBase and delayMax bound the delay before the second attempt and any
	// attempt. The delay is drawn from the whole range below (full jitter).
	delayBase = 10 * time.Millisecond
	delayMax  = 200 * time.Millisecond
	// timeLeast is the part of the typical run time that must be left for a
	// repetition. Half of it, since run times vary, and a caller prefers a late
	// chance to none.
	timeLeast = 0.5
	// typicalWeight is the weight of the newest run in the typical time.
	typicalWeight = 0.05
	// idleMax is the time after which an unused budget is forgotten.
	idleMax = 10 * time.Minute
)

// Attempt is a failed attempt.
type Attempt struct {
	Service string
	// Number counts the attempts of this call from 1, Sends those that may have
	// reached an upstream. Sent says that this one may have.
	Number int
	Sends  int
	Sent   bool
	// Limit bounds Sends; zero means the default.
	Limit int
	// SameInstance says that a repetition goes to the same instance.
	SameInstance bool
	// TimeLeft is the time until the deadline; zero means that there is none.
	TimeLeft time.Duration
	// ParentAttempt is the attempt number of the request from which this call stems.
	ParentAttempt int
	Result        sycamorerun.Result
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Consumed says that a part of the request body can't be sent again.
	Consumed bool
	// ResponseStarted says that a part of the response reached the caller.
	ResponseStarted bool
}

// Retrier holds the retry budget of every service.
type Retrier struct {
	// Ratio returns the retries that a service may make per call.
	Ratio func(service string) float64
	// Budget is the budget of the fleet for each service.
	Budget Budget
	// Members returns the number of nodes that share the slack, and Place the
	// index of this one in an order on which they agree.
	Members     func() int
	MemberIndex func() int
	// Random returns a number in [0, n).
	Random func(n int64) int64

	mutex    sync.Mutex
	services map[string]*service
	members  members
	base     time.Time
	swept    time.Time
}

// service is what is known of one service.
type service struct {
	budget  budget
	typical time.Duration
	used    time.Time
}

// New returns a retrier of a node that is alone, with the given budget per
// call.
func New(ratio func(service string) float64) *Retrier {
	return &Retrier{
		Ratio: ratio, Budget: DefaultBudget, Random: rand.Int64N,
		Members: func() int { return 1 }, MemberIndex: func() int { return 0 }, services: map[string]*service{},
	}
}

// RecordCall counts a call of a service, which earns a fraction of a retry.
func (r *Retrier) RecordCall(now time.Time, name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.service(now, name).budget.earn(margin*r.ratio(name), r.share(now))
}

// RecordRunTime tells how long an answered attempt took.
func (r *Retrier) RecordRunTime(now time.Time, name string, took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.service(now, name)
	if s.typical == 0 {
		s.typical = took
	}
	s.typical += time.Duration(typicalWeight * float64(took-s.typical))
}

// Allow reports whether the attempt may be repeated, and after which delay. A
// repetition after an attempt that was not sent takes nothing from the budget,
// and needs no delay if it goes to another instance.
func (r *Retrier) Allow(now time.Time, attempt Attempt) (time.Duration, bool) {
	if !permitted(attempt) {
		return 0, false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.service(now, attempt.Service)
	delay := time.Duration(0)
	if attempt.Sent || attempt.SameInstance {
		delay = time.Duration(r.Random(int64(ceiling(attempt.Number))))
	}
	if attempt.TimeLeft != 0 && attempt.TimeLeft-delay <= time.Duration(timeLeast*float64(s.typical)) {
		return 0, false
	}
	if attempt.Sent && !r.charge(now, attempt.Service, s) {
		return 0, false
	}
	return delay, true
}

// charge takes a retry from this node's share of the budget, if there is one.
func (r *Retrier) charge(now time.Time, name string, s *service) bool {
	return r.ratio(name) > 0 && s.budget.spend(r.bucket(now), r.share(now))
}

// ratio returns the retries that a call of a service earns the fleet.
func (r *Retrier) ratio(name string) float64 {
	if r.Budget.Ratio >= 0 {
		return r.Budget.Ratio
	}
	return r.Ratio(name)
}

// permitted reports whether a repetition is safe and useful, whatever the
// budget. A call that stems from a repeated request is not sent twice, since
// every level of a call chain would otherwise multiply the attempts.
func permitted(attempt Attempt) bool {
	limit := attempt.Limit
	if limit == 0 {
		limit = sentDefault
	}
	switch {
	case attempt.ResponseStarted, attempt.Consumed:
		return false
	case attempt.Sends >= limit, attempt.Sent && attempt.ParentAttempt > 1:
		return false
	case attempt.Number-attempt.Sends > refusedMax:
		return false
	case attempt.Result == sycamorerun.NotRun:
		return true
	default:
		return attempt.Result == sycamorerun.Unknown && attempt.Repeatable
	}
}

// ceiling returns the longest delay after the n-th attempt.
func ceiling(n int) time.Duration {
	return min(delayBase<<min(n-1, 10), delayMax)
}

// service returns the state of a service and forgets unused ones now and then.
func (r *Retrier) service(now time.Time, name string) *service {
	if now.Sub(r.swept) > idleMax {
		r.swept = now
		for name, known := range r.services {
			if now.Sub(known.used) > idleMax {
				delete(r.services, name)
			}
		}
	}
	known, ok := r.services[name]
	if !ok {
		known = &service{}
		r.services[name] = known
	}
	known.used = now
	return known
}
