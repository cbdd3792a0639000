package validator

import (
	"bytes"
	"sync"

	"sycamorerun"
	"sycamorerun/parser"
)

// Checker checks trees that follow each other. It remembers the items of the
// last good tree, since a change touches few of them and decoding all the
// others again is most of the cost of a check.
type Checker struct {
	mutex sync.Mutex
	known map[sycamorerun.Path]verified
}

// verified is an item without faults of its own.
type verified struct {
	item   sycamorerun.Item
	object any
	// match is the key of a route's requests, see matchKey.
	match string
}

// Check returns what the function Check does.
func (k *Checker) Check(tree map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	c := newCheck(len(tree), k.known)
	faults := c.run(tree)
	if len(faults) == 0 {
		k.known = c.verified
	}
	return faults
}

// decode returns the verified item at path, from an earlier tree when its
// bytes are the same.
func (c *check) decode(path sycamorerun.Path, item sycamorerun.Item) (verified, []sycamorerun.Fault) {
	if known, ok := c.known[path]; ok && bytes.Equal(known.item, item) {
		return known, nil
	}
	object, faults := parser.Decode(path, item)
	v := verified{item: item, object: object}
	if route, ok := object.(*sycamorerun.Route); ok {
		v.match = matchKey(route)
	}
	return v, faults
}
