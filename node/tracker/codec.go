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
	maxNameBytes        = 253
	maxUnreachableZones = 64
	// maxDistance is above the bucket of any latency that a store call can
	// have.
	maxDistance = 64
)

// wireStates maps the state numbers on the wire to states.
var wireStates = []sycamorerun.State{
	sycamorerun.StateNone, sycamorerun.StateCold, sycamorerun.StateReady,
	sycamorerun.StateDraining, sycamorerun.StateLeft,
}

// maxStateAge bounds the age of a state. No slow start takes longer.
const maxStateAge = 24 * time.Hour

func milliseconds(age time.Duration) uint64 { return uint64(max(age, 0) / time.Millisecond) }

// timeOfAge returns the time age milliseconds before now. The age is capped at
// limit.
func timeOfAge(now time.Time, age uint64, limit time.Duration) time.Time {
	return now.Add(-time.Duration(min(age, uint64(limit/time.Millisecond))) * time.Millisecond)
}

// encode converts a record to its wire message. It carries ages instead of
// times, so that the receiver can start its timers without synchronized clocks.
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
		State:            uint32(slices.Index(wireStates, r.State)),
		Slots:            uint32(r.Slots),
		Release:          r.Release,
		Distance:         int32(r.Distance),
		SinceAgeMilli:    milliseconds(now.Sub(r.Since)),
		Suspected:        r.suspected(),
		Unreachable:      r.unreachable,
		Departures:       encodeDepartures(now, r.departures),
	}
	if r.expires() {
		message.AgeMilli = milliseconds(now.Sub(r.inactiveSince))
	}
	return message
}

// decode validates a received message and converts it. The health of the result
// is alive or suspect.
func decode(now time.Time, message *Record) (*record, error) {
	address := netip.AddrPort{}
	if err := address.UnmarshalBinary(message.GetAddress()); err != nil || !address.IsValid() {
		return nil, errors.Errorf("record of %q has an invalid address", message.GetName())
	}
	if err := checkMessage(message); err != nil {
		return nil, err
	}
	departures, err := decodeDepartures(now, message.GetDepartures())
	if err != nil {
		return nil, errors.Wrapf(err, "record of %q", message.GetName())
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
			State:            wireStates[message.GetState()],
			Slots:            int(message.GetSlots()),
			Release:          intern(message.GetRelease()),
			Distance:         int(message.GetDistance()),
			Since:            timeOfAge(now, message.GetSinceAgeMilli(), maxStateAge),
		},
		departures:    departures,
		inactiveSince: timeOfAge(now, message.GetAgeMilli(), retention),
		key:           newKey(message.GetName()),
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
		if text == "" || len(text) > maxNameBytes {
			return errors.Errorf("record of %.64q has a name, zone or region of %d bytes, want 1 to %d", message.GetName(), len(text), maxNameBytes)
		}
	}
	switch {
	case len(message.GetService()) > maxNameBytes:
		return errors.Errorf("record of %q has a service name of %d bytes, which exceeds the limit", message.GetName(), len(message.GetService()))
	case len(message.GetRelease()) > maxNameBytes:
		return errors.Errorf("record of %q has a release of %d bytes, which exceeds the limit", message.GetName(), len(message.GetRelease()))
	case int(message.GetState()) >= len(wireStates):
		return errors.Errorf("record of %q has unknown state %d", message.GetName(), message.GetState())
	case !sycamorerun.Incarnation(message.GetIncarnation()).Valid():
		return errors.Errorf("record of %q has invalid incarnation %d", message.GetName(), message.GetIncarnation())
	case message.GetSequence() > maxSequence:
		return errors.Errorf("record of %q has sequence %d, which exceeds the limit", message.GetName(), message.GetSequence())
	case len(message.GetUnreachable()) > maxUnreachableZones:
		return errors.Errorf("record of %q lists %d unreachable zones, which exceeds the limit", message.GetName(), len(message.GetUnreachable()))
	case message.GetDistance() < sycamorerun.Unreachable || message.GetDistance() > maxDistance:
		return errors.Errorf("record of %q has distance %d, which is out of range", message.GetName(), message.GetDistance())
	case message.GetSlots() > sycamorerun.MaxSlots:
		return errors.Errorf("record of %q has %d slots, which exceeds the limit", message.GetName(), message.GetSlots())
	}
	return nil
}

// maxSequence leaves room for the suspicion bit of a stamp and for refutations:
// a record at the largest sequence could not be refuted.
const maxSequence = 1 << 62

// intern shares the memory of strings that many records repeat.
func intern(text string) string { return unique.Make(text).Value() }
