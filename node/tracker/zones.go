package tracker

import (
	"math/rand/v2"
	"slices"
	"time"

	"sycamorerun"
)

// When a whole availability zone is unreachable, its members are not suspected
// one by one: they may be healthy behind a partition, and when it heals each of
// them would have to refute. Instead, the nodes with links to the zone report
// it as unreachable in their own records. A member excludes the zones that its
// own zone reports from its plan. A zone that all other zones report is down,
// and its members don't count as live.

// maxProbes is the number of further members of a zone that are probed when a
// peer is unreachable.
const maxProbes = 4

// minProbes is the number of probes below which a zone is not reported as
// unreachable: a few failed members of a small zone are suspected one by one.
const minProbes = 3

// reportUnreachable adds an availability zone to the unreachable zones in this
// node's record. It reports whether the record changed.
func (t *table) reportUnreachable(now time.Time, zone string) bool {
	reported := t.records[t.self.name].unreachable
	if slices.Contains(reported, zone) || len(reported) >= maxUnreachableZones {
		return false
	}
	t.updateSelf(now, func(r *record) { r.unreachable = append(slices.Clone(reported), zone) })
	return true
}

// withdrawReport removes an availability zone from the unreachable zones in
// this node's record. It reports whether the record changed.
func (t *table) withdrawReport(now time.Time, zone string) bool {
	reported := t.records[t.self.name].unreachable
	if !slices.Contains(reported, zone) {
		return false
	}
	t.updateSelf(now, func(r *record) {
		r.unreachable = slices.DeleteFunc(slices.Clone(reported), func(other string) bool { return other == zone })
	})
	return true
}

func (t *table) addReports(r *record) {
	if !r.live() {
		return
	}
	for _, zone := range r.unreachable {
		if t.reports[zone] == nil {
			t.reports[zone] = map[string]struct{}{}
		}
		t.reports[zone][r.Name] = struct{}{}
	}
}

func (t *table) removeReports(r *record) {
	for _, zone := range r.unreachable {
		delete(t.reports[zone], r.Name)
		if len(t.reports[zone]) == 0 {
			delete(t.reports, zone)
		}
	}
}

// reportedBy reports whether a member of the reporter zone reports zone as
// unreachable.
func (t *table) reportedBy(reporter, zone string) bool {
	for name := range t.reports[zone] {
		if t.records[name].AvailabilityZone == reporter {
			return true
		}
	}
	return false
}

// isolated reports whether this node reports its own availability zone as
// unreachable, that is, has no connection to any node.
func (t *table) isolated() bool {
	self := t.records[t.self.name]
	return slices.Contains(self.unreachable, self.AvailabilityZone)
}

// reachable returns the live instances except those in availability zones that
// this node's own zone can't reach.
func (t *table) reachable() []sycamorerun.Instance {
	if len(t.reports) == 0 {
		return t.live()
	}
	self := t.records[t.self.name]
	if t.isolated() {
		return []sycamorerun.Instance{self.Instance}
	}
	excluded := map[string]bool{}
	for zone := range t.reports {
		excluded[zone] = zone != self.AvailabilityZone && t.reportedBy(self.AvailabilityZone, zone)
	}
	var list []sycamorerun.Instance
	for _, instance := range t.live() {
		if !excluded[instance.AvailabilityZone] {
			list = append(list, instance)
		}
	}
	return list
}

// tickZones updates the set of availability zones that are down, and removes
// the records of zones that have been down for the retention.
func (t *table) tickZones(now time.Time) bool {
	if len(t.reports) == 0 && len(t.downSince) == 0 {
		return false
	}
	down := t.downZones()
	changed := false
	for zone := range t.downSince {
		if !down[zone] {
			delete(t.downSince, zone)
			changed = true
		}
	}
	for zone := range down {
		if _, ok := t.downSince[zone]; !ok {
			t.downSince[zone] = now
			changed = true
		}
		if t.zoneExpired(now, zone) {
			t.removeZone(zone)
		}
	}
	if changed {
		t.liveList = nil
	}
	return changed
}

// downZones returns the zones that are reported as unreachable by every zone
// that this node's zone can reach.
func (t *table) downZones() map[string]bool {
	self := t.records[t.self.name].AvailabilityZone
	voters := map[string]bool{}
	for _, r := range t.records {
		if r.live() && !voters[r.AvailabilityZone] {
			voters[r.AvailabilityZone] = r.AvailabilityZone == self || !t.reportedBy(self, r.AvailabilityZone)
		}
	}
	down := map[string]bool{}
	for zone := range t.reports {
		if zone != self && t.reportedBy(self, zone) {
			down[zone] = true
			for voter, votes := range voters {
				down[zone] = down[zone] && (!votes || voter == zone || t.reportedBy(voter, zone))
			}
		}
		if !down[zone] {
			delete(down, zone)
		}
	}
	return down
}

// zoneExpired reports whether an availability zone has been down for the
// retention, so that its records are not kept.
func (t *table) zoneExpired(now time.Time, zone string) bool {
	since, down := t.downSince[zone]
	return down && now.Sub(since) >= retention
}

func (t *table) removeZone(zone string) {
	for _, r := range t.records {
		if r.AvailabilityZone == zone {
			t.remove(r)
		}
	}
}

// recordProbes decides whether an unreachable peer, together with the result of
// probing its availability zone, means failed nodes or an unreachable zone.
// links is the number of this node's open links.
func (t *table) recordProbes(now time.Time, peer string, links, probed int, unreachable []string) {
	r := t.records[peer]
	if r == nil {
		return
	}
	otherZone := r.AvailabilityZone != t.records[t.self.name].AvailabilityZone
	if probed >= minProbes && len(unreachable) == probed && (otherZone || links == 0) {
		t.reportUnreachable(now, r.AvailabilityZone)
		return
	}
	t.markSuspect(now, peer)
	for _, name := range unreachable {
		t.markSuspect(now, name)
	}
}

// sample returns up to n random live, unsuspected members of an availability
// zone, without this node and the excluded one.
func (t *table) sample(zone, exclude string, n int) []*record {
	var list []*record
	for _, r := range t.records {
		if r.AvailabilityZone == zone && r.live() && r.health == alive && r.Name != exclude && r.Name != t.self.name {
			list = append(list, r)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// randomAbsent returns a random record of a failed node or of one that has left, or
// nil if there is none. A node that left may have been restarted and know nobody.
func (t *table) randomAbsent() *record {
	var list []*record
	for _, r := range t.expiring {
		if !r.live() && r.Name != t.self.name {
			list = append(list, r)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rand.IntN(len(list))]
}
