package balancer

import (
	"cmp"
	"math"
	"net/http"
	"time"

	"sycamorerun"
)

const (
	// reportTimeConstant is the time in which a load report loses 63% of its
	// weight. The load of an upstream changes completely within a few calls.
	reportTimeConstant = time.Second
	// rateTimeConstant is the time in which a failure rate falls by 63% if there
	// are no new outcomes.
	rateTimeConstant = 10 * time.Second
	// outcomeWeight is the weight of the newest outcome in the failure rate.
	outcomeWeight = 0.1
	// maxConsecutiveFailures failures in a row eject an instance, and so does a
	// failure rate of ejectionFailureRate.
	maxConsecutiveFailures = 5
	ejectionFailureRate    = 0.5
	// minOutcomes is the number of outcomes required for a failure rate.
	minOutcomes = 10
	// baseEjectionTime is the duration of the first ejection. It doubles with each
	// further ejection, up to maxEjectionTime.
	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = time.Minute
	// maxFullTime bounds the time for which an instance is avoided because it has
	// reported that it is full. If it gives no time, defaultFullTime applies.
	maxFullTime     = time.Second
	defaultFullTime = 50 * time.Millisecond
)

// Reasons of the forwarder and the limiter that determine how an outcome counts.
var (
	// An idle timeout of a call that did not run means that the call waited too
	// long for a slot, or that the peer confirmed that it did not run the call.
	overloadReasons = map[string]bool{"queue-full": true, "connections-full": true, "shed": true, "deadline": true, "idle": true, "busy": true}
	// linkReasons mean that the link of the instance's machine is full of large
	// responses. Other kinds of calls are not affected.
	linkReasons        = map[string]bool{"link-full": true}
	unreachableReasons = map[string]bool{"peer-unreachable": true, "upstream-unreachable": true}
	// lossReasons mean that the session of the call was lost. Whether its process ended
	// or the link failed, the upstream has no part in it.
	lossReasons     = map[string]bool{"peer-lost": true, "peer-not-started": true}
	drainingReasons = map[string]bool{"draining": true, "no-upstream": true, "stopping": true}
	// neutralReasons are reasons caused by the caller or by the configuration. They
	// say nothing about the instance.
	neutralReasons = map[string]bool{"canceled": true, "body-too-large": true, "body-incomplete": true, "refused": true}
)

// stats holds what this node knows about an instance.
type stats struct {
	inFlight int
	lastUsed time.Time

	report              Load
	reportedAt          time.Time
	inFlightAtReport    int // calls of this node in flight when the report arrived
	runTimes            map[callKind]runTime
	slowdown            slowdown
	failureRate         float64
	outcomes            int
	consecutiveFailures int
	ejections           int
	lastOutcome         time.Time // time of the newest outcome
	ejectedUntil        time.Time
	process             processMemory
	// fullUntil is the time at which the instance expects capacity for calls of
	// fullRank.
	fullUntil time.Time
	fullRank  int
	// linkFullUntil is the time at which the link of the instance's machine is expected
	// to have capacity for responses to calls of linkFullKind.
	linkFullUntil time.Time
	linkFullKind  callKind
}

// full reports whether the instance has reported that it takes no calls of a kind yet.
func (s *stats) full(now time.Time, kind callKind) bool {
	return now.Before(s.fullUntil) && kind.rank >= s.fullRank || now.Before(s.linkFullUntil) && kind == s.linkFullKind
}

// observe records the outcome of an attempt at the instance.
func (s *stats) observe(now time.Time, observation Observation) {
	s.inFlight = max(0, s.inFlight-1)
	s.lastUsed = now
	if observation.Load != nil {
		s.report, s.reportedAt, s.inFlightAtReport = *observation.Load, now, s.inFlight
		s.recordSlowdown(now, observation.Load)
		s.recordRunTime(now, callKind{observation.Rank, observation.Objective}, observation.Load.RunTime)
	}
	switch {
	case neutralReasons[observation.Reason]:
	case drainingReasons[observation.Reason]:
		s.process.recordDraining(now, observation.picked())
	case lossReasons[observation.Reason]:
		s.process.recordLoss(now, observation.Started)
	case observation.Result == sycamorerun.NotRun && overloadReasons[observation.Reason]:
		s.recordOverload(now)
		s.fullUntil, s.fullRank = now.Add(min(cmp.Or(observation.After, defaultFullTime), maxFullTime)), observation.Rank
	case observation.Result == sycamorerun.NotRun && linkReasons[observation.Reason]:
		s.linkFullUntil = now.Add(min(cmp.Or(observation.After, defaultFullTime), maxFullTime))
		s.linkFullKind = callKind{observation.Rank, observation.Objective}
	case observation.Result == sycamorerun.NotRun && unreachableReasons[observation.Reason]:
		s.process.recordUnreachable(now, observation.picked())
	default:
		if observation.Result == sycamorerun.Answered {
			s.process.recordAnswer()
		}
		s.process.connectFailures = 0
		s.recordOutcome(now, failed(observation))
	}
}

// failed reports whether an outcome counts as a failure of the instance. A server
// error is a failure, whatever load the upstream reports.
func failed(observation Observation) bool {
	return observation.Result != sycamorerun.Answered || observation.Status >= http.StatusInternalServerError
}

// recordOverload records a refusal as a load report of a full upstream, which
// replaces an older report.
func (s *stats) recordOverload(now time.Time) {
	slots := max(1, s.report.Slots)
	s.report = Load{Running: slots, Queued: max(slots, s.report.Queued), Slots: s.report.Slots}
	s.reportedAt, s.inFlightAtReport = now, s.inFlight
}

// ejectionEnd returns the time until which the instance is ejected.
func (s *stats) ejectionEnd() time.Time {
	if end := s.process.ejectionEnd(); end.After(s.ejectedUntil) {
		return end
	}
	return s.ejectedUntil
}

// recordOutcome updates the failure rate and ejects an instance that fails too
// often.
func (s *stats) recordOutcome(now time.Time, failed bool) {
	s.failureRate = s.currentFailureRate(now)
	s.lastOutcome = now
	s.outcomes++
	value := 0.0
	if failed {
		value = 1
		s.consecutiveFailures++
	} else {
		s.consecutiveFailures = 0
	}
	s.failureRate += outcomeWeight * (value - s.failureRate)
	if now.Before(s.ejectedUntil) {
		return
	}
	if !failed {
		if s.outcomes >= minOutcomes && s.failureRate < outcomeWeight {
			s.ejections = 0
		}
		return
	}
	if s.consecutiveFailures >= maxConsecutiveFailures || s.outcomes >= minOutcomes && s.failureRate >= ejectionFailureRate {
		s.ejectedUntil = now.Add(doubled(baseEjectionTime, s.ejections, maxEjectionTime))
		s.ejections++
		// After the ejection the failure rate starts at zero, but a single failure
		// ejects the instance again.
		s.consecutiveFailures, s.failureRate, s.outcomes = maxConsecutiveFailures-1, 0, 0
	}
}

// doubled returns a duration that doubles n times, up to a maximum.
func doubled(base time.Duration, n int, maximum time.Duration) time.Duration {
	return min(base<<min(n, 10), maximum)
}

// load estimates the calls at the instance. The number of calls of other nodes comes
// from the last report, which decays towards mean, the mean of the other instances,
// so that a stale report of an idle upstream attracts no more than a usual share.
func (s *stats) load(now time.Time, mean float64) float64 {
	weight := s.reportWeight(now)
	others := max(0, float64(s.report.Running+s.report.Queued-s.inFlightAtReport))
	return float64(s.inFlight) + weight*others + (1-weight)*mean
}

// currentFailureRate returns the failure rate, which decays while there are no
// outcomes.
func (s *stats) currentFailureRate(now time.Time) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp(-float64(max(0, now.Sub(s.lastOutcome)))/float64(rateTimeConstant))
}

// reportWeight returns the weight of the last load report, which decays with its age.
func (s *stats) reportWeight(now time.Time) float64 {
	if s.reportedAt.IsZero() {
		return 0
	}
	return math.Exp(-float64(max(0, now.Sub(s.reportedAt))) / float64(reportTimeConstant))
}
