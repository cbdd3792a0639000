package tracker

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"sycamorerun"
)

const (
	// departureAge is the age from which on a departure is neither published nor
	// kept: no announcement is late by as much.
	departureAge = 30 * time.Second
	// settleTime is how long a node has to run until it knows the members. A departure
	// that an earlier run of one of them confirmed before matters no longer.
	settleTime = 10 * time.Second
	// maxDepartures bounds the departures in a received message.
	maxDepartures = 32
	// maxIDBytes bounds the id of an upstream.
	maxIDBytes = 1024
)

// earlierRun is what a record replaced: the boot id of the node's previous run, or
// zero, and the departures that its earlier runs confirmed.
type earlierRun struct {
	boot       uint32
	departures []sycamorerun.Departure
}

// following returns the earlier run for a record that replaces r.
func (r *record) following(now time.Time, next *record) earlierRun {
	if r.Incarnation.Boot() == next.Incarnation.Boot() {
		return r.earlier
	}
	return earlierRun{r.Incarnation.Boot(), recent(now, slices.Concat(r.earlier.departures, r.departures))}
}

// recent returns the departures that still matter.
func recent(now time.Time, departures []sycamorerun.Departure) []sycamorerun.Departure {
	kept := slices.DeleteFunc(slices.Clone(departures), func(d sycamorerun.Departure) bool { return now.Sub(d.At) >= departureAge })
	return kept[max(0, len(kept)-maxDepartures):]
}

// setDepartures publishes the departures that this node confirmed and reports whether
// the record changed.
func (t *table) setDepartures(now time.Time, departures []sycamorerun.Departure) bool {
	departures = recent(now, departures)
	old := t.records[t.self.name]
	if old.State == sycamorerun.StateLeft || slices.Equal(departures, old.departures) {
		return false
	}
	t.updateSelf(now, func(r *record) { r.departures = departures })
	return true
}

// expireDepartures removes old departures from this node's record.
func (t *table) expireDepartures(now time.Time) bool {
	own := t.records[t.self.name].departures
	return len(own) > 0 && t.setDepartures(now, own)
}

// describeRuns adds to a frame what this node knows about the receiver's runs.
func (t *table) describeRuns(now time.Time, frame *Frame, receiver string) {
	if receiver == "" || receiver == t.self.name {
		return
	}
	frame.Settled = now.Sub(t.started) >= settleTime
	r := t.records[receiver]
	if r == nil {
		return
	}
	frame.Runs = []uint32{r.Incarnation.Boot()}
	if r.earlier.boot != 0 {
		frame.Runs = append(frame.Runs, r.earlier.boot)
	}
	frame.RunDepartures = encodeDepartures(now, slices.Concat(r.earlier.departures, r.departures))
}

// earlierDepartures returns the departures that the peer who sent a frame knows from
// earlier runs of this node. ok is false if there may be an earlier run that the peer
// does not know.
func (t *table) earlierDepartures(now time.Time, frame *Frame) (departures []sycamorerun.Departure, ok bool, err error) {
	own := t.records[t.self.name].Incarnation.Boot()
	earlier := slices.ContainsFunc(frame.GetRuns(), func(boot uint32) bool { return boot != own })
	if !earlier && !frame.GetSettled() {
		return nil, false, nil
	}
	departures, err = decodeDepartures(now, frame.GetRunDepartures())
	return departures, err == nil, err
}

func encodeDepartures(now time.Time, departures []sycamorerun.Departure) []*Departure {
	var messages []*Departure
	for _, d := range recent(now, departures) {
		messages = append(messages, &Departure{Id: d.ID, Boot: d.Boot, Last: d.Last, Deleted: d.Deleted, AgeMilli: milliseconds(now.Sub(d.At))})
	}
	return messages
}

func decodeDepartures(now time.Time, messages []*Departure) ([]sycamorerun.Departure, error) {
	if len(messages) > maxDepartures {
		return nil, errors.Errorf("%d departures exceed the limit", len(messages))
	}
	var departures []sycamorerun.Departure
	for _, m := range messages {
		if m.GetId() == "" || len(m.GetId()) > maxIDBytes || m.GetBoot() < 0 || m.GetLast() < 0 {
			return nil, errors.Errorf("invalid departure of %.64q", m.GetId())
		}
		departures = append(departures, sycamorerun.Departure{
			ID: m.GetId(), Boot: m.GetBoot(), Last: m.GetLast(), Deleted: m.GetDeleted(), At: timeOfAge(now, m.GetAgeMilli(), departureAge),
		})
	}
	return departures, nil
}
