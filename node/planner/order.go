package planner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sycamorerun"
)

// seeds make the two orders independent, so that members with the same parent
// in one tree have different ones in the other.
var seeds = [Trees]uint64{0, 0x9e3779b97f4a7c15}

// half is the bit of a hash that says to which half of an order a member
// belongs. A member of the first half of one order belongs to the second half
// of the other one. Only the first eighth of an order has children, so no
// member has children in both trees unless its availability zone is small.
// With unrelated orders 1 member in 64 had 16 children, and its heartbeats took
// the whole control budget.
const half = 1 << 63

// rankings returns the hashes of a name in the two orders.
func rankings(name string) (hashes [Trees]uint64) {
	var digest xxhash.Digest
	for tree, seed := range seeds {
		digest.ResetWithSeed(seed)
		_, _ = digest.WriteString(name)
		hashes[tree] = digest.Sum64()
	}
	hashes[1] = hashes[1]&^half | ^hashes[0]&half
	return hashes
}

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

// place is an availability zone.
type place struct{ region, zone string }

// firsts are the members of one place that rank first and second in each
// order.
type firsts [Trees][2]ranked

func (f *firsts) add(tree int, r ranked) {
	switch pair := &f[tree]; {
	case r.before(pair[0]):
		pair[0], pair[1] = r, pair[0]
	case r.before(pair[1]):
		pair[1] = r
	}
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

// newOrders looks up the place of each member once, since that costs as much
// as its hashes.
func newOrders(me *sycamorerun.Instance, members []sycamorerun.Instance) (orders [Trees]order) {
	home := place{me.Region, me.AvailabilityZone}
	places := map[place]*firsts{}
	for i := range members {
		member := &members[i]
		where := place{member.Region, member.AvailabilityZone}
		found := places[where]
		if found == nil {
			found = &firsts{}
			places[where] = found
		}
		for tree, hash := range rankings(member.Name) {
			r := ranked{hash: hash, member: member}
			found.add(tree, r)
			if where == home {
				orders[tree].zone = append(orders[tree].zone, r)
			}
		}
	}
	for tree := range orders {
		orders[tree].finish(tree, me.Region, places)
	}
	return orders
}

func (o *order) finish(tree int, region string, places map[place]*firsts) {
	o.tree = tree
	o.zoneFirsts, o.regionFirsts = map[string]ranked{}, map[string]ranked{}
	var regional firsts
	for where, found := range places {
		first := found[tree][0]
		if first.before(o.regionFirsts[where.region]) {
			o.regionFirsts[where.region] = first
		}
		if where.region != region {
			continue
		}
		o.zoneFirsts[where.zone] = first
		for _, r := range found[tree] {
			if r.member != nil {
				regional.add(tree, r)
			}
		}
	}
	o.regionFirst, o.regionSecond = regional[tree][0], regional[tree][1]
	slices.SortFunc(o.zone, ranked.compare)
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
