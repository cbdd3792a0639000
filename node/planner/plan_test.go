package planner_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/node/planner"
)

// fleet returns n members spread over zones availability zones in 3 regions.
func fleet(n, zones int) []sycamorerun.Instance {
	members := make([]sycamorerun.Instance, n)
	for i := range members {
		zone := i % zones
		members[i] = sycamorerun.Instance{
			Name:             fmt.Sprintf("quote-desk-%05d", i),
			Address:          netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), byte(i >> 8), byte(i)}), 7946),
			AvailabilityZone: fmt.Sprintf("zone-%d", zone),
			Region:           fmt.Sprintf("region-%d", zone%3),
		}
	}
	return members
}

// TestNew guards against links that only one end knows, members that a tree does not
// reach, a wrong number of watchers, and members with children in both trees of a
// large zone, which would have more neighbours than the control budget permits.
func TestNew(t *testing.T) {
	cases := map[string]struct{ members, zones int }{
		"one member":               {1, 1},
		"two members in one zone":  {2, 1},
		"two members, two regions": {2, 2},
		"one member in each zone":  {6, 6},
		"one zone":                 {100, 1},
		"today":                    {27, 6},
		"several levels":           {600, 6},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			members := fleet(test.members, test.zones)
			plans := map[string]planner.Plan{}
			for _, member := range members {
				plans[member.Name] = planner.New(member.Name, members)
			}
			watchers := map[planner.Watch]int{}
			for name, plan := range plans {
				watchers[plan.Watch]++
				counts := map[planner.Role]int{}
				for _, link := range plan.Links {
					counts[link.Role]++
					is.True(link.Name != name)
					is.True(linked(plans[link.Name], name, link.Tree, opposite[link.Role]))
				}
				is.True(counts[planner.RoleParent] <= planner.Trees)
				// A member has children in one tree and, as the root of a region,
				// the roots of the zones.
				is.True(counts[planner.RoleChild] <= planner.Fanout+test.zones/3)
			}
			regions := min(test.members, test.zones, 3)
			is.Equal(watchers[planner.Primary], regions)
			is.Equal(watchers[planner.Standby], min(regions, test.members-regions))
			for tree := range planner.Trees {
				is.Equal(reached(plans, members[0].Name, tree), test.members)
			}
		})
	}
}

var opposite = map[planner.Role]planner.Role{
	planner.RoleParent: planner.RoleChild,
	planner.RoleChild:  planner.RoleParent,
	planner.RoleRegion: planner.RoleRegion,
}

func linked(plan planner.Plan, name string, tree int, role planner.Role) bool {
	for _, link := range plan.Links {
		if link.Name == name && link.Tree == tree && link.Role == role {
			return true
		}
	}
	return false
}

// reached returns the number of members connected to start in one tree.
func reached(plans map[string]planner.Plan, start string, tree int) int {
	seen := map[string]bool{start: true}
	for queue := []string{start}; len(queue) > 0; queue = queue[1:] {
		for _, link := range plans[queue[0]].Links {
			if link.Tree == tree && !seen[link.Name] {
				seen[link.Name] = true
				queue = append(queue, link.Name)
			}
		}
	}
	return len(seen)
}

// TestNewIgnoresInputOrder guards against plans that depend on the order of the
// members.
func TestNewIgnoresInputOrder(t *testing.T) {
	is := is.New(t)
	members := fleet(200, 6)
	want := planner.New(members[7].Name, members)
	self := members[7].Name
	random := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		is.Equal(planner.New(self, members), want)
	}
}

// TestNewWithoutSelf guards against links of a node that is not a member.
func TestNewWithoutSelf(t *testing.T) {
	is := is.New(t)
	is.Equal(planner.New("absent", fleet(10, 2)), planner.Plan{Watch: planner.None})
}

func BenchmarkNew(b *testing.B) {
	members := fleet(9800, 11)
	b.ReportAllocs()
	for b.Loop() {
		planner.New(members[0].Name, members)
	}
}
