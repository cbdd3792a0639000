// Package planner computes from the live members which peers a node links to
// and who watches the store. It keeps no state: equal members in any order
// give equal plans on every node.
package planner

import (
	"net/netip"
	"slices"

	"sycamorerun"
)

// Trees is the number of fan-out trees, one for each order of the members.
const Trees = 2

// Fanout is the largest number of children of a member within its
// availability zone's tree.
const Fanout = 8

// Role is the position of a link's peer as seen from this node.
type Role string

// Roles of a peer.
const (
	RoleParent Role = "parent"
	RoleChild  Role = "child"
	// RoleRegion is the first member of another region, linked with this
	// region's first member.
	RoleRegion Role = "region"
)

// Watch says how this node watches the store.
type Watch string

// Ways to watch the store.
const (
	None Watch = "none"
	// Primary watches with values.
	Primary Watch = "primary"
	// Standby watches keys only and fetches what the primary did not deliver.
	Standby Watch = "standby"
)

// Link is a peer that this node keeps a session with. A peer that is a
// neighbour in both trees has one link for each.
type Link struct {
	Name    string
	Address netip.AddrPort
	Tree    int
	Role    Role
}

// Plan is one node's part of the trees. A Plan is immutable once shared.
type Plan struct {
	// Links is sorted by tree; within a tree the parent comes first, then the
	// other regions in the order of their names, then the children by rank.
	Links []Link
	Watch Watch
	// Watchers and Deputies are set with Options.Watchers: the members that
	// watch the store, in the order of their rank, and those that come next and
	// look after them.
	Watchers       []string
	BackupWatchers []string
	// Regions lists the first member of every region in tree 0, this node
	// included, in the order of the regions' names. A survey starts there.
	Regions []Link
	// Seed is set on the first member of an availability zone in tree 0,
	// which keeps a seed record in the store.
	Seed bool
}

// Options change what is planned.
type Options struct {
	// Watchers is the number of members of the whole fleet that watch the
	// store, the nearest to it first. Zero selects a primary and a standby for
	// each region.
	Watchers int
}

// New returns self's part of the trees over members, which are the live ones
// and include self. Without self the plan has no links. At most one Options
// counts.
func New(self string, members []sycamorerun.Instance, options ...Options) Plan {
	me := find(self, members)
	if me == nil {
		return Plan{Watch: None}
	}
	plan := Plan{}
	orders := newOrders(me, members)
	for tree := range orders {
		plan.Links = append(plan.Links, orders[tree].links(me)...)
	}
	plan.Watch = watch(self, &orders)
	if len(options) > 0 && options[0].Watchers > 0 {
		plan.Watchers, plan.BackupWatchers = watchers(options[0].Watchers, members)
		plan.Watch = None
		if slices.Contains(plan.Watchers, self) {
			plan.Watch = Primary
		}
	}
	plan.Regions = orders[0].regionLinks()
	plan.Seed = orders[0].rank(self) == 0
	return plan
}

func find(self string, members []sycamorerun.Instance) *sycamorerun.Instance {
	for i := range members {
		if members[i].Name == self {
			return &members[i]
		}
	}
	return nil
}

func watch(self string, orders *[Trees]order) Watch {
	primary := orders[0].regionFirst.name()
	standby := orders[1].regionFirst.name()
	if standby == primary {
		standby = orders[0].regionSecond.name()
	}
	switch self {
	case primary:
		return Primary
	case standby:
		return Standby
	}
	return None
}
