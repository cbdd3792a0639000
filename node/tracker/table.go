package tracker

import (
	"cmp"
	"slices"
	"time"

	"sycamorerun"
)

// Retention periods of records.
const (
	// retention is how long failed and left records are kept, so that an
	// outdated record that is still in flight can't bring the node back.
	retention = 10 * time.Minute
	// digestRetention is how long failed and left records are covered by the
	// digest and synchronized. It is shorter than retention: otherwise a peer
	// that removes such a record slightly earlier would get it back from this
	// node, and no node would ever remove it.
	digestRetention = 9 * time.Minute
)

// table holds the membership records and implements the protocol's state
// changes. It does no I/O and reads no clock.
type table struct {
	// suspicionTimeout is the time in which a suspect can refute the suspicion.
	suspicionTimeout time.Duration
	started          time.Time
	self             selfState
	records          map[string]*record
	// expiring holds the records that change state by the passing of time.
	expiring map[string]*record
	buckets  [bucketCount]uint64
	// pending holds the names of the changed records that have to be flooded.
	pending []string
	// reports maps each availability zone that members report as unreachable to
	// the names of those members.
	reports map[string]map[string]struct{}
	// downSince maps each availability zone that is down to the time since
	// when.
	downSince map[string]time.Time
	// liveList caches the live instances, except for the outdated entries in
	// staleNames. It is nil if it has to be rebuilt.
	liveList   []sycamorerun.Instance
	staleNames map[string]struct{}
}

func newTable(now time.Time, self sycamorerun.Instance, suspicionTimeout time.Duration) *table {
	self.Sequence = max(self.Sequence, 1)
	if self.State == "" {
		self.State = sycamorerun.StateNone
	}
	self.Since = now
	t := &table{
		suspicionTimeout: suspicionTimeout,
		started:          now,
		self:             selfState{name: self.Name},
		records:          map[string]*record{},
		expiring:         map[string]*record{},
		reports:          map[string]map[string]struct{}{},
		downSince:        map[string]time.Time{},
		staleNames:       map[string]struct{}{},
	}
	t.replace(now, &record{Instance: self, key: newKey(self.Name)})
	return t
}

// put replaces the record of a node and queues it for flooding.
func (t *table) put(now time.Time, r *record) {
	t.replace(now, r)
	t.pending = append(t.pending, r.Name)
}

// replace replaces the record of a node without flooding it. Stored records are
// immutable, so r has to be a new copy.
func (t *table) replace(now time.Time, r *record) {
	if old := t.records[r.Name]; old != nil {
		t.removeFromDigest(old)
		t.removeReports(old)
	}
	t.records[r.Name] = r
	t.addToDigest(now, r)
	t.addReports(r)
	t.trackExpiry(r)
	t.invalidate(r.Name)
}

func (t *table) trackExpiry(r *record) {
	if r.expires() && r.Name != t.self.name {
		t.expiring[r.Name] = r
	} else {
		delete(t.expiring, r.Name)
	}
}

func (t *table) remove(r *record) {
	t.removeFromDigest(r)
	t.removeReports(r)
	delete(t.records, r.Name)
	delete(t.expiring, r.Name)
	t.invalidate(r.Name)
}

// merge applies a record received from a peer and reports whether it changed
// the table and has to be flooded.
func (t *table) merge(now time.Time, in *record) bool {
	if in.Name == t.self.name {
		t.mergeSelf(in)
		return false
	}
	old := t.records[in.Name]
	if old == nil {
		return t.mergeUnknown(now, in)
	}
	newer := in.Newer(old.Instance)
	same := in.Sequence == old.Sequence && in.Incarnation == old.Incarnation
	switch {
	case newer && old.health == failed && in.health == suspect:
		// The node has failed here and is suspected elsewhere. The suspicion keeps
		// its received age, so that an old one makes the node fail again at the
		// next tick.
	case newer:
		// A node that is live here gets the full time to refute, however long
		// ago the other side of a healed partition suspected it.
		in.inactiveSince = suspicionStart(now, in)
	case same && in.health == suspect && old.health == alive && old.State != sycamorerun.StateLeft:
		in = asSuspect(now, old)
	default:
		return false
	}
	in.earlier = old.following(now, in)
	t.put(now, in)
	return true
}

func suspicionStart(now time.Time, in *record) time.Time {
	if in.health == suspect {
		return now
	}
	return in.inactiveSince
}

func (t *table) mergeUnknown(now time.Time, in *record) bool {
	if in.expires() && now.Sub(in.inactiveSince) >= digestRetention || t.zoneExpired(now, in.AvailabilityZone) {
		return false
	}
	t.put(now, in)
	t.expire(now, in)
	return true
}

// markSuspect marks a live node as suspect and reports whether that changed the
// table.
func (t *table) markSuspect(now time.Time, name string) bool {
	old := t.records[name]
	if old == nil || name == t.self.name || old.health != alive || !old.live() {
		return false
	}
	t.put(now, asSuspect(now, old))
	return true
}

func asSuspect(now time.Time, old *record) *record {
	r := *old
	r.health, r.inactiveSince, r.inDigest = suspect, now, false
	return &r
}

// tick applies the passing of time and reports whether any record changed.
func (t *table) tick(now time.Time) bool {
	changed := t.tickSelf(now)
	for _, r := range t.expiring {
		changed = t.expire(now, r) || changed
	}
	return t.tickZones(now) || changed
}

// expire applies the passing of time to a record: a suspect fails, then an
// inactive record leaves the digest and is finally removed.
func (t *table) expire(now time.Time, r *record) (changed bool) {
	age := now.Sub(r.inactiveSince)
	if r.health == suspect && age >= t.suspicionTimeout {
		next := *r
		next.health, next.inDigest = failed, false
		// Every node has received the suspicion and runs its own timer, so
		// there is nothing to flood.
		t.replace(now, &next)
		r, changed = &next, true
	}
	switch {
	case age >= retention:
		t.remove(r)
	case age >= digestRetention:
		t.removeFromDigest(r)
	}
	return changed
}

// resume restarts the timers of suspects after this process was paused, since
// their refutations may still be unread.
func (t *table) resume(now time.Time) {
	for _, r := range t.expiring {
		if r.health == suspect {
			next := *r
			next.inactiveSince, next.inDigest = now, false
			t.replace(now, &next)
		}
	}
}

// maxStaleNames is the number of changes up to which the list is patched
// instead of rebuilt. Sorting a large list costs many times as much as copying
// it.
const maxStaleNames = 256

// live returns the live instances, sorted by name. The result is shared and
// must not be changed.
func (t *table) live() []sycamorerun.Instance {
	switch {
	case t.liveList == nil:
		t.liveList = make([]sycamorerun.Instance, 0, len(t.records))
		for _, r := range t.records {
			if t.listed(r) {
				t.liveList = append(t.liveList, r.Instance)
			}
		}
		slices.SortFunc(t.liveList, compareNames)
	case len(t.staleNames) > 0:
		t.liveList = slices.Clone(t.liveList)
		for name := range t.staleNames {
			t.patch(name)
		}
	}
	clear(t.staleNames)
	return t.liveList
}

// invalidate marks a node's entry in the cached list as outdated.
func (t *table) invalidate(name string) {
	if t.liveList == nil {
		return
	}
	t.staleNames[name] = struct{}{}
	if len(t.staleNames) > maxStaleNames {
		t.liveList = nil
		clear(t.staleNames)
	}
}

func compareNames(a, b sycamorerun.Instance) int { return cmp.Compare(a.Name, b.Name) }

func (t *table) listed(r *record) bool {
	_, down := t.downSince[r.AvailabilityZone]
	return r.live() && !down
}

// patch updates one node's entry in the cached list.
func (t *table) patch(name string) {
	r := t.records[name]
	i, found := slices.BinarySearchFunc(t.liveList, name, func(a sycamorerun.Instance, name string) int {
		return cmp.Compare(a.Name, name)
	})
	switch listed := r != nil && t.listed(r); {
	case listed && found:
		t.liveList[i] = r.Instance
	case listed:
		t.liveList = slices.Insert(t.liveList, i, r.Instance)
	case found:
		t.liveList = slices.Delete(t.liveList, i, i+1)
	}
}

// suspects returns the names of the suspects, sorted.
func (t *table) suspects() []string {
	var names []string
	for name, r := range t.expiring {
		if r.health == suspect {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
