package limiter

import "time"

// meanWeight is the weight of the newest run in the mean. Until there are
// 1/meanWeight runs, all have the same.
const meanWeight = 0.05

// estimate holds the mean time for which calls of each rank hold a slot, and at
// index 0 that of all calls.
type estimate [RankMax + 1]mean

type mean struct {
	value time.Duration
	count int
}

func (m *mean) add(took time.Duration) {
	m.count++
	m.value += scale(took-m.value, max(meanWeight, 1/float64(m.count)))
}

func (e *estimate) add(rank int, took time.Duration) {
	e[0].add(took)
	e[rank].add(took)
}

// mean returns the mean of rank, or that of all calls if none of the rank has
// run.
func (e *estimate) mean(rank int) time.Duration {
	if e[rank].count == 0 {
		return e[0].value
	}
	return e[rank].value
}
