package planner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sycamorerun"
)

// hashSeeds holds the hash seed of each order. Different seeds make the orders
// independent, so that members with the same parent in one tree have different
// parents in the other.
var hashSeeds = [Trees]uint64{0, 0x9e3779b97f4a7c15}

// halfBit is the bit of a hash that tells to which half of an order a member
// belongs. A member in the first half of one order is in the second half of the
// other. Only the first eighth of an order has children, so no member has children
// in both trees unless its availability zone is small. With unrelated orders, 1
// member in 64 had 16 children, whose heartbeats used up the control budget.
const halfBit = 1 << 63

// orderHashes returns the hashes of a name that determine its place in each order.
func orderHashes(name string) (hashes [Trees]uint64) {
	var digest xxhash.Digest
	for tree, seed := range hashSeeds {
		digest.ResetWithSeed(seed)
		_, _ = digest.WriteString(name)
		hashes[tree] = digest.Sum64()
	}
	hashes[1] = hashes[1]&^halfBit | ^hashes[0]&halfBit
	return hashes
}

// ranked is a member with its hash in one order. The zero value stands for no member.
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

// compare orders members by hash, and by name if the hashes are equal.
func (r ranked) compare(other ranked) int {
	if c := cmp.Compare(r.hash, other.hash); c != 0 {
		return c
	}
	return cmp.Compare(r.member.Name, other.member.Name)
}

// before reports whether r ranks before other. Every member ranks before none.
func (r ranked) before(other ranked) bool {
	return other.member == nil || r.compare(other) < 0
}

// location identifies an availability zone.
type location struct{ region, zone string }

// topTwo holds the first and second ranked member of a location in each order.
type topTwo [Trees][2]ranked

func (t *topTwo) add(tree int, r ranked) {
	switch pair := &t[tree]; {
	case r.before(pair[0]):
		pair[0], pair[1] = r, pair[0]
	case r.before(pair[1]):
		pair[1] = r
	}
}

// order is one order of the members, reduced to what one node needs: all members of
// its own availability zone, but only the roots of the others, which are the members
// that rank first. This keeps the cost linear in the number of members.
type order struct {
	tree int
	// zone holds the members of the node's availability zone, sorted.
	zone []ranked
	// zoneRoots holds the root of each availability zone in the node's region.
	zoneRoots map[string]ranked
	// regionRoots holds the root of each region.
	regionRoots map[string]ranked
	// regionRoot and regionSecond are the first and second ranked members of the
	// node's region.
	regionRoot, regionSecond ranked
}

// newOrders returns the orders of the members as seen by self. It looks up the
// location of each member only once, since that costs as much as its hashes.
func newOrders(self *sycamorerun.Instance, members []sycamorerun.Instance) (orders [Trees]order) {
	own := location{self.Region, self.AvailabilityZone}
	locations := map[location]*topTwo{}
	for i := range members {
		member := &members[i]
		loc := location{member.Region, member.AvailabilityZone}
		top := locations[loc]
		if top == nil {
			top = &topTwo{}
			locations[loc] = top
		}
		for tree, hash := range orderHashes(member.Name) {
			r := ranked{hash: hash, member: member}
			top.add(tree, r)
			if loc == own {
				orders[tree].zone = append(orders[tree].zone, r)
			}
		}
	}
	for tree := range orders {
		orders[tree].build(tree, self.Region, locations)
	}
	return orders
}

// build sets the roots from the top members of each location and sorts the zone.
func (o *order) build(tree int, region string, locations map[location]*topTwo) {
	o.tree = tree
	o.zoneRoots, o.regionRoots = map[string]ranked{}, map[string]ranked{}
	var regional topTwo
	for loc, top := range locations {
		first := top[tree][0]
		if first.before(o.regionRoots[loc.region]) {
			o.regionRoots[loc.region] = first
		}
		if loc.region != region {
			continue
		}
		o.zoneRoots[loc.zone] = first
		for _, r := range top[tree] {
			if r.member != nil {
				regional.add(tree, r)
			}
		}
	}
	o.regionRoot, o.regionSecond = regional[tree][0], regional[tree][1]
	slices.SortFunc(o.zone, ranked.compare)
}

// rank returns the position of the named member within the zone, starting at 0.
func (o *order) rank(name string) int {
	return slices.IndexFunc(o.zone, func(r ranked) bool { return r.member.Name == name })
}

func (o *order) link(r ranked, role Role) Link {
	return Link{Name: r.member.Name, Address: r.member.Address, Tree: o.tree, Role: role}
}

// links returns the links of self in this tree.
func (o *order) links(self *sycamorerun.Instance) []Link {
	var links []Link
	rank := o.rank(self.Name)
	switch {
	case rank > 0:
		links = append(links, o.link(o.zone[(rank-1)/Fanout], RoleParent))
	case o.regionRoot.name() != self.Name:
		links = append(links, o.link(o.regionRoot, RoleParent))
	default:
		links = append(links, o.rootLinks(self)...)
	}
	first := min(Fanout*rank+1, len(o.zone))
	last := min(first+Fanout, len(o.zone))
	for _, child := range o.zone[first:last] {
		links = append(links, o.link(child, RoleChild))
	}
	return links
}

// rootLinks returns the links that only the root of a region has: to the roots of the
// other regions and to the roots of the other availability zones in its region.
func (o *order) rootLinks(self *sycamorerun.Instance) []Link {
	var links []Link
	for _, region := range slices.Sorted(maps.Keys(o.regionRoots)) {
		if region != self.Region {
			links = append(links, o.link(o.regionRoots[region], RoleRegion))
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(o.zoneRoots)) {
		if zone != self.AvailabilityZone {
			links = append(links, o.link(o.zoneRoots[zone], RoleChild))
		}
	}
	return links
}

// regionLinks returns links to the roots of all regions.
func (o *order) regionLinks() []Link {
	links := make([]Link, 0, len(o.regionRoots))
	for _, region := range slices.Sorted(maps.Keys(o.regionRoots)) {
		links = append(links, o.link(o.regionRoots[region], RoleRegion))
	}
	return links
}
