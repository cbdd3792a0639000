package sycamorerun

import (
	"encoding/json"
	"maps"
)

// Item is the canonical JSON of one team, hold, service or route, or of the limits.
type Item = json.RawMessage

// Hash is the SHA-256 of a tree.
type Hash [32]byte

// Tree is the whole configuration at one version. It is immutable once shared.
type Tree struct {
	Version Version
	Items   map[Path]Item
}

// Clone returns a copy of t whose item map can be changed.
func (t Tree) Clone() Tree {
	items := maps.Clone(t.Items)
	if items == nil {
		items = map[Path]Item{}
	}
	return Tree{Version: t.Version, Items: items}
}

// Subtree returns the items that team owns.
func (t Tree) Subtree(team string) map[Path]Item {
	items := map[Path]Item{}
	for path, item := range t.Items {
		if path.Team() == team {
			items[path] = item
		}
	}
	return items
}
