package limiter

import (
	"math"
	"time"
)

const (
	// starvedGrantInterval is the number of granted slots of which one goes to a
	// starving rank. One slot in four is enough to serve every rank at a quarter
	// of the overall rate, whatever its share of the calls.
	starvedGrantInterval = 4
	// starvationRatio is the fraction of the overall grant rate below which a rank
	// is starving. Reserving a fixed fraction of the slots instead would serve a
	// rank with few calls better than the more urgent ranks.
	starvationRatio = 0.5
	// minOutcomes is the number of calls required for a grant rate.
	minOutcomes = 4
	// outcomeTimeConstant is the time in which an outcome loses 63% of its weight.
	// It is several times the interval between calls of a rarely used rank.
	outcomeTimeConstant = 10 * time.Second
	// minDecayInterval is the minimum time between two updates of the weights.
	minDecayInterval = 100 * time.Millisecond
)

// fairness tracks the fraction of the calls of each rank that got a slot. Index 0
// counts the calls of all ranks.
type fairness struct {
	requested [MaxRank + 1]float64
	granted   [MaxRank + 1]float64
	decayedAt time.Time
	// sinceStarvedGrant counts the slots granted since the last one that went to a
	// starving rank.
	sinceStarvedGrant int
}

func (f *fairness) record(now time.Time, rank int, granted bool) {
	f.decay(now)
	for _, index := range [...]int{0, rank} {
		f.requested[index]++
		if granted {
			f.granted[index]++
		}
	}
}

func (f *fairness) decay(now time.Time) {
	elapsed := now.Sub(f.decayedAt)
	if elapsed < minDecayInterval && elapsed >= 0 {
		return
	}
	factor := math.Exp(-float64(max(0, elapsed)) / float64(outcomeTimeConstant))
	for index := range f.requested {
		f.requested[index] *= factor
		f.granted[index] *= factor
	}
	f.decayedAt = now
}

// isStarving reports whether the grant rate of rank is far below the overall one.
func (f *fairness) isStarving(now time.Time, rank int) bool {
	f.decay(now)
	if f.requested[rank] < minOutcomes {
		return false
	}
	return f.grantRate(rank) < starvationRatio*f.grantRate(0)
}

// grantRate returns the fraction of the calls of rank that got a slot.
func (f *fairness) grantRate(rank int) float64 { return f.granted[rank] / f.requested[rank] }

// next returns the call that gets the next slot, or nil if none may start: the first
// one of the most urgent rank or, at most once in starvedGrantInterval slots, of the
// starving rank with the lowest grant rate.
func (f *fairness) next(now time.Time, q *queue, transfers bool) *waiter {
	var top *waiter
	for rank := 1; top == nil && rank <= MaxRank; rank++ {
		top = q.head(rank, transfers)
	}
	if top == nil {
		return nil
	}
	f.sinceStarvedGrant++
	if f.sinceStarvedGrant < starvedGrantInterval {
		return top
	}
	worst := top
	for rank := top.rank + 1; rank <= MaxRank; rank++ {
		head := q.head(rank, transfers)
		if head != nil && f.isStarving(now, rank) && (worst == top || f.grantRate(rank) < f.grantRate(worst.rank)) {
			worst = head
		}
	}
	if worst != top {
		f.sinceStarvedGrant = 0
	}
	return worst
}
