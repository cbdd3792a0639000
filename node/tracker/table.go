package tracker

import (
	"cmp"
	"slices"
	"time"

	"sycamorerun"
)

// Periods after which records are forgotten.
const (
	// retention is how long failed and left records are kept, so that an old
	// record that is still on its way can't bring the node back.
	retention = 10 * time.Minute
	// sharing is how long failed and left records take part in the digest and
	// in exchanges. It is shorter than the retention: otherwise a peer that
	// drops such a record a moment earlier would get it back from this node,
	// and no node would ever forget it.
	sharing = 9 * time.Minute
)

// table holds the records and makes the decisions about them. It does no
// input or output and reads no clock.
type table struct {
	// suspicion is the time that a suspect has to refute.
	suspicion time.Duration
	own       own
	records   map[string]*record
	// timed names the records that the passing of time changes.
	timed   map[string]*record
	buckets [bucketCount]uint64
	// news names the records to flood.
	news []string
	// claims maps the availability zones that members can't reach to those
	// members.
	claims map[string]map[string]struct{}
	// down maps the availability zones that nobody reaches to the time since.
	down map[string]time.Time
	// list caches the live instances, but for the records in stale. It is nil
	// when it has to be made anew.
	list  []sycamorerun.Instance
	stale map[string]struct{}
}

func newTable(now time.Time, self sycamorerun.Instance, suspicion time.Duration) *table {
	self.Sequence = max(self.Sequence, 1)
	if self.State == "" {
		self.State = sycamorerun.StateNone
	}
	self.Since = now
	t := &table{
		suspicion: suspicion,
		own:       own{name: self.Name},
		records:   map[string]*record{},
		timed:     map[string]*record{},
		claims:    map[string]map[string]struct{}{},
		down:      map[string]time.Time{},
		stale:     map[string]struct{}{},
	}
	t.replace(now, &record{Instance: self, key: newKey(self.Name)})
	return t
}

// put replaces the record of a node and notes that it has to be flooded.
func (t *table) put(now time.Time, r *record) {
	t.replace(now, r)
	t.news = append(t.news, r.Name)
}

// replace replaces the record of a node without flooding it. Records are not
// changed in place, so that r has to be a copy of its own.
func (t *table) replace(now time.Time, r *record) {
	if old := t.records[r.Name]; old != nil {
		t.unshare(old)
		t.dropClaims(old)
	}
	t.records[r.Name] = r
	t.share(now, r)
	t.addClaims(r)
	t.schedule(r)
	t.outdate(r.Name)
}

func (t *table) schedule(r *record) {
	if r.timed() && r.Name != t.own.name {
		t.timed[r.Name] = r
	} else {
		delete(t.timed, r.Name)
	}
}

func (t *table) remove(r *record) {
	t.unshare(r)
	t.dropClaims(r)
	delete(t.records, r.Name)
	delete(t.timed, r.Name)
	t.outdate(r.Name)
}

// merge takes a record received from a peer and reports whether it is news
// that has to be flooded.
func (t *table) merge(now time.Time, in *record) bool {
	if in.Name == t.own.name {
		t.noticeOwn(in)
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
		// The node failed here and elsewhere; its age decides.
	case newer:
		// A node that counts as live here has the full time to refute,
		// however long ago the other side of a healed partition lost it.
		in.since = laterUnlessLeft(now, in)
	case same && in.health == suspect && old.health == alive && old.State != sycamorerun.StateLeft:
		in = suspected(now, old)
	default:
		return false
	}
	t.put(now, in)
	return true
}

func laterUnlessLeft(now time.Time, in *record) time.Time {
	if in.health == suspect {
		return now
	}
	return in.since
}

func (t *table) mergeUnknown(now time.Time, in *record) bool {
	if in.timed() && now.Sub(in.since) >= sharing || t.forgotten(now, in.AvailabilityZone) {
		return false
	}
	t.put(now, in)
	t.expire(now, in)
	return true
}

// suspect marks a live node and reports whether that is news.
func (t *table) suspect(now time.Time, name string) bool {
	old := t.records[name]
	if old == nil || name == t.own.name || old.health != alive || !old.live() {
		return false
	}
	t.put(now, suspected(now, old))
	return true
}

func suspected(now time.Time, old *record) *record {
	r := *old
	r.health, r.since, r.shared = suspect, now, false
	return &r
}

// tick applies the passing of time and reports whether any record changed.
func (t *table) tick(now time.Time) bool {
	changed := t.tickOwn(now)
	for _, r := range t.timed {
		changed = t.expire(now, r) || changed
	}
	return t.tickZones(now) || changed
}

// expire moves one record on: suspect, failed, not shared, forgotten.
func (t *table) expire(now time.Time, r *record) (changed bool) {
	age := now.Sub(r.since)
	if r.health == suspect && age >= t.suspicion {
		next := *r
		next.health, next.shared = failed, false
		// Every node has the suspicion and its own timer, so there is nothing
		// to flood.
		t.replace(now, &next)
		r, changed = &next, true
	}
	switch {
	case age >= retention:
		t.remove(r)
	case age >= sharing:
		t.unshare(r)
	}
	return changed
}

// resume restarts the timers of suspects after this process was paused, since
// their refutations may still wait to be read.
func (t *table) resume(now time.Time) {
	for _, r := range t.timed {
		if r.health == suspect {
			next := *r
			next.since, next.shared = now, false
			t.replace(now, &next)
		}
	}
}

// staleMost is the number of changes up to which the list is patched. Sorting
// a large list anew costs many times as much as copying it.
const staleMost = 256

// live returns the instances that take part, sorted by name. The result is
// shared and must not be changed.
func (t *table) live() []sycamorerun.Instance {
	switch {
	case t.list == nil:
		t.list = make([]sycamorerun.Instance, 0, len(t.records))
		for _, r := range t.records {
			if t.listed(r) {
				t.list = append(t.list, r.Instance)
			}
		}
		slices.SortFunc(t.list, compareNames)
	case len(t.stale) > 0:
		t.list = slices.Clone(t.list)
		for name := range t.stale {
			t.patch(name)
		}
	}
	clear(t.stale)
	return t.list
}

// outdate notes a change for the list.
func (t *table) outdate(name string) {
	if t.list == nil {
		return
	}
	t.stale[name] = struct{}{}
	if len(t.stale) > staleMost {
		t.list = nil
		clear(t.stale)
	}
}

func compareNames(a, b sycamorerun.Instance) int { return cmp.Compare(a.Name, b.Name) }

func (t *table) listed(r *record) bool {
	_, down := t.down[r.AvailabilityZone]
	return r.live() && !down
}

// patch brings one node's place in the list up to date.
func (t *table) patch(name string) {
	r := t.records[name]
	i, found := slices.BinarySearchFunc(t.list, name, func(a sycamorerun.Instance, name string) int {
		return cmp.Compare(a.Name, name)
	})
	switch listed := r != nil && t.listed(r); {
	case listed && found:
		t.list[i] = r.Instance
	case listed:
		t.list = slices.Insert(t.list, i, r.Instance)
	case found:
		t.list = slices.Delete(t.list, i, i+1)
	}
}

// suspects returns the names of the suspects in order.
func (t *table) suspects() []string {
	var names []string
	for name, r := range t.timed {
		if r.health == suspect {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
