package balancer

import (
	"cmp"
	"math"
	"net/http"
	"time"

	"sycamorerun"
)

const (
	// reportLife is the time in which a load report loses 63% of its weight.
	// An upstream's load turns over within a few of its calls.
	reportLife = time.Second
	// rateLife is the time in which a failure rate without new outcomes loses
	// 63%.
	rateLife = 10 * time.Second
	// outcomeWeight is the weight of the newest outcome in the failure rate.
	outcomeWeight = 0.1
	// failuresMax consecutive failures eject an instance, and so does a failure
	// rate of failureRate.
	failuresMax = 5
	failureRate = 0.5
	// outcomesMin is the number of outcomes that a failure rate needs.
	outcomesMin = 10
	// ejectBase and ejectMax bound an ejection, which doubles each time.
	ejectBase = 5 * time.Second
	ejectMax  = time.Minute
	// connectBase and connectMax bound the ejection of an instance that can't be
	// reached. One failure is enough, since each costs a call its time to connect,
	// and it is short, since an address answers again soon after a restart.
	connectBase = time.Second
	connectMax  = 5 * time.Second
	// fullMax bounds the time for which an instance is avoided by its word.
	// Without one, it is avoided for fullUnknown.
	fullMax     = time.Second
	fullUnknown = 50 * time.Millisecond
	// avoidTime is the time for which a draining instance is not picked. Its
	// record reaches this node within it.
	avoidTime = 5 * time.Second
)

// Reasons of the forwarder and the limiter that say something about load.
var (
	// An idle call that did not run waited for a slot for too long, or its peer
	// answered the query about it.
	overloads    = map[string]bool{"queue-full": true, "connections-full": true, "shed": true, "deadline": true, "idle": true, "busy": true}
	unreachables = map[string]bool{"peer-unreachable": true, "upstream-unreachable": true}
	drainings    = map[string]bool{"draining": true, "no-upstream": true}
	// neutrals are the ends of calls that their callers or the configuration
	// brought about.
	neutrals = map[string]bool{"canceled": true, "body-too-large": true, "body-incomplete": true, "refused": true}
)

// stats are what this node knows of an instance.
type stats struct {
	inFlight int
	used     time.Time

	report    Load
	reported  time.Time
	ownAt     int // calls of this node in flight at the report
	runs      map[work]runTime
	rate      float64
	outcomes  int
	failures  int
	ejections int
	judged    time.Time // of the newest outcome
	ejected   time.Time
	avoided   time.Time
	// unreached counts the failures to connect without an outcome in between.
	// Until unreachable the instance counts as ejected. It returns without a slow
	// start: nothing says that it is slow.
	unreached   int
	unreachable time.Time
	// fullUntil is when the instance expects capacity for calls of fullRank.
	fullUntil time.Time
	fullRank  int
}

// full reports whether the instance has said that it takes no call of rank yet.
func (s *stats) full(now time.Time, rank int) bool {
	return now.Before(s.fullUntil) && rank >= s.fullRank
}

func (s *stats) observe(now time.Time, observation Observation) {
	s.inFlight = max(0, s.inFlight-1)
	s.used = now
	if observation.Load != nil {
		s.report, s.reported, s.ownAt = *observation.Load, now, s.inFlight
		s.ran(now, work{observation.Rank, observation.Objective}, observation.Load.RunTime)
	}
	switch {
	case neutrals[observation.Reason]:
	case drainings[observation.Reason]:
		s.avoided = now.Add(avoidTime)
	case observation.Result == sycamorerun.NotRun && overloads[observation.Reason]:
		s.overloaded(now)
		s.fullUntil, s.fullRank = now.Add(min(cmp.Or(observation.After, fullUnknown), fullMax)), observation.Rank
	case observation.Result == sycamorerun.NotRun && unreachables[observation.Reason]:
		s.notReached(now)
	default:
		s.unreached = 0
		s.outcome(now, failed(observation))
	}
}

// failed reports whether an outcome counts against the instance. An upstream
// that answers with a server error fails, whatever it reports about itself.
func failed(observation Observation) bool {
	return observation.Result != sycamorerun.Answered || observation.Status >= http.StatusInternalServerError
}

// overloaded records a refusal as a report of a full upstream, which outranks
// an older report that said otherwise.
func (s *stats) overloaded(now time.Time) {
	slots := max(1, s.report.Slots)
	s.report = Load{Running: slots, Queued: max(slots, s.report.Queued), Slots: s.report.Slots}
	s.reported, s.ownAt = now, s.inFlight
}

// notReached ejects an instance that could not be connected to.
func (s *stats) notReached(now time.Time) {
	if now.Before(s.unreachable) {
		return // a call that was under way when the instance was ejected
	}
	s.unreachable = now.Add(min(connectBase<<min(s.unreached, 10), connectMax))
	s.unreached++
}

// out returns until when the instance is ejected.
func (s *stats) out() time.Time {
	if s.unreachable.After(s.ejected) {
		return s.unreachable
	}
	return s.ejected
}

func (s *stats) outcome(now time.Time, failed bool) {
	s.rate = s.failing(now)
	s.judged = now
	s.outcomes++
	value := 0.0
	if failed {
		value = 1
		s.failures++
	} else {
		s.failures = 0
	}
	s.rate += outcomeWeight * (value - s.rate)
	if now.Before(s.ejected) {
		return
	}
	if !failed {
		if s.outcomes >= outcomesMin && s.rate < outcomeWeight {
			s.ejections = 0
		}
		return
	}
	if s.failures >= failuresMax || s.outcomes >= outcomesMin && s.rate >= failureRate {
		s.ejected = now.Add(min(ejectBase<<min(s.ejections, 10), ejectMax))
		s.ejections++
		// The instance returns with a clean rate, but one short of the number of
		// failures that ejects it.
		s.failures, s.rate, s.outcomes = failuresMax-1, 0, 0
	}
}

// load estimates the calls at the instance. Calls of other nodes come from the
// last report, whose weight decays towards the mean of the other instances: a
// stale report of an idle upstream attracts no more than a usual share.
func (s *stats) load(now time.Time, mean float64) float64 {
	weight := s.weight(now)
	others := max(0, float64(s.report.Running+s.report.Queued-s.ownAt))
	return float64(s.inFlight) + weight*others + (1-weight)*mean
}

// failing returns the failure rate, which fades while there are no outcomes.
func (s *stats) failing(now time.Time) float64 {
	if s.rate == 0 {
		return 0
	}
	return s.rate * math.Exp(-float64(max(0, now.Sub(s.judged)))/float64(rateLife))
}

func (s *stats) weight(now time.Time) float64 {
	if s.reported.IsZero() {
		return 0
	}
	return math.Exp(-float64(max(0, now.Sub(s.reported))) / float64(reportLife))
}
