package planner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sycamorerun"
)

// seeds make the two orders independent: an interior member of one tree is
// most likely a leaf of the other.
var seeds = [Trees]uint64{0, 0x9e3779b97f4a7c15}

// ranked is a member with its hash in one order.
type ranked struct {
	hash   uint64
	member *sycamorerun.Instance
}

func (r ranked) name() string {
	if r.member == nil {
		return ""
	}
	return r.member.Name
}

// compare breaks ties between equal hashes by name.
func (r ranked) compare(other ranked) int {
	if c := cmp.Compare(r.hash, other.hash); c != 0 {
		return c
	}
	return cmp.Compare(r.member.Name, other.member.Name)
}

func (r ranked) before(other ranked) bool {
	return other.member == nil || r.compare(other) < 0
}

// order is one order of the members as far as one node needs it: the full
// order of its availability zone, but only the firsts of all others. This
// keeps the cost linear in the number of members.
type order struct {
	tree int
	// zone is the node's availability zone in order.
	zone []ranked
	// zoneFirsts maps the availability zones of the node's region.
	zoneFirsts map[string]ranked
	// regionFirsts maps all regions.
	regionFirsts map[string]ranked
	// regionFirst and regionSecond rank first in the node's region.
	regionFirst, regionSecond ranked
}

func newOrder(tree int, me *sycamorerun.Instance, members []sycamorerun.Instance) order {
	o := order{tree: tree, zoneFirsts: map[string]ranked{}, regionFirsts: map[string]ranked{}}
	digest := xxhash.NewWithSeed(seeds[tree])
	for i := range members {
		digest.ResetWithSeed(seeds[tree])
		_, _ = digest.WriteString(members[i].Name)
		o.add(me, ranked{hash: digest.Sum64(), member: &members[i]})
	}
	slices.SortFunc(o.zone, ranked.compare)
	return o
}

func (o *order) add(me *sycamorerun.Instance, r ranked) {
	if r.before(o.regionFirsts[r.member.Region]) {
		o.regionFirsts[r.member.Region] = r
	}
	if r.member.Region != me.Region {
		return
	}
	switch {
	case r.before(o.regionFirst):
		o.regionFirst, o.regionSecond = r, o.regionFirst
	case r.before(o.regionSecond):
		o.regionSecond = r
	}
	if r.before(o.zoneFirsts[r.member.AvailabilityZone]) {
		o.zoneFirsts[r.member.AvailabilityZone] = r
	}
	if r.member.AvailabilityZone == me.AvailabilityZone {
		o.zone = append(o.zone, r)
	}
}

// rank returns the position of the member called name within the zone.
func (o *order) rank(name string) int {
	return slices.IndexFunc(o.zone, func(r ranked) bool { return r.member.Name == name })
}

func (o *order) link(r ranked, role Role) Link {
	return Link{Name: r.member.Name, Address: r.member.Address, Tree: o.tree, Role: role}
}

func (o *order) links(me *sycamorerun.Instance) []Link {
	var links []Link
	rank := o.rank(me.Name)
	switch {
	case rank > 0:
		links = append(links, o.link(o.zone[(rank-1)/Fanout], RoleParent))
	case o.regionFirst.name() != me.Name:
		links = append(links, o.link(o.regionFirst, RoleParent))
	default:
		links = append(links, o.firstLinks(me)...)
	}
	first := min(Fanout*rank+1, len(o.zone))
	last := min(first+Fanout, len(o.zone))
	for _, child := range o.zone[first:last] {
		links = append(links, o.link(child, RoleChild))
	}
	return links
}

// firstLinks are the links that only the region's first member has: to the
// other regions' first members and to the other zones' first members.
func (o *order) firstLinks(me *sycamorerun.Instance) []Link {
	var links []Link
	for _, region := range slices.Sorted(maps.Keys(o.regionFirsts)) {
		if region != me.Region {
			links = append(links, o.link(o.regionFirsts[region], RoleRegion))
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(o.zoneFirsts)) {
		if zone != me.AvailabilityZone {
			links = append(links, o.link(o.zoneFirsts[zone], RoleChild))
		}
	}
	return links
}

func (o *order) regionLinks() []Link {
	links := make([]Link, 0, len(o.regionFirsts))
	for _, region := range slices.Sorted(maps.Keys(o.regionFirsts)) {
		links = append(links, o.link(o.regionFirsts[region], RoleRegion))
	}
	return links
}
