// Package validator checks the whole settings tree across teams.
package validator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"sycamorerun"
	"sycamorerun/encoder"
	"sycamorerun/parser"
)

// Limits of the whole tree.
const (
	// MaxTreeBytes bounds the paths and items of the tree.
	MaxTreeBytes = 4 << 20
	// MaxPackedBytes bounds the compressed snapshot, which must fit into one value
	// of the store.
	MaxPackedBytes = 900 << 10
	// items is the most items that a tree of legal counts can have: a hold for
	// each team and for the administrators, and the limits.
	items = 2*parser.MaxTeams + 2 + parser.MaxServices + parser.MaxRoutes
)

// Codes of the faults that only the whole tree shows. Faults of single items
// have the codes of package parser.
const (
	CodeNoService        = "no-service"
	CodeDuplicateService = "duplicate-service"
	CodeDuplicateHash    = "duplicate-hash"
	CodeNoTeam           = "no-team"
	CodeSameMatch        = "same-match"
	CodeTooMany          = parser.CodeTooMany
	CodeTooLarge         = parser.CodeTooLarge
)

// Codes lists the codes of this package with their meaning.
var Codes = map[string]string{
	CodeNoService:        "a route sends to a service that does not exist",
	CodeDuplicateService: "two teams use the same service name",
	CodeDuplicateHash:    "two operators have the same token",
	CodeNoTeam:           "the team is not declared by the administrators",
	CodeSameMatch:        "two routes match exactly the same requests",
}

// check collects what one pass over the tree finds.
type check struct {
	faults []sycamorerun.Fault
	// services, hashes and matches have the path that came first.
	services, hashes, matches map[string]sycamorerun.Path
	counts                    map[string]int
	routes                    []route
	// known and verified are the decoded items of the last tree and of this
	// one.
	known, verified map[sycamorerun.Path]verified
}

type route struct {
	path sycamorerun.Path
	*sycamorerun.Route
}

// Check returns the faults of the tree in the order of the paths, at most
// parser.Faults of them. The items may come from the network.
func Check(tree map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault {
	return newCheck(0, nil).run(tree)
}

// newCheck returns a check that remembers up to size items for the next one
// and takes those in known as decoded.
func newCheck(size int, known map[sycamorerun.Path]verified) *check {
	return &check{
		services: map[string]sycamorerun.Path{},
		hashes:   map[string]sycamorerun.Path{},
		matches:  map[string]sycamorerun.Path{},
		counts:   map[string]int{},
		known:    known,
		verified: make(map[sycamorerun.Path]verified, size),
	}
}

func (c *check) run(tree map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault {
	// The size comes first because it bounds the work of the other rules.
	if c.size(tree); len(c.faults) > 0 {
		return c.faults
	}
	for _, path := range slices.Sorted(maps.Keys(tree)) {
		c.item(tree, path)
	}
	for _, route := range c.routes {
		c.targets(route)
	}
	c.limits()
	slices.SortStableFunc(c.faults, func(a, b sycamorerun.Fault) int { return strings.Compare(a.Path, b.Path) })
	return c.faults
}

func (c *check) fault(code string, path sycamorerun.Path, format string, args ...any) {
	c.add(sycamorerun.Fault{Code: code, Path: string(path), Reason: fmt.Sprintf(format, args...)})
}

func (c *check) add(fault sycamorerun.Fault) {
	if len(c.faults) < parser.MaxFaults {
		c.faults = append(c.faults, fault)
	}
}

// size checks the number of items and their size, plain and compressed.
func (c *check) size(tree map[sycamorerun.Path]sycamorerun.Item) {
	if len(tree) > items {
		c.fault(CodeTooMany, "", "%d items are more than %d", len(tree), items)
		return
	}
	total := 0
	for path, item := range tree {
		total += len(path) + len(item)
	}
	if total > MaxTreeBytes {
		c.fault(CodeTooLarge, "", "the tree's %d bytes are more than %d", total, MaxTreeBytes)
		return
	}
	// Packing never makes a snapshot larger, so a small one needs no packing.
	snapshot := encoder.FromTree(sycamorerun.Tree{Items: tree}, sycamorerun.Hash{})
	if proto.Size(snapshot) <= MaxPackedBytes {
		return
	}
	packed, err := encoder.Pack(snapshot)
	if err != nil {
		c.fault(parser.CodeMalformed, "", "the tree can't be encoded: %s", err)
	} else if len(packed) > MaxPackedBytes {
		c.fault(CodeTooLarge, "", "the tree's %d bytes after compression are more than %d", len(packed), MaxPackedBytes)
	}
}

// item checks one item and remembers what the other rules compare.
func (c *check) item(tree map[sycamorerun.Path]sycamorerun.Item, path sycamorerun.Path) {
	found, faults := c.decode(path, tree[path])
	for _, fault := range faults {
		c.add(fault)
	}
	if found.object == nil {
		return
	}
	c.verified[path] = found
	owner, kind, name := path.Split()
	c.counts[kind]++
	if owner != sycamorerun.AdminTeam {
		if _, ok := tree[sycamorerun.NewPath(sycamorerun.AdminTeam, sycamorerun.KindTeam, owner)]; !ok {
			c.fault(CodeNoTeam, path, "team %s is not declared by the administrators", owner)
		}
	}
	switch object := found.object.(type) {
	case *sycamorerun.Team:
		c.operators(path, object)
	case *sycamorerun.Service:
		if first, ok := c.services[name]; ok {
			c.fault(CodeDuplicateService, path, "service %s belongs to team %s already", name, first.Team())
			return
		}
		c.services[name] = path
	case *sycamorerun.Route:
		c.routes = append(c.routes, route{path, object})
		c.match(path, found.match)
	}
}

// operators refuses a token that could act for two teams.
func (c *check) operators(path sycamorerun.Path, team *sycamorerun.Team) {
	for _, operator := range team.Operators {
		first, ok := c.hashes[operator.Hash]
		if ok && first != path {
			_, _, name := first.Split()
			c.fault(CodeDuplicateHash, path, "operator %s has the token of an operator of team %s", operator.Name, name)
			continue
		}
		c.hashes[operator.Hash] = path
	}
}

// match refuses two routes between which no request can decide.
func (c *check) match(path sycamorerun.Path, key string) {
	if first, ok := c.matches[key]; ok {
		_, _, name := path.Split()
		c.fault(CodeSameMatch, path, "route %s matches the same requests as %s", name, first)
		return
	}
	c.matches[key] = path
}

// matchKey is equal for routes that match the same requests. The order of
// hosts and methods has no meaning.
func matchKey(route *sycamorerun.Route) string {
	var headers []string
	for _, name := range slices.Sorted(maps.Keys(route.Headers)) {
		headers = append(headers, name, route.Headers[name])
	}
	return fmt.Sprintf("%q %q %q %q", slices.Sorted(slices.Values(route.Hosts)), route.Prefix,
		slices.Sorted(slices.Values(route.Methods)), headers)
}

func (c *check) targets(route route) {
	_, _, name := route.path.Split()
	for _, target := range route.Split {
		if _, ok := c.services[target.Service]; !ok {
			c.fault(CodeNoService, route.path, "route %s sends to service %q, which does not exist", name, target.Service)
		}
	}
}

// limits checks the counts of each kind.
func (c *check) limits() {
	for _, limit := range []struct {
		kind string
		most int
	}{
		{sycamorerun.KindTeam, parser.MaxTeams},
		{sycamorerun.KindService, parser.MaxServices},
		{sycamorerun.KindRoute, parser.MaxRoutes},
	} {
		if count := c.counts[limit.kind]; count > limit.most {
			c.fault(CodeTooMany, "", "%d items of kind %s are more than %d", count, limit.kind, limit.most)
		}
	}
}
