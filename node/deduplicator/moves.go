package deduplicator

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// setsMax bounds the member sets that are kept. Beyond it every unknown key
	// is uncertain until the sets have aged. A rolling restart of a service
	// makes about three sets for each of its 23 members.
	setsMax = 256
	// joinAge is how long a member that has asked for its keys counts as a
	// member before it is announced.
	joinAge = 15 * time.Second
	// chainMax bounds the hand-overs that are followed from one process to the next.
	chainMax = 8
)

// Member is one process that executes keys. Boot is its random id,
// which tells it from earlier processes of the same name.
type Member struct {
	Name string
	Boot int64
}

// Owner returns the member that executes key: the one with the highest hash of
// key and name (rendezvous hashing), so that a change of the members moves only
// the keys of the members that came or went. It is empty without members.
func Owner(key string, names []string) string {
	owner, best := "", uint64(0)
	for _, name := range names {
		if s := score(key, name); owner == "" || s > best || s == best && name < owner {
			owner, best = name, s
		}
	}
	return owner
}

func score(key, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// ownerIn returns the member of set that executes key, or the zero Member.
func ownerIn(key string, set []Member) Member {
	owner, best := Member{}, uint64(0)
	for _, member := range set {
		if s := score(key, member.Name); owner == (Member{}) || s > best || s == best && member.Name < owner.Name {
			owner, best = member, s
		}
	}
	return owner
}

// rank returns names in the order in which they would own key.
func rank(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	order := make([]scored, len(names))
	for i, name := range names {
		order[i] = scored{name, score(key, name)}
	}
	slices.SortFunc(order, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.name, b.name))
	})
	ranked := make([]string, len(names))
	for i := range order {
		ranked[i] = order[i].name
	}
	return ranked
}

// first returns the member of a set, in order of names, that ranks first.
func first(ranked []string, set []Member) Member {
	for _, name := range ranked {
		if at, found := slices.BinarySearchFunc(set, Member{Name: name}, byName); found {
			return set[at]
		}
	}
	return Member{}
}

// members is a set of members in order of names, and when it was replaced.
type members struct {
	set   []Member
	until time.Time
}

// seal says that a process executes no more keys and has handed its records
// over to their owners among set.
type seal struct {
	set []Member
	at  time.Time
}

// moves are the member sets of the last Limits.KeyTTL.
type moves struct {
	announced []Member
	// joiners have been granted their keys but are not announced yet.
	joiners map[Member]time.Time
	// current is announced and joiners.
	current []Member
	past    []members
	// names are those of all past sets.
	names []string
	// known says that the members are known. Before that no key can have run.
	known bool
	// blind is the time until which every unknown key counts as moved.
	blind time.Time
	// left says that this process has handed its keys over, joining that it is
	// asking for them; in both states it starts none.
	left, joining bool
	// joined says that a join has ended, so that keys may have run here.
	joined bool
	seals  map[Member]seal
	// strangers are members that appeared without having asked this process for
	// their keys, as after a partition. They may have executed any key.
	strangers map[Member]struct{}
	// met are the members that this process has asked for its keys, or that had
	// executed none before they asked for theirs.
	met map[Member]struct{}
	// doubted are members that, when they handed this process its keys, did not
	// know what ran before them, and when that was.
	doubted map[Member]time.Time
	// terms count how often each member has joined, so that a late seal of an
	// earlier term is ignored.
	terms map[Member]uint64
}

func newMoves() moves {
	return moves{
		joiners: map[Member]time.Time{}, seals: map[Member]seal{}, strangers: map[Member]struct{}{}, met: map[Member]struct{}{},
		doubted: map[Member]time.Time{}, terms: map[Member]uint64{},
	}
}

// SetMembers records the members that can execute keys now, the instances of the
// service that take calls, and all live ones, in any order.
func (d *Deduplicator) SetMembers(now time.Time, announced, live []Member) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	m := &d.moves
	for _, member := range announced {
		if !slices.Contains(m.announced, member) {
			delete(m.seals, member) // it executes keys again
			d.notice(member)
		}
		// A joiner with another boot of the name may be a later run. An earlier
		// one goes after joinAge.
		delete(m.joiners, member)
	}
	d.forget(now, live)
	m.announced = slices.Clone(announced)
	d.recompose(now)
	m.known = true
}

// forget drops what is known of processes that are gone. A stranger takes what
// it knew with it. One that only stopped serving, as when its upstream was
// silent for a moment, can still answer, and executes no keys meanwhile.
func (d *Deduplicator) forget(now time.Time, live []Member) {
	m := &d.moves
	gone := func(member Member, _ struct{}) bool {
		_, joiner := m.joiners[member] // may not be listed yet
		return !joiner && !slices.Contains(live, member)
	}
	strangers := len(m.strangers)
	maps.DeleteFunc(m.strangers, gone)
	if len(m.strangers) < strangers {
		m.blind = now.Add(d.limits.KeyTTL)
	}
	maps.DeleteFunc(m.met, gone)
}

// notice marks a member as a stranger unless it is met, or this process executes
// no keys: it will ask all members before it does.
func (d *Deduplicator) notice(member Member) {
	m := &d.moves
	_, met := m.met[member]
	if !m.known || !m.joined || m.joining || m.left || met || member.Name == d.Self {
		return
	}
	m.strangers[member] = struct{}{}
	d.signal()
}

// signal wakes the exchanger.
func (d *Deduplicator) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *Deduplicator) member() Member { return Member{Name: d.Self, Boot: d.Boot} }

func byName(a, b Member) int { return strings.Compare(a.Name, b.Name) }

// recompose derives the current set and keeps the one that it replaces.
func (d *Deduplicator) recompose(now time.Time) {
	m := &d.moves
	set := slices.Clone(m.announced)
	for joiner, since := range m.joiners {
		if now.Sub(since) >= joinAge {
			delete(m.joiners, joiner)
			continue
		}
		set = append(without(set, joiner.Name), joiner)
	}
	if m.left {
		set = without(set, d.Self)
	}
	slices.SortFunc(set, byName)
	if !m.known {
		m.current = set
		return
	}
	if slices.Equal(m.current, set) {
		return
	}
	d.remember(now, members{set: m.current, until: now})
	m.current = set
}

// remember keeps past sets until they have aged. An empty one, which a process
// has before it knows the members, names nobody who executed keys, and would
// make every key uncertain here and at each member that adopts it.
func (d *Deduplicator) remember(now time.Time, sets ...members) {
	m := &d.moves
	aged := func(at time.Time) bool { return now.Sub(at) >= d.limits.KeyTTL }
	m.past = slices.DeleteFunc(append(m.past, sets...), func(past members) bool {
		return len(past.set) == 0 || aged(past.until)
	})
	for member, known := range m.seals {
		if aged(known.at) {
			delete(m.seals, member)
		}
	}
	if len(m.past) > setsMax {
		m.past, m.blind = nil, now.Add(d.limits.KeyTTL)
	}
	m.names = m.names[:0]
	for _, past := range m.past {
		for _, member := range past.set {
			m.names = append(m.names, member.Name)
		}
	}
	slices.Sort(m.names)
	m.names = slices.Compact(m.names)
}

func without(set []Member, name string) []Member {
	return slices.DeleteFunc(slices.Clone(set), func(member Member) bool { return member.Name == name })
}

// owns reports whether this node is the one that executes key.
func (d *Deduplicator) owns(now time.Time, key string) bool {
	m := &d.moves
	if m.joining {
		return false
	}
	if len(m.joiners) > 0 {
		d.recompose(now)
	}
	return !m.known || ownerIn(key, m.current).Name == d.Self
}

// doubtful reports whether nothing can be said of unknown keys.
func (d *Deduplicator) doubtful(now time.Time) bool {
	return now.Before(d.moves.blind) || !d.HistoryComplete && now.Sub(d.began) < d.limits.KeyTTL
}

// moved reports whether another process may have executed key within the age.
func (d *Deduplicator) moved(now time.Time, key string) bool {
	if d.doubtful(now) || len(d.moves.strangers) > 0 {
		return true
	}
	ranked := rank(key, d.moves.names)
	for _, past := range d.moves.past {
		if now.Sub(past.until) < d.limits.KeyTTL && !d.cleared(now, key, first(ranked, past.set)) {
			return true
		}
	}
	return false
}

// cleared reports whether nothing that member knew of key can be lost to this
// process. A member of the current set hands its keys to each process that
// joins, and a sealed one has handed them to the next owner.
func (d *Deduplicator) cleared(now time.Time, key string, member Member) bool {
	for range chainMax {
		if member == d.member() {
			return true
		}
		if at, ok := d.moves.doubted[member]; ok && now.Sub(at) < d.limits.KeyTTL {
			return false
		}
		if slices.Contains(d.moves.current, member) {
			return true
		}
		known, ok := d.moves.seals[member]
		if !ok {
			return false
		}
		member = ownerIn(key, known.set)
	}
	return false
}
