package tracker

import (
	"strings"
	"time"

	"sycamorerun"
)

// announcementTimeout is how long an announcement of the local upstream is
// valid. An upstream that stops announcing itself counts as draining after this
// time, and as absent after twice this time.
const announcementTimeout = 5 * time.Second

// selfState is what the node knows about itself in addition to its record.
type selfState struct {
	name string
	// announced is the time of the upstream's last announcement.
	announced time.Time
	// conflicting is the newest record of this node that a peer sent and that
	// this node has to supersede.
	conflicting *record
}

// updateSelf changes this node's record and increments its sequence.
func (t *table) updateSelf(now time.Time, change func(r *record)) {
	r := *t.records[t.self.name]
	r.inDigest = false
	r.Sequence++
	state := r.State
	change(&r)
	// The slow start of a cold upstream continues when it becomes ready.
	if warmed := state == sycamorerun.StateCold && r.State == sycamorerun.StateReady; r.State != state && !warmed {
		r.Since = now
	}
	t.put(now, &r)
}

// announce applies an announcement of the local upstream and reports whether
// the record changed.
func (t *table) announce(now time.Time, service string, state sycamorerun.State, slots int, release string) bool {
	old := t.records[t.self.name]
	if old.State == sycamorerun.StateLeft {
		return false
	}
	t.self.announced = now
	// Peers reject a record with more slots.
	slots = min(slots, sycamorerun.MaxSlots)
	release = strings.ToValidUTF8(release[:min(len(release), maxNameBytes)], "")
	if old.Service == service && old.State == state && old.Slots == slots && old.Release == release {
		return false
	}
	t.updateSelf(now, func(r *record) { r.Service, r.State, r.Slots, r.Release = service, state, slots, release })
	return true
}

// setDistance sets the distance of the store and reports whether the record
// changed.
func (t *table) setDistance(now time.Time, distance int) bool {
	old := t.records[t.self.name]
	if old.State == sycamorerun.StateLeft || old.Distance == distance {
		return false
	}
	t.updateSelf(now, func(r *record) { r.Distance = distance })
	return true
}

func (t *table) leave(now time.Time) {
	t.updateSelf(now, func(r *record) {
		r.State = sycamorerun.StateLeft
		r.inactiveSince = now
	})
}

// mergeSelf notes a record of this node that a peer sent, if it supersedes this
// node's own. Such a record is from an earlier run or carries a suspicion.
func (t *table) mergeSelf(in *record) {
	self := t.records[t.self.name]
	if !supersedes(in, self) {
		return
	}
	if t.self.conflicting == nil || supersedes(in, t.self.conflicting) {
		t.self.conflicting = in
	}
}

func supersedes(in, old *record) bool {
	same := in.Sequence == old.Sequence && in.Incarnation == old.Incarnation
	return in.Newer(old.Instance) || same && in.suspected() && !old.suspected()
}

// tickSelf refutes suspicions and expires the upstream's announcement and departures. Refuting
// here and not on each received record bounds the rate when two processes use
// the same name.
func (t *table) tickSelf(now time.Time) bool {
	return t.refute(now) || t.expireAnnouncement(now) || t.expireDepartures(now)
}

func (t *table) refute(now time.Time) bool {
	in := t.self.conflicting
	t.self.conflicting = nil
	if in == nil || !supersedes(in, t.records[t.self.name]) {
		return false
	}
	t.updateSelf(now, func(r *record) {
		if in.Incarnation.Boot() != r.Incarnation.Boot() {
			r.Incarnation = r.Incarnation.AdvancePast(in.Incarnation)
			return
		}
		r.Incarnation = max(r.Incarnation, in.Incarnation)
		r.Sequence = max(r.Sequence, in.Sequence+1)
	})
	return true
}

func (t *table) expireAnnouncement(now time.Time) bool {
	silent := now.Sub(t.self.announced)
	next := stateAfterSilence(t.records[t.self.name].State, silent)
	if next == t.records[t.self.name].State {
		return false
	}
	t.updateSelf(now, func(r *record) { r.State = next })
	return true
}

// stateAfterSilence returns the state of an upstream that has not announced
// itself for some time.
func stateAfterSilence(state sycamorerun.State, silent time.Duration) sycamorerun.State {
	switch state {
	case sycamorerun.StateCold, sycamorerun.StateReady:
		if silent >= announcementTimeout {
			return sycamorerun.StateDraining
		}
	case sycamorerun.StateDraining:
		if silent >= 2*announcementTimeout {
			return sycamorerun.StateNone
		}
	}
	return state
}

// supersededByOtherRun reports whether this node holds a newer record, from
// another run, than the one that the record's own node sent.
func (t *table) supersededByOtherRun(in *record) bool {
	old := t.records[in.Name]
	return old != nil && old.Newer(in.Instance) && old.Incarnation.Boot() != in.Incarnation.Boot()
}
