package balancer

import (
	"slices"
	"time"
)

const (
	// runLife is the time for which a reported run time counts. While a service
	// is hardly used, a slow upstream loses every comparison with an idle fast
	// one; without an end nobody would see that it has recovered.
	runLife = 10 * time.Second
	// speedMin and speedMax bound the effect of the run times, which are means of
	// few calls: an upstream that seems slow still gets calls that show when it
	// has recovered.
	speedMin = 0.25
	speedMax = 1.5
)

// work is a kind of calls that are expected to take about the same time.
type work struct {
	rank      int
	objective time.Duration
}

// worksMax bounds the kinds of work with run times of their own.
const worksMax = 64

// runTime is a reported mean run time.
type runTime struct {
	mean time.Duration
	at   time.Time
}

// ran records a reported run time of calls of a kind.
func (s *stats) ran(now time.Time, w work, mean time.Duration) {
	if _, ok := s.runs[w]; mean <= 0 || !ok && len(s.runs) >= worksMax {
		return
	}
	if s.runs == nil {
		s.runs = map[work]runTime{}
	}
	s.runs[w] = runTime{mean: mean, at: now}
}

// run returns the run time of calls of a kind, if it is known.
func (s *stats) run(now time.Time, w work) (time.Duration, bool) {
	run, ok := s.runs[w]
	return run.mean, ok && now.Sub(run.at) < runLife
}

// compare sets the speeds of the candidates for calls of a kind. Upstreams of one
// service differ in speed; with equal shares the slow ones would be full while
// the fast ones are idle.
func compare(now time.Time, all []candidate, w work) {
	var known []time.Duration
	for at := range all {
		all[at].speed = 1
		if run, ok := all[at].stats.run(now, w); ok {
			known = append(known, run)
		}
	}
	if len(known) < 2 {
		return
	}
	slices.Sort(known)
	median := float64(known[len(known)/2]+known[(len(known)-1)/2]) / 2
	for at := range all {
		if run, ok := all[at].stats.run(now, w); ok {
			all[at].speed = min(speedMax, max(speedMin, median/float64(run)))
		}
	}
}
