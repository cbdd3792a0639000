package identifier

import "slices"

const (
	// fanout is the number of children of an inner node, one for each value of a
	// byte of the hash.
	fanout = 256
	// maxLeafEntries is the number of entries beyond which a leaf is split. A
	// look-up compares its hash with all entries of a leaf.
	maxLeafEntries = 32
)

// Index maps the hashes of keys to accounts. It is immutable: With and Without
// return another index that shares all but the changed path with this one. The
// zero index and a nil one are empty.
type Index struct {
	root *node
	size int
}

// node is either a leaf with entries or an inner node with children.
type node struct {
	children *[fanout]*node
	entries  []entry
}

type entry struct {
	hash    Hash
	account *Account
}

// Len returns the number of keys.
func (x *Index) Len() int {
	if x == nil {
		return 0
	}
	return x.size
}

// Find returns the account with the given key, or nil.
func (x *Index) Find(hash Hash) *Account {
	if x == nil || x.root == nil {
		return nil
	}
	n, depth := x.root, 0
	for n != nil && n.children != nil {
		n, depth = n.children[hash[depth]], depth+1
	}
	if n == nil {
		return nil
	}
	for i := range n.entries {
		if n.entries[i].hash == hash {
			return n.entries[i].account
		}
	}
	return nil
}

// With returns an index in which the key belongs to account.
func (x *Index) With(hash Hash, account *Account) *Index {
	size := x.Len()
	if x.Find(hash) == nil {
		size++
	}
	var root *node
	if x != nil {
		root = x.root
	}
	return &Index{root: root.with(entry{hash, account}, 0), size: size}
}

// Without returns an index that lacks the key.
func (x *Index) Without(hash Hash) *Index {
	if x.Find(hash) == nil {
		return x
	}
	return &Index{root: x.root.without(hash, 0), size: x.size - 1}
}

func (n *node) with(added entry, depth int) *node {
	if n == nil {
		return &node{entries: []entry{added}}
	}
	if n.children != nil {
		children := *n.children
		i := added.hash[depth]
		children[i] = children[i].with(added, depth+1)
		return &node{children: &children}
	}
	entries := make([]entry, 0, len(n.entries)+1)
	for _, old := range n.entries {
		if old.hash != added.hash {
			entries = append(entries, old)
		}
	}
	entries = append(entries, added)
	if len(entries) <= maxLeafEntries || depth == len(added.hash) {
		return &node{entries: entries}
	}
	return split(entries, depth)
}

// split returns an inner node with the entries as leaves below it.
func split(entries []entry, depth int) *node {
	var children [fanout]*node
	for _, e := range entries {
		i := e.hash[depth]
		if children[i] == nil {
			children[i] = &node{}
		}
		children[i].entries = append(children[i].entries, e)
	}
	return &node{children: &children}
}

// without returns n without the entry for hash, which it contains, or nil if no
// entry is left.
func (n *node) without(hash Hash, depth int) *node {
	if n.children == nil {
		entries := slices.DeleteFunc(slices.Clone(n.entries), func(e entry) bool { return e.hash == hash })
		if len(entries) == 0 {
			return nil
		}
		return &node{entries: entries}
	}
	children := *n.children
	children[hash[depth]] = children[hash[depth]].without(hash, depth+1)
	for _, child := range children {
		if child != nil {
			return &node{children: &children}
		}
	}
	return nil
}
