// Package estimator estimates how long calls take from the times that earlier
// calls took.
package estimator

import (
	"sync"
	"time"
)

const (
	// meanWeight and deviationWeight are the weights of the newest time in the
	// mean and in the mean deviation. They are those of the retransmission timer
	// of TCP (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// boundDeviations is the number of mean deviations from the mean to the
	// bound.
	boundDeviations = 4
	// minCount is the number of times required for a bound.
	minCount = 8
	// maxKinds bounds the number of kinds. The times of further ones are not
	// recorded.
	maxKinds = 1024
)

// Kind groups calls that are expected to take about the same time.
type Kind struct {
	Service   string
	Rank      int
	Objective time.Duration
}

// Estimator holds the times of recent calls by kind.
type Estimator struct {
	mutex sync.Mutex
	kinds map[Kind]*times
}

// times holds moving averages of the times of one kind of calls.
type times struct {
	mean, deviation time.Duration
	count           int
}

// New returns an estimator that has seen no calls.
func New() *Estimator { return &Estimator{kinds: map[Kind]*times{}} }

// Record adds the time that a call took.
func (e *Estimator) Record(kind Kind, took time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	known, ok := e.kinds[kind]
	if !ok {
		if len(e.kinds) >= maxKinds {
			return
		}
		known = &times{}
		e.kinds[kind] = known
	}
	known.add(took)
}

// Bound returns the time within which nearly all calls of a kind end, and whether
// enough of them are known.
func (e *Estimator) Bound(kind Kind) (time.Duration, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	known, ok := e.kinds[kind]
	if !ok || known.count < minCount {
		return 0, false
	}
	return known.mean + boundDeviations*known.deviation, true
}

func (t *times) add(took time.Duration) {
	t.count++
	if t.count == 1 {
		t.mean, t.deviation = took, took/2
		return
	}
	difference := (took - t.mean).Abs()
	t.deviation += time.Duration(deviationWeight * float64(difference-t.deviation))
	t.mean += time.Duration(meanWeight * float64(took-t.mean))
}
