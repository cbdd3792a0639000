package announcer

import (
	"slices"
	"time"

	"sycamorerun"
)

const (
	// departureRetention is the time for which announcements from before a departure,
	// or from before the node's start, may still be in flight.
	departureRetention = 10 * time.Second
	// maxHistory bounds the recorded boots and departures. An instance restarts its
	// upstream only a few times within the time for which announcements can be
	// late.
	maxHistory = 16
	// maxBoots and maxUnknown are the maximum numbers of departures for the next
	// process, of boots and of ids.
	maxBoots   = 8
	maxUnknown = 4
	// MaxDepartures is the maximum number of departures that Departures returns.
	MaxDepartures = maxBoots + maxUnknown
)

// history holds the last boots that were replaced without having left, and the last
// departures.
type history struct {
	replaced []boot
	// departures are those of boots, unknown those of ids. They are kept apart, so
	// that departures of other writers don't displace those of real boots.
	departures, unknown []sycamorerun.Departure
}

type boot struct {
	id     string
	number int64
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

// addDeparture records a departure.
func (h *history) addDeparture(d sycamorerun.Departure) {
	if d.Boot == 0 {
		h.removeUnknown(d.ID)
		h.unknown = append(bounded(h.unknown), d)
		return
	}
	h.replaced = slices.DeleteFunc(h.replaced, func(b boot) bool { return b == boot{d.ID, d.Boot} })
	if old, found := h.find(d.ID, d.Boot); found && !old.Deleted {
		d.Deleted = false // the upstream itself has said that this boot leaves
	}
	h.removeDeparture(d.ID, d.Boot)
	h.departures = append(bounded(h.departures), d)
}

// replacedBoots returns the boots of an id that were replaced without having left.
func (h *history) replacedBoots(id string) []int64 {
	var boots []int64
	for _, b := range h.replaced {
		if b.id == id {
			boots = append(boots, b.number)
		}
	}
	return boots
}

// knowsDeparture reports whether a boot of an id has left.
func (h *history) knowsDeparture(id string) bool {
	return slices.ContainsFunc(h.departures, func(d sycamorerun.Departure) bool { return d.ID == id })
}

// restore adds departures from before all others.
func (h *history) restore(now time.Time, departures []sycamorerun.Departure) {
	own := slices.Concat(h.departures, h.unknown)
	h.departures, h.unknown = nil, nil
	for _, d := range departures {
		// The clock may have been set back since.
		if d.At.After(now) {
			d.At = now
		}
		h.addDeparture(d)
	}
	for _, d := range own {
		h.addDeparture(d)
	}
}

// find returns the departure of a boot.
func (h *history) find(id string, number int64) (sycamorerun.Departure, bool) {
	i := slices.IndexFunc(h.departures, func(d sycamorerun.Departure) bool { return d.ID == id && d.Boot == number })
	if i < 0 {
		return sycamorerun.Departure{}, false
	}
	return h.departures[i], true
}

// removeDeparture removes the departure of a boot.
func (h *history) removeDeparture(id string, number int64) {
	h.departures = slices.DeleteFunc(h.departures, func(d sycamorerun.Departure) bool { return d.ID == id && d.Boot == number })
}

// departed reports whether a boot has left.
func (h *history) departed(id string, number int64) bool {
	_, found := h.find(id, number)
	return found
}

// mayReturn reports whether a boot that has left may do so because the delete that
// ended it was a late one, and announcements from before it can't arrive any more.
func (h *history) mayReturn(now time.Time, id string, number int64) bool {
	d, found := h.find(id, number)
	return found && d.Deleted && now.Sub(d.At) >= departureRetention && !h.idLeft(now, id, number)
}

// hasLeft reports whether a boot has left, or its id has left recently.
func (h *history) hasLeft(now time.Time, id string, number int64) bool {
	return h.departed(id, number) || h.idLeft(now, id, number)
}

// idLeft reports whether a recent departure of an id binds a boot.
func (h *history) idLeft(now time.Time, id string, number int64) bool {
	return slices.ContainsFunc(h.recentUnknown(now), func(d sycamorerun.Departure) bool {
		return d.ID == id && (d.Last == 0 || number <= d.Last)
	})
}

// recentUnknown returns the departures of ids that still bind.
func (h *history) recentUnknown(now time.Time) []sycamorerun.Departure {
	return slices.DeleteFunc(slices.Clone(h.unknown), func(d sycamorerun.Departure) bool { return now.Sub(d.At) >= departureRetention })
}

// removeUnknown removes the departure of an id.
func (h *history) removeUnknown(id string) {
	h.unknown = slices.DeleteFunc(h.unknown, func(d sycamorerun.Departure) bool { return d.ID == id })
}

// bounded returns a list without the oldest element if it is full.
func bounded[T any](list []T) []T { return last(list, maxHistory-1) }
