package planner_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/node/planner"
)

// TestWatchers guards against choosing distant watchers while near ones exist,
// against choosing all watchers in one availability zone, and against preferring
// members that can't reach the store.
func TestWatchers(t *testing.T) {
	cases := map[string]struct {
		distances []int // of the members, which alternate between 3 zones
		want      map[int]int
		zones     int
	}{
		"unknown":           {make([]int, 12), map[int]int{0: 3}, 3},
		"nearest":           {[]int{5, 5, 5, 1, 5, 5, 2, 5, 0}, map[int]int{1: 1, 2: 1, 5: 1}, 0},
		"zones of a bucket": {[]int{2, 2, 2, 2, 2, 2, 2, 2, 2, 1}, map[int]int{1: 1, 2: 2}, 3},
		"one zone is near":  {[]int{1, 3, 3, 1, 3, 3, 1, 3, 3}, map[int]int{1: 3}, 1},
		"unknown fill up":   {[]int{0, 0, 0, 4, 0, sycamorerun.Unreachable}, map[int]int{4: 1, 0: 2}, 0},
		"unreachable last":  {[]int{-1, -1, -1, -1, -1, 0}, map[int]int{0: 1, -1: 2}, 0},
		"few members":       {[]int{1, -1}, map[int]int{1: 1, -1: 1}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			members := fleet(len(c.distances), 3)
			for i := range members {
				members[i].Distance = c.distances[i]
			}
			distances, zones := map[int]int{}, map[string]bool{}
			for _, member := range members {
				plan := planner.New(member.Name, members, planner.Options{Watchers: 3})
				is.Equal(len(plan.Watchers)+len(plan.BackupWatchers), len(members))
				if plan.Watch == planner.Primary {
					distances[member.Distance]++
					zones[member.AvailabilityZone] = true
				}
			}
			is.Equal(fmt.Sprint(distances), fmt.Sprint(c.want))
			is.True(c.zones == 0 || len(zones) == c.zones)
		})
	}
}
