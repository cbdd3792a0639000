package balancer

import (
	"slices"
	"time"
)

const (
	// runTimeTTL is the time for which a reported run time is used. In a service
	// with few calls, a slow upstream loses every comparison with an idle fast
	// one. If its run time did not expire, its recovery would go unnoticed.
	runTimeTTL = 10 * time.Second
	// minSpeed and maxSpeed bound the effect of the run times, which are means of
	// few calls. An upstream that seems slow still gets calls, which show when it
	// has recovered.
	minSpeed = 0.25
	maxSpeed = 1.5
)

// callKind groups calls that are expected to take about the same time.
type callKind struct {
	rank      int
	objective time.Duration
}

// maxCallKinds bounds the number of call kinds with run times per instance.
const maxCallKinds = 64

// runTime is a reported mean run time.
type runTime struct {
	mean       time.Duration
	reportedAt time.Time
}

// recordRunTime records the reported mean run time of calls of a kind.
func (s *stats) recordRunTime(now time.Time, kind callKind, mean time.Duration) {
	if _, ok := s.runTimes[kind]; mean <= 0 || !ok && len(s.runTimes) >= maxCallKinds {
		return
	}
	if s.runTimes == nil {
		s.runTimes = map[callKind]runTime{}
	}
	s.runTimes[kind] = runTime{mean: mean, reportedAt: now}
}

// meanRunTime returns the reported mean run time of calls of a kind, if it is known
// and has not expired.
func (s *stats) meanRunTime(now time.Time, kind callKind) (time.Duration, bool) {
	run, ok := s.runTimes[kind]
	return run.mean, ok && now.Sub(run.reportedAt) < runTimeTTL
}

// setSpeeds sets the speeds of the candidates for calls of a kind. Upstreams of one
// service differ in speed; with equal shares of the calls, the slow ones would be
// full while the fast ones are idle. It returns the median run time, or zero if it is
// not known.
func setSpeeds(now time.Time, all []candidate, kind callKind) time.Duration {
	var known []time.Duration
	for at := range all {
		all[at].speed = 1
		if run, ok := all[at].stats.meanRunTime(now, kind); ok {
			known = append(known, run)
		}
	}
	if len(known) < 2 {
		return 0
	}
	slices.Sort(known)
	median := float64(known[len(known)/2]+known[(len(known)-1)/2]) / 2
	for at := range all {
		if run, ok := all[at].stats.meanRunTime(now, kind); ok {
			all[at].speed = min(maxSpeed, max(minSpeed, median/float64(run)))
		}
	}
	return time.Duration(median)
}
