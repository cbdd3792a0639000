package limiter

import "time"

const (
	// ewmaWeight is the weight of the newest run time in a moving average. The
	// first 1/ewmaWeight run times have equal weights.
	ewmaWeight = 0.05
	// maxCallKinds bounds the number of call kinds with a moving average of their
	// own. The run times of further kinds only count for their rank.
	maxCallKinds = 256
)

// callKind groups calls that are expected to take about the same time. The run
// times of routes of one rank can differ by a factor of 20; such routes are told
// apart by their objectives.
type callKind struct {
	rank      int
	objective time.Duration
}

func newCallKind(rank int, objective time.Duration) callKind {
	return callKind{clampRank(rank), objective}
}

// runTimes holds the mean time for which calls hold a slot, over all calls, per
// rank and per call kind.
type runTimes struct {
	all   movingAverage
	ranks [MaxRank + 1]movingAverage
	kinds map[callKind]*movingAverage
}

// movingAverage is an exponentially weighted moving average.
type movingAverage struct {
	value time.Duration
	count int
}

func (m *movingAverage) add(runTime time.Duration) {
	m.count++
	m.value += scale(runTime-m.value, max(ewmaWeight, 1/float64(m.count)))
}

func (r *runTimes) add(kind callKind, runTime time.Duration) {
	r.all.add(runTime)
	r.ranks[kind.rank].add(runTime)
	average, ok := r.kinds[kind]
	if !ok {
		if len(r.kinds) >= maxCallKinds {
			return
		}
		if r.kinds == nil {
			r.kinds = map[callKind]*movingAverage{}
		}
		average = &movingAverage{}
		r.kinds[kind] = average
	}
	average.add(runTime)
}

// forRank returns the mean of rank, or the mean of all calls if no call of the
// rank has run.
func (r *runTimes) forRank(rank int) time.Duration {
	if r.ranks[rank].count == 0 {
		return r.all.value
	}
	return r.ranks[rank].value
}

// forKind returns the mean of kind, or the mean of its rank if no call of the kind
// has run.
func (r *runTimes) forKind(kind callKind) time.Duration {
	if average, ok := r.kinds[kind]; ok {
		return average.value
	}
	return r.forRank(kind.rank)
}

// observed returns the mean of kind, or zero if no call of the kind has run.
func (r *runTimes) observed(kind callKind) time.Duration {
	if average, ok := r.kinds[kind]; ok {
		return average.value
	}
	return 0
}
