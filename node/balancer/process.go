package balancer

import (
	"time"

	"sycamorerun"
)

const (
	// baseUnreachableTime and maxUnreachableTime bound the ejection of an instance
	// that can't be connected to. One failure is enough, since each costs a call
	// the time of a connection attempt. The ejection is short, since an address
	// answers again soon after a restart.
	baseUnreachableTime = time.Second
	maxUnreachableTime  = 5 * time.Second
	// drainingAvoidTime is the time for which a draining instance is not picked.
	// Its new state reaches this node within this time.
	drainingAvoidTime = 5 * time.Second
	// maxConsecutiveLosses losses without an answer in between eject an instance.
	// One loss is that of a process that ends, which takes all its calls with it; the
	// calls that are sent before this node knows are a second one.
	maxConsecutiveLosses = 3
)

// processMemory is what this node knows about the process of an instance and the way to
// it, as opposed to the upstream beside it. It ends with the process, except for the
// losses, which may come from a process that fails again after each start.
type processMemory struct {
	// record is the newest record of the instance.
	record recordVersion
	// connectFailures counts the failures to connect since the last outcome.
	connectFailures int
	// unreachableUntil is the time until which the instance is ejected after a
	// failure to connect. No slow start follows, since nothing indicates that the
	// instance is slow.
	unreachableUntil time.Time
	// avoidedUntil is the time until which an instance that refused a call because it
	// drains, or has no upstream, is not picked. A new record of it ends this.
	avoidedUntil time.Time
	// losses counts the losses since the last answer, lostAt is the time of the last
	// one and lostUntil the time until which the instance is ejected for them.
	losses            int
	lostAt, lostUntil time.Time
}

// recordVersion identifies a version of the membership record of an instance.
type recordVersion struct {
	incarnation sycamorerun.Incarnation
	sequence    uint64
}

func versionOf(instance *sycamorerun.Instance) recordVersion {
	return recordVersion{instance.Incarnation, instance.Sequence}
}

// follow takes over the present record of the instance. What is known of an earlier
// process says nothing about this one.
func (p *processMemory) follow(instance *sycamorerun.Instance) {
	present := versionOf(instance)
	if present == p.record {
		return
	}
	p.avoidedUntil = time.Time{}
	if present.incarnation.Boot() != p.record.incarnation.Boot() {
		p.connectFailures, p.unreachableUntil = 0, time.Time{}
	}
	p.record = present
}

// recordUnreachable ejects an instance that could not be connected to.
func (p *processMemory) recordUnreachable(now time.Time, picked recordVersion) {
	if now.Before(p.unreachableUntil) || picked.incarnation.Boot() != p.record.incarnation.Boot() {
		return // The call was already in flight when the instance was ejected or replaced.
	}
	p.unreachableUntil = now.Add(doubled(baseUnreachableTime, p.connectFailures, maxUnreachableTime))
	p.connectFailures++
}

// recordDraining avoids an instance that refused a call because it drains, unless its
// record has changed since the call was sent.
func (p *processMemory) recordDraining(now time.Time, picked recordVersion) {
	if picked == p.record {
		p.avoidedUntil = now.Add(drainingAvoidTime)
	}
}

// recordLoss records a call that was lost with its session. Those that were sent before
// the last loss was known were lost with it.
func (p *processMemory) recordLoss(now, started time.Time) {
	if started.Before(p.lostAt) {
		return
	}
	p.lostAt = now
	p.losses++
	if further := p.losses - maxConsecutiveLosses; further >= 0 {
		p.lostUntil = now.Add(doubled(baseEjectionTime, further, maxEjectionTime))
	}
}

// recordAnswer records that the instance answered a call.
func (p *processMemory) recordAnswer() { p.losses, p.lostUntil = 0, time.Time{} }

// ejectionEnd returns the time until which the instance is ejected.
func (p *processMemory) ejectionEnd() time.Time {
	if p.lostUntil.After(p.unreachableUntil) {
		return p.lostUntil
	}
	return p.unreachableUntil
}
