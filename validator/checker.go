package validator

import (
	"bytes"
	"sync"

	"sycamorerun"
	"sycamorerun/parser"
)

// Checker checks successive versions of a tree. It caches the decoded items of
// the last valid tree, since a change touches few items and decoding all of
// them again is most of the cost of a check.
type Checker struct {
	mutex    sync.Mutex
	previous map[sycamorerun.Path]verifiedItem
}

// verifiedItem is a decoded item.
type verifiedItem struct {
	item   sycamorerun.Item
	object any
	// matchKey is the result of the function matchKey for a route.
	matchKey string
}

// Check returns the same faults as the function Check, except for those of
// CheckLimits.
func (k *Checker) Check(tree map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	c := newTreeCheck(len(tree), k.previous)
	faults := c.run(tree)
	if len(faults) == 0 {
		k.previous = c.verified
	}
	return faults
}

// decode returns the decoded item at path and its faults. It reuses the item of
// the previous tree if the bytes are equal.
func (c *treeCheck) decode(path sycamorerun.Path, item sycamorerun.Item) (verifiedItem, []sycamorerun.Fault) {
	if known, ok := c.previous[path]; ok && bytes.Equal(known.item, item) {
		return known, nil
	}
	object, faults := parser.Decode(path, item)
	v := verifiedItem{item: item, object: object}
	if route, ok := object.(*sycamorerun.Route); ok {
		v.matchKey = matchKey(route)
	}
	return v, faults
}
