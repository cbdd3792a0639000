// Package validator checks the whole settings tree, including the rules across
// teams.
package validator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"sycamorerun"
	"sycamorerun/parser"
)

// Fault codes of the rules across items. Faults of single items have the codes
// of package parser.
const (
	CodeNoService        = "no-service"
	CodeDuplicateService = "duplicate-service"
	CodeDuplicateHash    = "duplicate-hash"
	CodeDuplicateKey     = "duplicate-key"
	CodeNoTeam           = "no-team"
	CodeSameMatch        = "same-match"
	CodeTooMany          = parser.CodeTooMany
	CodeTooLarge         = parser.CodeTooLarge
)

// Codes maps each fault code that only this package uses to its meaning.
var Codes = map[string]string{
	CodeNoService:        "a route sends to a service that does not exist",
	CodeDuplicateService: "two teams use the same service name",
	CodeDuplicateHash:    "two operators have the same token",
	CodeDuplicateKey:     "two client accounts have the same key",
	CodeNoTeam:           "the team is not declared by the administrators",
	CodeSameMatch:        "two routes match exactly the same requests",
}

// treeCheck is the state of one check of a tree.
type treeCheck struct {
	faults []sycamorerun.Fault
	// services, hashes, keys and matches map service names, token hashes, hashes
	// of accounts' keys and match keys to the path of the first item that uses
	// them.
	services, hashes, keys, matches map[string]sycamorerun.Path
	routes                          []route
	// previous and verified are the decoded items of the last valid tree and of
	// this tree.
	previous, verified map[sycamorerun.Path]verifiedItem
}

type route struct {
	path sycamorerun.Path
	*sycamorerun.Route
}

// Check returns at most parser.MaxFaults faults of a tree that is to be accepted,
// sorted by path. The items may come from an untrusted source.
func Check(tree map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault {
	// The limits are checked first to bound the work of the other rules.
	if faults := CheckLimits(tree); len(faults) > 0 {
		return faults
	}
	return newTreeCheck(0, nil).run(tree)
}

// newTreeCheck returns a check with space for size decoded items. It reuses the
// decoded items in previous.
func newTreeCheck(size int, previous map[sycamorerun.Path]verifiedItem) *treeCheck {
	return &treeCheck{
		services: map[string]sycamorerun.Path{},
		hashes:   map[string]sycamorerun.Path{},
		keys:     map[string]sycamorerun.Path{},
		matches:  map[string]sycamorerun.Path{},
		previous: previous,
		verified: make(map[sycamorerun.Path]verifiedItem, size),
	}
}

func (c *treeCheck) run(tree map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault {
	for _, path := range slices.Sorted(maps.Keys(tree)) {
		c.checkItem(tree, path)
	}
	for _, route := range c.routes {
		c.checkTargets(route)
	}
	slices.SortStableFunc(c.faults, func(a, b sycamorerun.Fault) int { return strings.Compare(a.Path, b.Path) })
	return c.faults
}

func (c *treeCheck) addFault(code string, path sycamorerun.Path, format string, args ...any) {
	c.appendFault(sycamorerun.Fault{Code: code, Path: string(path), Reason: fmt.Sprintf(format, args...)})
}

func (c *treeCheck) appendFault(fault sycamorerun.Fault) {
	if len(c.faults) < parser.MaxFaults {
		c.faults = append(c.faults, fault)
	}
}

// checkItem checks one item and records its values for the rules across items.
func (c *treeCheck) checkItem(tree map[sycamorerun.Path]sycamorerun.Item, path sycamorerun.Path) {
	found, faults := c.decode(path, tree[path])
	for _, fault := range faults {
		c.appendFault(fault)
	}
	if found.object == nil {
		return
	}
	c.verified[path] = found
	owner, _, name := path.Split()
	if owner != sycamorerun.AdminTeam {
		if _, ok := tree[sycamorerun.NewPath(sycamorerun.AdminTeam, sycamorerun.KindTeam, owner)]; !ok {
			c.addFault(CodeNoTeam, path, "team %s is not declared by the administrators", owner)
		}
	}
	switch object := found.object.(type) {
	case *sycamorerun.Team:
		c.checkOperators(path, object)
	case *sycamorerun.Account:
		c.checkKeys(path, object)
	case *sycamorerun.Service:
		if first, ok := c.services[name]; ok {
			c.addFault(CodeDuplicateService, path, "service %s belongs to team %s already", name, first.Team())
			return
		}
		c.services[name] = path
	case *sycamorerun.Route:
		c.routes = append(c.routes, route{path, object})
		c.checkMatch(path, found.matchKey)
	}
}

// checkOperators rejects a token that operators of two teams share.
func (c *treeCheck) checkOperators(path sycamorerun.Path, team *sycamorerun.Team) {
	for _, operator := range team.Operators {
		first, ok := c.hashes[operator.Hash]
		if ok && first != path {
			_, _, name := first.Split()
			c.addFault(CodeDuplicateHash, path, "operator %s has the token of an operator of team %s", operator.Name, name)
			continue
		}
		c.hashes[operator.Hash] = path
	}
}

// checkKeys rejects a key that belongs to another account. The fault names the
// position of the key and not its hash.
func (c *treeCheck) checkKeys(path sycamorerun.Path, account *sycamorerun.Account) {
	for i, key := range account.Keys {
		first, ok := c.keys[key]
		if ok && first != path {
			_, _, name := first.Split()
			c.addFault(CodeDuplicateKey, path, "key %d belongs to account %s already", i+1, name)
			continue
		}
		c.keys[key] = path
	}
}

// checkMatch rejects a route that matches exactly the same requests as another.
func (c *treeCheck) checkMatch(path sycamorerun.Path, key string) {
	if first, ok := c.matches[key]; ok {
		_, _, name := path.Split()
		c.addFault(CodeSameMatch, path, "route %s matches the same requests as %s", name, first)
		return
	}
	c.matches[key] = path
}

// matchKey returns a key that is equal for routes that match the same requests.
// The order of hosts and methods is irrelevant.
func matchKey(route *sycamorerun.Route) string {
	var headers []string
	for _, name := range slices.Sorted(maps.Keys(route.Headers)) {
		headers = append(headers, name, route.Headers[name])
	}
	return fmt.Sprintf("%q %q %q %q", slices.Sorted(slices.Values(route.Hosts)), route.Prefix,
		slices.Sorted(slices.Values(route.Methods)), headers)
}

func (c *treeCheck) checkTargets(route route) {
	_, _, name := route.path.Split()
	for _, target := range route.Split {
		if _, ok := c.services[target.Service]; !ok {
			c.addFault(CodeNoService, route.path, "route %s sends to service %q, which does not exist", name, target.Service)
		}
	}
}
