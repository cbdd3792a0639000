package tracker

import (
	"net/netip"
	"slices"
	"time"
	"unique"

	"github.com/pkg/errors"

	"sycamorerun"
)

// Limits of a received record.
const (
	nameBytes = 253
	zonesMost = 64
	slotsMost = 1 << 20
	// distanceMost is above the bucket of any latency that a call can have.
	distanceMost = 64
)

// states maps the numbers on the wire.
var states = []sycamorerun.State{
	sycamorerun.StateNone, sycamorerun.StateCold, sycamorerun.StateReady,
	sycamorerun.StateDraining, sycamorerun.StateLeft,
}

// sinceMost bounds the age of a state. No slow start takes as long.
const sinceMost = 24 * time.Hour

func milli(age time.Duration) uint64 { return uint64(max(age, 0) / time.Millisecond) }

// before returns the time that was age milliseconds ago, at most a bound.
func before(now time.Time, age uint64, most time.Duration) time.Time {
	return now.Add(-time.Duration(min(age, uint64(most/time.Millisecond))) * time.Millisecond)
}

// encode converts a record to its message. Ages let the receiver start its
// timers at the right time without comparing clocks.
func encode(now time.Time, r *record) *Record {
	address, _ := r.Address.MarshalBinary()
	message := &Record{
		Name:             r.Name,
		Incarnation:      int64(r.Incarnation),
		Sequence:         r.Sequence,
		Address:          address,
		AvailabilityZone: r.AvailabilityZone,
		Region:           r.Region,
		Service:          r.Service,
		State:            uint32(slices.Index(states, r.State)),
		Slots:            uint32(r.Slots),
		Distance:         int32(r.Distance),
		SinceAgeMilli:    milli(now.Sub(r.Since)),
		Suspected:        r.suspected(),
		Unreachable:      r.unreachable,
	}
	if r.timed() {
		message.AgeMilli = milli(now.Sub(r.since))
	}
	return message
}

// decode checks a received message. Its health is alive or suspect.
func decode(now time.Time, message *Record) (*record, error) {
	address := netip.AddrPort{}
	if err := address.UnmarshalBinary(message.GetAddress()); err != nil || !address.IsValid() {
		return nil, errors.Errorf("record of %q with invalid address", message.GetName())
	}
	if err := checkMessage(message); err != nil {
		return nil, err
	}
	r := &record{
		Instance: sycamorerun.Instance{
			Name:             message.GetName(),
			Incarnation:      sycamorerun.Incarnation(message.GetIncarnation()),
			Sequence:         message.GetSequence(),
			Address:          address,
			AvailabilityZone: intern(message.GetAvailabilityZone()),
			Region:           intern(message.GetRegion()),
			Service:          intern(message.GetService()),
			State:            states[message.GetState()],
			Slots:            int(message.GetSlots()),
			Distance:         int(message.GetDistance()),
			Since:            before(now, message.GetSinceAgeMilli(), sinceMost),
		},
		since: before(now, message.GetAgeMilli(), retention),
		key:   newKey(message.GetName()),
	}
	for _, zone := range message.GetUnreachable() {
		r.unreachable = append(r.unreachable, intern(zone))
	}
	if message.GetSuspected() {
		r.health = suspect
	}
	return r, nil
}

func checkMessage(message *Record) error {
	texts := append([]string{message.GetName(), message.GetAvailabilityZone(), message.GetRegion()}, message.GetUnreachable()...)
	for _, text := range texts {
		if text == "" || len(text) > nameBytes {
			return errors.Errorf("record of %.64q with a name of %d bytes, want 1 to %d", message.GetName(), len(text), nameBytes)
		}
	}
	switch {
	case len(message.GetService()) > nameBytes:
		return errors.Errorf("record of %q with a service of %d bytes", message.GetName(), len(message.GetService()))
	case int(message.GetState()) >= len(states):
		return errors.Errorf("record of %q with unknown state %d", message.GetName(), message.GetState())
	case !sycamorerun.Incarnation(message.GetIncarnation()).Valid():
		return errors.Errorf("record of %q with incarnation %d", message.GetName(), message.GetIncarnation())
	case message.GetSequence() > sequenceMost:
		return errors.Errorf("record of %q with sequence %d", message.GetName(), message.GetSequence())
	case len(message.GetUnreachable()) > zonesMost:
		return errors.Errorf("record of %q with %d zones", message.GetName(), len(message.GetUnreachable()))
	case message.GetDistance() < sycamorerun.Unreachable || message.GetDistance() > distanceMost:
		return errors.Errorf("record of %q with distance %d", message.GetName(), message.GetDistance())
	case message.GetSlots() > slotsMost:
		return errors.Errorf("record of %q with %d slots", message.GetName(), message.GetSlots())
	}
	return nil
}

// sequenceMost leaves room for the suspicion bit of a stamp and for
// refutations: a record at the largest number could never be refuted.
const sequenceMost = 1 << 62

// intern shares the strings that many records repeat.
func intern(text string) string { return unique.Make(text).Value() }
