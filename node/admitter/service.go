package admitter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// timeConstant is the time in which an outcome loses 63% of its weight. Service
	// is what it was within a few of them after an overload has ended.
	timeConstant = time.Second
	// headroom is the work that is admitted for each unit of accepted work. The
	// work beyond one shows when there is room again.
	headroom = 1.5
	// minCalls is the weight of the outcomes of a service below which no call is
	// refused.
	minCalls = 10
	// minShare is the share of the calls of a kind that is admitted at least,
	// relative to the share that is accepted of all calls of the service.
	minShare = 0.5
	// minAdmitted is the share of the calls of a kind that is always admitted. If no
	// call were, none could show that there is room again.
	minAdmitted = 0.1
	// smoothing is the weight of the newest time in a moving average.
	smoothing = 0.1
	// maxKinds bounds the number of kinds with outcomes. The calls of further ones
	// are admitted.
	maxKinds = 32
	// defaultRunTime is the run time assumed until one is known.
	defaultRunTime = 100 * time.Millisecond
)

// service holds the outcomes of the calls of a service.
type service struct {
	// kinds are sorted by what the loss of a call costs for the work that it needs:
	// the more urgent first, then those that need less work.
	kinds     []*outcomes
	decayedAt time.Time
}

// outcomes holds the outcomes of the calls of a kind, with weights that fall with
// their age.
type outcomes struct {
	kind Kind
	// asked is the number of calls that asked for admission, and accepted of those
	// that an upstream took.
	asked, accepted float64
	runTime, after  time.Duration
}

// work returns the work of a number of calls of the kind.
func (o *outcomes) work(calls float64) float64 {
	return calls * cmp.Or(o.runTime, defaultRunTime).Seconds()
}

// refusedShare returns the share of the calls of a kind to refuse, and the time after
// which capacity is expected for them. What the service has accepted recently, with
// some headroom, goes to the kinds in their order.
func (s *service) refusedShare(now time.Time, kind Kind) (float64, time.Duration) {
	s.decay(now)
	var asked, accepted, room float64
	for _, o := range s.kinds {
		asked += o.asked
		accepted += o.accepted
		room += headroom * o.work(o.accepted)
	}
	if asked < minCalls {
		return 0, 0
	}
	for _, o := range s.kinds {
		work := o.work(o.asked)
		if o.kind != kind {
			room -= work
			continue
		}
		if work <= room {
			return 0, 0
		}
		share := max(room/work, minShare*accepted/asked, minAdmitted)
		return 1 - share, min(maxAfter, max(minAfter, o.after))
	}
	return 0, 0
}

// refuse counts a call that was not admitted.
func (s *service) refuse(kind Kind) {
	if o := s.find(kind); o != nil {
		o.asked++
	}
}

func (s *service) record(now time.Time, outcome Outcome) {
	s.decay(now)
	o := s.find(outcome.Kind)
	if o == nil {
		if len(s.kinds) >= maxKinds {
			return
		}
		o = &outcomes{kind: outcome.Kind}
		s.kinds = append(s.kinds, o)
		s.sort()
	}
	o.asked++
	if !outcome.Accepted {
		o.after = average(o.after, outcome.After)
		return
	}
	o.accepted++
	if outcome.RunTime > 0 {
		o.runTime = average(o.runTime, outcome.RunTime)
		s.sort()
	}
}

// sort sorts the kinds, which are mostly sorted already.
func (s *service) sort() {
	for at := 1; at < len(s.kinds); at++ {
		for ; at > 0 && s.kinds[at].before(s.kinds[at-1]); at-- {
			s.kinds[at-1], s.kinds[at] = s.kinds[at], s.kinds[at-1]
		}
	}
}

func (o *outcomes) before(other *outcomes) bool {
	return cmp.Or(o.kind.compare(other.kind), cmp.Compare(o.work(1), other.work(1)), cmp.Compare(o.kind.Objective, other.kind.Objective)) < 0
}

func (s *service) find(kind Kind) *outcomes {
	at := slices.IndexFunc(s.kinds, func(o *outcomes) bool { return o.kind == kind })
	if at < 0 {
		return nil
	}
	return s.kinds[at]
}

// decay reduces the weights of the outcomes. Kinds without recent calls are deleted.
func (s *service) decay(now time.Time) {
	elapsed := now.Sub(s.decayedAt)
	s.decayedAt = now
	if elapsed <= 0 || len(s.kinds) == 0 {
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(timeConstant))
	for _, o := range s.kinds {
		o.asked *= factor
		o.accepted *= factor
	}
	const minWeight = 1e-6
	s.kinds = slices.DeleteFunc(s.kinds, func(o *outcomes) bool { return o.asked < minWeight })
}

// average returns the moving average after one more time.
func average(mean, newest time.Duration) time.Duration {
	if mean == 0 {
		return newest
	}
	return mean + time.Duration(smoothing*float64(newest-mean))
}
