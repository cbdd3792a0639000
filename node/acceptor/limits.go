package acceptor

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"sycamorerun"
	"sycamorerun/parser"
	"sycamorerun/persister"
	"sycamorerun/validator"
)

// Limits of the tree in bytes. In addition, the compressed tree must fit one store
// value.
const (
	MaxTreeBytes = validator.MaxTreeBytes
	MaxItemBytes = parser.MaxItemBytes
)

// maxItems is the maximum number of items of each kind.
var maxItems = map[string]int{
	sycamorerun.KindTeam:    parser.MaxTeams,
	sycamorerun.KindService: parser.MaxServices,
	sycamorerun.KindRoute:   parser.MaxRoutes,
}

// exceededLimits returns a fault for each limit that items exceed.
func exceededLimits(items map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault {
	var faults []sycamorerun.Fault
	addFault := func(path, format string, args ...any) {
		faults = append(faults, sycamorerun.Fault{Code: "too-large", Path: path, Reason: fmt.Sprintf(format, args...)})
	}
	total, counts := 0, map[string]int{}
	for path, item := range items {
		_, kind, _ := path.Split()
		counts[kind]++
		total += len(path) + len(item)
		if len(item) > MaxItemBytes {
			addFault(string(path), "item of %d bytes, limit %d", len(item), MaxItemBytes)
		}
	}
	slices.SortFunc(faults, func(a, b sycamorerun.Fault) int { return cmp.Compare(a.Path, b.Path) })
	for _, kind := range slices.Sorted(maps.Keys(maxItems)) {
		limit := maxItems[kind]
		if counts[kind] > limit {
			addFault(kind, "%d items of this kind, limit %d", counts[kind], limit)
		}
	}
	if total > MaxTreeBytes {
		addFault("", "tree of %d bytes, limit %d", total, MaxTreeBytes)
	}
	// Only a tree that may not fit uncompressed has to be compressed here. Half
	// of the limit leaves room for the encoding overhead of many small items.
	if len(faults) == 0 && total > persister.ValueBytes/2 {
		if _, err := persister.EncodeSnapshot(sycamorerun.Tree{Items: items}, sycamorerun.Hash{}); err != nil {
			addFault("", "compressed tree: %v", err)
		}
	}
	return faults
}
