package tracker

import (
	"math/rand/v2"
	"slices"
	"time"

	"sycamorerun"
)

// When a whole availability zone can't be reached, its members are not
// suspected one by one: they may be well and only cut off, and on healing each
// of them would have to refute. Instead, the nodes that link to the zone claim
// in their own records that they can't reach it. Members plan without the
// zones that their own zone claims. A zone that all others claim is down, and
// its members don't count as live.

// probes is the number of further members that are tried when a link's peer
// can't be reached.
const probes = 4

// probesLeast is the number of probes without which a zone is not claimed: a
// few failed members of a small zone are suspected one by one.
const probesLeast = 3

// claim notes that this node can't reach an availability zone.
func (t *table) claim(now time.Time, zone string) bool {
	claims := t.records[t.own.name].unreachable
	if slices.Contains(claims, zone) || len(claims) >= zonesMost {
		return false
	}
	t.update(now, func(r *record) { r.unreachable = append(slices.Clone(claims), zone) })
	return true
}

// withdraw takes a claim back.
func (t *table) withdraw(now time.Time, zone string) bool {
	claims := t.records[t.own.name].unreachable
	if !slices.Contains(claims, zone) {
		return false
	}
	t.update(now, func(r *record) {
		r.unreachable = slices.DeleteFunc(slices.Clone(claims), func(other string) bool { return other == zone })
	})
	return true
}

func (t *table) addClaims(r *record) {
	if !r.live() {
		return
	}
	for _, zone := range r.unreachable {
		if t.claims[zone] == nil {
			t.claims[zone] = map[string]struct{}{}
		}
		t.claims[zone][r.Name] = struct{}{}
	}
}

func (t *table) dropClaims(r *record) {
	for _, zone := range r.unreachable {
		delete(t.claims[zone], r.Name)
		if len(t.claims[zone]) == 0 {
			delete(t.claims, zone)
		}
	}
}

// claimedBy reports whether a member of one availability zone claims another.
func (t *table) claimedBy(member, zone string) bool {
	for name := range t.claims[zone] {
		if t.records[name].AvailabilityZone == member {
			return true
		}
	}
	return false
}

// isolated reports whether this node claims its own availability zone, that
// is, reaches nobody.
func (t *table) isolated() bool {
	self := t.records[t.own.name]
	return slices.Contains(self.unreachable, self.AvailabilityZone)
}

// reachable returns the live instances without the availability zones that
// this node's own zone can't reach.
func (t *table) reachable() []sycamorerun.Instance {
	if len(t.claims) == 0 {
		return t.live()
	}
	self := t.records[t.own.name]
	if t.isolated() {
		return []sycamorerun.Instance{self.Instance}
	}
	cut := map[string]bool{}
	for zone := range t.claims {
		cut[zone] = zone != self.AvailabilityZone && t.claimedBy(self.AvailabilityZone, zone)
	}
	var list []sycamorerun.Instance
	for _, instance := range t.live() {
		if !cut[instance.AvailabilityZone] {
			list = append(list, instance)
		}
	}
	return list
}

// tickZones finds the availability zones that are down, and forgets the
// records of those that have been down for the retention.
func (t *table) tickZones(now time.Time) bool {
	if len(t.claims) == 0 && len(t.down) == 0 {
		return false
	}
	down := t.findDown()
	changed := false
	for zone := range t.down {
		if !down[zone] {
			delete(t.down, zone)
			changed = true
		}
	}
	for zone := range down {
		if _, ok := t.down[zone]; !ok {
			t.down[zone] = now
			changed = true
		}
		if t.forgotten(now, zone) {
			t.forget(zone)
		}
	}
	if changed {
		t.list = nil
	}
	return changed
}

// findDown returns the zones that every zone which this one reaches claims.
func (t *table) findDown() map[string]bool {
	self := t.records[t.own.name].AvailabilityZone
	voters := map[string]bool{}
	for _, r := range t.records {
		if r.live() && !voters[r.AvailabilityZone] {
			voters[r.AvailabilityZone] = r.AvailabilityZone == self || !t.claimedBy(self, r.AvailabilityZone)
		}
	}
	down := map[string]bool{}
	for zone := range t.claims {
		if zone != self && t.claimedBy(self, zone) {
			down[zone] = true
			for voter, votes := range voters {
				down[zone] = down[zone] && (!votes || voter == zone || t.claimedBy(voter, zone))
			}
		}
		if !down[zone] {
			delete(down, zone)
		}
	}
	return down
}

// forgotten reports whether the records of an availability zone have no place
// in the table any more.
func (t *table) forgotten(now time.Time, zone string) bool {
	since, down := t.down[zone]
	return down && now.Sub(since) >= retention
}

func (t *table) forget(zone string) {
	for _, r := range t.records {
		if r.AvailabilityZone == zone {
			t.remove(r)
		}
	}
}

// conclude decides what it means that a peer and some of the members probed in
// its availability zone can't be reached, while links to other nodes are up.
func (t *table) conclude(now time.Time, peer string, links, probed int, lost []string) {
	r := t.records[peer]
	if r == nil {
		return
	}
	abroad := r.AvailabilityZone != t.records[t.own.name].AvailabilityZone
	if probed >= probesLeast && len(lost) == probed && (abroad || links == 0) {
		t.claim(now, r.AvailabilityZone)
		return
	}
	t.suspect(now, peer)
	for _, name := range lost {
		t.suspect(now, name)
	}
}

// sample returns up to n random members of an availability zone that nobody
// suspects, without this node and one other.
func (t *table) sample(zone, without string, n int) []*record {
	var list []*record
	for _, r := range t.records {
		if r.AvailabilityZone == zone && r.live() && r.health == alive && r.Name != without && r.Name != t.own.name {
			list = append(list, r)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// lost returns a random failed record, nil if there is none.
func (t *table) lost() *record {
	var list []*record
	for _, r := range t.timed {
		if r.health == failed {
			list = append(list, r)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rand.IntN(len(list))]
}
