package planner

import (
	"cmp"
	"math"
	"slices"

	"sycamorerun"
)

// deputies bounds the members after the watchers that look after them. Their
// number is what many members may fail at once before the others have to wait
// for the failure detection; more of them would cost the watchers more probes.
const deputies = 16

// candidate is a member in the order in which members watch the store.
type candidate struct {
	ranked
	class int
	// round counts the better candidates of the class's availability zone.
	round int
}

// class orders the distances: measured ones first, then unknown ones, then
// members whose calls of the store fail.
func class(distance int) int {
	switch {
	case distance > 0:
		return distance
	case distance == 0:
		return math.MaxInt - 1
	}
	return math.MaxInt
}

// watchers returns the names of the n members that watch the store and of
// their deputies. The nearest come first; within a distance, members of
// different availability zones come before further ones of the same zone.
func watchers(n int, members []sycamorerun.Instance) (first, next []string) {
	candidates := make([]candidate, len(members))
	for i := range members {
		member := &members[i]
		candidates[i] = candidate{ranked: ranked{rankings(member.Name)[0], member}, class: class(member.Distance)}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), a.compare(b.ranked))
	})
	rounds := map[place]int{}
	for i := range candidates {
		where := place{candidates[i].member.Region, candidates[i].member.AvailabilityZone}
		candidates[i].round = rounds[where]
		rounds[where]++
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.round, b.round))
	})
	names := make([]string, 0, n+deputies)
	for _, c := range candidates[:min(len(candidates), n+deputies)] {
		names = append(names, c.member.Name)
	}
	n = min(n, len(names))
	return names[:n:n], names[n:]
}
