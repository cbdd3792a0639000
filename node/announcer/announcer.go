// Package announcer decides which upstream beside the node is in use. The
// announcements that it receives may be late, lost, duplicated or from an
// earlier process of the upstream.
package announcer

import (
	"net/netip"
	"strings"
	"sync"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"

	"sycamorerun"
)

// Outcome is the result of processing an announcement. Every announcement
// except an invalid one is acknowledged to its sender.
type Outcome string

// Outcomes.
const (
	Accepted Outcome = "accepted"
	// Stale means that a newer announcement of the same boot was already
	// processed.
	Stale Outcome = "stale"
	// Ignored means that the announced upstream is not the one in use.
	Ignored Outcome = "ignored"
	// Held means that the announcement takes effect once the departures that
	// earlier processes of the node confirmed are known.
	Held Outcome = "held"
	// Unsaved means that a departure took effect but could not be stored, so that
	// it must not be confirmed to the sender.
	Unsaved Outcome = "unsaved"
	// Invalid means that the announcement names no usable upstream.
	Invalid Outcome = "invalid"
)

const (
	// replacePeriods is the number of announcement periods without an
	// announcement after which an upstream with another id takes over.
	// unavailablePeriods is the number after which the upstream receives no
	// more calls.
	replacePeriods     = 2
	unavailablePeriods = 3
	// refusalWindow is the time within which two consecutive refused
	// connections make the upstream unavailable.
	refusalWindow = time.Second
	// lateAnnouncementWindow is the time after which an announcement of an id
	// without a boot counts as new and not as late. Announcements arrive
	// seconds late, but not half a minute.
	lateAnnouncementWindow = 30 * time.Second
	// maxIDBytes is the maximum length of an id, which each request contains.
	maxIDBytes = 1024
)

// Announcement describes an upstream. The upstream sends it.
type Announcement struct {
	ID      string
	Service string
	Address netip.AddrPort
	State   sycamorerun.State
	Slots   int
	// Release is the release of the upstream's software, or empty.
	Release string
	// Warmup is the remaining time of the slow start.
	Warmup   time.Duration
	Sequence uint64
	// Boot is the start of the upstream's process. Unlike the random boot id of
	// a node, it orders the processes: a later start has a larger value. Zero
	// means unknown.
	Boot int64
}

// check returns an error unless a can name an upstream.
func (a Announcement) check() error {
	switch {
	case !validID(a.ID):
		return errors.New("the id can't be the value of a header")
	case a.Service == "":
		return errors.New("no service")
	case !a.Address.IsValid() || a.Address.Port() == 0:
		return errors.New("no address with a port")
	case a.Slots <= 0 || a.Slots > sycamorerun.MaxSlots:
		return errors.Errorf("%d slots, want 1 to %d", a.Slots, sycamorerun.MaxSlots)
	case !serving(a.State) && !leaving(a.State):
		return errors.Errorf("unknown state %q", a.State)
	}
	return nil
}

// validID reports whether an id can be the value of a header.
func validID(id string) bool {
	return id != "" && len(id) <= maxIDBytes && id == strings.TrimSpace(id) && utf8.ValidString(id) && !strings.ContainsFunc(id, unicode.IsControl)
}

// numbered reports whether a can be ordered relative to other announcements of
// its upstream.
func (a Announcement) numbered() bool { return a.Boot != 0 || a.Sequence != 0 }

func serving(state sycamorerun.State) bool {
	return state == sycamorerun.StateCold || state == sycamorerun.StateReady
}

func leaving(state sycamorerun.State) bool {
	return state == sycamorerun.StateDraining || state == sycamorerun.StateLeft
}

// Announcer tracks the upstream in use. Its methods are safe for concurrent
// use. Set the exported fields before any call.
type Announcer struct {
	// Service and Address are those of the upstream beside the node, if they are
	// known. An announcement of another service or address is from another writer.
	Service string
	Address netip.AddrPort

	mutex   sync.Mutex
	period  func() time.Duration
	current Announcement
	// lastAnnounced is the time of the last accepted announcement, warmUntil
	// the end of the warm-up and leftAt the time at which the upstream began to
	// leave.
	lastAnnounced, warmUntil, leftAt time.Time
	// unavailable is set if the upstream is not used until its next
	// announcement.
	unavailable bool
	lastRefused time.Time
	history     history
	candidate   candidate
	held        held
}

// New returns an Announcer for upstreams that announce themselves once per
// period. The result of period may change over time.
func New(period func() time.Duration) *Announcer {
	return &Announcer{period: period}
}

// Check returns an error unless an announcement names an upstream that this node can
// use.
func (a *Announcer) Check(in Announcement) error {
	switch {
	case a.Service != "" && in.Service != a.Service:
		return errors.Errorf("service %.64q, the upstream beside this node serves %s", in.Service, a.Service)
	case a.Address.IsValid() && in.Address != a.Address:
		return errors.Errorf("address %s, the upstream beside this node has %s", in.Address, a.Address)
	}
	return in.check()
}

// Announce processes an announcement.
func (a *Announcer) Announce(now time.Time, in Announcement) Outcome {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.expire(now)
	in.Boot = max(in.Boot, 0)
	switch {
	case a.Check(in) != nil:
		return Invalid
	case a.mustHold(in):
		return a.hold(now, in)
	}
	return a.process(now, in)
}

// process processes a valid announcement.
func (a *Announcer) process(now time.Time, in Announcement) Outcome {
	switch {
	case in.ID == a.current.ID && in.Boot == a.current.Boot:
		return a.update(now, in)
	case in.ID == a.current.ID && in.Boot == 0 && !a.silentForLateWindow(now):
		// An upstream that states its boot states it in each announcement.
		return Stale
	case !a.supersedes(now, in):
		return Ignored
	}
	a.replace(now, in)
	return Accepted
}

// supersedes reports whether an announcement of another boot or another id
// replaces the current upstream. It records the departure of a boot that is
// leaving, so that its late announcements are ignored.
func (a *Announcer) supersedes(now time.Time, in Announcement) bool {
	left := a.history.hasLeft(now, in.ID, in.Boot)
	if leaving(in.State) && in.Boot != 0 {
		a.history.addDeparture(sycamorerun.Departure{ID: in.ID, Boot: in.Boot, At: now})
	}
	later := in.Boot > a.current.Boot && a.current.ID != ""
	switch {
	case left:
		return serving(in.State) && a.returns(now, in)
	case !later && leaving(in.State):
		return a.current.ID == ""
	case a.history.wasReplaced(in.ID, in.Boot), in.Boot != 0 && in.Boot < a.current.Boot:
		// The boot that replaced it may be from another writer, or the clock that
		// boots are taken from may have been set back. A boot that keeps announcing
		// itself until the current one is replaceable can't be a late message.
		return a.confirmCandidate(now, in) && a.replaceable(now)
	default:
		return later || a.replaceable(now)
	}
}

// update processes an announcement of the current boot, or of an unknown one if the
// current one is unknown.
func (a *Announcer) update(now time.Time, in Announcement) Outcome {
	if a.ordered(in) && in.Sequence <= a.current.Sequence && !a.pastLateWindow(now, in) && !a.confirmSequence(now, in) {
		return Stale
	}
	if leaving(a.current.State) && !a.acceptedWhileLeaving(now, in) {
		return Stale
	}
	a.apply(now, in)
	return Accepted
}

// acceptedWhileLeaving reports whether an announcement of a leaving upstream is
// accepted.
func (a *Announcer) acceptedWhileLeaving(now time.Time, in Announcement) bool {
	if leaving(in.State) {
		return a.current.State != sycamorerun.StateLeft || in.State == sycamorerun.StateLeft
	}
	return !a.ordered(in) || a.pastLateWindow(now, in) || a.returns(now, in)
}

// returns reports whether a boot that was deleted is in use again. The delete was a
// late one of an earlier boot if this one goes on announcing itself for longer than an
// announcement can be late.
func (a *Announcer) returns(now time.Time, in Announcement) bool {
	return a.history.mayReturn(now, in.ID, in.Boot) && a.confirmCandidate(now, in) && a.replaceable(now)
}

// ordered reports whether in can be distinguished from a late announcement.
// Without numbers, the last received announcement applies.
func (a *Announcer) ordered(in Announcement) bool { return in.numbered() || a.current.numbered() }

// pastLateWindow reports whether an upstream without a boot has been silent or
// gone for so long that its announcement can't be a late one.
func (a *Announcer) pastLateWindow(now time.Time, in Announcement) bool {
	return in.Boot == 0 && a.silentForLateWindow(now)
}

// silentForLateWindow reports whether the current upstream has been silent or gone
// for lateAnnouncementWindow.
func (a *Announcer) silentForLateWindow(now time.Time) bool {
	since := a.lastAnnounced
	if a.leftAt.After(since) {
		since = a.leftAt
	}
	return now.Sub(since) >= lateAnnouncementWindow
}

// replaceable reports whether another upstream may replace the current one.
func (a *Announcer) replaceable(now time.Time) bool {
	return a.current.ID == "" || a.unavailable || leaving(a.current.State) || now.Sub(a.lastAnnounced) >= replacePeriods*a.period()
}

// replace makes another boot the current one.
func (a *Announcer) replace(now time.Time, in Announcement) {
	a.history.addReplaced(a.current.ID, a.current.Boot)
	a.leftAt, a.warmUntil = time.Time{}, time.Time{}
	a.current = Announcement{}
	a.apply(now, in)
}

// apply makes an accepted announcement the current one.
func (a *Announcer) apply(now time.Time, in Announcement) {
	a.lastAnnounced, a.unavailable, a.lastRefused, a.candidate = now, false, time.Time{}, candidate{}
	if leaving(in.State) && !leaving(a.current.State) {
		a.leave(now, in)
	}
	if serving(in.State) {
		a.history.removeDeparture(in.ID, in.Boot)
	}
	a.warmUntil = now.Add(in.Warmup)
	if serving(in.State) && in.Warmup > 0 {
		in.State = sycamorerun.StateCold
	}
	a.current = in
}

// Leave records that an upstream has left. This is final for the boot in use.
func (a *Announcer) Leave(now time.Time, id string) Outcome {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	switch {
	case !validID(id):
		return Invalid
	case id != a.current.ID:
		a.leaveOther(now, id)
		return Ignored
	}
	if !leaving(a.current.State) {
		a.leftAt = now
	}
	if a.current.Boot != 0 {
		a.history.addDeparture(sycamorerun.Departure{ID: id, Boot: a.current.Boot, Deleted: true, At: now})
		a.history.addDeparture(departureOfID(now, id))
	}
	a.current.State = sycamorerun.StateLeft
	return Accepted
}

// leaveOther records the departure of an id that isn't the current one: those of its
// known boots, and that of the id. If no boot of it is known, it may be the departure
// of a boot whose announcements are late, and binds whatever the clock says.
func (a *Announcer) leaveOther(now time.Time, id string) {
	boots := append(a.history.replacedBoots(id), a.heldBoots(id)...)
	for _, boot := range boots {
		a.history.addDeparture(sycamorerun.Departure{ID: id, Boot: boot, Deleted: true, At: now})
	}
	departure := sycamorerun.Departure{ID: id, At: now}
	if a.history.knowsDeparture(id) {
		departure = departureOfID(now, id)
	}
	a.history.addDeparture(departure)
}

// departureOfID returns the departure of an id with a known boot. It may be that of a
// later boot whose announcements have not arrived yet, but not that of a boot which
// starts after it.
func departureOfID(now time.Time, id string) sycamorerun.Departure {
	return sycamorerun.Departure{ID: id, Last: now.UnixMilli(), At: now}
}

// leave records that the upstream in use leaves. One without a boot can't be
// distinguished from the next one.
func (a *Announcer) leave(now time.Time, in Announcement) {
	a.leftAt = now
	if in.Boot != 0 {
		a.history.addDeparture(sycamorerun.Departure{ID: in.ID, Boot: in.Boot, At: now})
	}
}

// ConnectionRefused records that the upstream in use refused a connection.
func (a *Announcer) ConnectionRefused(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.lastRefused.IsZero() && now.Sub(a.lastRefused) <= refusalWindow {
		a.unavailable = true
	}
	a.lastRefused = now
}

// ConnectionSucceeded records that the upstream in use answered, which resets
// the refused connections.
func (a *Announcer) ConnectionSucceeded() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.lastRefused = time.Time{}
}

// Misdirected records that another instance answered at the address of id.
func (a *Announcer) Misdirected(_ time.Time, id string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if id == a.current.ID && id != "" {
		a.unavailable = true
	}
}

// Expire makes an upstream unavailable that has stopped announcing itself, and
// ends a warm-up whose time is over. It has to be called at short intervals.
func (a *Announcer) Expire(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.held.check(now)
	a.expire(now)
}

func (a *Announcer) expire(now time.Time) {
	if now.Sub(a.lastAnnounced) >= unavailablePeriods*a.period() {
		a.unavailable = true
	}
	if a.current.State == sycamorerun.StateCold && !a.warmUntil.After(now) && a.current.Warmup > 0 {
		a.current.State = sycamorerun.StateReady
	}
}

// Current returns the upstream in use, which is cold, ready or draining. It
// returns false if the upstream has left, is unavailable or was never
// announced.
func (a *Announcer) Current() (Announcement, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.current, a.current.ID != "" && !a.unavailable && a.current.State != sycamorerun.StateLeft
}

// confirmSequence reports whether the current sequence may be from another writer:
// the upstream has been silent since, but for announcements with lower, rising
// sequences for replacePeriods. The departure of an upstream is final.
func (a *Announcer) confirmSequence(now time.Time, in Announcement) bool {
	return serving(a.current.State) && a.replaceable(now) && a.confirmCandidate(now, in)
}
