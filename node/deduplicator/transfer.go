package deduplicator

import (
	"maps"
	"slices"
	"time"
)

// Record is what one process tells another of a key. The request of an
// uncertain one may have run or runs still.
type Record struct {
	Key      Key
	Certain  bool
	Kept     bool
	Response []byte
}

// Grant is a member's answer to a process that asks for its keys.
type Grant struct {
	// Granted says that the member starts no more keys that the process owns
	// among Set, and that Records are all that it knows of them.
	Granted bool
	Set     []Member
	// Joining says that the member itself has executed no keys yet.
	Joining bool
	// Doubtful says that the member does not know what ran before it.
	Doubtful bool
	Past     []members
	Seals    map[Member]seal
	Records  []Record
}

// Leave stops the execution of keys and returns the records for each member
// that owns them from now on, and the set that they were divided among. sealed
// reports whether they are all that this process can know, which is when
// nothing is in doubt and no record was shortened to its trace early.
func (d *Deduplicator) Leave(now time.Time) (records map[Member][]Record, set []Member, sealed bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.expire(now)
	d.moves.left, d.moves.joining = true, false
	delete(d.moves.joiners, d.member())
	d.recompose(now)
	records = map[Member][]Record{}
	for _, member := range d.moves.current {
		records[member] = nil
	}
	for name := range d.keys.records {
		if owner := ownerIn(name, d.moves.current); owner != (Member{}) {
			records[owner] = append(records[owner], d.handed(name, owner))
		}
	}
	early := !d.keys.faded.IsZero() && now.Sub(d.keys.faded) < d.limits.KeyTTL
	return records, slices.Clone(d.moves.current), !d.doubtful(now) && len(d.moves.strangers) == 0 && !early
}

// Owed returns the records of requests that still ran when their keys were handed
// over and have ended since, for each member that got the keys.
func (d *Deduplicator) Owed() map[Member][]Record {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	owed := d.owed
	d.owed = map[Member][]Record{}
	return owed
}

// handed returns the record of a key for member, which gets its end as well if
// the request still runs.
func (d *Deduplicator) handed(name string, member Member) Record {
	if d.keys.records[name].running {
		d.debts[name] = member
	}
	return d.keys.record(name)
}

// settle notes the end of a request whose key has been handed over meanwhile.
// One that did not run stays uncertain at its new owner.
func (d *Deduplicator) settle(name string) {
	member, ok := d.debts[name]
	if !ok {
		return
	}
	delete(d.debts, name)
	if known, ok := d.keys.records[name]; ok && known.certain {
		d.owed[member] = append(d.owed[member], d.keys.record(name))
		d.signal()
	}
}

// Import takes the records of another process. What is known here for certain stays.
func (d *Deduplicator) Import(now time.Time, records []Record) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.take(now, records)
	d.expire(now)
}

// take adds records while there is room. Beyond it every unknown key is uncertain.
func (d *Deduplicator) take(now time.Time, records []Record) {
	for _, record := range records {
		if d.keys.full(now, d.limits) {
			d.moves.blind = now.Add(d.limits.KeyTTL)
			return
		}
		d.keys.take(now, record)
		d.keys.expire(now, d.limits)
	}
}

// Seal records that member has handed all its keys over to their owners among
// set. A seal of an earlier term than the last one that joined is void.
func (d *Deduplicator) Seal(now time.Time, member Member, term uint64, set []Member) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if term < d.moves.terms[member] || len(d.moves.seals) >= setsMax {
		return
	}
	d.moves.seals[member] = seal{set: slices.Clone(set), at: now}
	delete(d.moves.strangers, member) // its records have arrived without being asked for
}

// Grant hands joiner the keys that it owns, if view has every member that this
// process knows. Otherwise the joiner would own keys that belong to another one
// here. A joiner that has executed keys already becomes a stranger.
func (d *Deduplicator) Grant(now time.Time, joiner Member, term uint64, view []Member, executing bool) Grant {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.expire(now)
	m := &d.moves
	others := without(m.current, joiner.Name)
	unseen := slices.ContainsFunc(others, func(member Member) bool { return !slices.Contains(view, member) })
	if m.left || unseen || term < m.terms[joiner] || joiner.Name == d.Self || len(m.joiners) >= setsMax {
		return Grant{Set: slices.Clone(m.current)}
	}
	d.forgetTerms()
	m.terms[joiner] = term
	delete(m.seals, joiner)
	// Only one process of a name runs at a time, the one that asks.
	maps.DeleteFunc(m.joiners, func(other Member, _ time.Time) bool { return other.Name == joiner.Name })
	if !slices.Contains(m.announced, joiner) {
		m.joiners[joiner] = now
	}
	if executing {
		d.notice(joiner)
	} else {
		m.met[joiner] = struct{}{}
	}
	d.recompose(now)
	grant := Grant{
		Granted: true, Set: slices.Clone(m.current), Joining: m.joining && !m.joined, Doubtful: d.doubtful(now),
		Past: slices.Clone(m.past), Seals: maps.Clone(m.seals),
	}
	for name := range d.keys.records {
		if ownerIn(name, m.current) == joiner {
			grant.Records = append(grant.Records, d.handed(name, joiner))
		}
	}
	return grant
}

// forgetTerms bounds the terms. Those of members still named in a set stay.
func (d *Deduplicator) forgetTerms() {
	m := &d.moves
	if len(m.terms) < 2*setsMax {
		return
	}
	maps.DeleteFunc(m.terms, func(member Member, _ uint64) bool {
		named := func(set members) bool { return slices.Contains(set.set, member) }
		return !slices.Contains(m.current, member) && !slices.ContainsFunc(m.past, named)
	})
}

// Prepare begins a join: until Join, no unknown key starts here.
func (d *Deduplicator) Prepare(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.moves.left, d.moves.joining = false, true
	d.moves.joiners[d.member()] = now
	d.recompose(now)
}

// Join ends a join with what the members answered, by member. The join is
// complete if each member of view has granted; otherwise every unknown key
// counts as moved for Limits.KeyTTL.
func (d *Deduplicator) Join(now time.Time, view []Member, grants map[Member]Grant) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	m := &d.moves
	m.joining, m.joined = false, true
	m.joiners[d.member()] = now
	m.known = true
	m.doubted = map[Member]time.Time{}
	complete := len(view) > 0
	for _, member := range view {
		grant := grants[member]
		complete = complete && grant.Granted
		if grant.Joining {
			m.joiners[member] = now
		}
		if grant.Granted {
			d.adopt(now, member, grant, view)
		}
	}
	clear(m.strangers)
	// Only members that were asked count as members: one that is no longer in
	// view may have handed its keys to another process that has left as well.
	m.announced = slices.DeleteFunc(slices.Clone(view), func(member Member) bool { return grants[member].Joining })
	d.recompose(now)
	d.HistoryComplete = complete
	if !complete {
		d.began = now
	}
	return complete
}

// Strangers returns the members that this process has to ask for its keys.
func (d *Deduplicator) Strangers() []Member {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Collect(maps.Keys(d.moves.strangers))
}

// Meet takes the grants of strangers.
func (d *Deduplicator) Meet(now time.Time, grants map[Member]Grant) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for member, grant := range grants {
		if _, ok := d.moves.strangers[member]; !ok || !grant.Granted {
			continue
		}
		delete(d.moves.strangers, member)
		d.adopt(now, member, grant, d.moves.current)
	}
}

// adopt takes the records of a member that has granted, and what it knows of
// past members.
func (d *Deduplicator) adopt(now time.Time, from Member, grant Grant, view []Member) {
	d.moves.met[from] = struct{}{}
	if grant.Doubtful && !grant.Joining {
		d.moves.doubted[from] = now
	}
	d.take(now, grant.Records)
	for _, past := range grant.Past {
		slices.SortFunc(past.set, byName)
		same := func(known members) bool { return slices.Equal(known.set, past.set) }
		if at := slices.IndexFunc(d.moves.past, same); at < 0 {
			d.remember(now, past)
		} else if past.until.After(d.moves.past[at].until) {
			d.moves.past[at].until = past.until
		}
	}
	for member, known := range grant.Seals {
		if !slices.Contains(view, member) && len(d.moves.seals) < setsMax {
			d.moves.seals[member] = known
		}
	}
}
