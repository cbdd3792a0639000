// Package admitter decides where a call enters the fleet whether its service can take
// it now. It learns what the service can take from the outcomes of earlier calls.
package admitter

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minAfter and maxAfter bound the time after which a caller is told to return.
	minAfter = 50 * time.Millisecond
	maxAfter = time.Second
	// maxServices bounds the number of services with outcomes. The calls of further
	// ones are admitted.
	maxServices = 1024
	// idleRetention is the time after which the outcomes of an unused service may
	// be deleted.
	idleRetention = time.Minute
)

// Kind groups the calls of a service that are expected to take about the same time.
type Kind struct {
	// Rank is the priority of the calls; 1 is the most urgent.
	Rank int
	// Objective is the latency objective of the calls; zero means none.
	Objective time.Duration
}

// compare orders kinds by urgency.
func (k Kind) compare(other Kind) int { return cmp.Compare(k.Rank, other.Rank) }

// Call describes a call that asks for admission.
type Call struct {
	Service string
	Kind    Kind
	// Returned says that the call has been refused before and was told to return.
	Returned bool
	// Late says that the call can no longer meet its objective.
	Late bool
}

// Outcome is how a call ended that was admitted.
type Outcome struct {
	Service string
	Kind    Kind
	// Accepted says that an upstream took the call. Otherwise it was refused for
	// lack of room.
	Accepted bool
	// RunTime is the mean time for which calls of the kind hold a slot; zero means
	// unknown.
	RunTime time.Duration
	// After is the time until capacity is expected; zero means unknown.
	After time.Duration
}

// Admitter admits calls by the recent outcomes of calls of their service. Its state
// does not depend on the number of upstreams.
type Admitter struct {
	// Random returns a number in [0, 1).
	Random func() float64

	mutex    sync.Mutex
	services map[string]*service
}

// New returns an Admitter that has seen no calls.
func New() *Admitter {
	return &Admitter{Random: rand.Float64, services: map[string]*service{}}
}

// Admit reports whether a call may go on, and otherwise the time after which it may
// be sent again. A call that returns is refused only if two draws refuse it, since
// its caller has waited longer. A late one has no such advantage: after an overload,
// late calls that go first make those that follow late as well.
func (a *Admitter) Admit(now time.Time, call Call) (time.Duration, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	known, ok := a.services[call.Service]
	if !ok {
		return 0, true
	}
	refused, after := known.refusedShare(now, call.Kind)
	if call.Returned && !call.Late {
		refused *= refused
	}
	if a.Random() >= refused {
		return 0, true
	}
	known.refuse(call.Kind)
	return after, false
}

// Record records the outcome of an admitted call.
func (a *Admitter) Record(now time.Time, outcome Outcome) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	known, ok := a.services[outcome.Service]
	if !ok {
		if len(a.services) >= maxServices {
			a.sweep(now)
		}
		if len(a.services) >= maxServices {
			return
		}
		known = &service{}
		a.services[outcome.Service] = known
	}
	known.record(now, outcome)
}

func (a *Admitter) sweep(now time.Time) {
	for name, known := range a.services {
		if now.Sub(known.decayedAt) > idleRetention {
			delete(a.services, name)
		}
	}
}
