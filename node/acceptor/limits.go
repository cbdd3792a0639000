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

// Limits of the tree. The compressed tree has to fit one store value.
const (
	MaxTreeBytes = validator.MaxTreeBytes
	MaxItemBytes = parser.MaxItemBytes
)

// counts bounds the items of each kind.
var counts = map[string]int{
	sycamorerun.KindTeam:    parser.MaxTeams,
	sycamorerun.KindService: parser.MaxServices,
	sycamorerun.KindRoute:   parser.MaxRoutes,
}

// limits returns the limits that items exceed.
func limits(items map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault {
	var faults []sycamorerun.Fault
	fault := func(path, format string, args ...any) {
		faults = append(faults, sycamorerun.Fault{Code: "too-large", Path: path, Reason: fmt.Sprintf(format, args...)})
	}
	total, found := 0, map[string]int{}
	for path, item := range items {
		_, kind, _ := path.Split()
		found[kind]++
		total += len(path) + len(item)
		if len(item) > MaxItemBytes {
			fault(string(path), "item of %d bytes, limit %d", len(item), MaxItemBytes)
		}
	}
	slices.SortFunc(faults, func(a, b sycamorerun.Fault) int { return cmp.Compare(a.Path, b.Path) })
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		limit := counts[kind]
		if found[kind] > limit {
			fault(kind, "%d items of this kind, limit %d", found[kind], limit)
		}
	}
	if total > MaxTreeBytes {
		fault("", "tree of %d bytes, limit %d", total, MaxTreeBytes)
	}
	// Compressing is only needed for trees that may not fit plain; half of
	// the limit leaves room for the encoding of many small items.
	if len(faults) == 0 && total > persister.ValueBytes/2 {
		if _, err := persister.EncodeSnapshot(sycamorerun.Tree{Items: items}, sycamorerun.Hash{}); err != nil {
			fault("", "compressed tree: %v", err)
		}
	}
	return faults
}
