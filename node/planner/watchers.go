package planner

import (
	"cmp"
	"math"
	"slices"

	"sycamorerun"
)

// maxBackupWatchers bounds the number of members that monitor the watchers. If more
// members than that fail at once, the others have to wait for the failure detection.
// More backups would cost the watchers more probes.
const maxBackupWatchers = 16

// candidate is a member that may watch the store.
type candidate struct {
	ranked
	distanceClass int
	// zoneRank is the number of better candidates in the same availability zone.
	zoneRank int
}

// distanceClass maps a distance to the store to its sort key: measured distances come
// first, then unknown ones, then members whose calls to the store fail.
func distanceClass(distance int) int {
	switch {
	case distance > 0:
		return distance
	case distance == 0:
		return math.MaxInt - 1
	}
	return math.MaxInt
}

// watchers returns the names of the n members that watch the store and of their
// backups. The nearest members come first. At equal distance, members of different
// availability zones come before further members of the same zone.
func watchers(n int, members []sycamorerun.Instance) (primary, backup []string) {
	candidates := make([]candidate, len(members))
	for i := range members {
		member := &members[i]
		candidates[i] = candidate{ranked: ranked{orderHashes(member.Name)[0], member}, distanceClass: distanceClass(member.Distance)}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.distanceClass, b.distanceClass), a.compare(b.ranked))
	})
	zoneCounts := map[location]int{}
	for i := range candidates {
		loc := location{candidates[i].member.Region, candidates[i].member.AvailabilityZone}
		candidates[i].zoneRank = zoneCounts[loc]
		zoneCounts[loc]++
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.distanceClass, b.distanceClass), cmp.Compare(a.zoneRank, b.zoneRank))
	})
	names := make([]string, 0, n+maxBackupWatchers)
	for _, c := range candidates[:min(len(candidates), n+maxBackupWatchers)] {
		names = append(names, c.member.Name)
	}
	n = min(n, len(names))
	return names[:n:n], names[n:]
}
