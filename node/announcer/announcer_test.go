package announcer

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

const period = 1500 * time.Millisecond

var start = time.Unix(1_000_000, 0)

// step is an event at the time at, in milliseconds. Without an event name it is
// an announcement.
type step struct {
	at    int64
	event string
	id    string
	boot  int64
	seq   uint64
	state sycamorerun.State
	set   func(*Announcement)
	want  Outcome
	// use is the upstream in use afterwards: id, boot and state.
	use string
}

func (s step) announcement() Announcement {
	in := Announcement{
		ID: s.id, Boot: s.boot, Sequence: s.seq, State: s.state, Service: "s", Slots: 6,
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
	}
	if in.State == "" {
		in.State = sycamorerun.StateReady
	}
	if s.set != nil {
		s.set(&in)
	}
	return in
}

// TestAnnounce guards against calls to an upstream that has left, crashed or
// was replaced, and against a serving upstream that is not used.
func TestAnnounce(t *testing.T) {
	const draining, left = sycamorerun.StateDraining, sycamorerun.StateLeft
	other := func(a *Announcement) { a.Service, a.Address = "t", netip.MustParseAddrPort("127.0.0.1:2") }
	cold := func(a *Announcement) { a.Warmup = 2 * time.Second }
	cases := map[string][]step{
		"repeats and arrives out of order": {
			{id: "a", boot: 5, seq: 2, want: Accepted, use: "a/5 ready"},
			{id: "a", boot: 5, seq: 2, want: Stale, use: "a/5 ready"},
			{id: "a", boot: 5, seq: 1, state: draining, want: Stale, use: "a/5 ready"},
		},
		"late ready after draining": {
			{id: "a", boot: 5, seq: 1, want: Accepted, use: "a/5 ready"},
			{id: "a", boot: 5, seq: 3, state: draining, want: Accepted, use: "a/5 draining"},
			{id: "a", boot: 5, seq: 2, want: Stale, use: "a/5 draining"},
			{id: "a", boot: 5, seq: 9, want: Stale, use: "a/5 draining"},
			{id: "a", seq: 10, want: Stale, use: "a/5 draining"},
			{id: "a", boot: 5, seq: 11, state: left, want: Accepted},
			{id: "a", boot: 5, seq: 12, state: draining, want: Stale},
		},
		"late ready after delete": {
			{id: "a", boot: 5, seq: 1, want: Accepted, use: "a/5 ready"},
			{event: "leave", id: "a", want: Accepted},
			{at: 2000, id: "a", boot: 5, seq: 2, want: Stale},
			{at: 60_000, id: "a", boot: 5, seq: 3, want: Stale},
			{at: 60_000, id: "a", boot: 6, seq: 1, want: Accepted, use: "a/6 ready"},
			{at: 60_001, id: "a", boot: 5, seq: 4, want: Ignored, use: "a/6 ready"},
		},
		"delete overtakes the first announcement of a later boot": {
			{id: "a", boot: 5, seq: 1, want: Accepted, use: "a/5 ready"},
			{at: 1000, event: "leave", id: "a", want: Accepted},
			{at: 1100, id: "a", boot: 1_000_000_900, seq: 1, want: Ignored},
			{at: 1200, id: "a", boot: 1_000_001_001, seq: 1, want: Accepted, use: "a/1000001001 ready"},
			{at: 1300, id: "a", boot: 1_000_000_900, seq: 2, want: Ignored, use: "a/1000001001 ready"},
		},
		"late delete of an earlier boot": {
			{id: "a", boot: 5, seq: 9, want: Accepted, use: "a/5 ready"},
			{at: 100, id: "a", boot: 6, seq: 1, want: Accepted, use: "a/6 ready"},
			{at: 200, event: "leave", id: "a", want: Accepted},
			{at: 1500, id: "a", boot: 6, seq: 2, want: Stale},
			{at: 9000, id: "a", boot: 6, seq: 7, want: Stale},
			{at: 10_500, id: "a", boot: 6, seq: 8, want: Stale},
			{at: 12_000, id: "a", boot: 6, seq: 9, want: Stale},
			{at: 13_500, id: "a", boot: 6, seq: 10, want: Accepted, use: "a/6 ready"},
			{at: 15_000, id: "a", boot: 6, seq: 11, want: Accepted, use: "a/6 ready"},
			{at: 15_100, event: "leave", id: "a", want: Accepted},
			{at: 15_200, id: "a", boot: 6, seq: 12, want: Stale},
		},
		"late delete after draining": {
			{id: "a", boot: 6, seq: 1, want: Accepted, use: "a/6 ready"},
			{at: 100, id: "a", boot: 6, seq: 2, state: draining, want: Accepted, use: "a/6 draining"},
			{at: 200, event: "leave", id: "a", want: Accepted},
			{at: 10_500, id: "a", boot: 6, seq: 8, want: Stale},
			{at: 12_000, id: "a", boot: 6, seq: 9, want: Stale},
			{at: 13_500, id: "a", boot: 6, seq: 10, want: Stale},
			{at: 15_000, id: "a", boot: 6, seq: 11, want: Stale},
		},
		"deleted again after a late delete": {
			{event: "hold"},
			{at: 100, id: "a", boot: 6, seq: 1, want: Held},
			{at: 150, event: "leave", id: "a", want: Ignored},
			{at: 200, event: "restore"},
			{at: 7_500, id: "a", boot: 6, seq: 5, want: Ignored},
			{at: 9_000, id: "a", boot: 6, seq: 6, want: Ignored},
			{at: 10_000, event: "leave", id: "a", want: Ignored},
			{at: 12_000, id: "a", boot: 6, seq: 8, want: Ignored},
			{at: 13_500, id: "a", boot: 6, seq: 9, want: Ignored},
			{at: 15_000, id: "a", boot: 6, seq: 10, want: Ignored},
		},
		"late delete, then a restart": {
			{event: "hold"},
			{at: 100, id: "a", boot: 6, seq: 1, want: Held},
			{at: 150, event: "leave", id: "a", want: Ignored},
			{at: 200, event: "restore"},
			{at: 1500, id: "a", boot: 6, seq: 2, want: Ignored},
			{at: 10_500, id: "a", boot: 6, seq: 8, want: Ignored},
			{at: 12_000, id: "a", boot: 6, seq: 9, want: Ignored},
			{at: 13_500, id: "a", boot: 6, seq: 10, want: Accepted, use: "a/6 ready"},
		},
		"id is used again": {
			{id: "a", boot: 5, seq: 70, want: Accepted, use: "a/5 ready"},
			{id: "a", boot: 6, seq: 1, want: Accepted, use: "a/6 ready"},
			{id: "a", boot: 5, seq: 71, want: Ignored, use: "a/6 ready"},
			{id: "a", boot: 5, seq: 72, state: draining, want: Ignored, use: "a/6 ready"},
			{id: "a", boot: 6, seq: 2, want: Accepted, use: "a/6 ready"},
		},
		"crashed sender is heard after its successor": {
			{id: "a", boot: 5, seq: 1, want: Accepted, use: "a/5 ready"},
			{id: "b", boot: 6, seq: 1, set: other, want: Accepted, use: "b/6 ready"},
			{id: "a", boot: 5, seq: 2, want: Ignored, use: "b/6 ready"},
			{event: "leave", id: "a", want: Ignored, use: "b/6 ready"},
			{at: 5000, event: "expire"},
			{at: 5000, id: "a", boot: 5, seq: 3, want: Ignored},
		},
		"replaced boot goes on": {
			{id: "a", boot: 5, seq: 1, want: Accepted, use: "a/5 ready"},
			{at: 100, id: "b", boot: 6, seq: 1, want: Accepted, use: "b/6 ready"}, // from another writer
			{at: 200, event: "misdirected", id: "b"},
			{at: 1500, id: "a", boot: 5, seq: 2, want: Ignored},
			{at: 3000, id: "a", boot: 5, seq: 3, want: Ignored},
			{at: 4500, id: "a", boot: 5, seq: 4, want: Accepted, use: "a/5 ready"},
			{at: 4600, id: "b", boot: 6, seq: 2, want: Ignored, use: "a/5 ready"},
			{at: 6000, id: "a", boot: 5, seq: 5, want: Accepted, use: "a/5 ready"},
		},
		"replaced boot goes on beside its successor": {
			{id: "a", boot: 5, seq: 1, want: Accepted, use: "a/5 ready"},
			{at: 100, id: "b", boot: 6, seq: 1, want: Accepted, use: "b/6 ready"},
			{at: 1500, id: "a", boot: 5, seq: 2, want: Ignored, use: "b/6 ready"},
			{at: 3000, id: "a", boot: 5, seq: 3, want: Ignored, use: "b/6 ready"},
			{at: 4400, id: "b", boot: 6, seq: 2, want: Accepted, use: "b/6 ready"},
			{at: 4500, id: "a", boot: 5, seq: 4, want: Ignored, use: "b/6 ready"},
		},
		"replaced boot leaves": {
			{id: "a", boot: 5, seq: 1, want: Accepted, use: "a/5 ready"},
			{at: 100, id: "b", boot: 6, seq: 1, want: Accepted, use: "b/6 ready"},
			{at: 200, event: "leave", id: "a", want: Ignored, use: "b/6 ready"},
			{at: 300, event: "misdirected", id: "b"},
			{at: 6_000, id: "a", boot: 5, seq: 2, want: Ignored},
			{at: 7_500, id: "a", boot: 5, seq: 3, want: Ignored},
			{at: 9_000, id: "a", boot: 5, seq: 4, want: Ignored},
			{at: 10_199, id: "a", boot: 5, seq: 5, want: Ignored},
		},
		"replaced boot drains": {
			{id: "a", boot: 5, seq: 1, want: Accepted, use: "a/5 ready"},
			{at: 100, id: "b", boot: 6, seq: 1, want: Accepted, use: "b/6 ready"},
			{at: 200, id: "a", boot: 5, seq: 2, state: draining, want: Ignored, use: "b/6 ready"},
			{at: 300, event: "misdirected", id: "b"},
			{at: 1500, id: "a", boot: 5, seq: 3, want: Ignored},
			{at: 3000, id: "a", boot: 5, seq: 4, want: Ignored},
			{at: 4500, id: "a", boot: 5, seq: 5, want: Ignored},
		},
		"restart, late announcement": {
			{event: "hold"},
			{at: 100, id: "a", boot: 5, seq: 4, want: Held},
			{at: 200, event: "restore", id: "a", boot: 5},
			{at: 300, id: "a", boot: 5, seq: 5, want: Ignored},
			{at: 400, id: "a", boot: 6, seq: 1, want: Accepted, use: "a/6 ready"},
			{at: 500, id: "a", boot: 5, seq: 6, want: Ignored, use: "a/6 ready"},
		},
		"restart, live upstream": {
			{event: "hold"},
			{at: 100, id: "a", boot: 5, seq: 4, want: Held},
			{at: 150, id: "a", boot: 5, seq: 3, want: Held},
			{at: 200, event: "restore", id: "b", boot: 5, use: "a/5 ready"},
			{at: 250, id: "a", boot: 5, seq: 4, want: Stale, use: "a/5 ready"},
			{at: 300, id: "a", boot: 5, seq: 5, want: Accepted, use: "a/5 ready"},
		},
		"restart, live upstream beside a late announcement": {
			{event: "hold"},
			{at: 100, id: "b", boot: 6, seq: 1, want: Held},
			{at: 150, id: "a", boot: 5, seq: 4, want: Held},
			{at: 200, event: "restore", id: "a", boot: 5, use: "b/6 ready"},
		},
		"restart, late announcement beside a live upstream": {
			{event: "hold"},
			{at: 100, id: "b", boot: 5, seq: 1, want: Held},
			{at: 150, id: "a", boot: 6, seq: 4, want: Held},
			{at: 200, event: "restore", id: "a", boot: 6, use: "b/5 ready"},
			{at: 300, id: "b", boot: 5, seq: 2, want: Accepted, use: "b/5 ready"},
		},
		"restart, departure before the others are known": {
			{event: "hold"},
			{at: 100, id: "a", boot: 5, seq: 4, want: Held},
			{at: 150, event: "leave", id: "a", want: Ignored},
			{at: 160, id: "a", boot: 5, seq: 5, want: Ignored},
			{at: 200, event: "restore"},
			{at: 20_000, id: "a", boot: 5, seq: 6, want: Ignored},
		},
		"restart, successor under the id that left": {
			{event: "hold"},
			{at: 100, id: "a", boot: 5, seq: 4, want: Held},
			{at: 150, event: "leave", id: "a", want: Ignored},
			{at: 160, event: "restore"},
			{at: 200, id: "a", boot: 1_000_000_149, seq: 1, want: Ignored},
			{at: 210, id: "a", boot: 1_000_000_151, seq: 1, want: Accepted, use: "a/1000000151 ready"},
		},
		"restart, second delete, successor under the same id": {
			{event: "hold"},
			{at: 100, event: "restore", id: "a", boot: 5},
			{at: 200, event: "leave", id: "a", want: Ignored},
			{at: 300, id: "a", boot: 5, seq: 9, want: Ignored},
			{at: 400, id: "a", boot: 1_000_000_300, seq: 1, want: Accepted, use: "a/1000000300 ready"},
		},
		"restart, draining before the others are known": {
			{event: "hold"},
			{at: 100, id: "a", boot: 5, seq: 4, want: Held},
			{at: 120, id: "a", boot: 4, seq: 9, state: draining, want: Ignored},
			{at: 150, id: "a", boot: 5, seq: 5, state: draining, want: Ignored},
			{at: 200, event: "restore"},
			{at: 20_000, id: "a", boot: 5, seq: 6, want: Ignored},
		},
		"restart, an older boot leaves": {
			{event: "hold"},
			{at: 100, id: "a", boot: 5, seq: 4, want: Held},
			{at: 120, id: "a", boot: 4, seq: 9, state: draining, want: Ignored},
			{at: 200, event: "restore", use: "a/5 ready"},
		},
		"restart, late announcement, clock of the upstream is ahead": {
			{event: "hold"},
			{at: 100, id: "a", boot: 1_000_060_000, seq: 4, want: Held},
			{at: 200, event: "restore", id: "a", boot: 1_000_060_000},
			{at: 300, id: "a", boot: 1_000_060_000, seq: 5, want: Ignored},
		},
		"restart, successor is later than the process": {
			{event: "hold"},
			{at: 100, id: "a", boot: 1_000_000_050, seq: 1, want: Held},
			{at: 200, event: "restore", id: "a", boot: 5, use: "a/1000000050 ready"},
		},
		"restart, departures stay unknown": {
			{event: "hold"},
			{at: 9999, event: "run"},
			{at: 9999, id: "a", boot: 5, seq: 4, want: Held},
			{at: 10_000, event: "run"},
			{at: 10_000, id: "a", boot: 5, seq: 5, want: Accepted, use: "a/5 ready"},
			{at: 11_000, event: "restore", id: "a", boot: 5},
			{at: 11_500, id: "a", boot: 5, seq: 6, want: Stale},
		},
		"restart, id left before its boot was announced": {
			{event: "hold"},
			{at: 100, event: "restore", id: "a"},
			{at: 9999, id: "a", boot: 5, seq: 4, want: Ignored},
			{at: 10_000, id: "a", boot: 6, seq: 4, want: Accepted, use: "a/6 ready"},
		},
		"restart, upstream without boot": {
			{event: "hold"},
			{at: 100, id: "a", want: Accepted, use: "a/0 ready"},
		},
		"other id without boot": {
			{id: "a", seq: 1, want: Accepted, use: "a/0 ready"},
			{at: 2999, id: "b", seq: 1, want: Ignored, use: "a/0 ready"},
			{at: 3000, id: "b", seq: 2, want: Accepted, use: "b/0 ready"},
			{at: 3000, event: "leave", id: "b", want: Accepted},
			{at: 3001, id: "c", seq: 1, want: Accepted, use: "c/0 ready"},
		},
		"clock of the boots is set back": {
			{id: "a", boot: 50, seq: 1, want: Accepted, use: "a/50 ready"},
			{at: 4500, id: "a", boot: 40, seq: 1, want: Ignored},
			{at: 6000, id: "a", boot: 40, seq: 2, want: Ignored},
			{at: 6100, id: "a", boot: 40, seq: 2, want: Ignored},
			{at: 7500, id: "a", boot: 40, seq: 3, want: Accepted, use: "a/40 ready"},
			{at: 7600, id: "a", boot: 50, seq: 2, want: Ignored, use: "a/40 ready"},
		},
		"delete overtakes the first announcement": {
			{event: "leave", id: "a", want: Ignored},
			{at: 1000, id: "a", boot: 5, seq: 1, want: Ignored},
			{at: 9999, id: "a", boot: 5, seq: 7, want: Ignored},
			{at: 10_000, id: "a", boot: 6, seq: 1, want: Accepted, use: "a/6 ready"},
		},
		"silence": {
			{id: "a", boot: 5, seq: 1, want: Accepted, use: "a/5 ready"},
			{at: 4499, event: "expire", use: "a/5 ready"},
			{at: 4500, event: "expire"},
			{at: 4600, id: "a", boot: 5, seq: 1, want: Stale},
			{at: 4700, id: "a", boot: 5, seq: 2, want: Accepted, use: "a/5 ready"},
		},
		"refused connections": {
			{id: "a", boot: 5, seq: 2, want: Accepted, use: "a/5 ready"},
			{at: 100, event: "refused", use: "a/5 ready"},
			{at: 200, event: "reached", use: "a/5 ready"},
			{at: 300, event: "refused", use: "a/5 ready"},
			{at: 1301, event: "refused", use: "a/5 ready"},
			{at: 1400, event: "refused"},
			{at: 1500, id: "a", boot: 5, seq: 2, want: Stale},
			{at: 1500, id: "a", boot: 5, seq: 3, want: Accepted, use: "a/5 ready"},
		},
		"misdirected": {
			{id: "a", boot: 5, seq: 1, want: Accepted, use: "a/5 ready"},
			{event: "misdirected", id: "b", use: "a/5 ready"},
			{event: "misdirected", id: "a"},
			{id: "b", seq: 1, want: Accepted, use: "b/0 ready"},
		},
		"warms up": {
			{id: "a", boot: 5, seq: 1, set: cold, want: Accepted, use: "a/5 cold"},
			{at: 1999, event: "expire", use: "a/5 cold"},
			{at: 2000, event: "expire", use: "a/5 ready"},
		},
		"without numbers": {
			{id: "a", want: Accepted, use: "a/0 ready"},
			{id: "a", state: draining, want: Accepted, use: "a/0 draining"},
			{id: "a", want: Accepted, use: "a/0 ready"},
		},
		"without boot, sequence starts anew": {
			{id: "a", seq: 9, want: Accepted, use: "a/0 ready"},
			{event: "leave", id: "a", want: Accepted},
			{at: 29_999, id: "a", seq: 10, want: Stale},
			{at: 30_000, id: "a", seq: 1, want: Accepted, use: "a/0 ready"},
		},
		"names no upstream": {
			{id: "a", boot: 5, seq: 1, want: Accepted, use: "a/5 ready"},
			{id: "a", boot: 9, seq: 1, set: func(a *Announcement) { a.State = "asleep" }, want: Invalid, use: "a/5 ready"},
			{id: "a", boot: 9, seq: 1, set: func(a *Announcement) { a.State = sycamorerun.StateNone }, want: Invalid, use: "a/5 ready"},
			{id: "a", boot: 9, seq: 1, set: func(a *Announcement) { a.Service = "" }, want: Invalid, use: "a/5 ready"},
			{id: "a", boot: 9, seq: 1, set: func(a *Announcement) { a.Address = netip.AddrPort{} }, want: Invalid, use: "a/5 ready"},
			{id: "a", boot: 9, seq: 1, set: func(a *Announcement) { a.Slots = 0 }, want: Invalid, use: "a/5 ready"},
			{id: "", boot: 9, seq: 1, want: Invalid, use: "a/5 ready"},
			{event: "leave", id: "", want: Invalid, use: "a/5 ready"},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := New(func() time.Duration { return period })
			checked := start
			for i, s := range steps {
				now := start.Add(time.Duration(s.at) * time.Millisecond)
				var outcome Outcome
				switch s.event {
				case "leave":
					outcome = a.Leave(now, s.id)
				case "expire":
					a.Expire(now)
				case "run":
					for checked.Before(now) {
						checked = checked.Add(min(100*time.Millisecond, now.Sub(checked)))
						a.Expire(checked)
					}
				case "refused":
					a.ConnectionRefused(now)
				case "reached":
					a.ConnectionSucceeded()
				case "misdirected":
					a.Misdirected(now, s.id)
				case "hold":
					a.Hold(now)
				case "restore":
					var departures []sycamorerun.Departure
					if s.id != "" {
						departures = []sycamorerun.Departure{{ID: s.id, Boot: s.boot, At: start}}
					}
					a.Learn(now, departures)
					a.Release()
				default:
					outcome = a.Announce(now, s.announcement())
				}
				use := ""
				if current, ok := a.Current(); ok {
					use = fmt.Sprintf("%s/%d %s", current.ID, current.Boot, current.State)
				}
				is.Equal(fmt.Sprint(i, outcome, use), fmt.Sprint(i, s.want, s.use))
			}
		})
	}
}

// TestUnusableSlots guards against an upstream in use whose number of slots can't
// be published.
func TestUnusableSlots(t *testing.T) {
	for slots, want := range map[int]Outcome{-1: Invalid, 0: Invalid, 1: Accepted, sycamorerun.MaxSlots: Accepted, sycamorerun.MaxSlots + 1: Invalid, 1 << 53: Invalid} {
		is := is.New(t)
		a := New(func() time.Duration { return period })
		is.Equal(a.Announce(start, step{id: "a", boot: 5, seq: 1, set: func(a *Announcement) { a.Slots = slots }}.announcement()), want)
		_, used := a.Current()
		is.Equal(used, want == Accepted)
	}
}

// TestUnusableID guards against an upstream in use whose id can't be sent to it in
// a header, so that every request to it fails, and against departures of such ids
// that fill the memory.
func TestUnusableID(t *testing.T) {
	for id, want := range map[string]Outcome{
		"i-1": Accepted, "ä/1 2": Accepted, strings.Repeat("i", maxIDBytes): Accepted,
		"": Invalid, "i\n1": Invalid, "i\r\nX: 1": Invalid, "i\x00": Invalid, "i\x7f": Invalid, "i\t1": Invalid,
		" i": Invalid, "i ": Invalid, "i\xff": Invalid, strings.Repeat("i", maxIDBytes+1): Invalid,
	} {
		is := is.New(t)
		a := New(func() time.Duration { return period })
		is.Equal(a.Announce(start, step{id: id, boot: 5, seq: 1}.announcement()), want)
		_, used := a.Current()
		is.Equal(used, want == Accepted)
		is.Equal(a.Leave(start, id), want)
	}
}

// TestAnnouncementWithoutBoot guards against another writer that knows the id of an
// upstream but not its boot, and drains it, moves it to another address or makes
// all its later announcements stale.
func TestAnnouncementWithoutBoot(t *testing.T) {
	cases := map[string]func(a *Announcement){
		"largest sequence": func(a *Announcement) { a.Sequence = 1 << 53 },
		"draining":         func(a *Announcement) { a.Sequence, a.State = 9, sycamorerun.StateDraining },
		"left":             func(a *Announcement) { a.Sequence, a.State = 9, sycamorerun.StateLeft },
		"address":          func(a *Announcement) { a.Sequence, a.Address = 9, netip.MustParseAddrPort("127.0.0.1:2") },
		"service":          func(a *Announcement) { a.Sequence, a.Service = 9, "t" },
		"no numbers":       func(a *Announcement) { a.Sequence, a.State = 0, sycamorerun.StateDraining },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			for _, silence := range []time.Duration{0, 2 * period, 4 * period} {
				is := is.New(t)
				a := New(func() time.Duration { return period })
				own := step{id: "a", boot: 5, seq: 1}.announcement()
				is.Equal(a.Announce(start, own), Accepted)
				odd := own
				odd.Boot = 0
				change(&odd)
				now := start.Add(silence)
				is.Equal(a.Announce(now, odd), Stale)
				own.Sequence = 2
				is.Equal(a.Announce(now.Add(time.Millisecond), own), Accepted)
				current, used := a.Current()
				is.True(used)
				is.Equal(current, own)
			}
		})
	}
	// An upstream that no longer states its boot is used after a long silence.
	is := is.New(t)
	a := New(func() time.Duration { return period })
	is.Equal(a.Announce(start, step{id: "a", boot: 5, seq: 9}.announcement()), Accepted)
	is.Equal(a.Announce(start.Add(lateAnnouncementWindow), step{id: "a", seq: 1}.announcement()), Accepted)
	_, used := a.Current()
	is.True(used)
}

// TestSequenceTooLarge guards against an upstream that is not used again because
// another writer announced its boot with a sequence that it never reaches, and
// against late announcements that are taken for such an upstream.
func TestSequenceTooLarge(t *testing.T) {
	is := is.New(t)
	a := New(func() time.Duration { return period })
	announce := func(periods, sequence int, state sycamorerun.State) Outcome {
		return a.Announce(start.Add(time.Duration(periods)*period), step{id: "a", boot: 5, seq: uint64(sequence), state: state}.announcement())
	}
	used := func() bool { _, used := a.Current(); return used }
	is.Equal(announce(0, 1, ""), Accepted)
	is.Equal(announce(0, 1<<53, ""), Accepted)
	is.Equal(announce(1, 2, ""), Stale) // the announcement before may be valid
	is.Equal(announce(2, 3, ""), Stale)
	is.Equal(announce(3, 4, ""), Stale)
	is.True(!used())
	is.Equal(announce(4, 5, ""), Accepted) // announced for replacePeriods
	is.True(used())
	is.Equal(announce(5, 6, ""), Accepted)

	is.Equal(announce(10, 3, ""), Stale) // late announcements of a crashed upstream
	is.Equal(announce(11, 3, ""), Stale)
	is.Equal(announce(12, 2, ""), Stale)
	is.True(!used())

	is.Equal(announce(13, 9, sycamorerun.StateDraining), Accepted)
	for sequence := range 8 {
		is.Equal(announce(14+sequence, sequence, ""), Stale) // a departure is final
	}
}

// TestHistoryIsBounded guards against a history that grows with each restart,
// or that loses the last boots.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	a := New(func() time.Duration { return period })
	for boot := int64(1); boot <= 100; boot++ {
		is.Equal(a.Announce(start, step{id: "a", boot: boot, seq: 1}.announcement()), Accepted)
		a.Leave(start, fmt.Sprint(boot))
	}
	is.Equal(len(a.history.replaced), maxHistory)
	is.Equal(len(a.history.unknown), maxHistory)
	is.Equal(len(a.Departures(start)), maxUnknown)
	is.True(a.history.wasReplaced("a", 99))
}
