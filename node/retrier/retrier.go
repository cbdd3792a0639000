// Package retrier decides whether a failed attempt may be repeated.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"

	"sycamorerun"
)

const (
	// attemptsMax bounds the attempts of one call.
	attemptsMax = 3
	// burst is the number of retries that a service may make before its calls
	// have earned any, so that services with few calls can retry at all.
	burst = 10
	// delayBase and delayMax bound the delay before the second attempt and any
	// attempt. The delay is drawn from the whole range below (full jitter).
	delayBase = 10 * time.Millisecond
	delayMax  = 200 * time.Millisecond
	// idleMax is the time after which an unused budget is forgotten.
	idleMax = 10 * time.Minute
)

// Attempt is a failed attempt.
type Attempt struct {
	Service string
	// Number counts the attempts of this call from 1.
	Number int
	// Level is the attempt number of the request from which this call stems.
	Level  int
	Result sycamorerun.Result
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Consumed says that a part of the request body can't be sent again.
	Consumed bool
	// Passed says that a part of the response reached the caller.
	Passed bool
}

// Retrier holds the retry budget of every service.
type Retrier struct {
	// Ratio returns the retries that a service may make per call.
	Ratio func(service string) float64
	// Random returns a number in [0, n).
	Random func(n int64) int64

	mutex   sync.Mutex
	budgets map[string]*budget
	swept   time.Time
}

// budget is a token bucket that calls fill and retries empty.
type budget struct {
	tokens float64
	used   time.Time
}

// New returns a retrier with the given budget per call.
func New(ratio func(service string) float64) *Retrier {
	return &Retrier{Ratio: ratio, Random: rand.Int64N, budgets: map[string]*budget{}}
}

// Call counts a call of service, which earns a fraction of a retry.
func (r *Retrier) Call(now time.Time, service string) {
	ratio := r.Ratio(service)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	bucket := r.budget(now, service)
	bucket.tokens = min(bucket.tokens+ratio, burst)
}

// Allow reports whether the attempt may be repeated, and after which delay.
func (r *Retrier) Allow(now time.Time, attempt Attempt) (time.Duration, bool) {
	if !permitted(attempt) || r.Ratio(attempt.Service) <= 0 {
		return 0, false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	bucket := r.budget(now, attempt.Service)
	if bucket.tokens < 1 {
		return 0, false
	}
	bucket.tokens--
	return time.Duration(r.Random(int64(ceiling(attempt.Number)))), true
}

// permitted reports whether a repetition is safe and useful, whatever the
// budget. A call that stems from a repeated request is not repeated, since
// every level of a call chain would otherwise multiply the attempts.
func permitted(attempt Attempt) bool {
	switch {
	case attempt.Passed, attempt.Consumed:
		return false
	case attempt.Number >= attemptsMax, attempt.Level > 1:
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

// budget returns the budget of service and forgets unused ones now and then.
func (r *Retrier) budget(now time.Time, service string) *budget {
	if now.Sub(r.swept) > idleMax {
		r.swept = now
		for name, bucket := range r.budgets {
			if now.Sub(bucket.used) > idleMax {
				delete(r.budgets, name)
			}
		}
	}
	bucket, ok := r.budgets[service]
	if !ok {
		bucket = &budget{tokens: burst}
		r.budgets[service] = bucket
	}
	bucket.used = now
	return bucket
}
