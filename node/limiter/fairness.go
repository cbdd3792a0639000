package limiter

import (
	"math"
	"time"
)

const (
	// turnEvery is the number of freed slots of which one goes to a rank that
	// starves. A quarter of the slots serves every rank at a quarter of the overall
	// rate, whatever its part of the calls.
	turnEvery = 4
	// starving is the part of the overall served rate below which a rank starves.
	// A fixed part of the slots would serve a rank with few calls better than the
	// more urgent ones.
	starving = 0.5
	// outcomesMin is the number of calls that a served rate needs.
	outcomesMin = 4
	// outcomesLife is the time in which an outcome loses 63% of its weight. It
	// is some times the gap between the calls of a rare rank.
	outcomesLife = 10 * time.Second
	// decayStep bounds how often the weights are updated.
	decayStep = 100 * time.Millisecond
)

// fairness holds which part of the calls of each rank got a slot, and at index
// 0 of all calls.
type fairness struct {
	asked   [RankMax + 1]float64
	served  [RankMax + 1]float64
	decayed time.Time
	// turns counts the slots since one went to a rank that starves.
	turns int
}

func (f *fairness) count(now time.Time, rank int, served bool) {
	f.decay(now)
	for _, at := range [...]int{0, rank} {
		f.asked[at]++
		if served {
			f.served[at]++
		}
	}
}

func (f *fairness) decay(now time.Time) {
	passed := now.Sub(f.decayed)
	if passed < decayStep && passed >= 0 {
		return
	}
	keep := math.Exp(-float64(max(0, passed)) / float64(outcomesLife))
	for at := range f.asked {
		f.asked[at] *= keep
		f.served[at] *= keep
	}
	f.decayed = now
}

// starves reports whether the calls of rank get far fewer slots than others.
func (f *fairness) starves(now time.Time, rank int) bool {
	f.decay(now)
	if f.asked[rank] < outcomesMin {
		return false
	}
	return f.rate(rank) < starving*f.rate(0)
}

// rate is the part of the calls of rank that got a slot.
func (f *fairness) rate(rank int) float64 { return f.served[rank] / f.asked[rank] }

// turn returns the rank that gets the next slot: the most urgent one, and now
// and then the one that starves most.
func (f *fairness) turn(now time.Time, q *queue) int {
	top := q.top()
	f.turns++
	if f.turns < turnEvery {
		return top
	}
	worst := top
	for rank := top + 1; rank <= RankMax; rank++ {
		if q.count(rank) > 0 && f.starves(now, rank) && (worst == top || f.rate(rank) < f.rate(worst)) {
			worst = rank
		}
	}
	if worst != top {
		f.turns = 0
	}
	return worst
}
