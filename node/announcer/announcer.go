// Package announcer decides which upstream beside the node is in use, from
// announcements that can be late, lost, repeated or from an earlier process.
package announcer

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"sycamorerun"
)

// Outcome is what became of an announcement. The sender of any but an invalid
// one gets an acknowledgement.
type Outcome string

// Outcomes.
const (
	Accepted Outcome = "accepted"
	// Stale is an announcement that a newer one of the same boot precedes.
	Stale Outcome = "stale"
	// Ignored is an announcement of an upstream that is not the one in use.
	Ignored Outcome = "ignored"
	// Invalid is an announcement that names no upstream that can be used.
	Invalid Outcome = "invalid"
)

const (
	// replaceable is the number of silent periods after which an upstream with
	// another id takes over, lapsed the one after which calls stop.
	replaceable = 2
	lapsed      = 3
	// refusalWindow is the time in which two refused connections in a row mean
	// that the upstream is gone.
	refusalWindow = time.Second
	// returnDelay is the time after which an id without a boot may come back
	// after it has left. Announcements arrive seconds late, not half a minute.
	returnDelay = 30 * time.Second
	// departureAge is the time for which an id that left before it was announced
	// is not taken into use: its announcements may be on their way.
	departureAge = 10 * time.Second
)

// Announcement is what an upstream says about itself.
type Announcement struct {
	ID      string
	Service string
	Address netip.AddrPort
	State   sycamorerun.State
	Slots   int
	// Warmup is the time for which the upstream stays slow.
	Warmup   time.Duration
	Sequence uint64
	// Boot is the start of the upstream's process, larger for a later start;
	// zero is unknown.
	Boot int64
}

// valid reports whether a names an upstream that can be used.
func (a Announcement) valid() bool {
	return a.ID != "" && a.Service != "" && a.Address.IsValid() && a.Address.Port() != 0 && a.Slots > 0 &&
		(serving(a.State) || leaving(a.State))
}

// numbered reports whether a can be ordered among others of its upstream.
func (a Announcement) numbered() bool { return a.Boot != 0 || a.Sequence != 0 }

func serving(state sycamorerun.State) bool {
	return state == sycamorerun.StateCold || state == sycamorerun.StateReady
}

func leaving(state sycamorerun.State) bool {
	return state == sycamorerun.StateDraining || state == sycamorerun.StateLeft
}

// Announcer holds the upstream in use. All methods can be called concurrently.
type Announcer struct {
	mutex   sync.Mutex
	period  func() time.Duration
	current Announcement
	// heard is the time of the last announcement, warm the end of the warm-up
	// and left the time at which the upstream began to leave.
	heard, warm, left time.Time
	// lapsed says that the upstream serves only after its next announcement.
	lapsed  bool
	refused time.Time
	ended   ended
	claim   claim
}

// New returns an Announcer for upstreams that announce themselves once in a
// period. What period returns may change.
func New(period func() time.Duration) *Announcer {
	return &Announcer{period: period}
}

// Announce takes an announcement.
func (a *Announcer) Announce(now time.Time, in Announcement) Outcome {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.expire(now)
	in.Boot = max(in.Boot, 0)
	switch {
	case !in.valid():
		return Invalid
	case in.ID == a.current.ID && (in.Boot == a.current.Boot || in.Boot == 0):
		return a.update(now, in)
	case !a.supersedes(now, in):
		return Ignored
	}
	a.replace(now, in)
	return Accepted
}

// supersedes reports whether another boot or another id takes the place of the
// known one.
func (a *Announcer) supersedes(now time.Time, in Announcement) bool {
	later := in.Boot > a.current.Boot && a.current.ID != ""
	switch {
	case a.ended.has(in.ID, in.Boot), a.ended.departed(now, in.ID):
		return false
	case !later && !a.gone(now):
		return false
	case !later && leaving(in.State):
		a.ended.add(in.ID, in.Boot)
		return a.current.ID == ""
	case in.Boot != 0 && in.Boot < a.current.Boot:
		// The clock that boots are taken from may have been set back. A boot
		// that keeps announcing itself when the known one is gone is no late
		// message.
		return a.claimed(now, in)
	default:
		return true
	}
}

// update takes an announcement of the known boot.
func (a *Announcer) update(now time.Time, in Announcement) Outcome {
	if a.ordered(in) && in.Sequence <= a.current.Sequence && !a.returns(now, in) {
		return Stale
	}
	if leaving(a.current.State) && !a.resumes(now, in) {
		return Stale
	}
	in.Boot = a.current.Boot
	a.take(now, in)
	return Accepted
}

// resumes reports whether an announcement of a leaving upstream counts.
func (a *Announcer) resumes(now time.Time, in Announcement) bool {
	if leaving(in.State) {
		return a.current.State != sycamorerun.StateLeft || in.State == sycamorerun.StateLeft
	}
	return !a.ordered(in) || a.returns(now, in)
}

// ordered reports whether in can be told from a late announcement. Without
// numbers the last one counts.
func (a *Announcer) ordered(in Announcement) bool { return in.numbered() || a.current.numbered() }

// returns reports whether an id without a boot has been gone for so long that
// its announcement is not a late one.
func (a *Announcer) returns(now time.Time, in Announcement) bool {
	if in.Boot != 0 || a.current.Boot != 0 {
		return false
	}
	since := a.heard
	if a.left.After(since) {
		since = a.left
	}
	return now.Sub(since) >= returnDelay
}

// gone reports whether another upstream may take the place of the known one.
func (a *Announcer) gone(now time.Time) bool {
	return a.current.ID == "" || a.lapsed || leaving(a.current.State) || now.Sub(a.heard) >= replaceable*a.period()
}

// replace puts another boot in the place of the known one.
func (a *Announcer) replace(now time.Time, in Announcement) {
	a.ended.add(a.current.ID, a.current.Boot)
	a.ended.forget(in.ID)
	a.left, a.warm = time.Time{}, time.Time{}
	a.current = Announcement{}
	a.take(now, in)
}

// take puts an accepted announcement in force.
func (a *Announcer) take(now time.Time, in Announcement) {
	a.heard, a.lapsed, a.refused, a.claim = now, false, time.Time{}, claim{}
	if leaving(in.State) && !leaving(a.current.State) {
		a.left = now
	}
	a.warm = now.Add(in.Warmup)
	if serving(in.State) && in.Warmup > 0 {
		in.State = sycamorerun.StateCold
	}
	a.current = in
}

// Leave takes the departure of an upstream. It is final for the boot in use.
func (a *Announcer) Leave(now time.Time, id string) Outcome {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	switch {
	case id == "":
		return Invalid
	case id != a.current.ID:
		a.ended.depart(now, id)
		return Ignored
	}
	if !leaving(a.current.State) {
		a.left = now
	}
	a.current.State = sycamorerun.StateLeft
	return Accepted
}

// ConnectionRefused notes that the upstream in use refused a connection.
func (a *Announcer) ConnectionRefused(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.refused.IsZero() && now.Sub(a.refused) <= refusalWindow {
		a.lapsed = true
	}
	a.refused = now
}

// ConnectionSucceeded notes that the upstream in use answered, which ends a row of refused
// connections.
func (a *Announcer) ConnectionSucceeded() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.refused = time.Time{}
}

// Misdirected notes that another instance answers at the address of id.
func (a *Announcer) Misdirected(_ time.Time, id string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if id == a.current.ID && id != "" {
		a.lapsed = true
	}
}

// Expire applies the passing of time.
func (a *Announcer) Expire(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.expire(now)
}

func (a *Announcer) expire(now time.Time) {
	if now.Sub(a.heard) >= lapsed*a.period() {
		a.lapsed = true
	}
	if a.current.State == sycamorerun.StateCold && !a.warm.After(now) && a.current.Warmup > 0 {
		a.current.State = sycamorerun.StateReady
	}
}

// Current returns the upstream in use, cold, ready or draining. There is none
// when it has left, has lapsed or was never announced.
func (a *Announcer) Current() (Announcement, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.current, a.current.ID != "" && !a.lapsed && a.current.State != sycamorerun.StateLeft
}

// claimed reports whether a boot of doubtful age has announced itself often
// enough to count: with rising sequences for two periods.
func (a *Announcer) claimed(now time.Time, in Announcement) bool {
	c := &a.claim
	if c.id != in.ID || c.boot != in.Boot || now.Sub(c.last) >= lapsed*a.period() {
		*c = claim{id: in.ID, boot: in.Boot, since: now}
	} else if in.Sequence <= c.sequence {
		return false
	}
	c.last, c.sequence = now, in.Sequence
	return serving(in.State) && now.Sub(c.since) >= replaceable*a.period()
}

// claim is a boot that may be a new one although it looks like a late one.
type claim struct {
	id          string
	boot        int64
	since, last time.Time
	sequence    uint64
}

// endedMost bounds the boots on record. An instance restarts its upstream a
// few times in the time for which announcements can be late.
const endedMost = 16

// ended are the last boots that were replaced, and the ids that left without
// having been announced.
type ended struct {
	boots []boot
	ids   []departure
}

type boot struct {
	id   string
	boot int64
}

type departure struct {
	id string
	at time.Time
}

// add remembers a boot. Without a number it can't be told from the next one.
func (e *ended) add(id string, number int64) {
	if number != 0 && !e.has(id, number) {
		e.boots = append(e.boots[max(0, len(e.boots)+1-endedMost):], boot{id, number})
	}
}

func (e *ended) has(id string, number int64) bool {
	return number != 0 && slices.Contains(e.boots, boot{id, number})
}

func (e *ended) depart(now time.Time, id string) {
	e.forget(id)
	e.ids = append(e.ids[max(0, len(e.ids)+1-endedMost):], departure{id, now})
}

func (e *ended) departed(now time.Time, id string) bool {
	return slices.ContainsFunc(e.ids, func(d departure) bool { return d.id == id && now.Sub(d.at) < departureAge })
}

func (e *ended) forget(id string) {
	e.ids = slices.DeleteFunc(e.ids, func(d departure) bool { return d.id == id })
}
