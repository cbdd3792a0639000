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
	// maxMemberSets bounds the past member sets, the handoffs and the joiners. With
	// more past sets, every unknown key is uncertain for Limits.KeyTTL. A rolling
	// restart of a service makes about three sets for each of its 23 members.
	maxMemberSets = 256
	// joinerTTL is the time for which a process that has requested its keys counts
	// as a member without being announced.
	joinerTTL = 15 * time.Second
	// maxHandoffs bounds the number of successive handoffs that are followed for a
	// key.
	maxHandoffs = 8
)

// Member is a process of a service that runs calls with keys. Boot is its random
// id, which distinguishes it from earlier processes of the same name.
type Member struct {
	Name string
	Boot int64
}

// Owner returns the name of the member that owns key and runs the calls with it. It
// is the name with the highest hash of key and name (rendezvous hashing), so that a
// membership change moves only the keys of the members that joined or left. Owner
// returns an empty string if there are no names.
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

// ownerIn returns the member of set that owns key, or the zero Member if the set is
// empty.
func ownerIn(key string, set []Member) Member {
	owner, best := Member{}, uint64(0)
	for _, member := range set {
		if s := score(key, member.Name); owner == (Member{}) || s > best || s == best && member.Name < owner.Name {
			owner, best = member, s
		}
	}
	return owner
}

// rank returns names in descending order of their score for key. The first of them
// that is a member owns the key.
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

// firstIn returns the member of set with the highest rank, or the zero Member. The
// set has to be sorted by name.
func firstIn(ranked []string, set []Member) Member {
	for _, name := range ranked {
		if at, found := slices.BinarySearchFunc(set, Member{Name: name}, byName); found {
			return set[at]
		}
	}
	return Member{}
}

// pastSet is a former set of members, sorted by name, and the time at which it was
// replaced.
type pastSet struct {
	set        []Member
	replacedAt time.Time
}

// handoff records that a process has stopped running calls with keys and has handed
// its records over to their owners among set.
type handoff struct {
	set []Member
	at  time.Time
}

// membership holds the current members and the changes within the last
// Limits.KeyTTL.
type membership struct {
	announced []Member
	// joiners are the members that have requested their keys but are not announced
	// yet, and when they did.
	joiners map[Member]time.Time
	// current holds the announced members and the joiners, sorted by name.
	current []Member
	past    []pastSet
	// pastNames are the names of the members of all past sets.
	pastNames []string
	// membersKnown is set once the members are known. Before that, no call with a key
	// can have run here.
	membersKnown bool
	// uncertainUntil is the time until which every unknown key is uncertain.
	uncertainUntil time.Time
	// left is set after this process has handed its keys over, joining while it
	// requests them. In both states it owns no keys and starts no calls with them.
	left, joining bool
	// joined is set after the first join. Calls with keys may have run here since.
	joined   bool
	handoffs map[Member]handoff
	// unreconciled are the members that appeared without having requested their keys
	// from this process, as after a network partition. They may have run calls with
	// any key.
	unreconciled map[Member]struct{}
	// reconciled are the members that have granted this process its keys, or that had
	// run no calls with keys before they requested theirs.
	reconciled map[Member]struct{}
	// incompleteHistory are the members whose history was incomplete when they handed
	// this process its keys, and when that was.
	incompleteHistory map[Member]time.Time
	// terms holds the latest term of each member, which is the number of its joins. A
	// handoff notice of an earlier term is late and ignored.
	terms map[Member]uint64
}

func newMembership() membership {
	return membership{
		joiners: map[Member]time.Time{}, handoffs: map[Member]handoff{}, unreconciled: map[Member]struct{}{}, reconciled: map[Member]struct{}{},
		incompleteHistory: map[Member]time.Time{}, terms: map[Member]uint64{},
	}
}

// SetMembers sets the members. announced are the instances of the service that take
// calls and thus can run calls with keys, live are all live instances. Both may be
// in any order.
func (d *Deduplicator) SetMembers(now time.Time, announced, live []Member) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	m := &d.membership
	for _, member := range announced {
		if !slices.Contains(m.announced, member) {
			delete(m.handoffs, member) // it runs calls with keys again
			d.markUnreconciled(member)
		}
		// A joiner of the same name with another boot id may be a later process and
		// is kept. A joiner that is an earlier process expires after joinerTTL.
		delete(m.joiners, member)
	}
	d.removeGone(now, live)
	m.announced = slices.Clone(announced)
	d.updateCurrent(now)
	m.membersKnown = true
}

// removeGone removes processes that are no longer live. If one of them was not
// reconciled, its records are lost, and every unknown key is uncertain. A process
// that has only stopped serving, as while its upstream does not respond, is kept: it
// can still hand over its records, and runs no calls with keys meanwhile.
func (d *Deduplicator) removeGone(now time.Time, live []Member) {
	m := &d.membership
	gone := func(member Member, _ struct{}) bool {
		_, joiner := m.joiners[member] // may not be in live yet
		return !joiner && !slices.Contains(live, member)
	}
	before := len(m.unreconciled)
	maps.DeleteFunc(m.unreconciled, gone)
	if len(m.unreconciled) < before {
		m.uncertainUntil = now.Add(d.limits.KeyTTL)
	}
	maps.DeleteFunc(m.reconciled, gone)
}

// markUnreconciled marks a member as unreconciled unless it is reconciled already, or
// this process runs no calls with keys: it will request its keys from all members
// before it does.
func (d *Deduplicator) markUnreconciled(member Member) {
	m := &d.membership
	_, done := m.reconciled[member]
	if !m.membersKnown || !m.joined || m.joining || m.left || done || member.Name == d.Self {
		return
	}
	m.unreconciled[member] = struct{}{}
	signal(d.wake)
}

// signal wakes up the goroutine of the Exchanger that waits on wake.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

func (d *Deduplicator) member() Member { return Member{Name: d.Self, Boot: d.Boot} }

func byName(a, b Member) int { return strings.Compare(a.Name, b.Name) }

// updateCurrent updates the current set from the announced members and the joiners,
// and adds the set that it replaces to the past sets.
func (d *Deduplicator) updateCurrent(now time.Time) {
	m := &d.membership
	set := slices.Clone(m.announced)
	for joiner, since := range m.joiners {
		if now.Sub(since) >= joinerTTL {
			delete(m.joiners, joiner)
			continue
		}
		set = append(without(set, joiner.Name), joiner)
	}
	if m.left {
		set = without(set, d.Self)
	}
	slices.SortFunc(set, byName)
	if !m.membersKnown {
		m.current = set
		return
	}
	if slices.Equal(m.current, set) {
		return
	}
	d.addPast(now, pastSet{set: m.current, replacedAt: now})
	m.current = set
}

// addPast adds past sets and removes expired ones. An empty set, as a process has
// before it knows the members, is not kept: it has no member that could have run a
// call, and would make every key uncertain here and at each member that gets it with
// a grant.
func (d *Deduplicator) addPast(now time.Time, sets ...pastSet) {
	m := &d.membership
	expired := func(at time.Time) bool { return now.Sub(at) >= d.limits.KeyTTL }
	m.past = slices.DeleteFunc(append(m.past, sets...), func(past pastSet) bool {
		return len(past.set) == 0 || expired(past.replacedAt)
	})
	for member, done := range m.handoffs {
		if expired(done.at) {
			delete(m.handoffs, member)
		}
	}
	if len(m.past) > maxMemberSets {
		m.past, m.uncertainUntil = nil, now.Add(d.limits.KeyTTL)
	}
	m.pastNames = m.pastNames[:0]
	for _, past := range m.past {
		for _, member := range past.set {
			m.pastNames = append(m.pastNames, member.Name)
		}
	}
	slices.Sort(m.pastNames)
	m.pastNames = slices.Compact(m.pastNames)
}

func without(set []Member, name string) []Member {
	return slices.DeleteFunc(slices.Clone(set), func(member Member) bool { return member.Name == name })
}

// owns reports whether this process owns key.
func (d *Deduplicator) owns(now time.Time, key string) bool {
	m := &d.membership
	if m.joining {
		return false
	}
	if len(m.joiners) > 0 {
		d.updateCurrent(now)
	}
	return !m.membersKnown || ownerIn(key, m.current).Name == d.Self
}

// historyIncomplete reports whether calls with unknown keys may have run within
// Limits.KeyTTL.
func (d *Deduplicator) historyIncomplete(now time.Time) bool {
	return now.Before(d.membership.uncertainUntil) || !d.HistoryComplete && now.Sub(d.recordsSince) < d.limits.KeyTTL
}

// mayHaveRunElsewhere reports whether another process may have run a call with key
// within Limits.KeyTTL whose record is not here.
func (d *Deduplicator) mayHaveRunElsewhere(now time.Time, key string) bool {
	if d.historyIncomplete(now) || len(d.membership.unreconciled) > 0 {
		return true
	}
	ranked := rank(key, d.membership.pastNames)
	for _, past := range d.membership.past {
		if now.Sub(past.replacedAt) < d.limits.KeyTTL && !d.recordsReceived(now, key, firstIn(ranked, past.set)) {
			return true
		}
	}
	return false
}

// recordsReceived reports whether every record of key that member had has reached
// this process. A member of the current set hands its keys over to each process that
// joins, and one that has left in an orderly way has handed them to the next owner.
func (d *Deduplicator) recordsReceived(now time.Time, key string, member Member) bool {
	for range maxHandoffs {
		if member == d.member() {
			return true
		}
		if at, ok := d.membership.incompleteHistory[member]; ok && now.Sub(at) < d.limits.KeyTTL {
			return false
		}
		if slices.Contains(d.membership.current, member) {
			return true
		}
		done, ok := d.membership.handoffs[member]
		if !ok {
			return false
		}
		member = ownerIn(key, done.set)
	}
	return false
}
