package deduplicator

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// setsMax bounds the member sets that are kept. Beyond it every unknown key is
// uncertain until the sets have aged.
const setsMax = 64

// Owner returns the member that executes key: the one with the highest hash of
// key and name (rendezvous hashing), so that a change of the members moves only
// the keys of the members that came or went. It is empty without members.
func Owner(key string, names []string) string {
	owner, best := "", uint64(0)
	for _, name := range names {
		if score := xxhash.Sum64String(key + "\x00" + name); owner == "" || score > best || score == best && name < owner {
			owner, best = name, score
		}
	}
	return owner
}

// members is a set of members and when it was replaced.
type members struct {
	names []string
	until time.Time
}

// moves are the member sets of the last Limits.Age.
type moves struct {
	current []string
	past    []members
	known   bool
	// blind is the time until which every unknown key counts as moved.
	blind time.Time
}

// Moved records the members that can execute keys now: the instances of the
// service, in any order.
func (d *Deduplicator) Moved(now time.Time, names []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	names = slices.Clone(names)
	slices.Sort(names)
	m := &d.moves
	if !m.known {
		m.known, m.current = true, names
		return
	}
	if slices.Equal(m.current, names) {
		return
	}
	m.past = slices.DeleteFunc(m.past, func(set members) bool { return now.Sub(set.until) >= d.limits.Age })
	if len(m.past) >= setsMax {
		m.past, m.blind = nil, now.Add(d.limits.Age)
	}
	m.past = append(m.past, members{names: m.current, until: now})
	m.current = names
}

// owns reports whether this node is the one that executes key.
func (d *Deduplicator) owns(key string) bool {
	return !d.moves.known || Owner(key, d.moves.current) == d.Self
}

// moved reports whether another process may have executed key within the age.
func (d *Deduplicator) moved(now time.Time, key string) bool {
	if now.Before(d.moves.blind) || !d.Clean && now.Sub(d.began) < d.limits.Age {
		return true
	}
	for _, set := range d.moves.past {
		if now.Sub(set.until) < d.limits.Age && Owner(key, set.names) != d.Self {
			return true
		}
	}
	return false
}
