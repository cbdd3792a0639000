package validator

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"sycamorerun"
	"sycamorerun/encoder"
	"sycamorerun/parser"
)

// Limits of the whole tree.
const (
	// MaxTreeBytes is the maximum total size of the tree's paths and items.
	MaxTreeBytes = 4 << 20
	// MaxPackedBytes is the maximum size of the compressed snapshot, which must
	// fit into one value of the store.
	MaxPackedBytes = 900 << 10
	// maxItems is the maximum number of items of all kinds together. It includes
	// a hold for each team and for the administrators, and the limits.
	maxItems = 2*parser.MaxTeams + 2 + parser.MaxServices + parser.MaxRoutes + parser.MaxAccounts
)

// maxCounts holds the maximum number of items by kind.
var maxCounts = []struct {
	kind  string
	count int
}{
	{sycamorerun.KindTeam, parser.MaxTeams},
	{sycamorerun.KindService, parser.MaxServices},
	{sycamorerun.KindRoute, parser.MaxRoutes},
	{sycamorerun.KindAccount, parser.MaxAccounts},
}

// CheckLimits returns the faults of a tree that exceeds the limits of sizes and
// counts. They bound what this product accepts. They do not apply to an accepted
// version, since a node that refuses one routes by an older version.
func CheckLimits(tree map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault {
	if len(tree) > maxItems {
		return limitFault(CodeTooMany, "", "%d items are more than %d", len(tree), maxItems)
	}
	if faults := checkSizes(tree); len(faults) > 0 {
		return faults
	}
	return checkCounts(tree)
}

func limitFault(code string, path sycamorerun.Path, format string, args ...any) []sycamorerun.Fault {
	return []sycamorerun.Fault{{Code: code, Path: string(path), Reason: fmt.Sprintf(format, args...)}}
}

// checkSizes checks the size of each item and the total size, both uncompressed
// and compressed.
func checkSizes(tree map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault {
	var faults []sycamorerun.Fault
	total := 0
	for _, path := range slices.Sorted(maps.Keys(tree)) {
		size := len(tree[path])
		total += len(path) + size
		if size > parser.MaxItemBytes && len(faults) < parser.MaxFaults {
			faults = append(faults, limitFault(CodeTooLarge, path, "%d bytes are more than %d", size, parser.MaxItemBytes)...)
		}
	}
	switch {
	case len(faults) > 0:
		return faults
	case total > MaxTreeBytes:
		return limitFault(CodeTooLarge, "", "the tree's %d bytes are more than %d", total, MaxTreeBytes)
	}
	// Pack never makes a snapshot larger, so a small one need not be packed.
	snapshot := encoder.FromTree(sycamorerun.Tree{Items: tree}, sycamorerun.Hash{})
	if proto.Size(snapshot) <= MaxPackedBytes {
		return nil
	}
	packed, err := encoder.Pack(snapshot)
	switch {
	case err != nil:
		return limitFault(parser.CodeMalformed, "", "the tree can't be encoded: %s", err)
	case len(packed) > MaxPackedBytes:
		return limitFault(CodeTooLarge, "", "the tree's %d bytes after compression are more than %d", len(packed), MaxPackedBytes)
	}
	return nil
}

// checkCounts checks the number of items of each kind.
func checkCounts(tree map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault {
	counts := map[string]int{}
	for path := range tree {
		_, kind, _ := path.Split()
		counts[kind]++
	}
	var faults []sycamorerun.Fault
	for _, limit := range maxCounts {
		if count := counts[limit.kind]; count > limit.count {
			faults = append(faults, limitFault(CodeTooMany, "", "%d items of kind %s are more than %d", count, limit.kind, limit.count)...)
		}
	}
	return faults
}
