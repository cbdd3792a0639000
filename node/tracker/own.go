package tracker

import (
	"time"

	"sycamorerun"
)

// lapse is how long an announcement of the local upstream is valid. An
// upstream that stopped announcing drains, and after the same time again it
// counts as absent.
const lapse = 5 * time.Second

// own is what the node knows of itself beside its record.
type own struct {
	name string
	// announced is the time of the upstream's last announcement.
	announced time.Time
	// overtaken is the newest record of this node that came from elsewhere
	// and that the node has to supersede.
	overtaken *record
}

// update changes the own record under the next sequence.
func (t *table) update(now time.Time, change func(r *record)) {
	r := *t.records[t.own.name]
	r.shared = false
	r.Sequence++
	state := r.State
	change(&r)
	// A cold upstream that becomes ready goes on with its slow start.
	if warmed := state == sycamorerun.StateCold && r.State == sycamorerun.StateReady; r.State != state && !warmed {
		r.Since = now
	}
	t.put(now, &r)
}

// announce takes the local upstream's announcement and reports whether the
// record changed.
func (t *table) announce(now time.Time, service string, state sycamorerun.State, slots int) bool {
	old := t.records[t.own.name]
	if old.State == sycamorerun.StateLeft {
		return false
	}
	t.own.announced = now
	if old.Service == service && old.State == state && old.Slots == slots {
		return false
	}
	t.update(now, func(r *record) { r.Service, r.State, r.Slots = service, state, slots })
	return true
}

// measure takes the distance of the store and reports whether the record
// changed.
func (t *table) measure(now time.Time, distance int) bool {
	old := t.records[t.own.name]
	if old.State == sycamorerun.StateLeft || old.Distance == distance {
		return false
	}
	t.update(now, func(r *record) { r.Distance = distance })
	return true
}

func (t *table) leave(now time.Time) {
	t.update(now, func(r *record) {
		r.State = sycamorerun.StateLeft
		r.since = now
	})
}

// noticeOwn looks at a record of this node that came from a peer. It is from
// an earlier run, or it says that this node is suspected.
func (t *table) noticeOwn(in *record) {
	self := t.records[t.own.name]
	if !supersedes(in, self) {
		return
	}
	if t.own.overtaken == nil || supersedes(in, t.own.overtaken) {
		t.own.overtaken = in
	}
}

func supersedes(in, old *record) bool {
	same := in.Sequence == old.Sequence && in.Incarnation == old.Incarnation
	return in.Newer(old.Instance) || same && in.suspected() && !old.suspected()
}

// tickOwn refutes and lets announcements lapse. Refuting here and not on each
// received record bounds the rate if two processes use the same name.
func (t *table) tickOwn(now time.Time) bool {
	return t.refute(now) || t.lapse(now)
}

func (t *table) refute(now time.Time) bool {
	in := t.own.overtaken
	t.own.overtaken = nil
	if in == nil || !supersedes(in, t.records[t.own.name]) {
		return false
	}
	t.update(now, func(r *record) {
		if in.Incarnation.Boot() != r.Incarnation.Boot() {
			r.Incarnation = r.Incarnation.Above(in.Incarnation)
			return
		}
		r.Incarnation = max(r.Incarnation, in.Incarnation)
		r.Sequence = max(r.Sequence, in.Sequence+1)
	})
	return true
}

func (t *table) lapse(now time.Time) bool {
	silent := now.Sub(t.own.announced)
	next := lapsed(t.records[t.own.name].State, silent)
	if next == t.records[t.own.name].State {
		return false
	}
	t.update(now, func(r *record) { r.State = next })
	return true
}

// lapsed returns the state of an upstream that has been silent for some time.
func lapsed(state sycamorerun.State, silent time.Duration) sycamorerun.State {
	switch state {
	case sycamorerun.StateCold, sycamorerun.StateReady:
		if silent >= lapse {
			return sycamorerun.StateDraining
		}
	case sycamorerun.StateDraining:
		if silent >= 2*lapse {
			return sycamorerun.StateNone
		}
	}
	return state
}

// overtakes reports whether a record that its own node sent is older here than
// one of another run.
func (t *table) overtakes(in *record) bool {
	old := t.records[in.Name]
	return old != nil && old.Newer(in.Instance) && old.Incarnation.Boot() != in.Incarnation.Boot()
}
