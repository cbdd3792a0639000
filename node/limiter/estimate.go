package limiter

import "time"

const (
	// meanWeight is the weight of the newest run in the mean. Until there are
	// 1/meanWeight runs, all have the same.
	meanWeight = 0.05
	// worksMax bounds the kinds of work with a mean of their own; further ones
	// count with their rank.
	worksMax = 256
)

// work is a kind of calls that take about the same time. Routes of one rank can
// differ by a factor of 20, and then tell themselves apart by their objective.
type work struct {
	rank      int
	objective time.Duration
}

func newWork(rank int, objective time.Duration) work { return work{clamp(rank), objective} }

// estimate holds the mean time for which calls hold a slot: all calls, those of
// each rank, and those of each kind of work.
type estimate struct {
	all   mean
	ranks [RankMax + 1]mean
	works map[work]*mean
}

type mean struct {
	value time.Duration
	count int
}

func (m *mean) add(took time.Duration) {
	m.count++
	m.value += scale(took-m.value, max(meanWeight, 1/float64(m.count)))
}

func (e *estimate) add(w work, took time.Duration) {
	e.all.add(took)
	e.ranks[w.rank].add(took)
	known, ok := e.works[w]
	if !ok {
		if len(e.works) >= worksMax {
			return
		}
		if e.works == nil {
			e.works = map[work]*mean{}
		}
		known = &mean{}
		e.works[w] = known
	}
	known.add(took)
}

// rank returns the mean of rank, or that of all calls if none of the rank has
// run.
func (e *estimate) rank(rank int) time.Duration {
	if e.ranks[rank].count == 0 {
		return e.all.value
	}
	return e.ranks[rank].value
}

// work returns the mean of w, or that of its rank if none of the kind has run.
func (e *estimate) work(w work) time.Duration {
	if known, ok := e.works[w]; ok {
		return known.value
	}
	return e.rank(w.rank)
}

// ran returns the mean of w, or zero if none of the kind has run.
func (e *estimate) ran(w work) time.Duration {
	if known, ok := e.works[w]; ok {
		return known.value
	}
	return 0
}
