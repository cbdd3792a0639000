package announcer

import (
	"slices"
	"time"
)

const (
	// departureRetention is how long an id that left before its boot was announced
	// is not taken into use, since its announcements may still be in flight.
	departureRetention = 10 * time.Second
	// maxHistory bounds the recorded boots and departures. An instance restarts its
	// upstream only a few times within the time for which announcements can be
	// late.
	maxHistory = 16
)

// history holds the last boots that were replaced without having left, and the last
// departures.
type history struct {
	replaced   []boot
	departures []departure
}

type boot struct {
	id     string
	number int64
}

// departure is that of a boot, which is final. If the boot is zero, it is that of an
// id that left before it was announced.
type departure struct {
	boot
	at time.Time
}

// addReplaced records a boot that was replaced. A boot without a number can't be
// distinguished from the next one.
func (h *history) addReplaced(id string, number int64) {
	if b := (boot{id, number}); number != 0 && !slices.Contains(h.replaced, b) {
		h.replaced = append(bounded(h.replaced), b)
	}
}

func (h *history) wasReplaced(id string, number int64) bool {
	return slices.Contains(h.replaced, boot{id, number})
}

// addDeparture records the departure of a boot.
func (h *history) addDeparture(now time.Time, id string, number int64) {
	b := boot{id, number}
	h.replaced = slices.DeleteFunc(h.replaced, func(r boot) bool { return r == b })
	h.departures = slices.DeleteFunc(h.departures, func(d departure) bool { return d.boot == b })
	h.departures = append(bounded(h.departures), departure{b, now})
}

// addDepartures records the departure of an id whose boot is unknown, and of the
// boots of this id that were replaced.
func (h *history) addDepartures(now time.Time, id string) {
	for _, b := range slices.Clone(h.replaced) {
		if b.id == id {
			h.addDeparture(now, id, b.number)
		}
	}
	h.addDeparture(now, id, 0)
}

// hasLeft reports whether a boot has left, or its id has left recently before any
// boot of it was announced.
func (h *history) hasLeft(now time.Time, id string, number int64) bool {
	return slices.ContainsFunc(h.departures, func(d departure) bool {
		return d.id == id && (d.number == number && number != 0 || d.number == 0 && now.Sub(d.at) < departureRetention)
	})
}

// removeUnknownBoot removes the departure of an id whose boot was unknown.
func (h *history) removeUnknownBoot(id string) {
	h.departures = slices.DeleteFunc(h.departures, func(d departure) bool { return d.boot == boot{id, 0} })
}

// bounded returns a list without the oldest element if it is full.
func bounded[T any](list []T) []T { return list[max(0, len(list)+1-maxHistory):] }
