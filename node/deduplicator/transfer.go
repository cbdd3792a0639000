package deduplicator

import (
	"maps"
	"slices"
	"time"
)

// Record is the record of a key as sent to another process. If it is not certain,
// the request may have run or may still be running.
type Record struct {
	Key     Key
	Certain bool
	// Kept is set if the response is recorded. Response may be empty even then.
	Kept     bool
	Response []byte
}

// Grant is the reply of a member to a process that requests its keys.
type Grant struct {
	// Granted is set if the member starts no more calls with keys that the process
	// owns among Set. Records are then all its records of these keys.
	Granted bool
	Set     []Member
	// Joining is set if the member itself has not run calls with keys yet.
	Joining bool
	// HistoryIncomplete is set if calls with keys may have run of which the member
	// has no record.
	HistoryIncomplete bool
	Past              []pastSet
	Handoffs          map[Member]handoff
	Records           []Record
}

// Leave stops running calls with keys. It returns the records for each member that
// owns them from now on, and the set that the keys are distributed over. certain
// reports whether the records are complete: no unknown key is uncertain, and no
// record was replaced by its tombstone early.
func (d *Deduplicator) Leave(now time.Time) (records map[Member][]Record, set []Member, certain bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.expire(now)
	d.membership.left, d.membership.joining = true, false
	delete(d.membership.joiners, d.member())
	d.updateCurrent(now)
	records = map[Member][]Record{}
	for _, member := range d.membership.current {
		records[member] = nil
	}
	for name := range d.keys.records {
		if owner := ownerIn(name, d.membership.current); owner != (Member{}) {
			records[owner] = append(records[owner], d.transferRecord(name, owner))
		}
	}
	evictedEarly := !d.keys.earlyEviction.IsZero() && now.Sub(d.keys.earlyEviction) < d.limits.KeyTTL
	return records, slices.Clone(d.membership.current), !d.historyIncomplete(now) && len(d.membership.unreconciled) == 0 && !evictedEarly
}

// transferRecord returns the record of a key for its new owner. If the request is
// still running, its result is sent to the new owner later.
func (d *Deduplicator) transferRecord(name string, member Member) Record {
	if d.keys.records[name].running {
		d.resultRecipients[name] = member
	}
	return d.keys.record(name)
}

// Import adds the records of another process. A record that is certain here is not
// replaced.
func (d *Deduplicator) Import(now time.Time, records []Record) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.importRecords(now, records)
	d.expire(now)
}

// importRecords adds records while there is room. If there is not enough, every
// unknown key is uncertain for Limits.KeyTTL.
func (d *Deduplicator) importRecords(now time.Time, records []Record) {
	for _, record := range records {
		if d.keys.full(now, d.limits) {
			d.membership.uncertainUntil = now.Add(d.limits.KeyTTL)
			return
		}
		d.keys.merge(now, record)
		d.keys.expire(now, d.limits)
	}
}

// RecordHandoff records that member has handed all its keys over to their owners
// among set. It is ignored if member has joined again in a later term.
func (d *Deduplicator) RecordHandoff(now time.Time, member Member, term uint64, set []Member) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if term < d.membership.terms[member] || len(d.membership.handoffs) >= maxMemberSets {
		return
	}
	d.membership.handoffs[member] = handoff{set: slices.Clone(set), at: now}
	delete(d.membership.unreconciled, member) // its records have arrived without a request
}

// Grant grants joiner the keys that it owns, provided that view contains every
// member that this process knows. Otherwise the joiner would claim keys that another
// member owns in the view of this process. A joiner that has run calls with keys
// before is marked as unreconciled.
func (d *Deduplicator) Grant(now time.Time, joiner Member, term uint64, view []Member, executing bool) Grant {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.expire(now)
	m := &d.membership
	others := without(m.current, joiner.Name)
	unseen := slices.ContainsFunc(others, func(member Member) bool { return !slices.Contains(view, member) })
	if m.left || unseen || term < m.terms[joiner] || joiner.Name == d.Self || len(m.joiners) >= maxMemberSets {
		return Grant{Set: slices.Clone(m.current)}
	}
	d.pruneTerms()
	m.terms[joiner] = term
	delete(m.handoffs, joiner)
	// Only one process of a name runs at a time, which is the joiner.
	maps.DeleteFunc(m.joiners, func(other Member, _ time.Time) bool { return other.Name == joiner.Name })
	if !slices.Contains(m.announced, joiner) {
		m.joiners[joiner] = now
	}
	if executing {
		d.markUnreconciled(joiner)
	} else {
		m.reconciled[joiner] = struct{}{}
	}
	d.updateCurrent(now)
	grant := Grant{
		Granted: true, Set: slices.Clone(m.current), Joining: m.joining && !m.joined, HistoryIncomplete: d.historyIncomplete(now),
		Past: slices.Clone(m.past), Handoffs: maps.Clone(m.handoffs),
	}
	for name := range d.keys.records {
		if ownerIn(name, m.current) == joiner {
			grant.Records = append(grant.Records, d.transferRecord(name, joiner))
		}
	}
	return grant
}

// pruneTerms bounds the number of terms. The terms of members of the current set and
// of past sets are kept.
func (d *Deduplicator) pruneTerms() {
	m := &d.membership
	if len(m.terms) < 2*maxMemberSets {
		return
	}
	maps.DeleteFunc(m.terms, func(member Member, _ uint64) bool {
		contains := func(past pastSet) bool { return slices.Contains(past.set, member) }
		return !slices.Contains(m.current, member) && !slices.ContainsFunc(m.past, contains)
	})
}

// BeginJoin begins a join. Until FinishJoin, no call with an unknown key starts here.
func (d *Deduplicator) BeginJoin(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.membership.left, d.membership.joining = false, true
	d.membership.joiners[d.member()] = now
	d.updateCurrent(now)
}

// FinishJoin ends a join with the grants of the members. The join is complete if each
// member of view has granted the keys. Otherwise, every unknown key is uncertain for
// Limits.KeyTTL.
func (d *Deduplicator) FinishJoin(now time.Time, view []Member, grants map[Member]Grant) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	m := &d.membership
	m.joining, m.joined = false, true
	m.joiners[d.member()] = now
	m.membersKnown = true
	m.incompleteHistory = map[Member]time.Time{}
	complete := len(view) > 0
	for _, member := range view {
		grant := grants[member]
		complete = complete && grant.Granted
		if grant.Joining {
			m.joiners[member] = now
		}
		if grant.Granted {
			d.applyGrant(now, member, grant, view)
		}
	}
	clear(m.unreconciled)
	// Only members that received a request count as members. One that is no longer in
	// view may have handed its keys over to another process that has left as well.
	m.announced = slices.DeleteFunc(slices.Clone(view), func(member Member) bool { return grants[member].Joining })
	d.updateCurrent(now)
	d.HistoryComplete = complete
	if !complete {
		d.recordsSince = now
	}
	return complete
}

// Unreconciled returns the members from which this process has to request its keys.
func (d *Deduplicator) Unreconciled() []Member {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Collect(maps.Keys(d.membership.unreconciled))
}

// Reconcile applies the grants of unreconciled members.
func (d *Deduplicator) Reconcile(now time.Time, grants map[Member]Grant) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for member, grant := range grants {
		if _, ok := d.membership.unreconciled[member]; !ok || !grant.Granted {
			continue
		}
		delete(d.membership.unreconciled, member)
		d.applyGrant(now, member, grant, d.membership.current)
	}
}

// applyGrant adds the records, past sets and handoffs of a grant.
func (d *Deduplicator) applyGrant(now time.Time, from Member, grant Grant, view []Member) {
	d.membership.reconciled[from] = struct{}{}
	if grant.HistoryIncomplete && !grant.Joining {
		d.membership.incompleteHistory[from] = now
	}
	d.importRecords(now, grant.Records)
	for _, past := range grant.Past {
		slices.SortFunc(past.set, byName)
		same := func(known pastSet) bool { return slices.Equal(known.set, past.set) }
		if at := slices.IndexFunc(d.membership.past, same); at < 0 {
			d.addPast(now, past)
		} else if past.replacedAt.After(d.membership.past[at].replacedAt) {
			d.membership.past[at].replacedAt = past.replacedAt
		}
	}
	for member, done := range grant.Handoffs {
		if !slices.Contains(view, member) && len(d.membership.handoffs) < maxMemberSets {
			d.membership.handoffs[member] = done
		}
	}
}
