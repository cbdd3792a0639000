package announcer

import (
	"slices"
	"time"

	"sycamorerun"
)

// held is the state of an Announcer that does not know yet which departures the
// earlier processes of its node confirmed. An announcement that arrives meanwhile may
// be a late one of an upstream that has left.
type held struct {
	// active is set until the departures are known.
	active bool
	// waited is the time for which the process has run since that began, checkedAt the
	// time of the last check. Announcements that arrive during a pause of the process
	// are read after it.
	waited    time.Duration
	checkedAt time.Time
	// announcements are the last ones that wait.
	announcements []received
}

// received is an announcement and the time at which it arrived.
type received struct {
	Announcement
	at time.Time
}

// MinPause is the minimum time between two calls of Expire after which the process
// counts as paused. A busy machine delays a call by about 100 ms.
const MinPause = time.Second

// check adds the time since the last check.
func (h *held) check(now time.Time) {
	h.waited += min(now.Sub(h.checkedAt), MinPause)
	h.checkedAt = now
}

// Hold makes the announcements wait for Release. It has to be called when the node
// starts.
func (a *Announcer) Hold(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.held = held{active: true, checkedAt: now}
}

// Learn adds departures that earlier processes of the node confirmed, while others may
// still be unknown.
func (a *Announcer) Learn(now time.Time, departures []sycamorerun.Departure) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.history.restore(now, departures)
	d, found := a.history.find(a.current.ID, a.current.Boot)
	if !found || leaving(a.current.State) || d.Deleted && a.lastAnnounced.Sub(d.At) >= departureRetention {
		return
	}
	a.leftAt = now
	a.current.State = sycamorerun.StateLeft
}

// Release processes the announcements that wait. The caller has passed to Learn all
// departures that can be known.
func (a *Announcer) Release() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	waiting := a.held.announcements
	a.held = held{}
	for _, in := range waiting {
		a.process(in.at, in.Announcement)
	}
}

// Departures returns the last departures that still bind: at most maxBoots of boots,
// then at most maxUnknown of ids.
func (a *Announcer) Departures(now time.Time) []sycamorerun.Departure {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return slices.Concat(last(a.history.departures, maxBoots), last(a.history.recentUnknown(now), maxUnknown))
}

// last returns the last elements of a list.
func last[T any](list []T, count int) []T { return list[max(0, len(list)-count):] }

// mustHold reports whether an announcement has to wait for Release. One that is read
// after the process has run for departureRetention can't be from before a departure
// that an earlier process confirmed. A boot number that is later than this process
// shows nothing: the clocks of the two may differ, or have been set. The departure of
// an upstream without a boot isn't kept.
func (a *Announcer) mustHold(in Announcement) bool {
	switch {
	case !a.held.active || a.held.waited >= departureRetention:
		return false
	case in.ID == a.current.ID && in.Boot == a.current.Boot:
		return false
	}
	return in.Boot != 0
}

// hold keeps an announcement for Release and records a departure at once.
func (a *Announcer) hold(now time.Time, in Announcement) Outcome {
	if leaving(in.State) {
		a.history.addDeparture(sycamorerun.Departure{ID: in.ID, Boot: in.Boot, At: now})
	}
	if a.history.hasLeft(now, in.ID, in.Boot) {
		return Ignored
	}
	a.held.announcements = append(bounded(a.held.announcements), received{in, now})
	return Held
}

// heldBoots returns the boots of an id whose announcements wait.
func (a *Announcer) heldBoots(id string) []int64 {
	var boots []int64
	for _, in := range a.held.announcements {
		if in.ID == id {
			boots = append(boots, in.Boot)
		}
	}
	return boots
}
