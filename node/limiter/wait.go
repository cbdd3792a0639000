package limiter

import "time"

const (
	// runTimeReserve is the fraction of the mean run time that has to remain before
	// the deadline when a call is expected to start.
	runTimeReserve = 1.0
	// minRunTimeFraction is the fraction of the mean run time that has to remain
	// before the deadline when a call starts. Hardly any call is faster, so a later
	// start would waste a slot.
	minRunTimeFraction = 0.1
	// objectiveReserveRuns is the number of mean run times that has to remain of
	// the objective after the wait. Most calls take less time and meet their
	// objective. Longer waits serve the same number of calls under overload, but
	// most of them late.
	objectiveReserveRuns = 2
	// minWaitFraction and maxWaitFraction bound the wait to fractions of the
	// objective, for slow upstreams and for those whose run times are unknown.
	minWaitFraction = 0.15
	maxWaitFraction = 0.4
)

// maxWait returns how long w may wait, and whether its wait is bounded.
func (l *Limiter) maxWait(now time.Time, w *waiter) (time.Duration, bool) {
	var bound time.Duration
	bounded := false
	if !w.request.Deadline.IsZero() {
		bound, bounded = w.request.Deadline.Sub(now)-scale(l.runTimes.forKind(w.callKind), runTimeReserve), true
	}
	objective := w.request.Objective
	if objective <= 0 {
		return bound, bounded
	}
	wait := w.objectiveDeadline().Sub(now) - objectiveReserveRuns*l.runTimes.forKind(w.callKind)
	wait = min(max(wait, scale(objective, minWaitFraction)), scale(objective, maxWaitFraction))
	if !bounded || wait < bound {
		bound, bounded = wait, true
	}
	return bound, bounded
}

// expectedWait returns the expected time until w gets a slot: the calls ahead of it
// start one after the other as slots become free.
func (l *Limiter) expectedWait(now time.Time, w *waiter) time.Duration {
	var total time.Duration
	ahead := 0
	for other := range l.queue.ahead(w) {
		ahead++
		total += l.runTimes.forKind(other.callKind)
	}
	if l.fairness.isStarving(now, w.rank) {
		// A starving rank gets at least one in starvedGrantInterval slots.
		slots := starvedGrantInterval * (l.queue.countAhead(w.rank, w) + 1)
		if slots < ahead {
			total = time.Duration(slots) * l.runTimes.all.value
		}
	}
	wait := l.timeToFreeSlot(now) + total/time.Duration(max(1, l.limits.maxRunning()))
	if w.request.transfers() {
		wait = max(wait, l.transferWait(w))
	}
	return wait
}

// timeToFreeSlot returns the expected time until the first running call ends. The
// estimate for a call is at least a quarter of the mean run time, since nothing is
// known about the end of a call that has run for longer than the mean. With many
// slots, the mean time between the ends of calls is shorter than that of any call.
func (l *Limiter) timeToFreeSlot(now time.Time) time.Duration {
	if len(l.running) < l.limits.maxRunning() {
		return 0
	}
	shortest := time.Duration(-1)
	var endsPerSecond float64
	for r := range l.running {
		mean := l.runTimes.forKind(r.kind)
		if mean <= 0 {
			return 0
		}
		endsPerSecond += 1 / mean.Seconds()
		remaining := max(mean-now.Sub(r.startedAt), mean/4)
		if shortest < 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return max(0, min(shortest, time.Duration(float64(time.Second)/endsPerSecond)))
}

// missesObjective reports whether w is expected to miss its objective even if it
// starts at once.
func (l *Limiter) missesObjective(now time.Time, w *waiter) bool {
	return w.request.Objective > 0 && now.Add(l.runTimes.forKind(w.callKind)).After(w.objectiveDeadline())
}

// missesDeadline reports whether w can no longer meet its deadline.
func (l *Limiter) missesDeadline(now time.Time, w *waiter) bool {
	return !w.request.Deadline.IsZero() && w.request.Deadline.Sub(now) <= scale(l.runTimes.forKind(w.callKind), minRunTimeFraction)
}
