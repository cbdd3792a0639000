// Package planner computes from the live members which peers a node links to and
// which members watch the store. It is stateless: every node computes the same plan
// from the same members, in whatever order they are given.
package planner

import (
	"net/netip"
	"slices"

	"sycamorerun"
)

// Trees is the number of fan-out trees. Each has its own order of the members.
const Trees = 2

// Fanout is the maximum number of children of a member within its availability zone
// in one tree.
const Fanout = 8

// Role is the position of a link's peer as seen from this node.
type Role string

// Roles of a peer.
const (
	RoleParent Role = "parent"
	RoleChild  Role = "child"
	// RoleRegion is the root of another region, which is linked to the root of this
	// region.
	RoleRegion Role = "region"
)

// Watch is the mode in which this node watches the store.
type Watch string

// Modes of a watch.
const (
	None Watch = "none"
	// Primary watches keys with their values.
	Primary Watch = "primary"
	// Standby watches only keys and fetches values that the primary did not deliver.
	Standby Watch = "standby"
)

// Link is a peer with which this node keeps a session. A peer that is a neighbour in
// both trees has one link for each.
type Link struct {
	Name    string
	Address netip.AddrPort
	Tree    int
	Role    Role
}

// Plan is one node's position in the trees. A Plan is immutable once shared.
type Plan struct {
	// Links is sorted by tree. Within a tree the parent comes first, then the roots
	// of other regions by region name, then the children by rank.
	Links []Link
	Watch Watch
	// Watchers lists the members that watch the store, by rank. It is set if
	// Options.Watchers is.
	Watchers []string
	// BackupWatchers lists the next members by rank, which monitor the watchers. It
	// is set if Options.Watchers is.
	BackupWatchers []string
	// Regions lists the roots of all regions in tree 0, including this node if it is
	// one, by region name. A survey starts at these members.
	Regions []Link
	// Seed is set on the root of an availability zone in tree 0, which keeps a seed
	// record in the store.
	Seed bool
}

// Options modify a plan.
type Options struct {
	// Watchers is the number of members in the whole fleet that watch the store,
	// the nearest to the store first. Zero selects a primary and a standby for each
	// region.
	Watchers int
}

// New returns the plan of the named member over the live members, which include it.
// If it is missing, the plan has no links. Only the first of options is used.
func New(name string, members []sycamorerun.Instance, options ...Options) Plan {
	self := find(name, members)
	if self == nil {
		return Plan{Watch: None}
	}
	plan := Plan{}
	orders := newOrders(self, members)
	for tree := range orders {
		plan.Links = append(plan.Links, orders[tree].links(self)...)
	}
	plan.Watch = watchMode(name, &orders)
	if len(options) > 0 && options[0].Watchers > 0 {
		plan.Watchers, plan.BackupWatchers = watchers(options[0].Watchers, members)
		plan.Watch = None
		if slices.Contains(plan.Watchers, name) {
			plan.Watch = Primary
		}
	}
	plan.Regions = orders[0].regionLinks()
	plan.Seed = orders[0].rank(name) == 0
	return plan
}

func find(name string, members []sycamorerun.Instance) *sycamorerun.Instance {
	for i := range members {
		if members[i].Name == name {
			return &members[i]
		}
	}
	return nil
}

// watchMode returns how the named member watches the store if each region has a
// primary and a standby.
func watchMode(name string, orders *[Trees]order) Watch {
	primary := orders[0].regionRoot.name()
	standby := orders[1].regionRoot.name()
	if standby == primary {
		standby = orders[0].regionSecond.name()
	}
	switch name {
	case primary:
		return Primary
	case standby:
		return Standby
	}
	return None
}
